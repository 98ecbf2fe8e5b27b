//! Metadata that an ingress and a sidecar exchange in headers, alongside a request and its
//! response.

use std::net;
use std::str;
use std::time;

use displaydoc::Display;
use http::header::HeaderMap;
use http::header::HeaderName;
use http::header::HeaderValue;
use lynxmast_state::ids;
use lynxmast_state::load;
use lynxmast_state::outcome;
use lynxmast_state::outlier;
use lynxmast_state::request_limit;
use lynxmast_state::retry;

use crate::header;

/// Metadata of a forwarded request, sent from the ingress to the sidecar.
#[derive(Debug, Clone, PartialEq)]
pub struct Envelope {
    /// Upstream selected for the request.
    pub upstream: ids::UpstreamId,
    /// Organisation that the request is accounted to.
    pub organisation: ids::OrganisationName,
    /// Time left until the deadline.
    pub time_left: time::Duration,
    /// Policy version that the ingress used to route the request.
    pub policy: ids::PolicyVersion,
    /// Whether the sidecar may send the request a second time, on a new connection.
    pub may_resend: bool,
    /// Whether the ingress has asked another sidecar for the request before.
    pub is_redirected: bool,
    /// Whether the request has already been sent to a backend server.
    pub is_retry: bool,
    /// Whether the request is a retry of which it is known that no earlier attempt has run it.
    pub not_run: bool,
    /// Probability that the request is a call made by a backend server while serving a retry, from
    /// 0 to 1.
    pub retry_probability: f64,
    /// Risk tolerance: how strongly the upstream may be suspected of failing.
    pub risk: outlier::RiskTolerance,
    /// Rank of the route; 0 is the highest priority.
    pub rank: u32,
    /// Time left to meet the response-time objective, zero once it is missed; `None` if the route
    /// has no objective.
    pub objective: Option<time::Duration>,
    /// Whether the request is a call of a request that is running at a backend server, as far as the
    /// ingress knows.
    pub is_call: bool,
}

/// Error for a header that is missing or cannot be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum HeaderError {
    /// header {0} is missing or malformed
    Malformed(&'static str),
}

impl std::error::Error for HeaderError {}

impl Envelope {
    /// Writes the envelope into a request's headers.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_protocol::envelope;
    /// use lynxmast_state::ids;
    /// use std::time::Duration;
    ///
    /// let address = "127.0.0.1:80".parse().unwrap();
    /// let envelope = envelope::Envelope {
    ///     upstream: ids::UpstreamId { service: "media".into(), address },
    ///     organisation: "public".into(),
    ///     time_left: Duration::from_millis(250),
    ///     policy: 7,
    ///     may_resend: false,
    ///     is_redirected: false,
    ///     is_retry: false,
    ///     not_run: false,
    ///     retry_probability: 0.0,
    ///     risk: Default::default(),
    ///     rank: 0,
    ///     objective: None,
    ///     is_call: false,
    /// };
    /// let mut headers = http::HeaderMap::new();
    /// envelope.write(&mut headers);
    /// assert_eq!(envelope::Envelope::read(&headers), Ok(envelope));
    /// ```
    pub fn write(&self, headers: &mut HeaderMap) {
        put(headers, header::SERVICE, &self.upstream.service);
        put(headers, header::UPSTREAM, &self.upstream.address.to_string());
        put(headers, header::ORGANISATION, &self.organisation);
        put(headers, header::TIME_LEFT_US, &self.time_left.as_micros().to_string());
        put(headers, header::POLICY_VERSION, &self.policy.to_string());
        put(headers, header::MAY_RESEND, &self.may_resend.to_string());
        if self.is_redirected {
            put(headers, header::REDIRECTED, "true");
        }
        if self.is_retry {
            put(headers, header::RETRY, if self.not_run { header::RETRY_NOT_RUN } else { "true" });
        }
        if self.retry_probability > 0.0 {
            put(headers, header::RETRY_PROBABILITY, &self.retry_probability.to_string());
        }
        if self.risk != outlier::RiskTolerance::Avoid {
            put(headers, header::RISK, self.risk.as_str());
        }
        if self.rank > 0 {
            put(headers, header::RANK, &self.rank.to_string());
        }
        if let Some(objective) = self.objective {
            put(headers, header::OBJECTIVE_US, &objective.as_micros().to_string());
        }
        if self.is_call {
            put(headers, header::CALL, "true");
        }
    }

