//! What an entry tells a gate about a request, and what the gate tells of the result.

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
use lynxmast_state::retry;

use crate::header;

/// Request context from entry to gate, carried in headers.
#[derive(Debug, Clone, PartialEq)]
pub struct Envelope {
    /// Upstream to run the request.
    pub upstream: ids::UpstreamId,
    /// Organisation that the request is counted for.
    pub organisation: ids::OrganisationName,
    /// Time left until the deadline.
    pub left: time::Duration,
    /// Policy version that the entry decided with.
    pub policy: ids::PolicyVersion,
    /// Whether the gate may send the request a second time, on a new connection.
    pub idempotent: bool,
    /// Whether a backend server has been asked before for the same request.
    pub repeat: bool,
    /// How doubted the upstream may be.
    pub risk: outlier::RiskTolerance,
    /// Rank of the route; 0 is the most urgent.
    pub rank: u32,
    /// Time until an answer is worth less to the caller, zero if it is already; `None` if that
    /// does not depend on time.
    pub objective: Option<time::Duration>,
}

/// A header is missing or cannot be read.
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
    /// let sent = envelope::Envelope {
    ///     upstream: ids::UpstreamId { service: "media".into(), address },
    ///     organisation: "public".into(),
    ///     left: Duration::from_millis(250),
    ///     policy: 7,
    ///     idempotent: false,
    ///     repeat: false,
    ///     risk: Default::default(),
    ///     rank: 0,
    ///     objective: None,
    /// };
    /// let mut headers = http::HeaderMap::new();
    /// sent.write(&mut headers);
    /// assert_eq!(envelope::Envelope::read(&headers), Ok(sent));
    /// ```
    pub fn write(&self, headers: &mut HeaderMap) {
        put(headers, header::SERVICE, &self.upstream.service);
        put(headers, header::UPSTREAM, &self.upstream.address.to_string());
        put(headers, header::ORGANISATION, &self.organisation);
        put(headers, header::LEFT_US, &self.left.as_micros().to_string());
        put(headers, header::POLICY, &self.policy.to_string());
        put(headers, header::IDEMPOTENT, &self.idempotent.to_string());
        if self.repeat {
            put(headers, header::REPEAT, "true");
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
    }

    /// Reads an envelope from a request's headers.
    ///
    /// # Errors
    ///
    /// Names the first header that is missing or malformed.
    pub fn read(headers: &HeaderMap) -> Result<Self, HeaderError> {
        let service: String = get(headers, header::SERVICE)?;
        let address: net::SocketAddr = get(headers, header::UPSTREAM)?;
        let organisation: String = get(headers, header::ORGANISATION)?;
        Ok(Self {
            upstream: ids::UpstreamId { service: service.into(), address },
            organisation: organisation.into(),
            left: time::Duration::from_micros(get(headers, header::LEFT_US)?),
            policy: get(headers, header::POLICY)?,
            idempotent: get(headers, header::IDEMPOTENT)?,
            repeat: headers.contains_key(header::REPEAT),
            risk: read_risk(headers),
            rank: single(headers, header::RANK).unwrap_or(0),
            objective: single(headers, header::OBJECTIVE_US).map(time::Duration::from_micros),
        })
    }
}

/// Verdict on an attempt as the gate tells it, next to the answer itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Verdict {
    /// Why there is no answer; `None` for an answer.
    pub ended: Option<retry::AttemptEnd>,
    /// Load of the upstream, if the gate knows the upstream.
    pub load: Option<load::Load>,
    /// Time from hand-over to the answer's head, if handed over.
    pub took: Option<time::Duration>,
    /// How likely the gate takes its upstream to be failing, in percent.
    pub doubt: Option<u8>,
    /// Whether an error follows the failure of a call that the backend server made, so that it is
    /// likely not its own.
    pub of_call: bool,
    /// Policy version in force at the gate.
    pub policy: ids::PolicyVersion,
}

impl Verdict {
    /// Writes the result into an answer's headers.
    pub fn write(&self, headers: &mut HeaderMap) {
        let outcome = self.ended.map_or(outcome::Outcome::Answered, retry::AttemptEnd::outcome);
        put(headers, header::OUTCOME, outcome.as_str());
        put(headers, header::REASON, outcome.reason());
        put(headers, header::POLICY, &self.policy.to_string());
        if let Some(load) = self.load {
            put(headers, header::LOAD, &load.to_string());
        }
        if let Some(took) = self.took {
            put(headers, header::TOOK_US, &took.as_micros().to_string());
        }
        if let Some(doubt) = self.doubt {
            put(headers, header::DOUBT, &doubt.to_string());
        }
        if self.of_call {
            put(headers, header::OF_CALL, "true");
        }
    }

    /// Reads a result from an answer's headers.
    ///
    /// # Errors
    ///
    /// Names the first header that is missing or malformed.
    pub fn read(headers: &HeaderMap) -> Result<Self, HeaderError> {
        let outcome: String = get(headers, header::OUTCOME)?;
        let reason: String = get(headers, header::REASON)?;
        let bad = HeaderError::Malformed(header::REASON);
        let refusal = || outcome::Refusal::parse(&reason).map(retry::AttemptEnd::NotRun);
        let failure = || outcome::Failure::parse(&reason).map(retry::AttemptEnd::MayHaveRun);
        let ended = match outcome.as_str() {
            "answered" => None,
            "not-run" => Some(refusal().ok_or(bad)?),
            "may-have-run" => Some(failure().ok_or(bad)?),
            _ => return Err(HeaderError::Malformed(header::OUTCOME)),
        };
        let took = get(headers, header::TOOK_US).ok().map(time::Duration::from_micros);
        let (load, doubt) = (single(headers, header::LOAD), single(headers, header::DOUBT));
        let of_call = headers.contains_key(header::OF_CALL);
        Ok(Self { ended, load, took, doubt, of_call, policy: get(headers, header::POLICY)? })
    }
}

/// Sets a header whose value is known to be printable; other values are left out.
/// Reads the risk; a daemon of another release may name one that is not known here.
fn read_risk(headers: &HeaderMap) -> outlier::RiskTolerance {
    let word: Option<String> = single(headers, header::RISK);
    word.and_then(|word| outlier::RiskTolerance::parse(&word)).unwrap_or_default()
}

fn put(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}

/// Reads a header that occurs exactly once.
///
/// # Errors
///
/// Names the header if it is missing, repeated or malformed.
pub fn get<T: str::FromStr>(headers: &HeaderMap, name: &'static str) -> Result<T, HeaderError> {
    single(headers, name).ok_or(HeaderError::Malformed(name))
}

/// Reads a header that must occur once; `None` if it is missing, repeated or unreadable.
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
