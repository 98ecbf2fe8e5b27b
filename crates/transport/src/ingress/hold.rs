//! Holding a response until it is complete, so that a truncated one can be retried or reported.

use std::time;

use bytes::Bytes;
use http::header;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body as hyper_body;
use lynxmast_state::byte_budget;
use lynxmast_state::clock;
use lynxmast_state::outcome;
use lynxmast_state::response_hold;

use crate::body_error;
use crate::held_body;
use crate::ingress;
use crate::ingress::request_context;
use crate::read_ahead_body;
use crate::response_body;
use crate::stall_timeout;

type Response<C> = http::Response<response_body::ResponseBody<C>>;

impl<C: clock::Clock> ingress::Ingress<C> {
    /// Holds a response of known length as far as the byte budget and the time of the request allow.
    /// Other responses, and what arrives after that time, are streamed. If another attempt may follow,
    /// the response is given up once its upstream was silent for the service's stall timeout.
    ///
    /// # Errors
    ///
    /// Returns why the response is not complete.
    pub(super) async fn hold_response(
        &self,
        context: &request_context::RequestContext,
        response: Response<C>,
        may_retry: bool,
    ) -> Result<Response<C>, outcome::Failure> {
        if response.body().is_end_stream() {
            return Ok(response.map(|_| response_body::ResponseBody::Empty));
        }
        let has_trailers = response.headers().contains_key(header::TRAILER);
        let size = response.body().size_hint().exact().filter(|_| !has_trailers);
        let stall = may_retry.then_some(context.route_match.service.stall);
        let Some(size) = size else { return self.hold_unsized(context, response, stall).await };
        let started = self.shared.now();
        let service = &context.route_match.service.name;
        let objective_left = context.objective_remaining(started);
        let time_left = context.deadline.saturating_duration_since(started);
        let plan = self.shared.with_traffic(service, |traffic| {
            traffic.speed.plan(size, objective_left, time_left, started)
        });
        let until = match plan {
            response_hold::Plan::Hold => context.deadline + stall_timeout::LATE_PAUSE_MAX,
            response_hold::Plan::HoldFor(longest) => started + longest,
            response_hold::Plan::Stream => {
                count("slow");
                return Ok(response.map(|body| self.read_ahead(body)));
            }
        };
        let held = usize::try_from(size)
            .ok()
            .and_then(|size| self.shared.held_bytes.try_hold(byte_budget::Kind::Response, size));
        let Some(held) = held else {
            count("no-room");
            return Ok(response.map(|body| self.read_ahead(body)));
        };
        let (parts, body) = response.into_parts();
        let mut reading = Reading { buffer: Vec::with_capacity(size as usize), body };
        let end = reading.read(size, until, stall).await;
        let now = self.shared.now();
        let elapsed = now.saturating_duration_since(started);
        let read = reading.buffer.len() as u64;
        self.shared.with_traffic(service, |traffic| traffic.speed.record(read, elapsed, now));
        let Reading { buffer, body } = reading;
        let held = held_body::HeldBody::new(buffer, held);
        let body = match end {
            Ok(ReadEnd::Complete) => {
                count("whole");
                response_body::ResponseBody::Held(held)
            }
            Ok(ReadEnd::Partial) => {
                count("out-of-time");
                response_body::ResponseBody::Begun(held, Box::new(self.read_ahead(body)))
            }
            Err(error) => {
                count("broken");
                return Err(failure(error));
            }
        };
        Ok(http::Response::from_parts(parts, body))
    }

