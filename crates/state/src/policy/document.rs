//! The whole policy document and the rules that span sections.

use std::collections;
use std::time;

use indexmap::IndexMap;

use crate::checked;
use crate::ids;
use crate::policy::section;

value! {
    /// All sections in force, by team.
    #[derive(Default)]
    pub struct Document {
        /// Sections in order of first acceptance.
        pub sections: IndexMap<ids::TeamName, section::Section>,
        /// What callers may send and how long they may take.
        #[serde(default)]
        pub limits: CallerLimits,
    }

    /// Limits on what callers send.
    #[serde(default)]
    pub struct CallerLimits {
        /// Bytes of a request's head.
        pub head_size: usize,
        /// Bytes of a request's body.
        pub body_size: u64,
        /// Time to send a request's head.
        #[serde(with = "humantime_serde")]
        pub head_time: time::Duration,
        /// Time that a connection may be idle between requests.
        #[serde(with = "humantime_serde")]
        pub idle_time: time::Duration,
    }
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_size: 64 * 1024,
            body_size: u64::MAX,
            head_time: time::Duration::from_secs(10),
            idle_time: time::Duration::from_secs(10),
        }
    }
}

impl Document {
    /// Returns a document of `sections`; a later section of a team replaces an earlier one.
    pub fn new(sections: impl IntoIterator<Item = section::Section>) -> Self {
        let sections = sections.into_iter().map(|s| (s.team.clone(), s)).collect();
        Self { sections, limits: CallerLimits::default() }
    }

    /// Checks the rules of the whole against a section that is about to replace its predecessor.
    ///
    /// Service and organisation names are unique in the document, and a host belongs to one team.
    pub fn check_with(&self, section: &section::Section) -> Vec<checked::Problem> {
        let others = self.sections.values().filter(|s| s.team != section.team);
        let mut taken = Names::default();
        for other in others {
            taken.add(other);
        }
        taken.clashes(section)
    }
}

/// Names claimed by sections, with the team that claims each.
#[derive(Default)]
struct Names<'a> {
    services: collections::HashMap<&'a str, &'a str>,
    organisations: collections::HashMap<&'a str, &'a str>,
    keys: collections::HashMap<&'a str, &'a str>,
    hosts: collections::HashMap<&'a str, &'a str>,
}

impl<'a> Names<'a> {
    fn add(&mut self, section: &'a section::Section) {
        let team = &*section.team;
        self.services.extend(section.service.iter().map(|s| (&*s.name, team)));
        self.organisations.extend(section.organisation.iter().map(|o| (&*o.name, team)));
        self.keys.extend(section.organisation.iter().map(|o| (o.key_hash.as_str(), team)));
        self.hosts.extend(section.route.iter().map(|r| (r.host.as_str(), team)));
    }

    fn clashes(&self, section: &section::Section) -> Vec<checked::Problem> {
        let mut found = Clashes::default();
        found.search("service", "name", &self.services, section.service.iter().map(|s| &*s.name));
        let names = section.organisation.iter().map(|o| &*o.name);
        found.search("organisation", "name", &self.organisations, names);
        let keys = section.organisation.iter().map(|o| o.key_hash.as_str());
        found.search("organisation", "key-hash", &self.keys, keys);
        let own_hosts = section.route.iter().map(|r| r.host.as_str());
        let hosts: collections::BTreeSet<&str> = own_hosts.collect();
        found.search("route", "host", &self.hosts, hosts.into_iter());
        found.problems
    }
}

#[derive(Default)]
struct Clashes {
    problems: Vec<checked::Problem>,
}

impl Clashes {
    fn search<'a>(
        &mut self,
        header: &str,
        field: &str,
        taken: &collections::HashMap<&str, &str>,
        names: impl Iterator<Item = &'a str>,
    ) {
        let mut own = collections::HashSet::new();
        for name in names {
            let key = format!("{header}.{field}");
            if let Some(team) = taken.get(name) {
                let reason = format!("'{name}' belongs to team '{team}'");
                self.problems.push(checked::Problem { key, line: None, reason });
            } else if !own.insert(name) {
                let reason = format!("'{name}' is given twice");
                self.problems.push(checked::Problem { key, line: None, reason });
            }
        }
    }
}
