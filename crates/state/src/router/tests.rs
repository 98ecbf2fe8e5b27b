//! Tests of the choice of upstreams.

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::*;

fn address(n: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 80))
}

fn candidate(n: usize, domain: &str) -> Candidate {
    Candidate {
        id: ids::UpstreamId { service: "s".into(), address: address(n) },
        daemon: format!("d{n}").as_str().into(),
        gate: address(n + 5000),
        domain: domain.into(),
        slots: 4,
        daemon_start: 1,
        incarnation: 1,
    }
}

fn router(domains: &[&str]) -> Router {
    let mut router = Router::new("own".into(), "a".into(), Balance::LoadSeen);
    let all = domains.iter().enumerate();
    router.sync(all.map(|(n, domain)| candidate(n, domain)).collect());
    let now = time::Instant::now();
    for n in 0..domains.len() {
        let load = load::Load { in_use: 0, queued: 0, slots: 4 };
        router.saw_load(&candidate(n, "").id, load, now);
    }
    router
}

fn want(now: time::Instant) -> Want<'static> {
    Want { service: "s", floor: 0, floor_share: 0.0, repeatable: true, size: 0, tried: &[], now }
}

/// Picks `count` times without ending the requests and counts by upstream.
fn spread(router: &mut Router, count: usize, want: &Want<'_>) -> Vec<usize> {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut counts = vec![0; 16];
    for _ in 0..count {
        let picked = router.pick(want, &mut rng).expect("an upstream");
        counts[(0..16).position(|n| address(n) == picked.id.address).expect("known")] += 1;
    }
    counts
}

/// Sends 1000 requests one after the other to four upstreams that end them as `report` says, and
/// counts by upstream.
fn serve(report: impl Fn(usize) -> Report) -> [usize; 4] {
    let mut router = router(&["a"; 4]);
    let mut rng = SmallRng::seed_from_u64(7);
    let now = time::Instant::now();
    let mut counts = [0; 4];
    for _ in 0..1000 {
        let picked = router.pick(&want(now), &mut rng).expect("an upstream");
        let index = (0..4).position(|n| address(n) == picked.id.address).expect("known");
        counts[index] += 1;
        router.ended(&picked.id, report(index), now);
    }
    counts
}

fn answered(took_ms: u64, is_error: bool) -> Report {
    Report::Answered { took: time::Duration::from_millis(took_ms), is_error }
}

#[test]
fn the_own_failure_domain_is_filled_first() {
    let mut router = router(&["a", "a", "b", "b"]);
    let counts = spread(&mut router, 8, &want(time::Instant::now()));
    assert_eq!(counts[2] + counts[3], 0, "{counts:?}");
    let counts = spread(&mut router, 8, &want(time::Instant::now()));
    assert!(counts[2] + counts[3] >= 6, "spills over when full: {counts:?}");
}

#[test]
fn a_slow_upstream_gets_little() {
    let counts = serve(|index| answered(if index == 0 { 100 } else { 10 }, false));
    assert!(counts[0] < 20, "{counts:?}");
}

#[test]
fn a_slow_upstream_is_tried_again_in_time() {
    let mut router = router(&["a", "a"]);
    let now = time::Instant::now();
    let mut rng = SmallRng::seed_from_u64(7);
    for n in 0..2 {
        let id = candidate(n, "").id;
        let took = time::Duration::from_millis(if n == 0 { 100 } else { 10 });
        router.pick(&want(now), &mut rng);
        router.ended(&id, Report::Answered { took, is_error: false }, now);
    }
    let later = now + BLAME_HALF_LIFE * 12;
    let counts = spread(&mut router, 8, &want(later));
    assert!(counts[0] > 0, "{counts:?}");
}

#[test]
fn unusable_upstreams_are_avoided_but_not_below_the_floor() {
    let mut router = router(&["a", "a", "a"]);
    let now = time::Instant::now();
    for n in 0..2 {
        assert!(router.ended(&candidate(n, "").id, Report::Unusable, now));
    }
    let free = want(now);
    assert_eq!(spread(&mut router, 6, &free)[..3], [0, 0, 6]);
    let floored = Want { floor: 8, ..free };
    let counts = spread(&mut router, 12, &floored);
    assert!(counts.iter().filter(|&&count| count > 0).count() == 2, "{counts:?}");
}

#[test]
fn tried_upstreams_are_not_picked_again() {
    let mut router = router(&["a", "a"]);
    let now = time::Instant::now();
    let tried = [address(0)];
    let second = Want { tried: &tried, ..want(now) };
    assert_eq!(spread(&mut router, 4, &second)[..2], [0, 4]);
    let all = [address(0), address(1)];
    let third = Want { tried: &all, ..want(now) };
    assert_eq!(router.pick(&third, &mut SmallRng::seed_from_u64(1)), None);
}

#[test]
fn large_services_get_a_subset_over_all_domains() {
    let domains: Vec<&str> = (0..100).map(|n| ["a", "b", "c"][n % 3]).collect();
    let router = router(&domains);
    let kept = router.candidates("s");
    assert_eq!(kept.len(), SUBSET_MAX);
    for domain in ["a", "b", "c"] {
        let count = kept.iter().filter(|candidate| &*candidate.domain == domain).count();
        assert!((10..=11).contains(&count), "{domain}: {count}");
    }
}

#[test]
fn a_restarted_upstream_starts_without_a_past() {
    let mut router = router(&["a", "a"]);
    let now = time::Instant::now();
    router.ended(&candidate(0, "").id, Report::Unusable, now);
    let restarted = Candidate { incarnation: 2, ..candidate(0, "a") };
    router.sync(vec![restarted, candidate(1, "a")]);
    let counts = spread(&mut router, 4, &want(now));
    assert!(counts[0] > 0, "{counts:?}");
}

#[test]
fn an_upstream_that_fails_fast_attracts_nothing() {
    let counts = serve(|index| match index {
        0 => answered(1, true),
        1 => Report::Failed,
        _ => answered(20, false),
    });
    assert!(counts[0] + counts[1] < 40, "{counts:?}");
}

#[test]
fn an_upstream_that_never_answers_gets_little() {
    let after = time::Duration::from_millis(200);
    let counts = serve(|index| match index {
        0 => Report::GivenUp { after },
        _ => answered(20, false),
    });
    assert!(counts[0] < 20, "{counts:?}");
}

#[test]
fn a_large_body_stays_in_its_failure_domain_while_a_small_one_spreads() {
    let mut rng = SmallRng::seed_from_u64(7);
    let now = time::Instant::now();
    let far_share = |size: u64, rng: &mut SmallRng| {
        let mut router = Router::new("d0".into(), "a".into(), Balance::LoadSeen);
        router.sync(vec![candidate(1, "a"), candidate(2, "b"), candidate(3, "b")]);
        // The near one takes longer, but not so long that it is left out.
        for number in [1, 2, 3] {
            let id = candidate(number, "a").id;
            let took = time::Duration::from_millis(if number == 1 { 100 } else { 40 });
            for _ in 0..20 {
                router.ended(&id, Report::Answered { took, is_error: false }, now);
            }
        }
        let picks = (0..200).filter_map(|_| {
            let picked = router.pick(&Want { size, ..want(now) }, rng)?;
            router.ended(&picked.id, Report::Refused, now);
            Some(&*picked.domain == "b")
        });
        picks.filter(|is_far| *is_far).count() as f64 / 200.0
    };
    assert!(far_share(0, &mut rng) > 0.9);
    assert!(far_share(60_000, &mut rng) < 0.1);
}
