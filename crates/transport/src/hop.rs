//! Removal of hop-by-hop headers and of headers that only lynxmast may set.

use http::header;
use http::header::HeaderMap;
use http::header::HeaderName;
use lynxmast_protocol::header as names;
use lynxmast_protocol::header_scheme;

/// Hop-by-hop headers, besides those that the `Connection` header lists.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Headers that say where a message goes and how its body is to be read. They are not removed for being
/// listed, as the message would have another meaning without them.
const MESSAGE_HEADERS: [HeaderName; 5] = [
    header::HOST,
    header::CONTENT_LENGTH,
    header::CONTENT_ENCODING,
    header::CONTENT_RANGE,
    header::CONTENT_TYPE,
];

/// Removes the hop-by-hop headers, including those that the `Connection` header lists, except for
/// end-to-end headers of the `scheme`.
pub fn strip_hop_by_hop_headers(headers: &mut HeaderMap, scheme: &header_scheme::HeaderScheme) {
    let listed = headers.get_all(header::CONNECTION).iter();
    let named: Vec<HeaderName> = listed
        .flat_map(|value| value.as_bytes().split(|byte| *byte == b','))
        .filter_map(|name| HeaderName::from_bytes(name.trim_ascii()).ok())
        .filter(|name| !MESSAGE_HEADERS.contains(name) && !scheme.is_end_to_end(name))
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}

/// Returns whether a message has no transfer coding, or only `chunked`, which the HTTP implementation has
/// removed from its body. The body would still have any other, of which the next hop is not told.
///
/// # Examples
///
/// ```
/// let mut headers = http::HeaderMap::new();
/// headers.insert("transfer-encoding", "Chunked".parse().unwrap());
/// assert!(lynxmast_transport::hop::is_transfer_decoded(&headers));
/// headers.insert("transfer-encoding", "gzip, chunked".parse().unwrap());
/// assert!(!lynxmast_transport::hop::is_transfer_decoded(&headers));
/// ```
pub fn is_transfer_decoded(headers: &HeaderMap) -> bool {
    let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
    let is_chunked = |value: &header::HeaderValue| {
        value.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked")
    };
    codings.next().is_none_or(is_chunked) && codings.next().is_none()
}

/// Removes all headers that only lynxmast may set, regardless of who set them.
///
/// # Examples
///
/// ```
/// let mut headers = http::HeaderMap::new();
/// headers.insert("lynxmast-upstream", "10.0.0.1:80".parse().unwrap());
/// headers.insert("accept", "*/*".parse().unwrap());
/// lynxmast_transport::hop::strip_internal_headers(&mut headers);
/// assert_eq!(headers.len(), 1);
/// ```
pub fn strip_internal_headers(headers: &mut HeaderMap) {
    let internal = headers.keys().filter(|name| name.as_str().starts_with(names::PREFIX));
    let internal: Vec<HeaderName> = internal.cloned().collect();
    for name in internal {
        headers.remove(name);
    }
}

#[cfg(test)]
mod tests;
