//! Tests of the findings about valid sections.

use test_case::test_case;

use super::*;

const SECTION: &str = "team = 't'
[[service]]
name = 's'
floor = 8
[[route]]
service = 's'
host = 'shop.example'
path = '/'
";

fn find_in(text: &str, pools: &Pools) -> Vec<(String, Reason)> {
    let section = section::Section::parse(text).expect("the section is valid");
    find(&section, pools).into_iter().map(|finding| (finding.key, finding.reason)).collect()
}

/// Guards against contradictions that are accepted silently and found in production.
#[test_case("objective = '20s'", "route[0].deadline", Reason::DeadlineBelowObjective; "deadline below objective")]
#[test_case("deadline = '500ms'", "route[0].deadline", Reason::WaitAboveDeadline; "wait above deadline")]
#[test_case("public = false", "route[0].public", Reason::NoKeyForRoute; "no key")]
#[test_case("methods = ['CONNECT']", "route[0].path", Reason::UnmatchableRoute; "rejected method")]
#[test_case("[[route]]\nservice = 's'\nhost = 'shop.example'\npath = '/a?b'", "route[1].path", Reason::UnmatchableRoute; "query in a path")]
#[test_case("[[service]]\nname = 'idle'", "service[1].name", Reason::UnusedService; "service without route")]
#[test_case("[[service]]\nname = 'x'\n[[route]]\nhost = 'h'\nsplit = [{ service = 's', weight = 1 }, { service = 'x', weight = 0 }]", "route[1].split", Reason::ZeroWeight; "split part of weight zero")]
#[test_case("[[service]]\nname = 'x'\nretry-ratio = 0.0\n[[route]]\nhost = 'h'\nservice = 'x'", "route[1].attempts", Reason::AttemptsWithoutRetries; "attempts without retries")]
fn an_entry_that_cannot_work_is_found(extra: &str, key: &str, reason: Reason) {
    let found = find_in(&format!("{SECTION}{extra}\n"), &Pools::default());
    assert_eq!(found, [(key.to_owned(), reason)]);
}

#[test_case(7, true; "floor above the pool")]
#[test_case(8, false; "floor equals the pool")]
fn a_floor_is_compared_with_the_pool(slots: u32, is_found: bool) {
    let found = find_in(SECTION, &Pools::from([("s".into(), slots)]));
    assert_eq!(found == [("service[0].floor".to_owned(), Reason::FloorAbovePool)], is_found);
}

/// Routes with the same path are rejected in a section, but documents of other sources may have
/// them.
#[test]
fn a_route_that_an_earlier_one_covers_is_found() {
    let route = route::Route { service: "s".into(), host: "h".into(), ..Default::default() };
    let narrow = route::Route { methods: vec!["GET".into()], ..route.clone() };
    let service = service::Service { name: "s".into(), ..Default::default() };
    let section = section::Section {
        service: vec![service],
        route: vec![route.clone(), narrow, route],
        ..Default::default()
    };
    let found = find(&section, &Pools::default());
    let reasons: Vec<_> = found.iter().map(|f| (f.key.as_str(), f.reason)).collect();
    assert_eq!(reasons, [("route[2].path", Reason::ShadowedRoute)]);
}

#[test]
fn an_organisation_without_keys_is_found() {
    let organisation = organisation::Organisation { name: "o".into(), ..Default::default() };
    let section = section::Section { organisation: vec![organisation], ..Default::default() };
    assert_eq!(find(&section, &Pools::default())[0].reason, Reason::OrganisationWithoutKey);
}
