//! Tests of upstream selection.

use rand::SeedableRng;
use rand::rngs::SmallRng;
use test_case::test_case;

use super::*;

fn address(n: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 80))
}

fn candidate(n: usize, domain: &str) -> Candidate {
    Candidate {
        id: ids::UpstreamId { service: "s".into(), address: address(n) },
        daemon: format!("d{n}").as_str().into(),
        sidecar: address(n + 5000),
        domain: domain.into(),
        slots: 4,
        daemon_incarnation: 1,
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
        router.record_load(&candidate(n, "").id, load, now);
    }
    router
}

fn criteria(now: time::Instant) -> Criteria<'static> {
    Criteria {
        service: "s",
        floor: 0,
        floor_share: 0.0,
        may_probe: true,
        use_avoided: true,
        body_size: 0,
        response_size: 0,
        transfer_cost: 1.0 / (128.0 * 1024.0),
        objective: None,
        tried: &[],
        now,
    }
}

/// Picks `count` times without recording results and counts the picks by upstream.
fn count_picks(router: &mut Router, count: usize, criteria: &Criteria<'_>) -> Vec<usize> {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut counts = vec![0; 16];
    for _ in 0..count {
        let picked = router.pick(criteria, &mut rng).expect("no upstream picked");
        counts[(0..16)
            .position(|n| address(n) == picked.id.address)
            .expect("picked an unknown upstream")] += 1;
    }
    counts
}

/// Sends 1000 requests one after the other to four upstreams, with results given by `result`, and
/// counts the requests by upstream.
fn count_by_result(result: impl Fn(usize) -> AttemptResult) -> [usize; 4] {
    let mut router = router(&["a"; 4]);
    let mut rng = SmallRng::seed_from_u64(7);
    let now = time::Instant::now();
    let mut counts = [0; 4];
    for _ in 0..1000 {
        let picked = router.pick(&criteria(now), &mut rng).expect("no upstream picked");
        let index = (0..4)
            .position(|n| address(n) == picked.id.address)
            .expect("picked an unknown upstream");
        counts[index] += 1;
        router.record_result(&picked.id, result(index), now);
    }
    counts
}

fn responded(elapsed_ms: u64, is_error: bool) -> AttemptResult {
    AttemptResult::Responded { elapsed: time::Duration::from_millis(elapsed_ms), is_error }
}

#[test]
fn requests_stay_in_their_failure_domain_until_it_is_full() {
    let mut router = router(&["a", "a", "b", "b"]);
    let counts = count_picks(&mut router, 8, &criteria(time::Instant::now()));
    assert_eq!(counts[2] + counts[3], 0, "{counts:?}");
    let counts = count_picks(&mut router, 8, &criteria(time::Instant::now()));
    assert!(counts[2] + counts[3] >= 6, "spills over when full: {counts:?}");
}

#[test]
fn a_slow_upstream_gets_few_requests() {
    let counts = count_by_result(|index| responded(if index == 0 { 100 } else { 10 }, false));
    assert!(counts[0] < 20, "{counts:?}");
}

#[test]
fn a_slow_upstream_is_tried_again_later() {
    let mut router = router(&["a", "a"]);
    let now = time::Instant::now();
    let mut rng = SmallRng::seed_from_u64(7);
    for n in 0..2 {
        let id = candidate(n, "").id;
        let elapsed = time::Duration::from_millis(if n == 0 { 100 } else { 10 });
        router.pick(&criteria(now), &mut rng);
        router.record_result(&id, AttemptResult::Responded { elapsed, is_error: false }, now);
    }
    let later = now + SLOW_HALF_LIFE * 12;
    let counts = count_picks(&mut router, 8, &criteria(later));
    assert!(counts[0] > 0, "{counts:?}");
}

