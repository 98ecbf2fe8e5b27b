//! Names and units of the headers exchanged with callers and backend servers.
//!
//! The default scheme uses lynxmast's own header names. An adapter may provide other names and
//! units; the meaning of each header is the same in every scheme.

use std::time;

use http::header::HeaderMap;
use http::header::HeaderName;
use http::header::HeaderValue;

use crate::header;

/// Header names, units and framing rules for messages of callers and backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeaderScheme {
    /// Timeout of the caller in milliseconds; set by callers.
    pub timeout: HeaderName,
    /// Time left until the deadline; set by the sidecar.
    pub time_left: HeaderName,
    /// Unit of the `time_left` header.
    pub time_unit: TimeUnit,
    /// Id of the exchange, which a backend server returns with its response.
    pub exchange_id: HeaderName,
    /// Whether the sidecar forwards the caller's exchange id. The sidecar generates an id if this
    /// is `false` or the caller sent none.
    pub forward_id: bool,
    /// Instance of the backend server that a request is meant for; set by the sidecar.
    pub instance: Option<HeaderName>,
    /// Service on whose VM a request originated; set by the ingress, which replaces any value that
    /// the caller sent.
    pub caller_service: Option<HeaderName>,
    /// Key of the caller's organisation; set by callers and never forwarded.
    pub key: HeaderName,
    /// Name of the caller's organisation; set by the ingress, which replaces any value that the
    /// caller sent. `None` if backend servers are not told.
    pub organisation: Option<HeaderName>,
    /// Signature of a response by its backend server, which callers verify; forwarded unchanged.
    pub signature: Option<HeaderName>,
    /// Marks a backend server's response to a request that it has not run.
    pub not_run: Option<HeaderName>,
    /// Requests per second that a backend server accepts from the whole fleet, in each of its
    /// responses for as long as the limit holds.
    pub limit: HeaderName,
    /// Marks, with the value `1`, the responses of a backend server that is about to leave.
    pub leaving: HeaderName,
    /// Whether a response with neither a content length nor chunked encoding is accepted and ends
    /// when its connection is closed. If the connection is reset instead, the response counts as
    /// truncated.
    pub close_delimited: bool,
    /// Whether callers accept fractional seconds in `retry-after`.
    pub fractional_seconds: bool,
    /// Whether ambiguous paths, such as those with dot segments or encoded slashes, are forwarded
    /// unchanged.
    pub raw_paths: bool,
}

/// Limit that a backend server names in a response.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LimitField {
    /// No limit is named.
    Absent,
    /// Requests per second; finite and not negative.
    Limit(f64),
    /// The value is not a decimal number.
    Invalid,
}

/// Unit of a time in a header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TimeUnit {
    /// Milliseconds.
    Millis,
    /// Microseconds.
    Micros,
}

impl Default for HeaderScheme {
    /// Returns the scheme with lynxmast's own header names.
    fn default() -> Self {
        Self {
            timeout: HeaderName::from_static(header::TIMEOUT_MS),
            time_left: HeaderName::from_static(header::TIME_LEFT_US),
            time_unit: TimeUnit::Micros,
            exchange_id: HeaderName::from_static(header::EXCHANGE_ID),
            forward_id: false,
            instance: None,
            caller_service: None,
            key: HeaderName::from_static(header::ORGANISATION_KEY),
            organisation: None,
            signature: None,
            not_run: None,
            limit: HeaderName::from_static(header::LIMIT),
            leaving: HeaderName::from_static(header::LEAVING),
            close_delimited: false,
            fractional_seconds: false,
            raw_paths: false,
        }
    }
}

impl HeaderScheme {
    /// Removes the headers that only the fleet may set from a caller's request, and sets the
    /// header that names the originating service.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_protocol::header_scheme;
    /// let name = http::HeaderName::from_static("x-from");
    /// let scheme =
    ///     header_scheme::HeaderScheme { caller_service: Some(name), ..Default::default() };
    /// let mut headers = http::HeaderMap::new();
    /// headers.insert("x-from", "forged".parse().unwrap());
    /// scheme.sanitise(&mut headers, "shop");
    /// assert_eq!(headers["x-from"], "shop");
    /// ```
    pub fn sanitise(&self, headers: &mut HeaderMap, service: &str) {
        headers.remove(&self.timeout);
        if let Some(instance) = &self.instance {
            headers.remove(instance);
        }
        if let Some(not_run) = &self.not_run {
            headers.remove(not_run);
        }
        let Some(caller_service) = &self.caller_service else { return };
        headers.remove(caller_service);
        if let Ok(service) = HeaderValue::from_str(service) {
            headers.insert(caller_service, service);
        }
    }

