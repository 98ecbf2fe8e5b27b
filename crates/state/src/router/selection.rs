//! Selection among the upstreams of one service by availability, reported failure probability and
//! expected cost.

use std::time;

use rand::Rng;

use crate::router;

/// Cost of another failure domain as a fraction of the median latency.
const CROSS_DOMAIN_COST_FRACTION: f64 = 0.3;
/// Cost of another failure domain in seconds, in addition to the fraction of the median.
const CROSS_DOMAIN_COST_S: f64 = 0.001;
/// Factor by which the cost in the domain that the plan gives a request must exceed that in its own for
/// the request to stay. An ingress knows the load of few upstreams at a time, and without a report an
/// upstream that is full looks free.
const LEAVING_COST_FACTOR: f64 = 1.0;
/// Number of upstreams in the own failure domain that are compared.
const OWN_CHOICES: usize = 4;
/// Number of upstreams in other failure domains that are compared.
const OTHER_CHOICES: usize = 3;
/// Probability that a first attempt that may probe suspected upstreams does so, to detect a
/// recovery.
const PROBE_PROBABILITY: f64 = 0.2;

/// Least probability of success, as a fraction of the highest one, with which a suspected upstream
/// is selected while all are suspected.
const SUCCESS_SHARE_MIN: f64 = 0.5;

impl router::Pool {
    /// Returns the indexes of the selectable upstreams not yet tried: those that are not avoided and,
    /// if all of these in the service have fewer slots than the floor, the avoided ones whose
    /// back-off ends first. If every one of them has been tried and `criteria` allows it, the avoided
    /// ones are returned.
    pub(super) fn usable(&self, criteria: &router::Criteria<'_>) -> Vec<usize> {
        let is_avoided = |&index: &usize| self.upstreams[index].backoff.is_active(criteria.now);
        let (mut avoided, mut usable): (Vec<usize>, Vec<usize>) =
            (0..self.upstreams.len()).partition(is_avoided);
        avoided.sort_by_key(|&index| self.upstreams[index].backoff.ends_at());
        let mut slots = self.slots(&usable);
        let floor = floor(criteria, slots + self.slots(&avoided));
        let is_missing = |&index: &usize| {
            let is_missing = slots < floor;
            slots += self.upstreams[index].candidate.slots;
            is_missing
        };
        usable.extend(avoided.iter().copied().take_while(is_missing));
        let is_untried =
            |&index: &usize| !criteria.tried.contains(&self.upstreams[index].candidate.id.address);
        usable.retain(is_untried);
        if usable.is_empty() && criteria.use_avoided {
            usable.extend(avoided.into_iter().filter(is_untried));
        }
        usable
    }

    fn slots(&self, indexes: &[usize]) -> u32 {
        indexes.iter().map(|&index| self.upstreams[index].candidate.slots).sum()
    }

    /// Excludes upstreams whose limit has no room at the moment, unless that is true of all.
    pub(super) fn filter_limited(&self, usable: Vec<usize>, now: time::Instant) -> Vec<usize> {
        let has_room = |&index: &usize| self.upstreams[index].limit_wait(now).is_zero();
        let with_room: Vec<usize> = usable.iter().copied().filter(has_room).collect();
        if with_room.is_empty() { usable } else { with_room }
    }

    /// Excludes upstreams whose effective latency far exceeds the median, as long as the remaining
    /// ones have enough of the `usable` slots for the floor.
    pub(super) fn filter_slow(
        &self,
        usable: Vec<usize>,
        criteria: &router::Criteria<'_>,
    ) -> Vec<usize> {
        let median = self.median_latency(criteria.now);
        let is_fast = |&index: &usize| self.upstreams[index].is_fast(median, criteria.now);
        let fast: Vec<usize> = usable.iter().copied().filter(is_fast).collect();
        let floor = floor(criteria, self.slots(&usable));
        if self.slots(&fast) >= floor { fast } else { usable }
    }

    /// Filters upstreams by the failure probability that their sidecars report. Requests go to
    /// unsuspected upstreams or, if there are none, to those at least half as likely to succeed as
    /// the least suspected one, so that no single upstream gets all of them. A fraction of the
    /// first attempts that may probe goes to suspected upstreams, whose sidecars need results to
    /// detect a recovery.
    pub(super) fn filter_suspected(
        &self,
        usable: Vec<usize>,
        criteria: &router::Criteria<'_>,
        rng: &mut impl Rng,
    ) -> Vec<usize> {
        let is_suspected = |&index: &usize| {
            let detector = &self.upstreams[index].detector;
            detector.as_ref().is_some_and(|detector| detector.is_suspected(criteria.now))
        };
        let (mut suspected, healthy): (Vec<usize>, Vec<usize>) =
            usable.into_iter().partition(is_suspected);
        let is_first = criteria.tried.is_empty();
        let can_probe = criteria.may_probe && is_first && !suspected.is_empty();
        if can_probe && rng.random_bool(PROBE_PROBABILITY) {
            return suspected;
        }
        if !healthy.is_empty() {
            return healthy;
        }
        let success_probability = |&index: &usize| {
            let detector = &self.upstreams[index].detector;
            detector.as_ref().map_or(1.0, |d| 1.0 - d.failure_probability(criteria.now))
        };
        let highest = suspected.iter().map(success_probability).fold(0.0, f64::max);
        suspected.retain(|index| success_probability(index) >= highest * SUCCESS_SHARE_MIN);
        suspected
    }

