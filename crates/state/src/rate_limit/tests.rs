//! Tests of fleet-wide rate limits in a simulated fleet.

use test_case::test_case;

use super::*;

/// Runs one limiter per demand for 20 s and returns the rate admitted over the last 10 s.
fn check(limit: f64, demands: &[f64]) -> f64 {
    let start = time::Instant::now();
    let mut limiters: Vec<LocalLimiter> = demands.iter().map(|_| LocalLimiter::default()).collect();
    let mut allocator = Allocator::default();
    let name: ids::OrganisationName = "mailers".into();
    let (mut admitted, mut pending) = (0_u32, vec![0.0; demands.len()]);
    for step in 1..=2000_u32 {
        let now = start + time::Duration::from_millis(10) * step;
        for (index, limiter) in limiters.iter_mut().enumerate() {
            pending[index] += demands[index] / 100.0;
            while pending[index] >= 1.0 {
                pending[index] -= 1.0;
                let is_admitted = limiter.admit(&name, limit, demands.len(), now);
                admitted += u32::from(is_admitted && step > 1000);
            }
            // Limiters report in turn rather than all at once.
            if (step + index as u32 * 7).is_multiple_of(50) {
                for demand in limiter.take_report(REPORT_INTERVAL, now) {
                    let daemon = format!("d{index}").as_str().into();
                    let share = allocator.allocate(&daemon, &demand, limit, now);
                    limiter.apply_shares(&[share], now, now);
                }
            }
        }
    }
    f64::from(admitted) / 10.0
}

#[test_case(100.0, &[1000.0]; "one ingress")]
#[test_case(100.0, &[300.0, 300.0, 300.0]; "three equal ingresses")]
#[test_case(100.0, &[500.0, 50.0, 5.0]; "three unequal ingresses")]
#[test_case(60.0, &[40.0; 10]; "ten ingresses")]
#[test_case(100.0, &[120.0, 0.0, 0.0]; "demand at one ingress of three")]
fn the_fleet_admits_within_ten_percent_of_the_limit(limit: f64, demands: &[f64]) {
    let admitted = check(limit, demands);
    assert!((limit * 0.9..=limit * 1.1).contains(&admitted), "{admitted} of {limit}");
}

#[test]
fn demand_below_the_limit_is_admitted() {
    let admitted = check(100.0, &[40.0, 30.0, 10.0]);
    assert!(admitted >= 79.0, "{admitted}");
}

#[test]
fn a_limiter_reports_a_bounded_number_of_organisations() {
    let now = time::Instant::now();
    let mut limiter = LocalLimiter::default();
    for n in 0..1000 {
        limiter.admit(&format!("o{n}").as_str().into(), 10.0, 3, now);
    }
    assert_eq!(limiter.take_report(REPORT_INTERVAL, now).len(), DEMANDS_MAX);
}

#[test]
fn allocators_are_spread_and_stable() {
    let daemons: Vec<ids::DaemonName> = (0..10).map(|n| format!("d{n}").as_str().into()).collect();
    let allocator =
        |n: u32, list: &[ids::DaemonName]| allocator_for(&format!("o{n}"), list.iter()).cloned();
    let moved = (0..1000).filter(|&n| allocator(n, &daemons) != allocator(n, &daemons[..9]));
    let moved = moved.count();
    assert!((50..150).contains(&moved), "{moved} of 1000 moved when one of ten left");
}

/// Returns how many of 1,000 requests at once a limiter admits after two allocator responses, given
/// as the times in seconds at which the report was sent and the response arrived, and the rate.
fn check_late(responses: [(f64, f64, f64); 2]) -> usize {
    let start = time::Instant::now();
    let at = |seconds| start + time::Duration::from_secs_f64(seconds);
    let mut limiter = LocalLimiter::default();
    let organisation: ids::OrganisationName = "mailers".into();
    limiter.admit(&organisation, 400.0, 4, start);
    let mut now = start;
    for (reported, arrived, rate) in responses {
        now = at(arrived);
        let share = Share { organisation: organisation.clone(), rate };
        limiter.apply_shares(&[share], at(reported), now);
    }
    let later = now + time::Duration::from_secs(1);
    (0..1000).filter(|_| limiter.admit(&organisation, 400.0, 4, later)).count()
}

// Guards against a limiter that was paused and uses a share that has been given to others since.
#[test_case((0.0, 10.0, 400.0), (0.0, 10.0, 400.0), 25; "response read after a pause")]
#[test_case((0.0, 4.5, 400.0), (0.0, 4.5, 400.0), 25; "share expires before it is used")]
#[test_case((1.0, 1.1, 40.0), (0.5, 1.2, 400.0), 10; "older response read last")]
#[test_case((0.0, 0.1, 400.0), (0.5, 0.6, 40.0), 10; "responses in order")]
fn shares_expire_with_the_report(first: (f64, f64, f64), second: (f64, f64, f64), admitted: usize) {
    assert_eq!(check_late([first, second]), admitted);
}