    /// Reads an envelope from a request's headers.
    ///
    /// # Errors
    ///
    /// Returns the name of the first required header that is missing, repeated or malformed. An
    /// optional header that is malformed counts as missing.
    pub fn read(headers: &HeaderMap) -> Result<Self, HeaderError> {
        let service: String = get(headers, header::SERVICE)?;
        let address: net::SocketAddr = get(headers, header::UPSTREAM)?;
        let organisation: String = get(headers, header::ORGANISATION)?;
        Ok(Self {
            upstream: ids::UpstreamId { service: service.into(), address },
            organisation: organisation.into(),
            time_left: time::Duration::from_micros(get(headers, header::TIME_LEFT_US)?),
            policy: get(headers, header::POLICY_VERSION)?,
            may_resend: get(headers, header::MAY_RESEND)?,
            is_redirected: headers.contains_key(header::REDIRECTED),
            is_retry: headers.contains_key(header::RETRY),
            not_run: headers.get(header::RETRY).is_some_and(|v| v == header::RETRY_NOT_RUN),
            retry_probability: read_probability(headers, header::RETRY_PROBABILITY),
            risk: read_risk(headers),
            rank: single(headers, header::RANK).unwrap_or(0),
            objective: single(headers, header::OBJECTIVE_US).map(time::Duration::from_micros),
            is_call: headers.contains_key(header::CALL),
        })
    }
}

/// Result of an attempt as seen by the sidecar, sent to the ingress with the response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptReport {
    /// Why there is no response from the backend server; `None` if there is one.
    pub end: Option<retry::AttemptEnd>,
    /// Load of the upstream; `None` if the sidecar does not know the upstream.
    pub load: Option<load::Load>,
    /// Time from forwarding the request to receiving the response head; `None` if the request was
    /// not forwarded.
    pub elapsed: Option<time::Duration>,
    /// Failure probability of the upstream in percent; `None` if the sidecar does not know the
    /// upstream.
    pub failure_percent: Option<u8>,
    /// Whether an error response follows the failure of a call that the backend server itself
    /// made, so that the fault is probably not in the backend server.
    pub dependency_failed: bool,
    /// Incarnation of the upstream that crashed while it ran the request.
    pub crashed: Option<ids::Incarnation>,
    /// What the limit of the upstream leaves for further requests; `None` if it names no limit.
    pub room: Option<request_limit::Room>,
    /// Incarnation of the upstream that has stated in a response that it is about to leave.
    pub leaving: Option<ids::Incarnation>,
    /// Retries that the budget of the upstream allows; `None` if the ingresses keep the budget.
    pub retries_left: Option<u32>,
    /// Version of the policy that is active at the sidecar.
    pub policy: ids::PolicyVersion,
}

impl AttemptReport {
    /// Writes the report into a response's headers.
    pub fn write(&self, headers: &mut HeaderMap) {
        let outcome = self.end.map_or(outcome::Outcome::Answered, retry::AttemptEnd::outcome);
        put(headers, header::OUTCOME, outcome.as_str());
        put(headers, header::REASON, outcome.reason());
        put(headers, header::POLICY_VERSION, &self.policy.to_string());
        if let Some(load) = self.load {
            put(headers, header::LOAD, &load.to_string());
        }
        if let Some(elapsed) = self.elapsed {
            put(headers, header::ELAPSED_US, &elapsed.as_micros().to_string());
        }
        if let Some(percent) = self.failure_percent {
            put(headers, header::FAILURE_PERCENT, &percent.to_string());
        }
        if self.dependency_failed {
            put(headers, header::DEPENDENCY_FAILED, "true");
        }
        if let Some(incarnation) = self.crashed {
            put(headers, header::CRASHED, &incarnation.to_string());
        }
        if let Some(room) = self.room {
            put(headers, header::ROOM, &room.to_string());
        }
        if let Some(incarnation) = self.leaving {
            put(headers, header::LEAVING_INCARNATION, &incarnation.to_string());
        }
        if let Some(retries) = self.retries_left {
            put(headers, header::RETRIES_LEFT, &retries.to_string());
        }
    }

