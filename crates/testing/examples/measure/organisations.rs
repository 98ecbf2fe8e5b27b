//! Time and memory of policies with the organisations of the design size.

use std::time;

use lynxmast_state::clock;
use lynxmast_state::member;
use lynxmast_state::policy::document;
use lynxmast_state::policy::organisation;
use lynxmast_state::policy::route;
use lynxmast_state::policy::section;
use lynxmast_state::policy::service;
use lynxmast_state::router;
use lynxmast_state::shared_state;

use crate::process;
use crate::report;

const ORGANISATIONS: usize = 57_000;
const SERVICES: usize = 370;
const KEYS_PER_ORGANISATION: usize = 2;
/// Repetitions of each change; the figure is their median.
const REPETITIONS: u64 = 9;

/// Change of a section; the number differs between calls.
type Change = fn(&mut section::Section, u64);

/// Measures the first load of a policy, and loads after a change of one key, of one route, and of
/// nothing but the version.
pub fn measure() {
    let before = process::resident_bytes();
    let document = document();
    let document_bytes = process::resident_bytes() - before;
    report::figure("organisations.document", mb(document_bytes), "MB");
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let addresses = member::Addresses { sidecar: address, control: address, admin: address };
    let own = member::Record::new("d0".into(), 1, "a".into(), addresses);
    let shared = shared_state::SharedState::new(own, router::Balance::LoadSeen, clock::SystemClock);
    let started = time::Instant::now();
    shared.update_policy(|reducer| {
        (reducer.version, reducer.next) = (1, 1);
        reducer.document = document;
    });
    report::figure("organisations.first-load", millis(started.elapsed()), "ms");
    let loaded = process::resident_bytes() - before;
    report::figure("organisations.loaded", mb(loaded), "MB");
    let mut version = 1;
    let changes: [(&str, Change); 3] = [
        ("key", |section, n| {
            let key_hashes = vec![organisation::hash_key(&format!("new-{n}"))];
            section.organisation[n as usize].key_hashes = key_hashes;
        }),
        ("route", |section, n| section.route[0].rank = n as u32),
        ("nothing", |_, _| {}),
    ];
    for (name, change) in changes {
        let mut durations: Vec<_> = (0..REPETITIONS)
            .map(|_| {
                version += 1;
                let started = time::Instant::now();
                shared.update_policy(|reducer| {
                    (reducer.version, reducer.next) = (version, version);
                    change(&mut reducer.document.sections[0], version);
                });
                started.elapsed()
            })
            .collect();
        durations.sort();
        let median = durations[durations.len() / 2];
        report::figure(&format!("organisations.change-of-{name}"), millis(median), "ms");
    }
    let peak = process::resident_bytes() - before;
    report::figure("organisations.after-changes", mb(peak), "MB");
    let policy = shared.policy();
    let key = format!("key-{}-1", ORGANISATIONS - 1);
    let started = time::Instant::now();
    const LOOKUPS: u32 = 100_000;
    for _ in 0..LOOKUPS {
        let found = policy.match_request("s0.example", "/", "GET", Some(&key));
        assert!(found.is_ok(), "a known key");
    }
    let each = started.elapsed() / LOOKUPS;
    report::figure("organisations.lookup", each.as_secs_f64() * 1e6, "us");
}

fn document() -> document::Document {
    let service = |n| service::Service { name: format!("s{n}").into(), ..Default::default() };
    let route = |n| route::Route {
        service: format!("s{n}").into(),
        host: format!("s{n}.example"),
        public: false,
        ..Default::default()
    };
    let hash = |n, key| organisation::hash_key(&format!("key-{n}-{key}"));
    let organisation = |n| organisation::Organisation {
        name: format!("organisation-{n}").into(),
        key_hashes: (0..KEYS_PER_ORGANISATION).map(|key| hash(n, key)).collect(),
        rate: Some(10.0),
        ..Default::default()
    };
    document::Document::new([section::Section {
        team: "t".into(),
        service: (0..SERVICES).map(service).collect(),
        route: (0..SERVICES).map(route).collect(),
        organisation: (0..ORGANISATIONS).map(organisation).collect(),
        ..Default::default()
    }])
}

fn millis(duration: time::Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

fn mb(bytes: u64) -> f64 {
    bytes as f64 / 1e6
}
