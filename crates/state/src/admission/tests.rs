//! Tests of slots, queue, ramp and drain.

use proptest::prelude::*;
use test_case::test_case;

use super::*;

const SECOND: time::Duration = time::Duration::from_secs(1);

fn limits(slots: u32, queue: u32) -> Limits {
    Limits { slots, queue, max_wait: SECOND, ramp: time::Duration::ZERO }
}

fn arrival(now: time::Instant) -> Arrival {
    Arrival {
        organisation: "a".into(),
        weight: 1,
        deadline: now + SECOND,
        priority: Default::default(),
        risk: Default::default(),
    }
}

#[test]
fn requests_fill_slots_then_queue_then_are_rejected() {
    let now = time::Instant::now();
    let mut admission = Admission::new(limits(2, 1), now);
    assert_eq!(admission.admit(&arrival(now), 1, now), Decision::Admit(1, ShareClass::Fair));
    assert_eq!(admission.admit(&arrival(now), 2, now), Decision::Admit(2, ShareClass::Fair));
    assert!(matches!(admission.admit(&arrival(now), 3, now), Decision::Queue { .. }));
    let rejected = Decision::Reject(4, outcome::Rejection::QueueFull);
    assert_eq!(admission.admit(&arrival(now), 4, now), rejected);
    assert_eq!(admission.load(now), load::Load { in_use: 2, queued: 1, slots: 2 });
}

#[test]
fn a_request_that_would_wait_past_its_deadline_is_rejected_at_once() {
    let now = time::Instant::now();
    let mut admission = Admission::new(limits(1, 100), now);
    admission.admit(&arrival(now), 0, now);
    admission.release(ShareClass::Fair, Some(SECOND), now);
    admission.admit(&arrival(now), 1, now);
    let mut urgent = arrival(now);
    urgent.deadline = now + SECOND / 2;
    assert_eq!(
        admission.admit(&urgent, 2, now),
        Decision::Reject(2, outcome::Rejection::WaitTooLong)
    );
}

#[test]
fn a_cold_upstream_opens_its_slots_over_the_ramp() {
    let start = time::Instant::now();
    let ramp = limits(4, 8);
    let admission: Admission<()> = Admission::new(Limits { ramp: SECOND * 8, ..ramp }, start);
    let opened = |seconds| admission.load(start + SECOND * seconds).slots;
    assert_eq!([0, 2, 4, 6, 8].map(opened), [1, 1, 2, 3, 4]);
}

#[test]
fn a_drain_rejects_queued_and_new_requests() {
    let now = time::Instant::now();
    let mut admission = Admission::new(limits(1, 4), now);
    admission.admit(&arrival(now), 1, now);
    admission.admit(&arrival(now), 2, now);
    assert_eq!(admission.drain(), [2]);
    let rejected = Decision::Reject(3, outcome::Rejection::Draining);
    assert_eq!(admission.admit(&arrival(now), 3, now), rejected);
    assert_eq!(admission.load(now).in_use, 1);
}

// Pattern: an upstream with a full queue starts to fail its requests at once.
#[test]
fn requests_that_avoid_risk_leave_the_queue_of_a_suspected_upstream() {
    use outlier::RiskTolerance::{Accept, Any, Avoid, Probe};
    let now = time::Instant::now();
    let mut admission = Admission::new(limits(1, 8), now);
    admission.admit(&arrival(now), None, now);
    for risk in [Avoid, Probe, Accept, Any, Avoid] {
        let decision = admission.admit(&Arrival { risk, ..arrival(now) }, Some(risk), now);
        assert!(matches!(decision, Decision::Queue { .. }));
    }
    assert_eq!(admission.take_intolerant(), [Some(Avoid), Some(Probe), Some(Avoid)]);
    assert_eq!(admission.load(now), load::Load { in_use: 1, queued: 2, slots: 1 });
}

proptest! {
    #[test]
    fn slots_in_use_match_running_requests(
        steps in proptest::collection::vec((0_u8..4, 0_u64..300), 1..300),
        slots in 1_u32..6,
        queue in 0_u32..6,
    ) {
        let mut now = time::Instant::now();
        let mut admission = Admission::new(limits(slots, queue), now);
        let (mut running, mut waiting) = (0_u32, Vec::new());
        for (step, pause_ms) in steps {
            now += time::Duration::from_millis(pause_ms);
            match step {
                0 | 1 => match admission.admit(&arrival(now), 0, now) {
                    Decision::Admit(..) => running += 1,
                    Decision::Queue { ticket, .. } => waiting.push(ticket),
                    Decision::Reject(..) => {}
                },
                2 if running > 0 => {
                    running -= 1;
                    admission.release(ShareClass::Fair, Some(SECOND / 10), now);
                }
                _ => drop(waiting.pop().map(|ticket| admission.cancel(ticket))),
            }
            let dequeued = admission.dequeue(now);
            running += dequeued.iter().filter(|d| matches!(d, Dequeued::Admit(..))).count() as u32;
            prop_assert_eq!(admission.load(now).in_use, running);
            prop_assert!(running <= slots);
            prop_assert!(admission.load(now).queued <= queue);
        }
    }
}

/// One upstream with four slots under Poisson arrivals, in simulated time.
struct Simulation {
    admission: Admission<Request>,
    rng: rand::rngs::SmallRng,
    start: time::Instant,
    /// End of each running request in seconds, with the class of its slot.
    running: Vec<(f64, ShareClass)>,
    /// Response times of the first organisation's requests, in milliseconds.
    times: Vec<f64>,
}

#[derive(Debug, Clone, Copy, PartialEq)]
struct Request {
    organisation: usize,
    arrived: f64,
}

const SERVICE_S: f64 = 0.0117;
const DURATION_S: f64 = 60.0;