    /// Reads a report from a response's headers.
    ///
    /// # Errors
    ///
    /// Returns the name of the first required header that is missing, repeated or malformed. An
    /// optional header that is malformed counts as missing.
    pub fn read(headers: &HeaderMap) -> Result<Self, HeaderError> {
        let outcome: String = get(headers, header::OUTCOME)?;
        let reason: String = get(headers, header::REASON)?;
        let malformed = HeaderError::Malformed(header::REASON);
        let rejection = || outcome::Rejection::parse(&reason).map(retry::AttemptEnd::NotRun);
        let failure = || outcome::Failure::parse(&reason).map(retry::AttemptEnd::MayHaveRun);
        let end = match outcome.as_str() {
            "answered" => None,
            "not-run" => Some(rejection().ok_or(malformed)?),
            "may-have-run" => Some(failure().ok_or(malformed)?),
            _ => return Err(HeaderError::Malformed(header::OUTCOME)),
        };
        let elapsed = get(headers, header::ELAPSED_US).ok().map(time::Duration::from_micros);
        let (load, failure_percent) =
            (single(headers, header::LOAD), single(headers, header::FAILURE_PERCENT));
        let dependency_failed = headers.contains_key(header::DEPENDENCY_FAILED);
        Ok(Self {
            end,
            load,
            elapsed,
            failure_percent,
            dependency_failed,
            crashed: single(headers, header::CRASHED),
            room: single(headers, header::ROOM),
            leaving: single(headers, header::LEAVING_INCARNATION),
            retries_left: single(headers, header::RETRIES_LEFT),
            policy: get(headers, header::POLICY_VERSION)?,
        })
    }
}

/// Reads the risk tolerance. An unknown value, such as one from a daemon of another release, is
/// treated like a missing header.
fn read_risk(headers: &HeaderMap) -> outlier::RiskTolerance {
    let value: Option<String> = single(headers, header::RISK);
    value.and_then(|value| outlier::RiskTolerance::parse(&value)).unwrap_or_default()
}

/// Reads a probability; 0 if it is missing or not between 0 and 1.
fn read_probability(headers: &HeaderMap, name: &str) -> f64 {
    single(headers, name).filter(|value| (0.0..=1.0).contains(value)).unwrap_or(0.0)
}

/// Sets a header; omits it if the value is not valid in a header.
fn put(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Parses a header that must occur exactly once.
///
/// # Errors
///
/// Returns the name of the header if it is missing, repeated or malformed.
pub fn get<T: str::FromStr>(headers: &HeaderMap, name: &'static str) -> Result<T, HeaderError> {
    single(headers, name).ok_or(HeaderError::Malformed(name))
}

/// Parses a header that occurs at most once; returns `None` if it is missing, repeated or
/// malformed.
///
/// # Examples
///
/// ```
/// use lynxmast_protocol::envelope;
/// let mut headers = http::HeaderMap::new();
/// headers.insert("x-count", "7".parse().unwrap());
/// assert_eq!(envelope::single(&headers, "x-count"), Some(7));
/// assert_eq!(envelope::single::<u32>(&headers, "x-other"), None);
/// ```
pub fn single<T: str::FromStr>(headers: &HeaderMap, name: &str) -> Option<T> {
    let mut values = headers.get_all(name).iter();
    let (first, second) = (values.next(), values.next());
    let text = first.filter(|_| second.is_none()).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.parse().ok())
}

#[cfg(test)]
mod tests;
