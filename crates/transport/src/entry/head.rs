//! Checks of a caller's request head.

use std::time;

use http::header;
use http::uri;
use lynxmast_protocol::envelope;
use lynxmast_protocol::header as names;
use lynxmast_protocol::header_scheme;
use lynxmast_state::outcome;

/// What a caller asks for, as far as routing is concerned.
#[derive(Debug, PartialEq)]
pub struct Asked {
    /// Host in lower case without port.
    pub host: String,
    /// Path without query.
    pub path: String,
    /// The organisation's key.
    pub key: Option<String>,
    /// Time that the caller waits.
    pub timeout: Option<time::Duration>,
}

impl Asked {
    /// Reads a head.
    ///
    /// # Errors
    ///
    /// Refuses heads that a backend server might read in another way than the routes do.
    pub fn read(
        head: &http::request::Parts,
        dialect: &header_scheme::HeaderScheme,
    ) -> Result<Self, outcome::Refusal> {
        let bad = outcome::Refusal::BadRequest;
        let headers = &head.headers;
        let is_connect = head.method == http::Method::CONNECT;
        if is_connect || headers.contains_key(header::UPGRADE) {
            return Err(bad);
        }
        let path = head.uri.path();
        if !dialect.raw_paths && !is_plain_path(path) {
            return Err(bad);
        }
        let key = optional(headers, names::ORGANISATION_KEY)?;
        let timeout = optional(headers, dialect.timeout.as_str())?.map(time::Duration::from_millis);
        Ok(Self { host: host(head)?, path: path.to_owned(), key, timeout })
    }
}

/// Gives a head the form in which it is passed on: path and query alone, and one `Host`.
pub fn normalise(head: &mut http::request::Parts, asked: &Asked) {
    let target = head.uri.path_and_query().cloned();
    head.uri = target.map_or_else(http::Uri::default, http::Uri::from);
    if let Ok(host) = header::HeaderValue::from_str(&asked.host) {
        head.headers.insert(header::HOST, host);
    }
}

fn optional<T: std::str::FromStr>(
    headers: &header::HeaderMap,
    name: &str,
) -> Result<Option<T>, outcome::Refusal> {
    if !headers.contains_key(name) {
        return Ok(None);
    }
    envelope::single(headers, name).map(Some).ok_or(outcome::Refusal::BadRequest)
}

/// Returns the host, which the target and the `Host` header must agree on.
fn host(head: &http::request::Parts) -> Result<String, outcome::Refusal> {
    let bad = outcome::Refusal::BadRequest;
    let named: Option<uri::Authority> = optional(&head.headers, "host")?;
    let target = head.uri.authority();
    let differs =
        |a: &uri::Authority, b: &uri::Authority| !a.as_str().eq_ignore_ascii_case(b.as_str());
    if let (Some(named), Some(target)) = (&named, target)
        && differs(named, target)
    {
        return Err(bad);
    }
    let authority = named.as_ref().or(target).ok_or(bad)?;
    if authority.as_str().contains('@') || authority.host().is_empty() {
        return Err(bad);
    }
    Ok(authority.host().to_ascii_lowercase())
}

/// Tells whether a path has one reading: absolute, without dot segments, empty segments,
/// backslashes, or encoded forms of those.
fn is_plain_path(path: &str) -> bool {
    let lower = path.to_ascii_lowercase();
    let is_odd = ["//", "\\", "%2f", "%5c", "%2e", "%00"].iter().any(|odd| lower.contains(odd));
    let dots = lower.split('/').any(|segment| segment == "." || segment == "..");
    path.starts_with('/') && !is_odd && !dots
}

#[cfg(test)]
mod tests;
