//! Choice among the upstreams of one service: which may be used at all, what their gates believe
//! of them, and which is the cheapest.

use std::cmp;
use std::time;

use rand::Rng;

use crate::router;

/// Bytes of a body whose way into another failure domain costs as much as a second of time: bytes
/// between domains are paid for, so that a large upload rather waits for an upstream near.
const REMOTE_BYTES_PER_SECOND: f64 = 128.0 * 1024.0;
/// Cost of another failure domain, as a share of the median time.
const REMOTE_SHARE: f64 = 0.3;
/// Cost of another failure domain in seconds, on top of the share.
const REMOTE_SECONDS: f64 = 0.001;
/// Multiple of the pool's median above which an upstream is left out while others hold the floor.
const OUTLIER_FACTOR: f64 = 3.0;
/// Share of the repeatable requests that go to a doubted upstream, so that it can prove itself.
const TRIAL_SHARE: f64 = 0.2;

impl router::Pool {
    /// Returns the indexes that may be chosen: untried ones that are not avoided, and, while
    /// those hold fewer slots than the floor, avoided ones that come back soonest.
    pub(super) fn usable(&self, want: &router::Want<'_>) -> Vec<usize> {
        let numbered = || self.upstreams.values().enumerate();
        let is_avoided = |upstream: &router::Upstream| upstream.path.is_avoided(want.now);
        let mut usable: Vec<usize> =
            numbered().filter(|(_, u)| !is_avoided(u)).map(|(index, _)| index).collect();
        let mut slots: u32 = usable.iter().map(|&i| self.upstreams[i].candidate.slots).sum();
        let mut avoided: Vec<(usize, &router::Upstream)> =
            numbered().filter(|(_, u)| is_avoided(u)).collect();
        avoided.sort_by_key(|(_, upstream)| upstream.path.avoided_until());
        let floor = self.floor(want);
        for (index, upstream) in avoided {
            if slots >= floor {
                break;
            }
            slots += upstream.candidate.slots;
            usable.push(index);
        }
        usable.retain(|&i| !want.tried.contains(&self.upstreams[i].candidate.id.address));
        usable
    }

    /// Leaves out upstreams that are far slower or more troubled than their peers, as long as
    /// those left hold the floor's worth of slots.
    pub(super) fn without_outliers(
        &self,
        usable: Vec<usize>,
        want: &router::Want<'_>,
    ) -> Vec<usize> {
        let median = self.median(want.now);
        let is_fair = |&index: &usize| {
            self.upstreams[index].troubled_time(median, want.now) <= median * OUTLIER_FACTOR
        };
        let fair: Vec<usize> = usable.iter().copied().filter(is_fair).collect();
        let slots: u32 = fair.iter().map(|&i| self.upstreams[i].candidate.slots).sum();
        if slots >= self.floor(want) { fair } else { usable }
    }

    /// Narrows the choice by what gates believe of their upstreams. What must not be repeated goes
    /// where nothing speaks against the upstream, or to the least doubted; a share of the rest goes
    /// to doubted upstreams, whose gates learn from it.
    pub(super) fn by_doubt(
        &self,
        usable: Vec<usize>,
        want: &router::Want<'_>,
        rng: &mut impl Rng,
    ) -> Vec<usize> {
        let is_doubted = |&index: &usize| {
            let doubt = &self.upstreams[index].doubt;
            doubt.as_ref().is_some_and(|doubt| doubt.is_serious(want.now))
        };
        let (doubted, trusted): (Vec<usize>, Vec<usize>) = usable.into_iter().partition(is_doubted);
        let is_first = want.tried.is_empty();
        let tries = want.repeatable && is_first && !doubted.is_empty();
        if tries && rng.random_bool(TRIAL_SHARE) {
            return doubted;
        }
        if !trusted.is_empty() {
            return trusted;
        }
        let likelihood = |index: usize| {
            let doubt = &self.upstreams[index].doubt;
            doubt.as_ref().map_or(0.0, |doubt| doubt.likelihood(want.now))
        };
        let least = doubted.into_iter().min_by(|&a, &b| likelihood(a).total_cmp(&likelihood(b)));
        least.into_iter().collect()
    }

    /// Slots that avoidance must leave in the service.
    pub(super) fn floor(&self, want: &router::Want<'_>) -> u32 {
        let slots: u32 = self.upstreams.values().map(|upstream| upstream.candidate.slots).sum();
        let share = (f64::from(slots) * want.floor_share).ceil() as u32;
        want.floor.max(share).max(1)
    }

    pub(super) fn next_in_turn(&mut self, usable: &[usize]) -> Option<usize> {
        self.cursor = self.cursor.wrapping_add(1);
        usable.get(self.cursor % usable.len().max(1)).copied()
    }

    pub(super) fn least_outstanding(&self, usable: &[usize], rng: &mut impl Rng) -> Option<usize> {
        let offset = rng.random_range(0..usable.len().max(1));
        let rotated = usable.iter().cycle().skip(offset).take(usable.len());
        rotated.copied().min_by_key(|&index| self.upstreams[index].outstanding)
    }

    /// Compares two random upstreams of the own failure domain with two of the others.
    pub(super) fn cheapest(
        &self,
        usable: &[usize],
        domain: &str,
        want: &router::Want<'_>,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let now = want.now;
        let (near, far): (Vec<usize>, Vec<usize>) =
            usable.iter().partition(|&&i| &*self.upstreams[i].candidate.domain == domain);
        let median = self.median(now);
        let crossing = want.size as f64 / REMOTE_BYTES_PER_SECOND;
        let crossing = REMOTE_SHARE * median + REMOTE_SECONDS + crossing;
        let mut best: Option<(f64, usize)> = None;
        for (group, is_far) in [(near, false), (far, true)] {
            for index in sample_two(&group, rng) {
                let remote = if is_far { crossing } else { 0.0 };
                let cost = self.upstreams[index].cost(median, now) + remote;
                if best.is_none_or(|(least, _)| cost < least) {
                    best = Some((cost, index));
                }
            }
        }
        best.map(|(_, index)| index)
    }

    pub(super) fn median(&self, now: time::Instant) -> f64 {
        let known = self.upstreams.values().filter(|u| u.latency.weight(now) > 0.0);
        let mut times: Vec<f64> = known.filter_map(|u| u.latency.value()).collect();
        if times.is_empty() {
            return router::LATENCY_UNKNOWN_S;
        }
        let middle = (times.len() - 1) / 2;
        let (_, median, _) = times.select_nth_unstable_by(middle, f64::total_cmp);
        *median
    }
}

fn sample_two(group: &[usize], rng: &mut impl Rng) -> impl Iterator<Item = usize> {
    let length = group.len();
    let first = (length > 0).then(|| rng.random_range(0..length.max(1)));
    let second = first.filter(|_| length > 1).map(|first| {
        let other = rng.random_range(0..length - 1);
        if other < first { other } else { cmp::min(other + 1, length - 1) }
    });
    let picked = [first, second].map(|index| index.map(|i| group[i]));
    picked.into_iter().flatten()
}