#[test]
fn unavailable_upstreams_are_avoided_but_not_below_the_floor() {
    let mut router = router(&["a", "a", "a"]);
    let now = time::Instant::now();
    for n in 0..2 {
        assert!(router.record_result(&candidate(n, "").id, AttemptResult::Unavailable, now));
    }
    let no_floor = criteria(now);
    assert_eq!(count_picks(&mut router, 6, &no_floor)[..3], [0, 0, 6]);
    let with_floor = Criteria { floor: 8, ..no_floor };
    let counts = count_picks(&mut router, 12, &with_floor);
    assert!(counts.iter().filter(|&&count| count > 0).count() == 2, "{counts:?}");
}

#[test]
fn tried_upstreams_are_not_picked_again() {
    let mut router = router(&["a", "a"]);
    let now = time::Instant::now();
    let tried = [address(0)];
    let second = Criteria { tried: &tried, ..criteria(now) };
    assert_eq!(count_picks(&mut router, 4, &second)[..2], [0, 4]);
    let all = [address(0), address(1)];
    let third = Criteria { tried: &all, ..criteria(now) };
    assert_eq!(router.pick(&third, &mut SmallRng::seed_from_u64(1)), None);
}

// Pattern: a service has many more upstreams than an ingress uses, in several failure domains.
#[test_case(&["a", "b", "c", "d", "e"], 185, &[20, 3, 3, 3, 3]; "five domains")]
#[test_case(&["a", "b", "c"], 100, &[20, 6, 6]; "three domains")]
#[test_case(&["a"], 100, &[32]; "one domain")]
#[test_case(&["b", "c"], 100, &[16, 16]; "no upstream in the own domain")]
#[test_case(&["a", "a", "a", "a", "a", "a", "a", "a", "a", "b"], 50, &[27, 5]; "few upstreams in the other domain")]
fn a_subset_has_room_in_the_own_domain_and_in_each_other_one(
    pattern: &[&str],
    upstreams: usize,
    expected: &[usize],
) {
    let mut router = Router::new("d0".into(), "a".into(), Balance::LoadSeen);
    router.sync((0..upstreams).map(|n| candidate(n, pattern[n % pattern.len()])).collect());
    let kept = router.candidates("s");
    assert_eq!(kept.len(), SUBSET_MAX);
    let mut domains: Vec<&str> = pattern.to_vec();
    domains.dedup();
    let count = |domain: &&str| kept.iter().filter(|c| &*c.domain == *domain).count();
    assert_eq!(domains.iter().map(count).collect::<Vec<_>>(), expected);
}

#[test]
fn a_restarted_upstream_starts_with_fresh_statistics() {
    let mut router = router(&["a", "a"]);
    let now = time::Instant::now();
    router.record_result(&candidate(0, "").id, AttemptResult::Unavailable, now);
    let restarted = Candidate { incarnation: 2, ..candidate(0, "a") };
    router.sync(vec![restarted, candidate(1, "a")]);
    let counts = count_picks(&mut router, 4, &criteria(now));
    assert!(counts[0] > 0, "{counts:?}");
}

#[test]
fn an_upstream_that_fails_fast_attracts_few_requests() {
    let counts = count_by_result(|index| match index {
        0 => responded(1, true),
        1 => AttemptResult::Failed,
        _ => responded(20, false),
    });
    assert!(counts[0] + counts[1] < 40, "{counts:?}");
}

#[test]
fn an_upstream_that_never_responds_gets_few_requests() {
    let after = time::Duration::from_millis(200);
    let counts = count_by_result(|index| match index {
        0 => AttemptResult::Abandoned { after },
        _ => responded(20, false),
    });
    assert!(counts[0] < 20, "{counts:?}");
}

/// Returns the share of requests that leave domain `a`, whose only upstream takes 100 ms, for one of
/// two in domain `b` that take 40 ms.
fn cross_domain_share(criteria: &Criteria<'_>) -> f64 {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut router = Router::new("d0".into(), "a".into(), Balance::LoadSeen);
    router.sync(vec![candidate(1, "a"), candidate(2, "b"), candidate(3, "b")]);
    // The upstream in the same domain is slower, but not by enough to be excluded.
    for number in [1, 2, 3] {
        let id = candidate(number, "a").id;
        let elapsed = time::Duration::from_millis(if number == 1 { 100 } else { 40 });
        for _ in 0..20 {
            let result = AttemptResult::Responded { elapsed, is_error: false };
            router.record_result(&id, result, criteria.now);
        }
    }
    let picks = (0..200).filter_map(|_| {
        let picked = router.pick(criteria, &mut rng)?;
        router.record_result(&picked.id, AttemptResult::Inconclusive, criteria.now);
        Some(&*picked.domain == "b")
    });
    picks.filter(|is_cross_domain| *is_cross_domain).count() as f64 / 200.0
}

