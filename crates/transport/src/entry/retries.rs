//! Retries of an entry: when another attempt makes sense, and who pays for it.

use std::time;

use lynxmast_state::clock;
use lynxmast_state::outcome;
use lynxmast_state::policy::service;
use lynxmast_state::retry;

use crate::entry;
use crate::entry::attempt;

/// Shortest time before a hedge.
const HEDGE_MIN: time::Duration = time::Duration::from_millis(5);

impl<C: clock::Clock> entry::Entry<C> {
    /// Counts a first attempt for the retry budget of its service.
    pub(super) fn deposit(&self, service: &service::Service) {
        let now = self.shared.now();
        // Calls that a repeated request makes count as repeats too; none goes to its own service.
        let is_own = *service.name == *self.identity.service;
        let repeats = if is_own { 0.0 } else { self.gate.repeat_share() };
        let shared = service.retry_reserve.map(|reserve| retry::FleetBudget {
            ratio: service.retry_ratio,
            reserve,
            window: service.retry_window,
            daemons: self.shared.membership().live_records(now).count(),
        });
        self.shared.with_traffic(&service.name, |traffic| match shared {
            Some(shared) => traffic.budget.deposit_fleet(&shared, repeats, now),
            None => traffic.budget.deposit(service.retry_ratio),
        });
    }

    /// Tells whether a server error is better replaced by another attempt. The error of a call is
    /// not: the call has been repeated where it failed, and another attempt would repeat all calls,
    /// each at the cost of the budget of the service called.
    pub(super) fn may_replace<B>(
        &self,
        job: &entry::Job,
        response: &http::Response<B>,
        progress: &mut entry::Progress,
    ) -> bool {
        let shed = retry::AttemptEnd::MayHaveRun(outcome::Failure::Shed);
        let others = self.shared.router().candidates(&job.decision.service.name).len();
        let of_call = response.extensions().get::<attempt::OfCall>().is_some();
        response.status().is_server_error()
            && !of_call
            && others > progress.tried.len()
            && self.wants_retry(job, shed, progress.attempts + 1, progress)
    }

    pub(super) fn wants_retry(
        &self,
        job: &entry::Job,
        ended: retry::AttemptEnd,
        attempts: u32,
        progress: &mut entry::Progress,
    ) -> bool {
        let situation = retry::RetryContext {
            end: ended,
            idempotent: job.idempotent,
            replayable: job.source.is_replayable(),
            attempts,
            attempts_max: job.decision.route.attempts,
            remaining: job.deadline.saturating_duration_since(self.shared.now()),
        };
        let service = &job.decision.service.name;
        if !retry::should_retry(&situation) {
            return false;
        }
        let is_paid = !ended.reached_upstream()
            || self.shared.with_traffic(service, |traffic| traffic.budget.withdraw());
        progress.is_over_budget = !is_paid;
        is_paid
    }

    pub(super) fn may_probe(&self, job: &entry::Job) -> bool {
        let service = &job.decision.service.name;
        self.shared.with_traffic(service, |traffic| traffic.budget.has_spare())
    }

    pub(super) fn hedge_after(&self, job: &entry::Job) -> Option<time::Duration> {
        let service = &job.decision.service;
        let may = service.hedge && retry::is_safe_to_retry(None, job.idempotent);
        let usual = self.shared.with_traffic(&service.name, |t| t.latency_p95.value());
        let patience = usual.filter(|_| may).map(time::Duration::from_secs_f64)?;
        Some(patience.mul_f64(service.hedge_after).max(HEDGE_MIN))
    }

    pub(super) fn pick_hedge(
        &self,
        job: &entry::Job,
        progress: &mut entry::Progress,
    ) -> Option<entry::Outstanding<C>> {
        let service = &job.decision.service.name;
        let possible = job.source.is_whole() && progress.attempts + 1 < job.decision.route.attempts;
        if !possible || !self.shared.with_traffic(service, |t| t.budget.withdraw()) {
            return None;
        }
        let picked = self.pick(job, progress).ok()?;
        progress.attempts += 1;
        Some(picked)
    }
}
