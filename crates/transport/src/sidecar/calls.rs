//! What the sidecar knows about calls and retries, for their place in queues and in the budget.

use std::time;

use lynxmast_protocol::envelope;
use lynxmast_state::clock;
use lynxmast_state::priority;
use lynxmast_state::retry_need;
use lynxmast_state::running;

use crate::sidecar;
use crate::upstream;

impl<C: clock::Clock> sidecar::Sidecar<C> {
    /// Returns the number of running requests of local upstreams that may have made a call to
    /// `service`.
    pub fn running_elsewhere(&self, service: &str) -> usize {
        let upstreams = self.read_upstreams();
        let others = upstreams.values().filter(|upstream| &*upstream.id.service != service);
        others.map(|upstream| upstream.running()).sum()
    }

    /// Returns the running request of a local upstream that has probably made a call to `service`
    /// that expires at `deadline`; `None` if there is none. A service does not call itself.
    pub fn find_parent(&self, service: &str, deadline: time::Instant) -> Option<running::Running> {
        let upstreams = self.read_upstreams();
        let others = upstreams.values().filter(|upstream| &*upstream.id.service != service);
        let parents = others.filter_map(|upstream| upstream.find_parent(deadline));
        parents.min_by_key(|(distance, _)| *distance).map(|(_, parent)| parent)
    }
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
