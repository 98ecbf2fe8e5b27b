//! One attempt at one upstream, through the own gate or another daemon's.

use std::time;

use bytes::Bytes;
use http::HeaderValue;
use http::header;
use http_body::Body;
use http_body_util::BodyExt;
use lynxmast_protocol::envelope;
use lynxmast_protocol::header as names;
use lynxmast_state::clock;
use lynxmast_state::outcome;
use lynxmast_state::retry;
use lynxmast_state::router;

use crate::body;
use crate::body_error;
use crate::entry;
use crate::hop;
use crate::peers;
use crate::stalling;

type Answer<C> = Result<http::Response<body::AnswerBody<C>>, retry::AttemptEnd>;

/// Answers up to this size are read whole before anything is passed on, so that a cut one can
/// still be replaced or reported.
const WHOLE_MAX: u64 = 64 * 1024;
/// Time beyond the deadline that a gate gets to say how the request ended.
const VERDICT_GRACE: time::Duration = time::Duration::from_millis(20);

impl<C: clock::Clock> entry::Entry<C> {
    /// Tries one upstream.
    pub(super) async fn try_upstream(
        &self,
        job: &entry::Job,
        mut outstanding: entry::Outstanding<C>,
        nature: entry::Nature,
    ) -> Answer<C> {
        let started = self.shared.now();
        let envelope = envelope::Envelope {
            upstream: outstanding.candidate.id.clone(),
            organisation: job.decision.organisation.clone(),
            time_left: job.deadline.saturating_duration_since(started),
            policy: job.policy,
            idempotent: job.may_resend(),
            is_retry: nature.repeat,
            risk: nature.risk,
            rank: job.decision.route.rank,
            objective: job.objective_left(started),
        };
        let response = if outstanding.candidate.daemon == self.own {
            self.through_own_gate(job, &envelope, &mut outstanding).await
        } else {
            self.through_peer(job, &envelope, &mut outstanding).await
        };
        let response = match response {
            Ok(response) => response,
            Err(ended) => return Err(self.explain(job, ended)),
        };
        let took = self.shared.now().saturating_duration_since(started);
        let service = &job.decision.service.name;
        self.shared.with_traffic(service, |traffic| traffic.latency_p95.record(took.as_secs_f64()));
        let whole = collect_small(attach(response, outstanding)).await;
        whole.map_err(retry::AttemptEnd::MayHaveRun)
    }

    async fn through_own_gate(
        &self,
        job: &entry::Job,
        envelope: &envelope::Envelope,
        outstanding: &mut entry::Outstanding<C>,
    ) -> Result<http::Response<Passed<C>>, retry::AttemptEnd> {
        let request = request(job).map(body::RequestBody::Local);
        let attempted = self.gate.run(envelope, request).await;
        let is_error = attempted.result.as_ref().is_ok_and(|r| r.status().is_server_error());
        self.note(&attempted.verdict, is_error, outstanding);
        let of_call = attempted.verdict.dependency_failed;
        let passed = attempted.result.map(|response| response.map(Passed::Local));
        passed.map(|response| mark(response, of_call))
    }