#[test]
fn a_large_body_stays_in_its_failure_domain_while_a_small_one_spreads() {
    let small = criteria(time::Instant::now());
    assert!(cross_domain_share(&small) > 0.9);
    assert!(cross_domain_share(&Criteria { body_size: 60_000, ..small }) < 0.1);
}

// Guards against transfers to other domains that are free because only the request was counted.
#[test]
fn a_large_expected_response_stays_in_its_failure_domain_like_a_large_body() {
    let large = Criteria { response_size: 60_000, ..criteria(time::Instant::now()) };
    assert!(cross_domain_share(&large) < 0.1);
    let cheap = Criteria { transfer_cost: 100.0 / 1e9, ..large };
    assert!(cross_domain_share(&cheap) > 0.9, "a transfer that the policy makes cheap");
}

// Guards against a price on traffic that makes requests late which another domain could serve.
#[test_case(Some(70), true; "only the other domain meets the objective")]
#[test_case(Some(500), false; "both domains meet the objective")]
#[test_case(Some(10), false; "no domain meets the objective")]
#[test_case(None, false; "no objective")]
fn the_price_of_a_transfer_makes_no_request_late(objective_ms: Option<u64>, leaves: bool) {
    let objective = objective_ms.map(time::Duration::from_millis);
    let now = time::Instant::now();
    let share = cross_domain_share(&Criteria { objective, response_size: 60_000, ..criteria(now) });
    assert_eq!(share > 0.9, leaves, "{share}");
    assert!(leaves || share < 0.1, "{share}");
}

#[test]
fn availability_counts_each_upstream_by_the_reason_for_leaving_it_out() {
    let mut router = router(&["a", "a", "a", "a", "a"]);
    let now = time::Instant::now();
    for n in 0..5 {
        let elapsed = time::Duration::from_millis(if n == 1 { 100 } else { 10 });
        let result = AttemptResult::Responded { elapsed, is_error: false };
        router.record_result(&candidate(n, "").id, result, now);
    }
    router.record_sidecar_failure("d0", now);
    router.record_failure_probability(&candidate(2, "").id, 0.9, now);
    let room = request_limit::Room { rate: 1.0, wait: time::Duration::from_millis(500) };
    router.record_room(&candidate(4, "").id, Some(room), now, &mut SmallRng::seed_from_u64(1));
    let (_, availability) = router.availability(now).next().expect("one service");
    let expected = Availability { selectable: 1, backed_off: 1, slow: 1, suspected: 1, limited: 1 };
    assert_eq!(availability, expected);
}

// Guards against rejecting a request because the upstreams already tried fill the floor.
#[test]
fn an_avoided_upstream_is_picked_once_all_others_were_tried() {
    let mut router = router(&["a"; 4]);
    let now = time::Instant::now();
    let mut rng = SmallRng::seed_from_u64(7);
    router.record_sidecar_failure("d3", now);
    let tried: Vec<_> = (0..3).map(address).collect();
    let criteria = Criteria { floor_share: 0.7, tried: &tried, ..criteria(now) };
    let picked = router.pick(&criteria, &mut rng).map(|candidate| candidate.id.address);
    assert_eq!(picked, Some(address(3)));
    let without_avoided = Criteria { use_avoided: false, ..criteria };
    assert_eq!(router.pick(&without_avoided, &mut rng), None);
    let criteria = Criteria { tried: &tried[..2], ..criteria };
    for _ in 0..8 {
        let picked = router.pick(&criteria, &mut rng).expect("an upstream is left");
        assert_ne!(picked.id.address, address(3));
    }
}