    /// Removes the key of the caller's organisation and sets the header that names the organisation,
    /// or removes that too if `name` is `None`. Only for policies with organisations: in others, the
    /// headers belong to the callers.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_protocol::header_scheme;
    /// let name = http::HeaderName::from_static("x-organisation");
    /// let scheme = header_scheme::HeaderScheme { organisation: Some(name), ..Default::default() };
    /// let mut headers = http::HeaderMap::new();
    /// headers.insert("lynxmast-key", "secret".parse().unwrap());
    /// headers.append("x-organisation", "forged".parse().unwrap());
    /// scheme.write_organisation(&mut headers, Some("mailers"));
    /// assert_eq!(headers.len(), 1);
    /// assert_eq!(headers["x-organisation"], "mailers");
    /// ```
    pub fn write_organisation(&self, headers: &mut HeaderMap, name: Option<&str>) {
        headers.remove(&self.key);
        let Some(organisation) = &self.organisation else { return };
        headers.remove(organisation);
        // Names may contain characters outside ASCII, which headers carry as UTF-8.
        if let Some(name) = name.and_then(|name| HeaderValue::from_bytes(name.as_bytes()).ok()) {
            headers.insert(organisation, name);
        }
    }

    /// Returns whether a header is meant for the other end of the exchange, so that no hop may remove it
    /// because a message lists it in `Connection`.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_protocol::header_scheme;
    /// let name = http::HeaderName::from_static("x-from");
    /// let scheme = header_scheme::HeaderScheme {
    ///     caller_service: Some(name.clone()),
    ///     ..Default::default()
    /// };
    /// assert!(scheme.is_end_to_end(&name));
    /// assert!(!scheme.is_end_to_end(&http::header::TE));
    /// ```
    pub fn is_end_to_end(&self, name: &HeaderName) -> bool {
        let (caller_service, signature) = (self.caller_service.as_ref(), self.signature.as_ref());
        let kept = [Some(&self.exchange_id), caller_service, signature];
        kept.contains(&Some(name))
    }

    /// Returns whether the header of the key has a meaning in a policy without organisations too, since
    /// its name is reserved for lynxmast.
    pub fn is_key_reserved(&self) -> bool {
        self.key.as_str().starts_with(header::PREFIX)
    }

    /// Formats a duration in seconds for `retry-after`, rounded up to whole seconds unless callers
    /// accept fractions.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_protocol::header_scheme;
    /// let duration = std::time::Duration::from_millis(1200);
    /// assert_eq!(header_scheme::HeaderScheme::default().format_seconds(duration), "2");
    /// ```
    pub fn format_seconds(&self, duration: time::Duration) -> String {
        let seconds = duration.as_secs_f64();
        if self.fractional_seconds {
            format!("{seconds:.2}")
        } else {
            format!("{}", seconds.ceil())
        }
    }

    /// Sets the header with the time left until the deadline.
    pub fn write_time_left(&self, headers: &mut HeaderMap, time_left: time::Duration) {
        let count = match self.time_unit {
            TimeUnit::Millis => time_left.as_millis(),
            TimeUnit::Micros => time_left.as_micros(),
        };
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        headers.insert(&self.time_left, HeaderValue::from(count));
    }

    /// Reads the limit that a backend server names in a response. Of repeated values the lowest
    /// counts.
    ///
    /// # Examples
    ///
    /// ```
    /// use lynxmast_protocol::header_scheme::{HeaderScheme, LimitField};
    /// let mut headers = http::HeaderMap::new();
    /// assert_eq!(HeaderScheme::default().limit(&headers), LimitField::Absent);
    /// headers.insert("lynxmast-limit", "3.3".parse().unwrap());
    /// assert_eq!(HeaderScheme::default().limit(&headers), LimitField::Limit(3.3));
    /// ```
    pub fn limit(&self, headers: &HeaderMap) -> LimitField {
        let values = headers.get_all(&self.limit).iter();
        let limits: Option<Vec<f64>> = values.map(parse_decimal).collect();
        let Some(limits) = limits else { return LimitField::Invalid };
        limits.into_iter().reduce(f64::min).map_or(LimitField::Absent, LimitField::Limit)
    }

    /// Returns `true` if a backend server's response states that it is about to leave.
    pub fn is_leaving(&self, headers: &HeaderMap) -> bool {
        headers.get_all(&self.leaving).iter().any(|value| value.as_bytes().trim_ascii() == b"1")
    }

    /// Returns `true` if a backend server's response states that it has not run the request.
    pub fn is_not_run(&self, headers: &HeaderMap) -> bool {
        self.not_run.as_ref().is_some_and(|name| headers.contains_key(name))
    }
}

/// Parses a decimal number without sign or exponent.
fn parse_decimal(value: &HeaderValue) -> Option<f64> {
    let text = value.to_str().ok()?.trim();
    let is_decimal = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    text.parse().ok().filter(|number: &f64| is_decimal && number.is_finite())
}

#[cfg(test)]
mod tests;
