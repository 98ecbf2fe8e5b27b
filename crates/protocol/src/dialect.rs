//! How requests and answers are marked towards callers and backend servers.
//!
//! lynxmast speaks its own header names unless an adapter provides others; the meaning of each is
//! the same in every dialect.

use std::time;

use http::header::HeaderMap;
use http::header::HeaderName;
use http::header::HeaderValue;

use crate::header;

/// Names and units of the headers exchanged with callers and backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dialect {
    /// Time that the caller waits, in milliseconds; set by callers.
    pub patience: HeaderName,
    /// Time left for a request, set by the gate.
    pub left: HeaderName,
    /// Unit of `left`.
    pub unit: Unit,
    /// Id that a backend server returns with its answer.
    pub exchange: HeaderName,
    /// Whether callers choose the exchange id; the gate makes one otherwise.
    pub callers_id: bool,
    /// Backend server that a request is meant for; set by the gate.
    pub instance: Option<HeaderName>,
    /// Service on whose VM a request began; set by the entry, whatever the caller sent.
    pub origin: Option<HeaderName>,
    /// Marks an answer of a backend server that has not run the request.
    pub not_run: Option<HeaderName>,
    /// Whether an answer without length or chunks ends with its connection. Where it does, a reset
    /// connection still counts as a cut.
    pub unframed: bool,
    /// Whether callers read fractions of seconds.
    pub fractions: bool,
    /// Whether paths with more than one reading are passed on as they are.
    pub raw_paths: bool,
}

/// Unit of a time in a header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Unit {
    /// Milliseconds.
    Millis,
    /// Microseconds.
    Micros,
}

impl Default for Dialect {
    /// Returns lynxmast's own dialect.
    fn default() -> Self {
        Self {
            patience: HeaderName::from_static(header::TIMEOUT_MS),
            left: HeaderName::from_static(header::LEFT_US),
            unit: Unit::Micros,
            exchange: HeaderName::from_static(header::EXCHANGE),
            callers_id: false,
            instance: None,
            origin: None,
            not_run: None,
            unframed: false,
            fractions: false,
            raw_paths: false,
        }
    }
}

impl Dialect {
    /// Removes what only the fleet may set from a caller's headers, and states where the request
    /// began.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_protocol::dialect;
    /// let origin = http::HeaderName::from_static("x-from");
    /// let dialect = dialect::Dialect { origin: Some(origin), ..Default::default() };
    /// let mut headers = http::HeaderMap::new();
    /// headers.insert("x-from", "forged".parse().unwrap());
    /// dialect.claim(&mut headers, "shop");
    /// assert_eq!(headers["x-from"], "shop");
    /// ```
    pub fn claim(&self, headers: &mut HeaderMap, service: &str) {
        headers.remove(&self.patience);
        if let Some(instance) = &self.instance {
            headers.remove(instance);
        }
        if let Some(not_run) = &self.not_run {
            headers.remove(not_run);
        }
        let Some(origin) = &self.origin else { return };
        headers.remove(origin);
        if let Ok(service) = HeaderValue::from_str(service) {
            headers.insert(origin, service);
        }
    }

    /// Returns a number of seconds for callers, rounded up to whole ones if they read only those.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_protocol::dialect;
    /// let time = std::time::Duration::from_millis(1200);
    /// assert_eq!(dialect::Dialect::default().seconds(time), "2");
    /// ```
    pub fn seconds(&self, time: time::Duration) -> String {
        let seconds = time.as_secs_f64();
        if self.fractions { format!("{seconds:.2}") } else { format!("{}", seconds.ceil()) }
    }

    /// Writes the time left for a request.
    pub fn write_left(&self, headers: &mut HeaderMap, left: time::Duration) {
        let count = match self.unit {
            Unit::Millis => left.as_millis(),
            Unit::Micros => left.as_micros(),
        };
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        headers.insert(&self.left, HeaderValue::from(count));
    }

    /// Tells whether a backend server's answer says that it has not run the request.
    pub fn says_not_run(&self, headers: &HeaderMap) -> bool {
        self.not_run.as_ref().is_some_and(|name| headers.contains_key(name))
    }
}
