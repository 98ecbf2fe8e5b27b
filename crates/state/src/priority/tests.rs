//! Tests of bursts that outlast the objective, at one upstream in simulated time.

use super::*;
use crate::admission;
use crate::outcome;

const MEAN: time::Duration = time::Duration::from_millis(250);
const OBJECTIVE: time::Duration = time::Duration::from_millis(800);
const DEADLINE: time::Duration = time::Duration::from_secs(4);
const SLOTS: u32 = 4;

/// Sends `per_second` requests of two ranks to one upstream for ten seconds and returns the
/// fraction of each rank with a response within the objective.
fn on_time_shares(per_second: f64, limits: admission::Limits) -> [f64; 2] {
    let start = time::Instant::now();
    let mut admission = admission::Admission::new(limits, start);
    let mut running: Vec<(time::Instant, admission::ShareClass, usize, time::Instant)> = Vec::new();
    let (mut sent, mut on_time) = ([0_u32; 2], [0_u32; 2]);
    let arrivals = (10.0 * per_second) as usize;
    for number in 0..arrivals {
        let now = start + time::Duration::from_secs_f64(number as f64 / per_second);
        finish(&mut admission, &mut running, now, &mut on_time);
        let rank = number % 2;
        sent[rank] += 1;
        let arrival = admission::Arrival {
            organisation: "public".into(),
            weight: 1,
            deadline: now + DEADLINE,
            priority: Priority {
                rank: rank as u32,
                objective: Some(now + OBJECTIVE),
                is_call: false,
            },
            risk: Default::default(),
        };
        if let admission::Decision::Admit((rank, arrived), class) =
            admission.admit(&arrival, (rank, now), now)
        {
            running.push((now + MEAN, class, rank, arrived));
        }
    }
    finish(
        &mut admission,
        &mut running,
        start + 2 * DEADLINE + time::Duration::from_secs(10),
        &mut on_time,
    );
    [0, 1].map(|rank| f64::from(on_time[rank]) / f64::from(sent[rank]))
}

type Running = Vec<(time::Instant, admission::ShareClass, usize, time::Instant)>;

fn finish(
    admission: &mut admission::Admission<(usize, time::Instant)>,
    running: &mut Running,
    until: time::Instant,
    on_time: &mut [u32; 2],
) {
    loop {
        let next = running.iter().enumerate().min_by_key(|(_, (end, ..))| *end);
        let Some((index, &(end, class, rank, arrived))) = next.filter(|(_, r)| r.0 <= until) else {
            return;
        };
        running.swap_remove(index);
        on_time[rank] += u32::from(end - arrived <= OBJECTIVE);
        admission.release(class, Some(MEAN), end);
        for dequeued in admission.dequeue(end) {
            match dequeued {
                admission::Dequeued::Admit((rank, arrived), class) => {
                    running.push((end + MEAN, class, rank, arrived));
                }
                admission::Dequeued::Reject(_, rejection) => {
                    assert_eq!(rejection, outcome::Rejection::WaitTooLong);
                }
            }
        }
    }
}

fn limits() -> admission::Limits {
    let max_wait = time::Duration::from_secs(2);
    admission::Limits { slots: SLOTS, queue: 64, max_wait, ramp: time::Duration::ZERO }
}

#[test]
fn a_long_burst_spends_the_slots_on_responses_within_the_objective() {
    let capacity = f64::from(SLOTS) / MEAN.as_secs_f64();
    let [urgent, other] = on_time_shares(1.5 * capacity, limits());
    let useful = (urgent + other) / 2.0 * 1.5;
    assert!(useful > 0.85, "only {useful:.2} of the capacity went to on-time responses");
    assert!(urgent > other, "{urgent:.2} {other:.2}");
}

#[test]
fn without_overload_every_response_meets_its_objective() {
    let capacity = f64::from(SLOTS) / MEAN.as_secs_f64();
    assert_eq!(on_time_shares(0.9 * capacity, limits()), [1.0, 1.0]);
}

/// Sends requests of the highest priority at `share` of the capacity for five seconds, then one of
/// lower rank, which is already late for its objective if `late`. Returns the decision on the last
/// one and its time.
fn decide_behind_higher_priority(
    share: f64,
    late: bool,
) -> (admission::Decision<(usize, time::Instant)>, time::Instant) {
    let start = time::Instant::now();
    let mut admission = admission::Admission::new(limits(), start);
    let (mut running, mut on_time) = (Vec::new(), [0; 2]);
    let rate = share * f64::from(SLOTS) / MEAN.as_secs_f64();
    let mut now = start;
    let mut arrival = admission::Arrival {
        organisation: "public".into(),
        weight: 1,
        deadline: now,
        priority: Priority::default(),
        risk: Default::default(),
    };
    for number in 0..(5.0 * rate) as usize {
        now = start + time::Duration::from_secs_f64(number as f64 / rate);
        finish(&mut admission, &mut running, now, &mut on_time);
        arrival.deadline = now + DEADLINE;
        arrival.priority = Priority { rank: 0, objective: Some(now + OBJECTIVE), is_call: false };
        if let admission::Decision::Admit(item, class) = admission.admit(&arrival, (0, now), now) {
            running.push((now + MEAN, class, 0, item.1));
        }
    }
    // Fills the slots, so that the last request cannot start at once.
    while let admission::Decision::Admit(..) = admission.admit(&arrival, (0, now), now) {}
    let objective = if late { now } else { now + OBJECTIVE };
    arrival.priority = Priority { rank: 1, objective: Some(objective), is_call: false };
    (admission.admit(&arrival, (1, now), now), now)
}

#[test]
fn a_request_is_rejected_at_once_when_higher_priorities_fill_the_slots() {
    let is_rejected = |(decision, _)| {
        matches!(decision, admission::Decision::Reject(_, outcome::Rejection::WaitTooLong))
    };
    assert!(is_rejected(decide_behind_higher_priority(1.5, false)));
    assert!(is_rejected(decide_behind_higher_priority(1.5, true)));
    assert!(!is_rejected(decide_behind_higher_priority(0.4, false)));
}

#[test]
fn a_late_request_does_not_wait_until_its_deadline() {
    let (admission::Decision::Queue { until, .. }, now) = decide_behind_higher_priority(0.4, true)
    else {
        panic!("expected the request to be queued");
    };
    assert!(until - now < OBJECTIVE, "{:?}", until - now);
}