    async fn through_peer(
        &self,
        job: &entry::Job,
        envelope: &envelope::Envelope,
        outstanding: &mut entry::Outstanding<C>,
    ) -> Result<http::Response<Passed<C>>, retry::AttemptEnd> {
        let mut request = request(job);
        envelope.write(request.headers_mut());
        if let Ok(secret) = HeaderValue::from_str(&self.identity.secret) {
            request.headers_mut().insert(names::FLEET_SECRET, secret);
        }
        let gate = outstanding.candidate.sidecar;
        let sent = self.peers.send(gate, request);
        let patience = envelope.time_left + VERDICT_GRACE;
        let sent = tokio::time::timeout(patience, sent).await;
        let mut response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(peers::PeerError::Unreachable)) => {
                outstanding.will_end(router::AttemptResult::Unavailable);
                let daemon = &outstanding.candidate.daemon;
                self.shared.router().record_sidecar_failure(daemon, self.shared.now());
                return Err(retry::AttemptEnd::NotRun(outcome::Refusal::Unreachable));
            }
            // A lost connection to the gate says nothing about the upstream behind it.
            Ok(Err(peers::PeerError::Lost(ended))) => {
                outstanding.will_end(router::AttemptResult::Refused);
                return Err(ended);
            }
            Err(_) => return Err(retry::AttemptEnd::MayHaveRun(outcome::Failure::Deadline)),
        };
        let bad = retry::AttemptEnd::MayHaveRun(outcome::Failure::BadResponse);
        let verdict = envelope::Verdict::read(response.headers()).map_err(|_| bad)?;
        self.note(&verdict, response.status().is_server_error(), outstanding);
        if let Some(ended) = verdict.ended {
            return Err(ended);
        }
        hop::strip_own_headers(response.headers_mut());
        let stall = job.decision.service.stall;
        let response =
            response.map(|incoming| Passed::Remote(stalling::Stalling::new(incoming, stall)));
        Ok(mark(response, verdict.dependency_failed))
    }

    /// Learns from what a gate said.
    fn note(
        &self,
        verdict: &envelope::Verdict,
        is_error: bool,
        outstanding: &mut entry::Outstanding<C>,
    ) {
        let now = self.shared.now();
        let id = &outstanding.candidate.id;
        if let Some(load) = verdict.load {
            self.shared.router().record_load(id, load, now);
        }
        if let Some(doubt) = verdict.failure_percent {
            self.shared.router().record_failure_probability(id, f64::from(doubt) / 100.0, now);
        }
        if verdict.policy > self.shared.view().version {
            self.gate.catch_up.notify_one();
        }
        use outcome::Failure::{CallerGone, Deadline, Stalled};
        use outcome::Refusal::{Draining, Misdirected, NoUpstream, Shed, Unreachable};
        outstanding.will_end(match (verdict.ended, verdict.elapsed) {
            (None, Some(took)) => router::AttemptResult::Responded { elapsed: took, is_error },
            (
                Some(retry::AttemptEnd::NotRun(Draining | Misdirected | NoUpstream | Unreachable)),
                _,
            ) => router::AttemptResult::Unavailable,
            (Some(retry::AttemptEnd::NotRun(Shed)), _) => router::AttemptResult::Failed,
            (Some(retry::AttemptEnd::NotRun(_)), _) => router::AttemptResult::Refused,
            (Some(retry::AttemptEnd::MayHaveRun(CallerGone)), _) => router::AttemptResult::Refused,
            // Keeps the time waited as what is known of the upstream.
            (Some(retry::AttemptEnd::MayHaveRun(Deadline | Stalled)), _) => return,
            _ => router::AttemptResult::Failed,
        });
    }

    /// Names the caller as the cause where the request body broke off.
    fn explain(&self, job: &entry::Job, ended: retry::AttemptEnd) -> retry::AttemptEnd {
        match ended {
            retry::AttemptEnd::MayHaveRun(_) if job.source.is_broken() => {
                retry::AttemptEnd::MayHaveRun(outcome::Failure::CallerGone)
            }
            other => other,
        }
    }
}

/// Marks an answer whose error is likely that of a call which the backend server made.
#[derive(Debug, Clone, Copy)]
pub struct OfCall;

fn mark<B>(mut response: http::Response<B>, of_call: bool) -> http::Response<B> {
    if of_call {
        response.extensions_mut().insert(OfCall);
    }
    response
}

/// Body of an answer before it is tied to its outstanding request.
enum Passed<C: clock::Clock> {
    Local(crate::exchange::GateBody<C>),
    Remote(stalling::Stalling),
}

fn request(job: &entry::Job) -> http::Request<crate::replay::Attempt> {
    let mut request = http::Request::new(job.source.attempt());
    *request.method_mut() = job.head.method.clone();
    *request.uri_mut() = job.head.uri.clone();
    *request.headers_mut() = job.head.headers.clone();
    request
}

fn attach<C: clock::Clock>(
    response: http::Response<Passed<C>>,
    outstanding: entry::Outstanding<C>,
) -> http::Response<body::AnswerBody<C>> {
    response.map(|passed| match passed {
        Passed::Local(body) => body::AnswerBody::Local(body, outstanding),
        Passed::Remote(body) => body::AnswerBody::Remote(body, outstanding),
    })
}

/// Reads a small answer whole; a large one, or one of unknown size, is passed on as it comes.
async fn collect_small<C: clock::Clock>(
    response: http::Response<body::AnswerBody<C>>,
) -> Result<http::Response<body::AnswerBody<C>>, outcome::Failure> {
    if response.body().is_end_stream() {
        return Ok(response.map(|_| body::AnswerBody::Empty));
    }
    let is_small = response.body().size_hint().exact().is_some_and(|size| size <= WHOLE_MAX);
    let has_trailers = response.headers().contains_key(header::TRAILER);
    if !is_small || has_trailers {
        return Ok(response);
    }
    let (parts, answer) = response.into_parts();
    let whole: Bytes = match answer.collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(body_error::BodyError::Stalled) => return Err(outcome::Failure::Stalled),
        Err(_) => return Err(outcome::Failure::Truncated),
    };
    Ok(http::Response::from_parts(parts, body::AnswerBody::Whole(whole)))
}
