//! One team's section of the policy document.

use crate::checked;
use crate::ids;
use crate::policy::organisation;
use crate::policy::route;
use crate::policy::service;
use crate::policy::signature;

value! {
    /// A team's section.
    #[serde(default)]
    pub struct Section {
        /// Owner of the section.
        pub team: ids::TeamName,
        /// Public keys that may sign edits of the section; empty for edits without signature.
        pub keys: Vec<String>,
        /// Services of the team.
        pub service: Vec<service::Service>,
        /// Routes to the team's services.
        pub route: Vec<route::Route>,
        /// Organisations that use the team's services.
        pub organisation: Vec<organisation::Organisation>,
    }
}

impl Default for Section {
    fn default() -> Self {
        Self { team: "".into(), keys: vec![], service: vec![], route: vec![], organisation: vec![] }
    }
}

value! {
    /// Keys at the top of a section.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    struct Head {
        team: Option<ids::TeamName>,
        keys: Vec<String>,
    }
}

impl Section {
    /// Parses and checks a section's TOML text.
    ///
    /// # Errors
    ///
    /// Returns every problem found, in order of appearance.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_state::policy::section;
    /// let text = "team = 'media'\n[[service]]\nname = 'photos'\nslots = 0\nflor = 3\n";
    /// let problems = section::Section::parse(text).unwrap_err();
    /// assert_eq!(problems.len(), 2);
    /// assert_eq!(problems[0].line, Some(5));
    /// ```
    pub fn parse(text: &str) -> Result<Section, Vec<checked::Problem>> {
        let mut reader = checked::Reader::new(text);
        let mut table = reader.parse();
        if !reader.problems.is_empty() {
            return Err(reader.problems);
        }
        let services = take_array(&mut table, "service", &mut reader);
        let routes = take_array(&mut table, "route", &mut reader);
        let organisations = take_array(&mut table, "organisation", &mut reader);
        let head: Head = reader.read(table, &checked::Place::TOP);
        let section = Section {
            team: head.team.unwrap_or_else(|| "".into()),
            keys: head.keys,
            service: read_all(services, "service", &mut reader),
            route: read_all(routes, "route", &mut reader),
            organisation: read_all(organisations, "organisation", &mut reader),
        };
        section.check(&mut reader);
        if reader.problems.is_empty() { Ok(section) } else { Err(reader.problems) }
    }

    fn check(&self, reader: &mut checked::Reader<'_>) {
        if self.team.is_empty() {
            reader.report(&checked::Place::TOP, "team", "a section needs its team's name".into());
        }
        if !self.keys.iter().all(|key| signature::is_public_key(key)) {
            let reason = "write public keys as 'lynxmast key' prints them";
            reader.report(&checked::Place::TOP, "keys", reason.into());
        }
        for (index, service) in self.service.iter().enumerate() {
            service.check(&place("service", index), reader);
        }
        for (index, route) in self.route.iter().enumerate() {
            let place = place("route", index);
            route.check(&place, reader);
            for (name, _) in route.targets().filter(|(name, _)| !name.is_empty()) {
                if !self.service.iter().any(|s| s.name == *name) {
                    let reason = format!("no service '{name}' in this section");
                    reader.report(&place, "service", reason);
                }
            }
            if self.route[..index].iter().any(|earlier| earlier.collides(route)) {
                let reason = "an earlier route has the same host, path and method";
                reader.report(&place, "path", reason.into());
            }
        }
        for (index, organisation) in self.organisation.iter().enumerate() {
            organisation.check(&place("organisation", index), reader);
        }
    }
}

fn place(header: &'static str, index: usize) -> checked::Place {
    checked::Place { header, index: Some(index) }
}

fn take_array(
    table: &mut toml::Table,
    header: &'static str,
    reader: &mut checked::Reader<'_>,
) -> Vec<toml::Table> {
    let mut tables = Vec::new();
    let values = match table.remove(header) {
        None => return tables,
        Some(toml::Value::Array(values)) => values,
        Some(_) => {
            let reason = format!("write [[{header}]] tables");
            reader.report(&checked::Place::TOP, header, reason);
            return tables;
        }
    };
    for (index, value) in values.into_iter().enumerate() {
        match value {
            toml::Value::Table(table) => tables.push(table),
            _ => reader.report(&place(header, index), "", "is not a table".into()),
        }
    }
    tables
}

fn read_all<T>(
    tables: Vec<toml::Table>,
    header: &'static str,
    reader: &mut checked::Reader<'_>,
) -> Vec<T>
where
    T: serde::de::DeserializeOwned + Default,
{
    let numbered = tables.into_iter().enumerate();
    numbered.map(|(index, table)| reader.read(table, &place(header, index))).collect()
}
