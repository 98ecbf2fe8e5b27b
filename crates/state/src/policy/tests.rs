//! Tests of section parsing, document validation, the reducer and the compiled policy.

use test_case::test_case;

use crate::outcome;
use crate::policy::compiled;
use crate::policy::document;
use crate::policy::edit;
use crate::policy::organisation;
use crate::policy::reducer;
use crate::policy::section;
use crate::policy::signature;

const VALID: &str = "team = 't'
[[service]]
name = 's'
[[route]]
service = 's'
host = 'shop.example'
path = '/'
idempotent = true
[[route]]
service = 's'
host = 'shop.example'
path = '/checkout'
methods = ['POST']
public = false
";

/// Checks that `extra`, appended to a valid section, gives exactly one problem, at `key` and
/// `line`.
fn check_problem(extra: &str, key: &str, line: usize) {
    let text = format!("{VALID}{extra}");
    let problems = section::Section::parse(&text).expect_err("the section is invalid");
    let found: Vec<_> = problems.iter().map(|p| (p.key.as_str(), p.line)).collect();
    assert_eq!(found, [(key, Some(line))], "{problems:?}");
}

#[test_case("[[service]]\nname = 'x'\nslots = 0\n", "service[1].slots", 17; "zero slots")]
#[test_case("[[service]]\nname = 'x'\nslots = 4\nconnections = 2\n", "service[1].connections", 18; "fewer connections than slots")]
#[test_case("[[service]]\nname = 'x'\nflor = 3\n", "service[1].flor", 17; "unknown key")]
#[test_case("[[service]]\nname = 'x'\nramp = 'soon'\n", "service[1].ramp", 17; "invalid duration")]
#[test_case("[[service]]\nname = 'x'\npreset = 'quick'\n", "service[1].preset", 17; "unknown preset")]
#[test_case("[[service]]\nname = 'x'\ntransfer-cost = -1.0\n", "service[1].transfer-cost", 17; "negative transfer cost")]
#[test_case("[[service]]\nname = 'x'\ntransfer-cost = 3601.0\n", "service[1].transfer-cost", 17; "transfer cost above the range")]
#[test_case("[[service]]\nname = 'x'\ntransfer-cost = nan\n", "service[1].transfer-cost", 17; "transfer cost that is no number")]
#[test_case("[[route]]\nservice = 'y'\nhost = 'h'\n", "route[2].service", 16; "unknown service")]
#[test_case("[[route]]\nservice = 's'\nhost = 'H:80'\n", "route[2].host", 17; "host with port")]
#[test_case("[[route]]\nservice = 's'\nhost = 'shop.example'\npath = '/checkout'\nmethods = ['POST']\n", "route[2].path", 18; "duplicate route")]
#[test_case("[[organisation]]\nname = 'o'\nkey-hash = 'abc'\n", "organisation[0].key-hash", 17; "invalid key hash")]
#[test_case("[[organisation]]\nkey-hash = '0000000000000000000000000000000000000000000000000000000000000000'\n", "organisation[0].name", 15; "missing name")]
fn problems_have_key_and_line(extra: &str, key: &str, line: usize) {
    check_problem(extra, key, line);
}

fn edit(id: &str, team: &str, base: u64, text: &str) -> edit::Edit {
    let (id, team, text) = (id.into(), team.into(), text.into());
    edit::Edit { id, team, base, text, signature: String::new() }
}

fn section_text(team: &str, service: &str) -> String {
    format!("team = '{team}'\n[[service]]\nname = '{service}'\n")
}

#[test]
fn of_two_concurrent_edits_of_a_section_the_second_gets_a_conflict() {
    let mut reducer = reducer::Reducer::default();
    let first = reducer.apply(0, &edit("a", "t", 0, &section_text("t", "x")));
    assert_eq!(first, Some(edit::Verdict::Accepted { version: 1 }));
    let second = reducer.apply(1, &edit("b", "t", 0, &section_text("t", "y")));
    assert_eq!(second, Some(edit::Verdict::Conflict { newest: 1 }));
    let third = reducer.apply(2, &edit("c", "t", 1, &section_text("t", "y")));
    assert_eq!(third, Some(edit::Verdict::Accepted { version: 3 }));
}

#[test]
fn section_with_the_service_name_of_another_team_is_rejected() {
    let mut reducer = reducer::Reducer::default();
    reducer.apply(0, &edit("a", "t", 0, &section_text("t", "x")));
    let verdict = reducer.apply(1, &edit("b", "u", 0, &section_text("u", "x")));
    assert!(matches!(verdict, Some(edit::Verdict::Invalid { .. })), "{verdict:?}");
    let verdict = reducer.apply(2, &edit("c", "u", 0, &section_text("u", "y")));
    assert_eq!(verdict, Some(edit::Verdict::Accepted { version: 3 }));
    assert_eq!(reducer.document.sections.len(), 2);
}

