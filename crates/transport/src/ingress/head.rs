//! Parsing and validation of a caller's request head.

use std::time;

use http::header;
use http::uri;
use lynxmast_protocol::envelope;
use lynxmast_protocol::header_scheme;
use lynxmast_state::outcome;

use crate::hop;

/// Parts of a request head that routing depends on.
#[derive(Debug, PartialEq)]
pub struct RequestHead {
    /// Host in lower case, without port.
    pub host: String,
    /// Path, without query.
    pub path: String,
    /// Key that identifies the caller's organisation, if sent.
    pub key: Option<String>,
    /// Timeout set by the caller, if any.
    pub timeout: Option<time::Duration>,
}

impl RequestHead {
    /// Parses and validates a head. The organisation's key is read only if `reads_key` is set: in a
    /// policy without organisations, its header belongs to the callers unless its name is reserved.
    ///
    /// # Errors
    ///
    /// Returns `BadRequest` for malformed heads, for `CONNECT` and upgrades, for transfer codings other
    /// than `chunked`, and for heads that a backend server might interpret differently from the routing
    /// rules.
    pub fn parse(
        head: &http::request::Parts,
        scheme: &header_scheme::HeaderScheme,
        reads_key: bool,
    ) -> Result<Self, outcome::Rejection> {
        let bad_request = outcome::Rejection::BadRequest;
        let headers = &head.headers;
        let is_connect = head.method == http::Method::CONNECT;
        if is_connect || headers.contains_key(header::UPGRADE) || !hop::is_transfer_decoded(headers)
        {
            return Err(bad_request);
        }
        let path = head.uri.path();
        if !scheme.raw_paths && !is_plain_path(path) {
            return Err(bad_request);
        }
        let key = if reads_key { single_header(headers, scheme.key.as_str())? } else { None };
        let timeout = timeout(headers, scheme)?;
        Ok(Self { host: host(head)?, path: path.to_owned(), key, timeout })
    }
}

/// Returns the timeout set by the caller, if any.
///
/// # Errors
///
/// Returns `BadRequest` if the header is repeated or malformed.
pub fn timeout(
    headers: &header::HeaderMap,
    scheme: &header_scheme::HeaderScheme,
) -> Result<Option<time::Duration>, outcome::Rejection> {
    single_header(headers, scheme.timeout.as_str())
        .map(|timeout| timeout.map(time::Duration::from_millis))
}

/// Normalises a head for forwarding: the target is path and query only, with a single `Host`.
pub fn normalise(head: &mut http::request::Parts, parsed: &RequestHead) {
    let target = head.uri.path_and_query().cloned();
    head.uri = target.map_or_else(http::Uri::default, http::Uri::from);
    if let Ok(host) = header::HeaderValue::from_str(&parsed.host) {
        head.headers.insert(header::HOST, host);
    }
}

/// Parses the value of a header; `None` if the header is missing.
///
/// # Errors
///
/// Returns `BadRequest` if the header is repeated or malformed.
fn single_header<T: std::str::FromStr>(
    headers: &header::HeaderMap,
    name: &str,
) -> Result<Option<T>, outcome::Rejection> {
    if !headers.contains_key(name) {
        return Ok(None);
    }
    envelope::single(headers, name).map(Some).ok_or(outcome::Rejection::BadRequest)
}

/// Returns the host in lower case. If both the request target and the `Host` header state it, they
/// must agree.
fn host(head: &http::request::Parts) -> Result<String, outcome::Rejection> {
    let bad_request = outcome::Rejection::BadRequest;
    let host_header: Option<uri::Authority> = single_header(&head.headers, "host")?;
    let target = head.uri.authority();
    let differs =
        |a: &uri::Authority, b: &uri::Authority| !a.as_str().eq_ignore_ascii_case(b.as_str());
    if let (Some(host_header), Some(target)) = (&host_header, target)
        && differs(host_header, target)
    {
        return Err(bad_request);
    }
    let authority = host_header.as_ref().or(target).ok_or(bad_request)?;
    if authority.as_str().contains('@') || authority.host().is_empty() {
        return Err(bad_request);
    }
    Ok(authority.host().to_ascii_lowercase())
}

/// Returns whether a path is unambiguous: absolute, without dot segments, empty segments,
/// backslashes, or encoded forms of those.
fn is_plain_path(path: &str) -> bool {
    let lower = path.to_ascii_lowercase();
    let has_ambiguous_sequence =
        ["//", "\\", "%2f", "%5c", "%2e", "%00"].iter().any(|sequence| lower.contains(sequence));
    let has_dot_segment = lower.split('/').any(|segment| segment == "." || segment == "..");
    path.starts_with('/') && !has_ambiguous_sequence && !has_dot_segment
}

#[cfg(test)]
mod tests;

/// Returns the text of a request id; `-` if there is none.
pub fn id_text(id: Option<&http::HeaderValue>) -> &str {
    id.and_then(|id| id.to_str().ok()).unwrap_or("-")
}
