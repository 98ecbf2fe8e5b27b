//! What an entry writes and counts of requests: log lines and metrics.

use std::net;
use std::time;

use lynxmast_state::clock;
use lynxmast_state::outcome;
use lynxmast_state::retry;

use crate::entry;

/// Requests answered well between two that leave a line: a line every few seconds at most at a busy
/// daemon.
pub const SUCCESSES_LEFT_OUT: u64 = 200;

impl<C: clock::Clock> entry::Entry<C> {
    /// Records how long a request took, by service and outcome.
    pub(super) fn measure<B>(
        &self,
        job: &entry::Job,
        served: &Result<http::Response<B>, retry::AttemptEnd>,
    ) {
        let (outcome, _) = outcome_of(served);
        let took = self.shared.now().saturating_duration_since(job.arrived);
        metrics::histogram!(
            "lynxmast_request_seconds",
            "service" => job.decision.service.name.to_string(),
            "outcome" => outcome.as_str()
        )
        .record(took.as_secs_f64());
    }

    /// Writes a line on one of many requests that were answered well, with the number of those
    /// left out.
    pub(super) fn log_success(&self, job: &entry::Job, progress: &entry::Progress, status: u16) {
        let Some(left_out) = self.successes.sample() else { return };
        let took = self.shared.now().saturating_duration_since(job.arrived);
        log::info!(
            event = "served",
            id = job.id(&self.identity.dialect),
            service = &*job.decision.service.name,
            route = &*job.decision.route.path,
            policy = job.policy,
            status,
            attempts = progress.attempts,
            asked = progress.asked,
            took_ms = took.as_millis() as u64,
            left_out;
            ""
        );
    }

    /// Writes one line on a request that was not answered well, with what decided it.
    pub(super) fn log_end<B>(
        &self,
        job: &entry::Job,
        progress: &entry::Progress,
        served: &Result<http::Response<B>, retry::AttemptEnd>,
    ) {
        let (outcome, status) = outcome_of(served);
        if is_good(outcome, status) {
            return self.log_success(job, progress, status);
        }
        let now = self.shared.now();
        self.gate.note_failed_call(now);
        log::info!(
            event = "request",
            id = job.id(&self.identity.dialect),
            service = &*job.decision.service.name,
            route = &*job.decision.route.path,
            policy = job.policy,
            outcome = outcome.as_str(),
            reason = outcome.reason(),
            status,
            attempts = progress.attempts,
            asked = progress.asked,
            over_budget = progress.is_over_budget,
            took_ms = now.saturating_duration_since(job.arrived).as_millis() as u64,
            left_ms = job.deadline.saturating_duration_since(now).as_millis() as u64;
            "not served"
        );
    }

    /// Writes one line on an attempt that was not answered well.
    pub(super) fn log_attempt<B>(
        &self,
        job: &entry::Job,
        upstream: net::SocketAddr,
        gate: net::SocketAddr,
        started: time::Instant,
        answer: &Result<http::Response<B>, retry::AttemptEnd>,
    ) {
        let (outcome, status) = outcome_of(answer);
        if is_good(outcome, status) {
            return;
        }
        log::info!(
            event = "attempt",
            id = job.id(&self.identity.dialect),
            upstream:% = upstream,
            gate:% = gate,
            outcome = outcome.as_str(),
            reason = outcome.reason(),
            status,
            took_ms = self.shared.now().saturating_duration_since(started).as_millis() as u64;
            "attempt ended"
        );
    }
}

/// Returns the outcome of a request or attempt and the status of its answer, 0 without one.
fn outcome_of<B>(ended: &Result<http::Response<B>, retry::AttemptEnd>) -> (outcome::Outcome, u16) {
    match ended {
        Ok(response) => (outcome::Outcome::Answered, response.status().as_u16()),
        Err(ended) => (ended.outcome(), 0),
    }
}

/// Tells whether a request was answered without a server error.
fn is_good(outcome: outcome::Outcome, status: u16) -> bool {
    outcome == outcome::Outcome::Answered && status < 500
}

/// Counts an outcome by service and reason.
pub fn count(service: &str, outcome: outcome::Outcome) {
    metrics::counter!(
        "lynxmast_requests_total",
        "service" => service.to_owned(),
        "outcome" => outcome.as_str(),
        "reason" => outcome.reason()
    )
    .increment(1);
}