#[test]
fn edit_of_another_teams_section_is_rejected() {
    let mut reducer = reducer::Reducer::default();
    let verdict = reducer.apply(0, &edit("a", "t", 0, &section_text("u", "x")));
    assert!(matches!(verdict, Some(edit::Verdict::Invalid { .. })), "{verdict:?}");
}

#[test]
fn records_below_the_next_offset_are_ignored() {
    let mut reducer = reducer::Reducer::default();
    reducer.apply(4, &edit("a", "t", 0, &section_text("t", "x")));
    let before = reducer.clone();
    assert_eq!(reducer.apply(3, &edit("b", "t", 5, &section_text("t", "y"))), None);
    assert_eq!(reducer, before);
}

fn compiled_policy() -> compiled::CompiledPolicy {
    let hash = organisation::hash_key("key");
    let extra = format!("[[organisation]]\nname = 'o'\nkey-hash = '{hash}'\nrate = 5.0\n");
    let mut reducer = reducer::Reducer::default();
    reducer.apply(0, &edit("a", "t", 0, &format!("{VALID}{extra}")));
    let other =
        "team = 'u'\n[[service]]\nname = 'z'\n[[route]]\nservice = 'z'\nhost = 'z.example'\n";
    reducer.apply(1, &edit("b", "u", 0, other));
    compiled::CompiledPolicy::compile(reducer.version, &reducer.document, 0)
}

#[test_case("shop.example", "/", "GET", None, Ok((true, "public")); "public route")]
#[test_case("shop.example", "/checkout", "GET", None, Ok((true, "public")); "method of the longer path does not match")]
#[test_case("shop.example", "/checkout", "POST", Some("key"), Ok((false, "o")); "longest path, with key")]
#[test_case("shop.example", "/checkout", "POST", None, Err(outcome::Rejection::UnknownKey); "missing key")]
#[test_case("shop.example", "/", "GET", Some("guess"), Err(outcome::Rejection::UnknownKey); "unknown key")]
#[test_case("z.example", "/", "GET", Some("key"), Err(outcome::Rejection::Forbidden); "key of another team")]
#[test_case("other.example", "/", "GET", None, Err(outcome::Rejection::NoRoute); "unknown host")]
fn requests_match_the_route_and_organisation_of_the_policy(
    host: &str,
    path: &str,
    method: &str,
    key: Option<&str>,
    expected: Result<(bool, &str), outcome::Rejection>,
) {
    let matched = compiled_policy().match_request(host, path, method, key);
    let matched = matched.map(|found| (found.route.idempotent, found.organisation.to_string()));
    assert_eq!(matched, expected.map(|(idempotent, name)| (idempotent, name.to_owned())));
}

fn signed(key: &signature::TeamKey, mut edit: edit::Edit) -> edit::Edit {
    key.sign(&mut edit);
    edit
}

#[test]
fn section_with_keys_is_changed_only_by_edits_signed_with_them() {
    let (own, other) = (signature::TeamKey::new([1; 32]), signature::TeamKey::new([2; 32]));
    let text = |key: &signature::TeamKey| format!("team = 't'\nkeys = ['{}']\n", key.public_hex());
    let mut reducer = reducer::Reducer::default();
    let mut check = |offset, edit, accepted| {
        let verdict = reducer.apply(offset, &edit);
        let is_accepted = matches!(verdict, Some(edit::Verdict::Accepted { .. }));
        assert_eq!(is_accepted, accepted, "{offset}: {verdict:?}");
    };
    check(0, edit("a", "t", 0, &text(&own)), false);
    check(1, signed(&own, edit("b", "t", 0, &text(&own))), true);
    check(2, edit("c", "t", 2, "team = 't'"), false);
    check(3, signed(&other, edit("d", "t", 2, &text(&other))), false);
    let mut altered = signed(&own, edit("e", "t", 2, &text(&own)));
    altered.text = text(&other);
    check(4, altered, false);
    check(5, signed(&own, edit("f", "t", 2, &text(&other))), true);
    check(6, signed(&own, edit("g", "t", 6, &text(&own))), false);
    check(7, signed(&other, edit("h", "t", 6, &text(&own))), true);
}

