//! Tests of weighted fairness, eviction and bounds.

use proptest::prelude::*;
use test_case::test_case;

use super::*;

/// Queues `backlog` items for organisations `a` and `b` and checks how many of each are among the
/// first `served`.
fn check(weights: [u32; 2], backlog: [usize; 2], served: usize, expected: [usize; 2]) {
    let now = time::Instant::now();
    let mut queue = FairQueue::new(1000);
    for (index, name) in ["a", "b"].into_iter().enumerate() {
        for _ in 0..backlog[index] {
            assert_eq!(queue.push(&name.into(), weights[index], index, now), PushResult::Queued);
        }
    }
    let mut counts = [0; 2];
    (0..served).filter_map(|_| queue.pop()).for_each(|index| counts[index] += 1);
    assert_eq!(counts, expected);
}

#[test_case([1, 1], [100, 10], 20, [10, 10]; "equal weights share equally")]
#[test_case([3, 1], [100, 100], 40, [30, 10]; "weights set the shares")]
#[test_case([1, 1], [100, 2], 20, [18, 2]; "unused share goes to others")]
fn service_follows_weights(
    weights: [u32; 2],
    backlog: [usize; 2],
    served: usize,
    expected: [usize; 2],
) {
    check(weights, backlog, served, expected);
}

#[test]
fn a_full_queue_evicts_the_newest_item_of_the_largest_backlog() {
    let now = time::Instant::now();
    let mut queue = FairQueue::new(3);
    (0..3).for_each(|n| assert_eq!(queue.push(&"busy".into(), 1, n, now), PushResult::Queued));
    assert_eq!(queue.push(&"calm".into(), 1, 10, now), PushResult::Evicted(2));
    assert_eq!(queue.push(&"busy".into(), 1, 3, now), PushResult::Full(3));
    assert_eq!(queue.len(), 3);
}

#[test]
fn a_queue_of_capacity_zero_accepts_nothing() {
    let mut queue = FairQueue::new(0);
    assert_eq!(queue.push(&"a".into(), 1, 1, time::Instant::now()), PushResult::Full(1));
    assert!(queue.is_empty());
}

#[test]
fn a_burst_within_the_share_overtakes_a_backlog() {
    let now = time::Instant::now();
    let mut queue = FairQueue::new(1000);
    queue.charge(&"calm".into(), 1, now);
    for n in 0..200 {
        assert_eq!(queue.push(&"busy".into(), 1, n, now), PushResult::Queued);
    }
    for n in 0..100 {
        queue.advance(1.0, now);
        assert_eq!(queue.pop(), Some(n));
    }
    for n in 0..8 {
        assert_eq!(queue.push(&"calm".into(), 1, 1000 + n, now), PushResult::Queued);
    }
    let served: Vec<u32> = (0..8).filter_map(|_| queue.pop()).collect();
    assert!(served.iter().all(|&n| n >= 1000), "{served:?}");
}

#[test]
fn a_new_organisation_starts_without_credit() {
    let now = time::Instant::now();
    let mut queue = FairQueue::new(1000);
    queue.charge(&"calm".into(), 1, now);
    queue.advance(100.0, now);
    for n in 0..100 {
        assert_eq!(queue.push(&"greedy".into(), 1, n, now), PushResult::Queued);
    }
    for n in 0..8 {
        assert_eq!(queue.push(&"calm".into(), 1, 1000 + n, now), PushResult::Queued);
    }
    let served: Vec<u32> = (0..8).filter_map(|_| queue.pop()).collect();
    assert!(served.iter().all(|&n| n >= 1000), "{served:?}");
}

#[test]
fn two_overloading_organisations_share_equally() {
    let now = time::Instant::now();
    let mut queue = FairQueue::new(100);
    let mut served = [0_u32, 0];
    for n in 0..10_000 {
        // One organisation sends three times as much as the other, and both exceed their share.
        for organisation in [0_u8, 0, 0, 1] {
            queue.push(&organisation.to_string().as_str().into(), 1, organisation, now);
        }
        queue.advance(1.0, now);
        if let Some(organisation) = queue.pop().filter(|_| n > 100) {
            served[organisation as usize] += 1;
        }
    }
    assert!(served[0].abs_diff(served[1]) <= 2, "{served:?}");
}

#[test]
fn idle_organisations_are_evicted() {
    let now = time::Instant::now();
    let mut queue = FairQueue::new(1000);
    for n in 0..10_000 {
        queue.push(&format!("o{n}").as_str().into(), 1, n, now);
        queue.pop();
    }
    assert!(queue.flows.len() <= IDLE_FLOWS_MAX, "{}", queue.flows.len());
}

proptest! {
    #[test]
    fn items_are_neither_lost_nor_served_twice(
        steps in proptest::collection::vec((0_u8..4, 1_u32..5, any::<bool>()), 1..200),
        capacity in 1_usize..20,
    ) {
        let now = time::Instant::now();
        let mut queue = FairQueue::new(capacity);
        let (mut waiting, mut next) = (std::collections::BTreeSet::new(), 0_u32);
        for (organisation, weight, is_push) in steps {
            if is_push {
                next += 1;
                let name = organisation.to_string().as_str().into();
                match queue.push(&name, weight, next, now) {
                    PushResult::Queued => prop_assert!(waiting.insert(next)),
                    PushResult::Evicted(old) => {
                        prop_assert!(waiting.remove(&old));
                        prop_assert!(waiting.insert(next));
                    }
                    PushResult::Full(same) => prop_assert_eq!(same, next),
                }
            } else if let Some(item) = queue.pop() {
                prop_assert!(waiting.remove(&item));
            }
            prop_assert_eq!(queue.len(), waiting.len());
            prop_assert!(queue.len() <= capacity);
        }
    }
}
