//! The policy document and the validation rules that span several sections.

use std::collections;
use std::time;

use indexmap::IndexMap;

use crate::ids;
use crate::policy::organisation;
use crate::policy::section;
use crate::validation;

value! {
    /// All active sections, by team.
    #[derive(Default)]
    pub struct Document {
        /// Sections in the order in which their first edit was accepted.
        pub sections: IndexMap<ids::TeamName, section::Section>,
        /// Size and time limits on requests of callers.
        #[serde(default)]
        pub limits: CallerLimits,
    }

    /// Size and time limits on requests of callers.
    #[serde(default)]
    pub struct CallerLimits {
        /// Maximum size of the request line and headers together, in bytes.
        pub head_size: usize,
        /// Maximum size of a request body, in bytes.
        pub body_size: u64,
        /// Time within which a caller must send the request line and headers.
        #[serde(with = "humantime_serde")]
        pub head_time: time::Duration,
        /// Longest time that a connection may be idle between requests.
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
    /// Creates a document of `sections`; if a team has several, the last one is used.
    pub fn new(sections: impl IntoIterator<Item = section::Section>) -> Self {
        let sections = sections.into_iter().map(|s| (s.team.clone(), s)).collect();
        Self { sections, limits: CallerLimits::default() }
    }

    /// Returns the conflicts between `section` and the sections of other teams.
    ///
    /// Names of services, names of organisations and key hashes must be unique in the document, and
    /// a host belongs to one team. The team's current section is ignored, as `section` replaces it.
    pub fn name_conflicts(&self, section: &section::Section) -> Vec<validation::Problem> {
        self.claimed_by_others(section).conflicts(section)
    }

    /// Returns those of [`name_conflicts`](Self::name_conflicts) that concern organisations and their
    /// keys.
    pub fn organisation_conflicts(&self, section: &section::Section) -> Vec<validation::Problem> {
        self.claimed_by_others(section).organisation_conflicts(section).problems
    }

    fn claimed_by_others(&self, section: &section::Section) -> ClaimedNames<'_> {
        let mut claimed = ClaimedNames::default();
        for other in self.sections.values().filter(|other| other.team != section.team) {
            claimed.add(other);
        }
        claimed
    }
}

/// Names that must be unique and are used by sections, each with the team that uses it.
#[derive(Default)]
struct ClaimedNames<'a> {
    services: collections::HashMap<&'a str, &'a str>,
    organisations: collections::HashMap<&'a str, &'a str>,
    key_hashes: collections::HashMap<&'a str, &'a str>,
    hosts: collections::HashMap<&'a str, &'a str>,
}

impl<'a> ClaimedNames<'a> {
    fn add(&mut self, section: &'a section::Section) {
        let team = &*section.team;
        self.services.extend(section.service.iter().map(|s| (&*s.name, team)));
        self.organisations.extend(section.organisation.iter().map(|o| (&*o.name, team)));
        let hashes = section.organisation.iter().flat_map(organisation::Organisation::hashes);
        self.key_hashes.extend(hashes.map(|hash| (hash.as_str(), team)));
        self.hosts.extend(section.route.iter().map(|r| (r.host.as_str(), team)));
    }

    fn organisation_conflicts(&self, section: &section::Section) -> Conflicts {
        let mut found = Conflicts::default();
        let names = section.organisation.iter().map(|o| &*o.name);
        found.check("organisation", "name", &self.organisations, names);
        found.check_keys(&self.key_hashes, &section.organisation);
        found
    }

    fn conflicts(&self, section: &section::Section) -> Vec<validation::Problem> {
        let mut found = self.organisation_conflicts(section);
        found.check("service", "name", &self.services, section.service.iter().map(|s| &*s.name));
        let own_hosts = section.route.iter().map(|r| r.host.as_str());
        let hosts: collections::BTreeSet<&str> = own_hosts.collect();
        found.check("route", "host", &self.hosts, hosts.into_iter());
        found.problems
    }
}

/// Collects a problem for each name that is used more than once.
#[derive(Default)]
struct Conflicts {
    problems: Vec<validation::Problem>,
}

impl Conflicts {
    /// Records a problem for each of `names` that is already in `claimed` or that occurs twice.
    fn check<'a>(
        &mut self,
        header: &str,
        field: &str,
        claimed: &collections::HashMap<&str, &str>,
        names: impl Iterator<Item = &'a str>,
    ) {
        let mut seen = collections::HashSet::new();
        for name in names {
            let key = format!("{header}.{field}");
            if let Some(team) = claimed.get(name) {
                let reason = format!("'{name}' is already used by team '{team}'");
                self.problems.push(validation::Problem { key, line: None, reason });
            } else if !seen.insert(name) {
                let reason = format!("'{name}' is used twice in this section");
                self.problems.push(validation::Problem { key, line: None, reason });
            }
        }
    }

    /// Records a problem for each organisation with a key that is already in `claimed` or that an
    /// earlier one of `organisations` has. The problems name organisations, never a key or its hash.
    fn check_keys(
        &mut self,
        claimed: &collections::HashMap<&str, &str>,
        organisations: &[organisation::Organisation],
    ) {
        let mut owners: collections::HashMap<&str, &str> = collections::HashMap::new();
        for organisation in organisations {
            for hash in organisation.hashes() {
                let name = &*organisation.name;
                let reason = if let Some(team) = claimed.get(hash.as_str()) {
                    format!("a key of organisation '{name}' is already used by team '{team}'")
                } else if let Some(owner) = owners.insert(hash, name) {
                    format!("organisations '{owner}' and '{name}' have the same key")
                } else {
                    continue;
                };
                let key = "organisation.key-hash".to_owned();
                self.problems.push(validation::Problem { key, line: None, reason });
            }
        }
    }
}