/// Returns the share of part `a` among the requests that a fleet of `daemons` daemons, each with its
/// own seed, splits in the ratio 7 to 3, if each gets `requests` requests.
fn share_of_part(daemons: u64, requests: u32) -> f64 {
    let text = "team = 't'
[[service]]
name = 'a'
[[service]]
name = 'b'
[[route]]
host = 'shop.example'
split = [{ service = 'a', weight = 7 }, { service = 'b', weight = 3 }]
";
    let section = section::Section::parse(text).expect("the section is valid");
    let document = document::Document::new([section]);
    let selects_a = |policy: &compiled::CompiledPolicy| {
        let matching = policy.match_request("shop.example", "/", "GET", None);
        &*matching.expect("the route matches").service.name == "a"
    };
    let selected = (0..daemons).map(|seed| {
        let policy = compiled::CompiledPolicy::compile(1, &document, seed);
        (0..requests).filter(|_| selects_a(&policy)).count()
    });
    selected.sum::<usize>() as f64 / (daemons * u64::from(requests)) as f64
}

// Pattern: a new version or a restart of all daemons, each of which gets few requests of a route.
#[test_case(235, 1; "first request at each of many daemons")]
#[test_case(235, 2; "two requests at each of many daemons")]
#[test_case(27, 10; "ten requests at each of a few daemons")]
#[test_case(1, 300; "many requests at one daemon")]
fn the_parts_of_a_split_route_get_their_shares(daemons: u64, requests: u32) {
    let share = share_of_part(daemons, requests);
    assert!((0.62..=0.78).contains(&share), "{share}");
}

const KEY: &str = "k-5ecret";

/// Returns a document with three routes and two organisations, of which `first` has `keys`.
fn organisations_document(keys: &[&str], first_rank: Option<u32>) -> document::Document {
    let hashes = |keys: &[&str]| keys.iter().map(|key| organisation::hash_key(key)).collect();
    let text = "team = 't'
[[service]]
name = 's'
[[route]]
service = 's'
host = 'h'
path = '/closed'
public = false
rank = 5
[[route]]
service = 's'
host = 'h'
path = '/open'
rank = 5
[[route]]
service = 's'
host = 'h'
path = '/any'
any-key = true
rank = 5
";
    let mut section = section::Section::parse(text).expect("the section is valid");
    let first = organisation::Organisation {
        name: "first".into(),
        key_hashes: hashes(keys),
        rank: first_rank,
        ..Default::default()
    };
    let second = organisation::Organisation {
        name: organisation::PUBLIC.into(),
        key_hashes: hashes(&["other"]),
        ..Default::default()
    };
    section.organisation = vec![first, second];
    document::Document::new([section])
}

// Guards against an organisation that gets the rank of the route, and against keys that are
// accepted or ignored on the wrong kind of route.
#[test_case("/closed", Some("a"), Ok(("first", true, 1)); "rank of the organisation")]
#[test_case("/closed", Some("b"), Ok(("first", true, 1)); "second key")]
#[test_case("/closed", Some("other"), Ok(("public", true, 5)); "rank of the route, reserved name")]
#[test_case("/closed", Some("x"), Err(outcome::Rejection::UnknownKey); "unknown key")]
#[test_case("/closed", Some(""), Err(outcome::Rejection::UnknownKey); "empty key")]
#[test_case("/closed", None, Err(outcome::Rejection::UnknownKey); "no key")]
#[test_case("/open", Some("a"), Ok(("first", true, 1)); "known key on a public route")]
#[test_case("/open", Some("x"), Err(outcome::Rejection::UnknownKey); "unknown key on a public route")]
#[test_case("/open", None, Ok(("public", false, 5)); "no key on a public route")]
#[test_case("/any", Some("a"), Ok(("first", true, 1)); "known key where any is accepted")]
#[test_case("/any", Some("x"), Ok(("public", false, 5)); "unknown key where any is accepted")]
#[test_case("/any", None, Ok(("public", false, 5)); "no key where any is accepted")]
fn keys_and_ranks_follow_the_route_and_the_organisation(
    path: &str,
    key: Option<&str>,
    expected: Result<(&str, bool, u32), outcome::Rejection>,
) {
    let document = organisations_document(&["a", "b"], Some(1));
    let policy = compiled::CompiledPolicy::compile(1, &document, 0);
    let found = policy.match_request("h", path, "GET", key);
    let found = found.map(|m| (m.organisation.to_string(), m.has_organisation(), m.rank));
    assert_eq!(found, expected.map(|(name, has_key, rank)| (name.to_owned(), has_key, rank)));
}

