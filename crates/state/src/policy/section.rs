//! One team's section of the policy document.

use crate::ids;
use crate::policy::organisation;
use crate::policy::route;
use crate::policy::service;
use crate::policy::signature;
use crate::validation;

value! {
    /// Section of the policy document that belongs to one team.
    #[serde(default)]
    pub struct Section {
        /// Team that owns the section.
        pub team: ids::TeamName,
        /// Public keys that may sign edits of the section; empty if edits need no signature.
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
    /// Keys at the top level of a section, outside all tables.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    struct TopLevel {
        team: Option<ids::TeamName>,
        keys: Vec<String>,
    }
}

impl Section {
    /// Parses and validates the TOML text of a section.
    ///
    /// # Errors
    ///
    /// Returns all problems, in the order in which they were found.
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
    pub fn parse(text: &str) -> Result<Section, Vec<validation::Problem>> {
        let mut reader = validation::Reader::new(text);
        let mut table = reader.parse();
        if !reader.problems.is_empty() {
            return Err(reader.problems);
        }
        let services = take_tables(&mut table, "service", &mut reader);
        let routes = take_tables(&mut table, "route", &mut reader);
        let organisations = take_tables(&mut table, "organisation", &mut reader);
        let top_level: TopLevel = reader.read(table, &validation::Location::TOP);
        let section = Section {
            team: top_level.team.unwrap_or_else(|| "".into()),
            keys: top_level.keys,
            service: read_tables(services, "service", &mut reader),
            route: read_tables(routes, "route", &mut reader),
            organisation: read_tables(organisations, "organisation", &mut reader),
        };
        section.validate(&mut reader);
        if reader.problems.is_empty() { Ok(section) } else { Err(reader.problems) }
    }

    fn validate(&self, reader: &mut validation::Reader<'_>) {
        if self.team.is_empty() {
            reader.report(
                &validation::Location::TOP,
                "team",
                "a section needs the name of its team".into(),
            );
        }
        if !self.keys.iter().all(|key| signature::is_public_key(key)) {
            let reason = "a public key must be written as 'lynxmast key' prints it";
            reader.report(&validation::Location::TOP, "keys", reason.into());
        }
        for (index, service) in self.service.iter().enumerate() {
            service.validate(&location("service", index), reader);
        }
        for (index, route) in self.route.iter().enumerate() {
            let location = location("route", index);
            route.validate(&location, reader);
            for (name, _) in route.targets().filter(|(name, _)| !name.is_empty()) {
                if !self.service.iter().any(|s| s.name == *name) {
                    let reason = format!("no service '{name}' in this section");
                    reader.report(&location, "service", reason);
                }
            }
            if self.route[..index].iter().any(|earlier| earlier.overlaps(route)) {
                let reason = "an earlier route has the same host, path and method";
                reader.report(&location, "path", reason.into());
            }
        }
        for (index, organisation) in self.organisation.iter().enumerate() {
            organisation.validate(&location("organisation", index), reader);
        }
    }
}

fn location(header: &'static str, index: usize) -> validation::Location {
    validation::Location { header, index: Some(index) }
}

/// Removes the array of tables `header` from `table`; reports values that are not tables.
fn take_tables(
    table: &mut toml::Table,
    header: &'static str,
    reader: &mut validation::Reader<'_>,
) -> Vec<toml::Table> {
    let mut tables = Vec::new();
    let values = match table.remove(header) {
        None => return tables,
        Some(toml::Value::Array(values)) => values,
        Some(_) => {
            let reason = format!("must be written as [[{header}]] tables");
            reader.report(&validation::Location::TOP, header, reason);
            return tables;
        }
    };
    for (index, value) in values.into_iter().enumerate() {
        match value {
            toml::Value::Table(table) => tables.push(table),
            _ => reader.report(&location(header, index), "", "is not a table".into()),
        }
    }
    tables
}

/// Deserialises the tables of an array; reports invalid keys.
fn read_tables<T>(
    tables: Vec<toml::Table>,
    header: &'static str,
    reader: &mut validation::Reader<'_>,
) -> Vec<T>
where
    T: serde::de::DeserializeOwned + Default,
{
    let indexed = tables.into_iter().enumerate();
    indexed.map(|(index, table)| reader.read(table, &location(header, index))).collect()
}