impl Simulation {
    /// Returns the 99th percentile of the first organisation's response times, in milliseconds, if
    /// the organisations send `rates` requests per second.
    fn p99(rates: &[f64], seed: u64) -> f64 {
        use rand::SeedableRng;
        let start = time::Instant::now();
        let rng = rand::rngs::SmallRng::seed_from_u64(seed);
        let admission = Admission::new(limits(4, 32), start);
        let mut simulation = Self { admission, rng, start, running: vec![], times: vec![] };
        for request in simulation.arrivals(rates) {
            simulation.release_until(request.arrived);
            simulation.arrive(request);
        }
        simulation.times.sort_by(f64::total_cmp);
        simulation.times[simulation.times.len() * 99 / 100]
    }

    fn arrivals(&mut self, rates: &[f64]) -> Vec<Request> {
        use rand::Rng;
        let mut all = Vec::new();
        for (organisation, rate) in rates.iter().enumerate() {
            let mut arrived = 0.0;
            while arrived < DURATION_S {
                arrived += -(1.0 - self.rng.random::<f64>()).ln() / rate;
                all.push(Request { organisation, arrived });
            }
        }
        all.sort_by(|a, b| a.arrived.total_cmp(&b.arrived));
        all
    }

    fn at(&self, seconds: f64) -> time::Instant {
        self.start + time::Duration::from_secs_f64(seconds)
    }

    fn release_until(&mut self, now: f64) {
        loop {
            self.running.sort_by(|a, b| b.0.total_cmp(&a.0));
            let Some((end, class)) = self.running.pop_if(|end| end.0 < now) else { return };
            let (elapsed, at) = (time::Duration::from_secs_f64(SERVICE_S), self.at(end));
            self.admission.release(class, Some(elapsed), at);
            self.start_queued(end);
        }
    }

    fn arrive(&mut self, request: Request) {
        let now = self.at(request.arrived);
        let organisation = format!("o{}", request.organisation).as_str().into();
        let arrival = Arrival { organisation, ..arrival(now) };
        if let Decision::Admit(request, class) = self.admission.admit(&arrival, request, now) {
            self.run(request, class, request.arrived);
        }
        self.start_queued(request.arrived);
    }

    fn start_queued(&mut self, seconds: f64) {
        for dequeued in self.admission.dequeue(self.at(seconds)) {
            if let Dequeued::Admit(request, class) = dequeued {
                self.run(request, class, seconds);
            }
        }
    }

    fn run(&mut self, request: Request, class: ShareClass, now: f64) {
        use rand::Rng;
        let end = now + SERVICE_S * self.rng.random_range(0.8..1.2);
        self.running.push((end, class));
        if request.organisation == 0 {
            self.times.push((end - request.arrived) * 1000.0);
        }
    }
}

/// An organisation that sends ten times as much as each of three others raises their 99th
/// percentile of response times by at most half.
#[test_case(40.0; "four equal organisations would use half of the slots")]
#[test_case(68.0; "four equal organisations would use 80 percent of the slots")]
#[test_case(80.0; "four equal organisations would use 94 percent of the slots")]
fn an_overloading_organisation_does_not_slow_the_others(rate: f64) {
    let seeds = 1..=8;
    let p99_sum =
        |rates: &[f64]| seeds.clone().map(|seed| Simulation::p99(rates, seed)).sum::<f64>();
    let baseline = p99_sum(&[rate; 3]);
    let overloaded = p99_sum(&[rate, rate, rate, rate * 10.0]);
    assert!(overloaded <= baseline * 1.5, "{:.2} times the baseline", overloaded / baseline);
}

// Guards against a request that no longer waits taking its organisation's turn.
#[test]
fn an_expired_request_is_rejected_without_a_charge_and_before_its_turn() {
    let now = time::Instant::now();
    let mut admission = Admission::new(limits(1, 8), now);
    admission.admit(&arrival(now), 0, now);
    let of = |organisation: &str, wait| Arrival {
        organisation: organisation.into(),
        deadline: now + wait,
        ..arrival(now)
    };
    admission.admit(&of("b", SECOND / 4), 1, now);
    admission.admit(&of("b", SECOND), 2, now);
    admission.admit(&of("c", SECOND), 3, now);
    let later = now + SECOND / 2;
    // No slot is free, so nobody's turn has come.
    assert_eq!(admission.dequeue(later), [Dequeued::Reject(1, outcome::Rejection::WaitTooLong)]);
    admission.release(ShareClass::Fair, None, later);
    assert_eq!(admission.dequeue(later), [Dequeued::Admit(2, ShareClass::Fair)]);
}

/// Half of the slots of an upstream that rejects everything beyond them. Guards against arrivals
/// that are sent only to be rejected, and against ingresses that take its slots for free.
#[test]
fn half_of_the_arrivals_rejected_requests_wait_instead_of_being_sent() {
    let now = time::Instant::now();
    let mut admission = Admission::new(limits(8, 16), now);
    for n in 0..8 {
        assert!(matches!(admission.admit(&arrival(now), n, now), Decision::Admit(..)));
    }
    let later = now + SECOND / 2;
    for at in [now, later] {
        admission.record_response(true, 5, at, at);
    }
    (0..5).for_each(|_| admission.release(ShareClass::Fair, None, later));
    assert_eq!(admission.load(later).slots, 4);
    assert!(matches!(admission.admit(&arrival(later), 8, later), Decision::Admit(..)));
    assert!(matches!(admission.admit(&arrival(later), 9, later), Decision::Queue { .. }));
    assert_eq!(admission.dequeue(later), []);
    let recovered = later + SECOND * 99 / 100;
    assert_eq!(admission.load(recovered).slots, 8);
    assert!(matches!(admission.dequeue(recovered)[..], [Dequeued::Admit(9, _)]));
}