// Guards against withdrawn keys that remain in an index which versions share, and against a change
// of one key that compiles the routes and the other organisations again.
#[test]
fn a_changed_key_shares_all_else_with_the_previous_version() {
    let old = compiled::CompiledPolicy::compile(1, &organisations_document(&["a"], None), 0);
    let new = old.recompile(2, &organisations_document(&["b"], None), 7);
    let find = |policy: &compiled::CompiledPolicy, key| {
        policy.match_request("h", "/closed", "GET", Some(key))
    };
    assert!(find(&old, "a").is_ok() && find(&old, "b").is_err());
    assert!(find(&new, "a").is_err() && find(&new, "b").is_ok());
    let (before, after) = (find(&old, "other"), find(&new, "other"));
    let (before, after) = (before.expect("a known key"), after.expect("a known key"));
    assert!(std::sync::Arc::ptr_eq(&before.route, &after.route), "routes are not compiled again");
    assert!(std::sync::Arc::ptr_eq(&before.service, &after.service));
    let unchanged = new.recompile(3, &organisations_document(&["b"], None), 8);
    assert_eq!(unchanged.shared_entries(&new), 2);
    assert_eq!(new.shared_entries(&old), 1, "only the changed organisation is new");
    let mut changed = organisations_document(&["b"], None);
    changed.sections[0].route[0].rank = 6;
    let changed = new.recompile(4, &changed, 9);
    assert_eq!(find(&changed, "other").expect("a known key").rank, 6);
}

// Guards against keys and hashes in messages to operators and in verdicts, which all daemons keep.
#[test_case("key-hash = 'KEY'"; "key instead of its hash")]
#[test_case("key-hashes = 'HASH'"; "hashes that are no list")]
#[test_case("key-hashes = ['HASH', 'HASH']"; "repeated hash")]
#[test_case("key-hashes = [['HASH']]"; "hash in a list")]
#[test_case("key-hash = 'HASH'\n[[organisation]]\nname = 'p'\nkey-hash = 'HASH'"; "key of two organisations")]
#[test_case("key-hash = 'HASH'\n[[organisation]]\nname = 'o'\nkey-hash = '0'"; "duplicate organisation")]
#[test_case("key-hash = 'HASH'\nrank = -1"; "negative rank")]
#[test_case("key-hash = 'HASH'\nrank = 0.5"; "fractional rank")]
#[test_case("key-hash = 'HASH'\nrate = -1.0"; "negative rate")]
#[test_case("key-hash = 'HASH'\nburst = 2.0"; "burst without rate")]
#[test_case("key-hash = 'HASH' 'KEY'"; "syntax")]
fn invalid_organisations_are_rejected_without_naming_a_key(lines: &str) {
    let hash = organisation::hash_key(KEY);
    let lines = lines.replace("HASH", &hash).replace("KEY", KEY);
    let text = format!("{VALID}[[organisation]]\nname = 'o'\n{lines}\n");
    let verdict = reducer::Reducer::default().apply(0, &edit("a", "t", 0, &text));
    let Some(edit::Verdict::Invalid { problems }) = verdict else { panic!("{verdict:?}") };
    let message = problems.join("\n");
    assert!(!message.contains(KEY) && !message.contains(&hash), "{message}");
}

// Guards against indexes that differ from those of the document after many changes: keys that move
// between organisations, and organisations that are added, renamed or removed.
#[test]
fn recompiled_policies_accept_exactly_the_keys_of_their_document() {
    let mut document = organisations_document(&[], None);
    let mut policy = compiled::CompiledPolicy::default();
    // Each step lists the organisations with their keys.
    let steps: [&[(&str, &[&str])]; 7] = [
        &[("a", &["1", "2"]), ("b", &["3"])],
        &[("a", &["3"]), ("b", &["1"])],
        &[("b", &["1"]), ("c", &["3", "4"])],
        &[("c", &["4"]), ("b", &["1"]), ("d", &["2"])],
        &[],
        &[("a", &["1", "2", "3", "4"])],
        &[("e", &["1", "2", "3", "4"])],
    ];
    for (version, step) in (1..).zip(steps) {
        let organisation = |(name, keys): &(&str, &[&str])| organisation::Organisation {
            name: (*name).into(),
            key_hashes: keys.iter().map(|key| organisation::hash_key(key)).collect(),
            ..Default::default()
        };
        document.sections[0].organisation = step.iter().map(organisation).collect();
        policy = policy.recompile(version, &document, version);
        for key in ["1", "2", "3", "4"] {
            let owner = step.iter().find(|(_, keys)| keys.contains(&key)).map(|(name, _)| *name);
            let found = policy.match_request("h", "/closed", "GET", Some(key));
            let found = found.ok().map(|found| found.organisation.to_string());
            assert_eq!(found.as_deref(), owner, "key {key} in version {version}");
        }
        assert_eq!(policy.has_organisations(), !step.is_empty());
    }
}
