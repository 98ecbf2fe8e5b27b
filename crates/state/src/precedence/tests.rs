//! Tests of the bounds of precedence, at one upstream in simulated time.

use rand::Rng;
use rand::SeedableRng;
use rand::rngs;
use test_case::test_case;

use super::*;
use crate::admission;

const MEAN_S: f64 = 0.19;
const SLOTS: u32 = 9;
const SECONDS: f64 = 30.0;
const CALL: priority::Priority = priority::Priority { rank: 0, objective: None, is_call: true };
const URGENT: priority::Priority = priority::Priority { rank: 0, objective: None, is_call: false };
const DOWNLOAD: priority::Priority = priority::Priority { rank: 3, ..URGENT };
const LOW_CALL: priority::Priority = priority::Priority { rank: 3, ..CALL };

/// Plays 30 s of Poisson arrivals at one upstream, each kind at a fraction of its capacity, and
/// returns the fraction of each kind that is served. All time after the first 10 s counts.
fn play(kinds: &[(priority::Priority, f64)], seed: u64) -> Vec<f64> {
    let start = time::Instant::now();
    let at = |seconds: f64| start + time::Duration::from_secs_f64(seconds);
    let (max_wait, ramp) = (time::Duration::from_secs(2), time::Duration::ZERO);
    let limits = admission::Limits { slots: SLOTS, queue: 32, max_wait, ramp };
    let mut admission = admission::Admission::new(limits, start);
    let mut rng = rngs::SmallRng::seed_from_u64(seed);
    let mut arrivals = Vec::new();
    for (kind, (_, load)) in kinds.iter().enumerate() {
        let rate = load * f64::from(SLOTS) / MEAN_S;
        let mut arrived = 0.0;
        while arrived < SECONDS {
            arrived += -(1.0 - rng.random::<f64>()).ln() / rate;
            arrivals.push((arrived, kind));
        }
    }
    arrivals.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (mut sent, mut served) = (vec![0.0_f64; kinds.len()], vec![0.0_f64; kinds.len()]);
    let mut running: Vec<(f64, admission::ShareClass)> = Vec::new();
    let mut run = |running: &mut Vec<_>, (arrived, kind): (f64, usize), class, now: f64| {
        running.push((now + MEAN_S * rng.random_range(0.8..1.2), class));
        served[kind] += f64::from(u32::from(arrived > 10.0));
    };
    for (arrived, kind) in arrivals {
        loop {
            running.sort_by(|a, b| b.0.total_cmp(&a.0));
            let Some((end, class)) = running.pop_if(|running| running.0 <= arrived) else { break };
            let elapsed = time::Duration::from_secs_f64(MEAN_S);
            admission.release(class, Some(elapsed), at(end));
            for dequeued in admission.dequeue(at(end)) {
                if let admission::Dequeued::Admit(request, class) = dequeued {
                    run(&mut running, request, class, end);
                }
            }
        }
        sent[kind] += f64::from(u32::from(arrived > 10.0));
        let arrival = admission::Arrival {
            organisation: "public".into(),
            weight: 1,
            deadline: at(arrived + 4.0),
            priority: kinds[kind].0,
            risk: Default::default(),
        };
        let decision = admission.admit(&arrival, (arrived, kind), at(arrived));
        if let admission::Decision::Admit(request, class) = decision {
            run(&mut running, request, class, arrived);
        }
    }
    served.iter().zip(&sent).map(|(served, sent)| served / sent.max(1.0)).collect()
}

fn mean_shares(kinds: &[(priority::Priority, f64)]) -> Vec<f64> {
    let mut sums = vec![0.0; kinds.len()];
    for seed in 0..6 {
        sums.iter_mut().zip(play(kinds, seed)).for_each(|(sum, share)| *sum += share / 6.0);
    }
    sums
}

/// Guards against calls that are shed while new requests of the same service are served: the work
/// of their parents is lost.
#[test_case(0.5, 0.6; "a small service at 110 percent")]
#[test_case(0.7, 1.0; "a small service at 170 percent")]
fn a_small_service_shared_by_calls_and_downloads_serves_the_calls(calls: f64, downloads: f64) {
    let shares = mean_shares(&[(CALL, calls), (DOWNLOAD, downloads)]);
    assert!(shares[0] > 0.97, "{shares:.2?}");
    let rest = (1.0 - calls) / downloads;
    assert!(shares[1] > 0.8 * rest, "{shares:.2?}, {rest:.2} left");
}

/// Guards against starvation: callers accept that no kind of request is served less than a quarter
/// as often as all.
#[test_case(&[(CALL, 1.1), (DOWNLOAD, 0.6)]; "calls alone exceed the slots")]
#[test_case(&[(CALL, 1.7), (DOWNLOAD, 0.1)]; "calls at 170 percent beside few downloads")]
#[test_case(&[(URGENT, 1.5), (DOWNLOAD, 0.3)]; "urgent requests alone exceed the slots")]
#[test_case(&[(CALL, 0.8), (URGENT, 0.8), (DOWNLOAD, 0.4)]; "calls and urgent requests")]
fn no_kind_is_served_less_than_a_quarter_as_often_as_all(kinds: &[(priority::Priority, f64)]) {
    let shares = mean_shares(kinds);
    let load: f64 = kinds.iter().map(|(_, load)| load).sum();
    let served: f64 = kinds.iter().zip(&shares).map(|((_, load), share)| load * share).sum();
    let least = shares.iter().copied().fold(f64::INFINITY, f64::min);
    assert!(least >= 0.25 * served / load, "{shares:.2?}, all {:.2}", served / load);
}

/// Guards against calls of unimportant requests that displace urgent new ones: callers accept 5 in
/// 100.
#[test_case(0.8, 0.9; "as many calls as urgent requests")]
#[test_case(0.4, 1.2; "more urgent requests than slots")]
fn calls_of_a_low_rank_are_not_served_more_often_than_urgent_requests(calls: f64, urgent: f64) {
    let shares = mean_shares(&[(LOW_CALL, calls), (URGENT, urgent)]);
    assert!(shares[0] <= shares[1] + 0.05, "{shares:.2?}");
}

/// Guards against a change of the order while nothing is short.
#[test]
fn below_capacity_every_kind_is_served() {
    let shares = mean_shares(&[(CALL, 0.2), (URGENT, 0.3), (DOWNLOAD, 0.2)]);
    assert!(shares.iter().all(|share| *share > 0.999), "{shares:.3?}");
}

/// Guards against state that grows with the ranks that requests carry.
#[test]
fn ranks_beyond_the_last_one_count_as_one_kind() {
    let of = |rank| kind(&priority::Priority { rank, ..CALL });
    assert_eq!(of(RANK_MAX), of(u32::MAX));
    assert!(of(u32::MAX) < KINDS);
}
