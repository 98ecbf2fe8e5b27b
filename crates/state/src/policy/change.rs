//! Differences between two policy documents, by route, service and organisation.

use std::fmt;

use indexmap::IndexMap;

use crate::policy::document;
use crate::policy::section;

value! {
    /// What happens to an entry of the document.
    #[derive(Copy, Eq)]
    pub enum Kind {
        /// The entry is new.
        Added,
        /// The entry is no longer there.
        Removed,
        /// Fields of the entry have other values.
        Changed,
    }

    /// Difference of one entry.
    pub struct Change {
        /// What happens to the entry.
        pub kind: Kind,
        /// Type and name of the entry, such as `route shop.example/cart`.
        pub entry: String,
        /// Fields with their old and new values; empty unless the entry is changed. Of keys only
        /// the numbers of added and removed ones are stated.
        pub fields: Vec<String>,
    }
}

/// Fields of one entry by name. JSON holds the whole range of sizes, unlike TOML.
type Fields = serde_json::Map<String, serde_json::Value>;

/// Fields that hold hashes of keys.
const KEY_FIELDS: [&str; 2] = ["key-hash", "key-hashes"];
/// Text for a field without a value.
const NONE: &str = "none";

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = match self.kind {
            Kind::Added => "added",
            Kind::Removed => "removed",
            Kind::Changed => "changed",
        };
        write!(f, "{kind} {}", self.entry)?;
        if !self.fields.is_empty() {
            write!(f, ": {}", self.fields.join(", "))?;
        }
        Ok(())
    }
}

/// Returns the differences that `new` makes to `old`, in the order of the document.
///
/// # Examples
///
/// ```
/// use lynxmast_state::policy::{change, document, section};
/// let section = |text| section::Section::parse(text).unwrap();
/// let old = document::Document::new([section("team = 't'\n[[service]]\nname = 's'")]);
/// let new = document::Document::new([section("team = 't'\n[[service]]\nname = 's'\nfloor = 2")]);
/// let changes = change::compare(&old, &new);
/// assert_eq!(changes[0].to_string(), "changed service s: floor 0 -> 2");
/// ```
pub fn compare(old: &document::Document, new: &document::Document) -> Vec<Change> {
    let (old, new) = (entries(old), entries(new));
    let mut changes = Vec::new();
    for (entry, table) in &new {
        let Some(previous) = old.get(entry) else {
            let kind = Kind::Added;
            changes.push(Change { kind, entry: entry.clone(), fields: Vec::new() });
            continue;
        };
        let fields = changed_fields(previous, table);
        if !fields.is_empty() {
            changes.push(Change { kind: Kind::Changed, entry: entry.clone(), fields });
        }
    }
    let removed = old.keys().filter(|entry| !new.contains_key(*entry));
    changes.extend(removed.map(|entry| Change {
        kind: Kind::Removed,
        entry: entry.clone(),
        fields: Vec::new(),
    }));
    changes
}

/// Returns the entries of a document by type and name, each as a table of its fields.
fn entries(document: &document::Document) -> IndexMap<String, Fields> {
    let mut entries = IndexMap::new();
    entries.insert("limits of callers".to_owned(), table(&document.limits));
    for section in document.sections.values() {
        add_entries(&mut entries, section);
    }
    entries
}

fn add_entries(entries: &mut IndexMap<String, Fields>, section: &section::Section) {
    for route in &section.route {
        let methods = route.methods.join("+");
        let separator = if methods.is_empty() { "" } else { " " };
        let name = format!("route {}{}{separator}{methods}", route.host, route.path);
        entries.insert(name, table(route));
    }
    for service in &section.service {
        entries.insert(format!("service {}", service.name), table(service));
    }
    for organisation in &section.organisation {
        entries.insert(format!("organisation {}", organisation.name), table(organisation));
    }
}

fn table(value: &impl serde::Serialize) -> Fields {
    let object = serde_json::to_value(value).ok();
    object.and_then(|value| value.as_object().cloned()).unwrap_or_default()
}

fn changed_fields(old: &Fields, new: &Fields) -> Vec<String> {
    let mut names: Vec<&String> = new.keys().chain(old.keys()).collect();
    names.sort();
    names.dedup();
    let is_key = |name: &&String| KEY_FIELDS.contains(&name.as_str());
    let (_, plain): (Vec<&String>, Vec<&String>) = names.into_iter().partition(is_key);
    let mut fields: Vec<String> = plain
        .into_iter()
        .filter(|name| old.get(*name) != new.get(*name))
        .map(|name| format!("{name} {} -> {}", text(old.get(name)), text(new.get(name))))
        .collect();
    let (before, after) = (key_hashes(old), key_hashes(new));
    let added = after.iter().filter(|hash| !before.contains(hash)).count();
    let removed = before.iter().filter(|hash| !after.contains(hash)).count();
    if added + removed > 0 {
        fields.push(format!("keys {added} added, {removed} removed"));
    }
    fields
}

fn text(value: Option<&serde_json::Value>) -> String {
    let value = value.filter(|value| !value.is_null());
    value.map_or_else(|| NONE.to_owned(), ToString::to_string)
}

fn key_hashes(table: &Fields) -> Vec<&str> {
    let values = KEY_FIELDS.iter().filter_map(|field| table.get(*field));
    let lists = values.flat_map(|value| match value {
        serde_json::Value::Array(values) => values.iter().collect(),
        single => vec![single],
    });
    lists.filter_map(serde_json::Value::as_str).filter(|hash| !hash.is_empty()).collect()
}

#[cfg(test)]
mod tests;