    pub(super) fn next_round_robin(&mut self, usable: &[usize]) -> Option<usize> {
        self.cursor = self.cursor.wrapping_add(1);
        usable.get(self.cursor % usable.len().max(1)).copied()
    }

    pub(super) fn least_outstanding(&self, usable: &[usize], rng: &mut impl Rng) -> Option<usize> {
        let offset = rng.random_range(0..usable.len().max(1));
        let rotated = usable.iter().cycle().skip(offset).take(usable.len());
        rotated.copied().min_by_key(|&index| self.upstreams[index].outstanding)
    }

    /// Returns the upstream with the lowest cost among some random ones in failure domain `domain`
    /// and some in other domains. The latter cost more by the latency and the bytes of the transfer,
    /// except for the requests that are to leave the domain according to the service's plan; those
    /// are compared with upstreams of the domain that the plan gives them.
    pub(super) fn lowest_cost(
        &self,
        usable: &[usize],
        domain: &str,
        criteria: &router::Criteria<'_>,
        rng: &mut impl Rng,
    ) -> Option<usize> {
        let (mut same_domain, mut others): (Vec<usize>, Vec<usize>) =
            usable.iter().partition(|&&i| &*self.upstreams[i].candidate.domain == domain);
        let target = self.plan.draw(criteria.class(), rng);
        let is_target = |&index: &usize| Some(&self.upstreams[index].candidate.domain) == target;
        let is_leaving = others.iter().any(is_target);
        if is_leaving {
            others.retain(is_target);
        }
        let median = self.median_latency(criteria.now);
        let own = self.cheapest(sample(&mut same_domain, OWN_CHOICES, rng), median, criteria.now);
        let other = self.cheapest(sample(&mut others, OTHER_CHOICES, rng), median, criteria.now);
        let (Some((own_cost, own_index)), Some((other_cost, other_index))) = (own, other) else {
            return own.or(other).map(|(_, index)| index);
        };
        if is_leaving {
            let stays = other_cost > own_cost * LEAVING_COST_FACTOR;
            return Some(if stays { own_index } else { other_index });
        }
        let other_cost = other_cost + CROSS_DOMAIN_COST_FRACTION * median + CROSS_DOMAIN_COST_S;
        let surcharge = transfer_surcharge(criteria, own_cost, other_cost);
        Some(if other_cost + surcharge < own_cost { other_index } else { own_index })
    }

    /// Returns the lowest cost of the upstreams and the index of the one that has it.
    fn cheapest(&self, indexes: &[usize], median: f64, now: time::Instant) -> Option<(f64, usize)> {
        let costs = indexes.iter().map(|&index| (self.upstreams[index].cost(median, now), index));
        costs.min_by(|(left, _), (right, _)| left.total_cmp(right))
    }

    pub(super) fn median_latency(&self, now: time::Instant) -> f64 {
        let measured = self.upstreams.values().filter(|u| u.latency.weight(now) > 0.0);
        let mut times: Vec<f64> = measured.filter_map(|u| u.latency.value()).collect();
        if times.is_empty() {
            return router::LATENCY_DEFAULT_S;
        }
        let middle = (times.len() - 1) / 2;
        let (_, median, _) = times.select_nth_unstable_by(middle, f64::total_cmp);
        *median
    }
}

/// Returns the minimum number of slots, out of `slots`, that must remain selectable; at least 1.
fn floor(criteria: &router::Criteria<'_>, slots: u32) -> u32 {
    let share = (f64::from(slots) * criteria.floor_share).ceil() as u32;
    criteria.floor.max(share).max(1)
}

/// Returns the cost in seconds of the bytes that another failure domain would send and receive. It is
/// waived if only that domain can meet the request's objective: the price delays requests that can
/// wait and makes none late.
fn transfer_surcharge(criteria: &router::Criteria<'_>, own_cost: f64, other_cost: f64) -> f64 {
    let objective = criteria.objective.map_or(f64::INFINITY, |left| left.as_secs_f64());
    if own_cost > objective && other_cost <= objective {
        return 0.0;
    }
    criteria.transfer_seconds()
}

/// Moves up to `count` random entries of the group to its front and returns them.
fn sample<'a>(group: &'a mut [usize], count: usize, rng: &mut impl Rng) -> &'a [usize] {
    let count = count.min(group.len());
    for position in 0..count {
        group.swap(position, rng.random_range(position..group.len()));
    }
    &group[..count]
}
