//! Tests of `check` without a daemon.

use lynxmast_state::policy::reducer;
use proptest::prelude::*;

use super::*;

/// Returns a section of team `team` whose values may be valid or invalid.
fn section_text() -> impl Strategy<Value = String> {
    let hash = prop_oneof![Just("a".repeat(64)), Just("b".repeat(64)), Just("short".to_owned())];
    let service = ("[ab]", 0_u32..3, -1.0_f64..2.0);
    let route = ("[abc]", "[gh]", prop_oneof![Just("/"), Just("/x"), Just("x")], any::<bool>());
    let organisation = ("[op]", hash, -1.0_f64..3.0);
    let services = prop::collection::vec(service, 0..3);
    let routes = prop::collection::vec(route, 0..3);
    let organisations = prop::collection::vec(organisation, 0..3);
    ("[tu]", services, routes, organisations).prop_map(
        |(team, services, routes, organisations)| {
            let mut text = format!("team = '{team}'\n");
            for (name, slots, ratio) in services {
                text += &format!(
                    "[[service]]\nname = '{name}'\nslots = {slots}\nretry-ratio = {ratio:?}\n"
                );
            }
            for (service, host, path, public) in routes {
                text += &format!(
                    "[[route]]\nservice = '{service}'\nhost = '{host}'\npath = '{path}'\npublic = {public}\n"
                );
            }
            for (name, hash, rate) in organisations {
                text += &format!(
                    "[[organisation]]\nname = '{name}'\nkey-hash = '{hash}'\nrate = {rate:?}\n"
                );
            }
            text
        },
    )
}

proptest! {
    /// Guards against sections that pass the check and are rejected by the daemons, and the reverse.
    #[test]
    fn the_daemons_accept_exactly_the_sections_that_pass(
        texts in prop::collection::vec(section_text(), 1..3),
    ) {
        let mut reducer = reducer::Reducer::default();
        let mut document = document::Document::default();
        for (offset, text) in texts.iter().enumerate() {
            let mut lines = Vec::new();
            add_section(&mut document, "file", text, &mut lines);
            let passes = lines.iter().all(|line| line.kind != "error");
            let team = if text.starts_with("team = 't'") { "t" } else { "u" };
            let edit = edit::Edit {
                id: offset.to_string(),
                team: team.into(),
                base: reducer.versions.get(team).copied().unwrap_or(0),
                text: text.clone(),
                signature: String::new(),
            };
            let verdict = reducer.apply(offset as u64, &edit);
            let is_accepted = matches!(verdict, Some(edit::Verdict::Accepted { .. }));
            prop_assert_eq!(passes, is_accepted, "{:?} {:?}", verdict, text);
        }
    }
}

#[test]
fn errors_name_file_line_and_key() {
    let mut lines = Vec::new();
    let text = "team = 't'\n[[service]]\nname = 's'\nslots = 0\n";
    add_section(&mut document::Document::default(), "t.toml", text, &mut lines);
    let texts: Vec<String> = lines.iter().map(Line::to_text).collect();
    assert_eq!(texts, ["error: t.toml: line 4: service[0].slots: 0 is not in the range 1 to 4096"]);
}

/// Guards against the sections of other teams being shown as removed by the edit of one team.
#[test]
fn only_the_changes_of_the_files_teams_are_shown() {
    let parse = |text| section::Section::parse(text).expect("the section is valid");
    let other = parse("team = 'u'\n[[service]]\nname = 'x'\n");
    let old = document::Document::new([parse("team = 't'\n[[service]]\nname = 's'\n"), other]);
    let new = document::Document::new([parse("team = 't'\n[[service]]\nname = 's'\nfloor = 2\n")]);
    let mut lines = Vec::new();
    add_changes(&old, &new, &mut lines);
    let texts: Vec<String> = lines.iter().map(Line::to_text).collect();
    assert_eq!(texts, ["change: changed service s: floor 0 -> 2"]);
}

/// Guards against a section that passes although another team in force uses its host.
#[test]
fn names_of_other_teams_in_force_are_conflicts() {
    let text = "team = 'u'\n[[service]]\nname = 's'\n";
    let parse = |text| section::Section::parse(text).expect("the section is valid");
    let mut in_force = document::Document::new([parse("team = 't'\n[[service]]\nname = 's'\n")]);
    let mut lines = Vec::new();
    assert_eq!(add_section(&mut in_force, "u.toml", text, &mut lines), None);
    assert!(lines[0].to_text().contains("already used by team 't'"), "{}", lines[0].to_text());
}