    /// Holds a response of unknown length, as far as the byte budget allows, for a caller of HTTP/1.0 that
    /// may still send its request. To such a caller the end of the connection is the end of the response,
    /// and if that is a reset, the kernel may report it to the writer alone. For other callers the
    /// response is streamed, as they notice that it is not complete.
    async fn hold_unsized(
        &self,
        context: &request_context::RequestContext,
        response: Response<C>,
        stall: Option<time::Duration>,
    ) -> Result<Response<C>, outcome::Failure> {
        if context.head.version > http::Version::HTTP_10 || context.body_size == 0 {
            return Ok(response.map(|body| self.read_ahead(body)));
        }
        let (parts, body) = response.into_parts();
        let mut held = self.shared.held_bytes.empty(byte_budget::Kind::Response);
        let mut reading = Reading { buffer: Vec::new(), body };
        let end = reading.read_counted(&mut held, stall).await;
        let Reading { buffer, body } = reading;
        let held = held_body::HeldBody::new(buffer, held);
        let body = match end {
            Ok(ReadEnd::Complete) => {
                count("whole");
                response_body::ResponseBody::Held(held)
            }
            Ok(ReadEnd::Partial) => {
                count("no-room");
                response_body::ResponseBody::Begun(held, Box::new(self.read_ahead(body)))
            }
            Err(error) => {
                count("broken");
                return Err(failure(error));
            }
        };
        Ok(http::Response::from_parts(parts, body))
    }

    /// Reads a body that is streamed ahead of its caller.
    fn read_ahead(&self, body: response_body::ResponseBody<C>) -> response_body::ResponseBody<C> {
        let held = self.shared.held_bytes.empty(byte_budget::Kind::ReadAhead);
        response_body::ResponseBody::ReadAhead(read_ahead_body::ReadAheadBody::new(body, held))
    }
}

/// A body that is read into memory.
struct Reading<C: clock::Clock> {
    buffer: Vec<u8>,
    body: response_body::ResponseBody<C>,
}

/// Why reading a body ended without an error.
enum ReadEnd {
    Complete,
    /// The time was over, or the byte budget had no room, before the end of the body.
    Partial,
}

impl<C: clock::Clock> Reading<C> {
    /// Reads a body of `size` bytes, at the latest `until` that time and with pauses of at most `stall`.
    async fn read(
        &mut self,
        size: u64,
        until: time::Instant,
        stall: Option<time::Duration>,
    ) -> Result<ReadEnd, body_error::BodyError> {
        match tokio::time::timeout_at(until.into(), self.read_all(size, stall)).await {
            Ok(result) => result,
            Err(_) => Ok(ReadEnd::Partial),
        }
    }

    async fn read_all(
        &mut self,
        size: u64,
        stall: Option<time::Duration>,
    ) -> Result<ReadEnd, body_error::BodyError> {
        while let Some(frame) = self.next_frame(stall).await {
            if let Ok(data) = frame?.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
        let is_complete = self.buffer.len() as u64 == size;
        is_complete.then_some(ReadEnd::Complete).ok_or(body_error::BodyError::Truncated)
    }

    /// Reads a body of unknown length until `held` has no room for more.
    async fn read_counted(
        &mut self,
        held: &mut byte_budget::Held,
        stall: Option<time::Duration>,
    ) -> Result<ReadEnd, body_error::BodyError> {
        while let Some(frame) = self.next_frame(stall).await {
            let Ok(data) = frame?.into_data() else { continue };
            let has_room = held.try_grow(data.len());
            if !has_room {
                held.grow(data.len());
            }
            self.buffer.extend_from_slice(&data);
            if !has_room {
                return Ok(ReadEnd::Partial);
            }
        }
        Ok(ReadEnd::Complete)
    }

    async fn next_frame(
        &mut self,
        stall: Option<time::Duration>,
    ) -> Option<Result<hyper_body::Frame<Bytes>, body_error::BodyError>> {
        let Some(stall) = stall else { return self.body.frame().await };
        match tokio::time::timeout(stall, self.body.frame()).await {
            Ok(frame) => frame,
            Err(_) => {
                self.body.record_failure();
                Some(Err(body_error::BodyError::Stalled))
            }
        }
    }
}

fn failure(error: body_error::BodyError) -> outcome::Failure {
    match error {
        body_error::BodyError::Stalled => outcome::Failure::Stalled,
        body_error::BodyError::Endless => outcome::Failure::Deadline,
        _ => outcome::Failure::Truncated,
    }
}

/// Counts a response by what became of holding it.
fn count(result: &'static str) {
    metrics::counter!("lynxmast_responses_held_total", "result" => result).increment(1);
}
