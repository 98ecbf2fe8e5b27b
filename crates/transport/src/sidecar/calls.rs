//! What the sidecar knows about calls and retries, for their place in queues and in the budget.

use std::hash;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync;
use std::time;

use lynxmast_protocol::envelope;
use lynxmast_state::clock;
use lynxmast_state::ids;
use lynxmast_state::parent_admission;
use lynxmast_state::priority;
use lynxmast_state::retry_need;
use lynxmast_state::running;

use crate::sidecar;
use crate::upstream;

impl<C: clock::Clock> sidecar::Sidecar<C> {
    /// Returns the number of running requests of local upstreams that may have made a call to
    /// `service`, and their most urgent rank.
    pub fn running_elsewhere(&self, service: &str) -> (usize, Option<u32>) {
        let upstreams = self.read_upstreams();
        let others = upstreams.values().filter(|upstream| &*upstream.id.service != service);
        others.map(|upstream| upstream.running()).fold((0, None), |(count, rank), next| {
            (count + next.0, rank.into_iter().chain(next.1).min())
        })
    }

    /// Returns the running request of a local upstream that has probably made a call to `service`
    /// that expires at `deadline`; `None` if there is none. A service does not call itself.
    pub fn find_parent(&self, service: &str, deadline: time::Instant) -> Option<running::Running> {
        let upstreams = self.read_upstreams();
        let others = upstreams.values().filter(|upstream| &*upstream.id.service != service);
        let parents = others.filter_map(|upstream| upstream.find_parent(deadline));
        parents.min_by_key(|(distance, _)| *distance).map(|(_, parent)| parent)
    }

    /// Returns the key of a request's route in the sidecar's policy; `None` if it has none.
    pub(super) fn route_key<B>(
        &self,
        request: &http::Request<B>,
    ) -> Option<parent_admission::RouteKey> {
        let host = request.headers().get(http::header::HOST)?.to_str().ok()?;
        let policy = self.shared.policy();
        let route = policy.find_route(host, request.uri().path(), request.method().as_str())?;
        let mut hasher = hash::DefaultHasher::new();
        (&route.host, &route.path, &route.methods).hash(&mut hasher);
        Some(hasher.finish())
    }

    /// Returns whether a request may start, as far as its calls are concerned. Calls and retries
    /// always may: work has been done for them.
    pub(super) fn may_start(
        &self,
        envelope: &envelope::Envelope,
        route: Option<parent_admission::RouteKey>,
        now: time::Instant,
    ) -> bool {
        let Some(route) = route.filter(|_| !envelope.is_call && !envelope.is_retry) else {
            return true;
        };
        let may_start = lock(&self.parents).admit(route, envelope.rank, now);
        if !may_start {
            self.record_held_back(&envelope.upstream.service, now);
        }
        may_start
    }

    /// Counts a request that was not started, and logs the first one in a while.
    fn record_held_back(&self, service: &ids::ServiceName, now: time::Instant) {
        metrics::counter!("lynxmast_parents_rejected_total", "service" => service.to_string())
            .increment(1);
        let last = lock(&self.last_held_back).replace(now);
        if last.is_none_or(|at| now.saturating_duration_since(at) >= HELD_BACK_GAP) {
            log::info!(
                event = "parents-rejected",
                service = &**service;
                "requests are not started while their calls are rejected"
            );
        }
    }

    /// Counts a request that has a slot.
    pub(super) fn record_start(&self, route: Option<parent_admission::RouteKey>) {
        if let Some(route) = route {
            lock(&self.parents).record_start(route, self.shared.now());
        }
    }

    /// Counts a call that a running request makes. Returns the value for
    /// [`Sidecar::record_call_end`](sidecar::Sidecar::record_call_end).
    pub fn record_call(
        &self,
        parent: &running::Running,
        service: &ids::ServiceName,
    ) -> parent_admission::HeldBack {
        let now = self.shared.now();
        parent.route.map_or(0.0, |route| lock(&self.parents).record_call(route, service, now))
    }

    /// Counts the end of a call, and whether it was rejected for lack of capacity.
    pub fn record_call_end(
        &self,
        service: &ids::ServiceName,
        held_back: parent_admission::HeldBack,
        is_rejected: bool,
    ) {
        lock(&self.parents).record_call_end(service, held_back, is_rejected, self.shared.now());
    }
}

/// Time without a rejected parent after which the next one is logged again.
const HELD_BACK_GAP: time::Duration = time::Duration::from_secs(5);

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

/// Returns how much a request needs a retry at an upstream.
pub fn retry_need<C: clock::Clock>(
    envelope: &envelope::Envelope,
    priority: &priority::Priority,
    upstream: &upstream::Upstream<C>,
    now: time::Instant,
) -> retry_need::RetryNeed {
    let mean = upstream.service_time().unwrap_or_default();
    let is_on_time = priority.meets_objective(now + mean) && mean < envelope.time_left;
    let success = 1.0 - f64::from(upstream.failure_percent(now)) / 100.0;
    let success = success * (1.0 - upstream.rejection_rate());
    let (is_call, rank) = (envelope.is_call, envelope.rank);
    retry_need::RetryNeed { is_call, rank, not_run: envelope.not_run, is_on_time, success }
}
