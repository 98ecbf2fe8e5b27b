//! Tests of the differences between documents.

use super::*;
use crate::policy::organisation;

const OLD: &str = "team = 't'
[[service]]
name = 's'
[[service]]
name = 'old'
[[route]]
service = 's'
host = 'shop.example'
path = '/'
";
const NEW: &str = "team = 't'
[[service]]
name = 's'
[[service]]
name = 'new'
[[route]]
service = 'new'
host = 'shop.example'
path = '/'
methods = ['GET']
[[route]]
service = 's'
host = 'shop.example'
path = '/'
deadline = '2s'
";

fn document(text: &str) -> document::Document {
    document::Document::new([section::Section::parse(text).expect("the section is valid")])
}

fn lines(old: &document::Document, new: &document::Document) -> Vec<String> {
    compare(old, new).iter().map(ToString::to_string).collect()
}

#[test]
fn entries_are_compared_by_name_and_method() {
    let changes = lines(&document(OLD), &document(NEW));
    let expected = [
        "added route shop.example/ GET",
        "changed route shop.example/: deadline \"10s\" -> \"2s\"",
        "added service new",
        "removed service old",
    ];
    assert_eq!(changes, expected);
}

#[test]
fn equal_documents_have_no_changes() {
    assert!(lines(&document(NEW), &document(NEW)).is_empty());
}

/// Guards against hashes of keys in the output of the command line tool.
#[test]
fn changed_keys_are_counted_and_not_shown() {
    let with_keys = |keys: &[&str]| {
        let key_hashes = keys.iter().map(|key| organisation::hash_key(key)).collect();
        let organisation =
            organisation::Organisation { name: "o".into(), key_hashes, ..Default::default() };
        let section = section::Section { organisation: vec![organisation], ..Default::default() };
        document::Document::new([section])
    };
    let changes = lines(&with_keys(&["a", "b"]), &with_keys(&["b", "c", "d"]));
    assert_eq!(changes, ["changed organisation o: keys 2 added, 1 removed"]);
}

/// Guards against changes that are hidden by a size that TOML cannot hold.
#[test]
fn changed_limits_of_callers_are_shown() {
    let old = document::Document::default();
    let mut new = document::Document::default();
    new.limits.head_size = 1000;
    assert_eq!(lines(&old, &new), ["changed limits of callers: head-size 65536 -> 1000"]);
}