// Guards against sending every request to one upstream while all are suspected.
#[test]
fn requests_spread_over_suspected_upstreams_of_similar_probability() {
    let mut router = router(&["a"; 4]);
    let now = time::Instant::now();
    for (n, probability) in [0.5, 0.55, 0.6, 0.95].into_iter().enumerate() {
        router.record_failure_probability(&candidate(n, "").id, probability, now);
    }
    let criteria = Criteria { may_probe: false, ..criteria(now) };
    let counts = count_picks(&mut router, 30, &criteria);
    assert!(counts[..3].iter().all(|&count| count >= 5), "{counts:?}");
    assert_eq!(counts[3], 0, "{counts:?}");
}

// Guards against retries at slow upstreams while fast ones are left.
#[test]
fn upstreams_already_tried_do_not_count_towards_the_floor() {
    let mut router = router(&["a"; 8]);
    let now = time::Instant::now();
    for n in 0..8 {
        let elapsed = time::Duration::from_millis(if n == 7 { 100 } else { 10 });
        let result = AttemptResult::Responded { elapsed, is_error: false };
        router.record_result(&candidate(n, "").id, result, now);
    }
    let tried: Vec<_> = (0..4).map(address).collect();
    let criteria = Criteria { floor_share: 0.7, tried: &tried, ..criteria(now) };
    let pool = &router.pools["s"];
    assert_eq!(pool.filter_slow(pool.usable(&criteria), &criteria), [4, 5, 6]);
}

/// Returns how many of ten picks at `at_ms` go to a limited upstream beside two others with the given
/// rooms, all in milliseconds until there is room.
fn picks_of_limited(own_ms: u64, others: Option<u64>, at_ms: u64) -> usize {
    let mut router = router(&["a"; 3]);
    let now = time::Instant::now();
    let mut rng = SmallRng::seed_from_u64(3);
    let room = |ms| request_limit::Room { rate: 10.0, wait: time::Duration::from_millis(ms) };
    router.record_room(&candidate(0, "").id, Some(room(own_ms)), now, &mut rng);
    for n in 1..3 {
        router.record_room(&candidate(n, "").id, others.map(room), now, &mut rng);
    }
    let at = now + time::Duration::from_millis(at_ms);
    count_picks(&mut router, 10, &criteria(at))[0]
}

#[test_case::test_case(300, None, 0, 0..=0; "no room, others without a limit")]
#[test_case::test_case(0, None, 0, 1..=1; "room for one")]
#[test_case::test_case(300, None, 400, 1..=1; "room again")]
#[test_case::test_case(0, Some(900), 0, 4..=10; "others without room")]
#[test_case::test_case(900, Some(900), 0, 2..=5; "none has room")]
fn limited_upstreams_are_picked_when_they_have_room(
    own_ms: u64,
    others: Option<u64>,
    at_ms: u64,
    expected: std::ops::RangeInclusive<usize>,
) {
    let picks = picks_of_limited(own_ms, others, at_ms);
    assert!(expected.contains(&picks), "{picks} picks");
}

// Guards against an ingress that forgets a leaving upstream when its sidecar restarts.
#[test]
fn a_leaving_upstream_is_not_picked_until_a_newer_incarnation() {
    let mut router = router(&["a"]);
    let now = time::Instant::now();
    let leaving = candidate(0, "a");
    let is_picked = |router: &mut Router| {
        router.pick(&criteria(now), &mut SmallRng::seed_from_u64(5)).is_some()
    };
    router.record_leaving(&leaving.id, leaving.incarnation);
    assert!(!is_picked(&mut router));
    router.sync(vec![Candidate { daemon_incarnation: 2, ..leaving.clone() }]);
    assert!(!is_picked(&mut router));
    router.sync(vec![Candidate { incarnation: 2, ..leaving.clone() }]);
    assert!(is_picked(&mut router));
    router.record_leaving(&leaving.id, leaving.incarnation);
    assert!(is_picked(&mut router), "a late notice of the previous incarnation");
}
