//! Boundaries of HTTP/1.1 requests in the bytes of a connection.
//!
//! A boundary is only reported where no other reading of the bytes is possible. From anything else on,
//! such as a head with both a length and chunks, the connection is opaque: its bytes are left to the
//! HTTP implementation, and no request on it is started early.

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::header;
use http::request;

/// Position in the requests of one connection.
///
/// # Examples
///
/// ```
/// use lynxmast_transport::pipeline::scanner;
///
/// let bytes = b"POST /a HTTP/1.1\r\ncontent-length: 2\r\n\r\nhiGET /b HTTP/1.1\r\n\r\n";
/// let mut scanner = scanner::Scanner::new(1024);
/// let (length, is_end) = scanner.advance(bytes);
/// assert_eq!((&bytes[..length][length - 2..], is_end), (&b"hi"[..], true));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Scanner {
    state: State,
    head_size_max: usize,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// Before the head of the next request.
    Head,
    /// In a body of which so many bytes remain.
    Length(u64),
    /// In a chunked body.
    Chunked(Chunk),
    /// Boundaries are not known.
    Opaque,
}

/// Position in a chunked body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Chunk {
    /// In the size of a chunk, with the number of its digits.
    Size(u64, u32),
    /// In an extension of the size.
    Extension(u64),
    /// After the carriage return that ends the size.
    SizeEnd(u64),
    /// In the data of a chunk, of which so many bytes remain.
    Data(u64),
    /// After the data.
    DataEnd,
    /// After the data and a carriage return.
    DataLineEnd,
    /// At the start of a line after the last chunk.
    Trailer,
    /// In a trailer.
    TrailerLine,
    /// After a trailer's carriage return.
    TrailerLineEnd,
    /// After the carriage return of the empty line that ends the body.
    End,
}

/// Head of a request.
#[derive(Debug)]
pub struct Head {
    /// Length in bytes.
    pub length: usize,
    /// Method, target and headers.
    pub parts: request::Parts,
    body: State,
    /// Whether other requests may follow on the connection.
    persists: bool,
}

/// Maximum number of headers in a head.
const HEADERS_MAX: usize = 100;
/// Maximum number of digits of a chunk's size.
const CHUNK_DIGITS_MAX: u32 = 15;

impl Scanner {
    /// Returns a scanner at the start of a connection. Longer heads make the connection opaque.
    pub fn new(head_size_max: usize) -> Self {
        Self { state: State::Head, head_size_max }
    }

    /// Returns whether the position is before the head of a request.
    pub fn is_at_head(&self) -> bool {
        self.state == State::Head
    }

    /// Returns whether boundaries are not known any more.
    pub fn is_opaque(&self) -> bool {
        self.state == State::Opaque
    }

    /// Advances over the bytes at the start of `bytes` that belong to the current request. Returns
    /// their number, which is 0 while a head is incomplete, and whether the request ends with them.
    pub fn advance(&mut self, bytes: &[u8]) -> (usize, bool) {
        let mut position = 0;
        if self.state == State::Head {
            match self.parse_head(bytes) {
                None => return (0, false),
                Some(Err(())) => self.state = State::Opaque,
                Some(Ok(head)) => {
                    position = head.length;
                    self.state = if head.persists { head.body } else { State::Opaque };
                    if self.state == State::Head {
                        return (position, true);
                    }
                }
            }
        }
        while position < bytes.len() {
            match self.state {
                State::Head => return (position, true),
                State::Opaque => return (bytes.len(), false),
                State::Length(left) => {
                    let taken = left.min((bytes.len() - position) as u64);
                    position += taken as usize;
                    self.state =
                        if taken == left { State::Head } else { State::Length(left - taken) };
                }
                State::Chunked(Chunk::Data(left)) => {
                    let taken = left.min((bytes.len() - position) as u64);
                    position += taken as usize;
                    let rest = left - taken;
                    self.state =
                        State::Chunked(if rest == 0 { Chunk::DataEnd } else { Chunk::Data(rest) });
                }
                State::Chunked(chunk) => {
                    self.state = chunk.next(bytes[position]);
                    position += 1;
                }
            }
        }
        (position, self.state == State::Head)
    }

    /// Parses the complete head of a request without a body at the start of `bytes`, after which
    /// other requests may follow; `None` if there is anything else.
    pub fn bodiless_head(&self, bytes: &[u8]) -> Option<Head> {
        if self.state != State::Head {
            return None;
        }
        let head = self.parse_head(bytes)?.ok()?;
        (head.body == State::Head && head.persists).then_some(head)
    }

    /// Parses a head; `None` while it is incomplete, and an error if it is not certain how long the
    /// request is.
    fn parse_head(&self, bytes: &[u8]) -> Option<Result<Head, ()>> {
        let mut headers = [httparse::EMPTY_HEADER; HEADERS_MAX];
        let mut parsed = httparse::Request::new(&mut headers);
        match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => {
                Some(Head::from_parsed(&parsed, length).ok_or(()))
            }
            Ok(httparse::Status::Partial) if bytes.len() < self.head_size_max => None,
            Ok(httparse::Status::Partial) | Err(_) => Some(Err(())),
        }
    }
}

impl Head {
    fn from_parsed(parsed: &httparse::Request<'_, '_>, length: usize) -> Option<Self> {
        if parsed.version != Some(1) {
            return None;
        }
        let mut headers = HeaderMap::with_capacity(parsed.headers.len());
        for field in parsed.headers.iter() {
            let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
            headers.append(name, HeaderValue::from_bytes(field.value).ok()?);
        }
        let body = body_state(&headers)?;
        let (mut parts, ()) = http::Request::new(()).into_parts();
        parts.method = parsed.method?.parse().ok()?;
        parts.uri = parsed.path?.parse().ok()?;
        let persists = parts.method != http::Method::CONNECT
            && !headers.contains_key(header::UPGRADE)
            && !headers.contains_key(header::EXPECT)
            && headers.get_all(header::CONNECTION).iter().all(is_keep_alive);
        parts.headers = headers;
        Some(Self { length, parts, body, persists })
    }
}

fn is_keep_alive(connection: &HeaderValue) -> bool {
    connection.as_bytes().eq_ignore_ascii_case(b"keep-alive")
}

/// Returns the state after a head with these headers; `None` if the length of the body is not
/// certain.
fn body_state(headers: &HeaderMap) -> Option<State> {
    let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
    let mut encodings = headers.get_all(header::TRANSFER_ENCODING).iter();
    match (lengths.next(), lengths.next(), encodings.next(), encodings.next()) {
        (None, _, None, _) => Some(State::Head),
        (Some(length), None, None, _) => {
            let text = length.to_str().ok()?;
            let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
            let length = is_number.then(|| text.parse().ok())??;
            Some(if length == 0 { State::Head } else { State::Length(length) })
        }
        (None, _, Some(encoding), None) if encoding.as_bytes() == b"chunked" => {
            Some(State::Chunked(Chunk::Size(0, 0)))
        }
        _ => None,
    }
}

impl Chunk {
    /// Returns the state after the next byte.
    fn next(self, byte: u8) -> State {
        let next = match (self, byte) {
            (Chunk::Size(size, digits), _) if byte.is_ascii_hexdigit() => {
                if digits == CHUNK_DIGITS_MAX {
                    return State::Opaque;
                }
                let digit = char::from(byte).to_digit(16).unwrap_or_default();
                Chunk::Size(size * 16 + u64::from(digit), digits + 1)
            }
            (Chunk::Size(size, 1..), b';') => Chunk::Extension(size),
            (Chunk::Size(size, 1..), b'\r') => Chunk::SizeEnd(size),
            (Chunk::Extension(size), b'\r') => Chunk::SizeEnd(size),
            (Chunk::Extension(size), b' '..=b'~') => Chunk::Extension(size),
            (Chunk::SizeEnd(0), b'\n') => Chunk::Trailer,
            (Chunk::SizeEnd(size), b'\n') => Chunk::Data(size),
            (Chunk::DataEnd, b'\r') => Chunk::DataLineEnd,
            (Chunk::DataLineEnd, b'\n') => Chunk::Size(0, 0),
            (Chunk::Trailer, b'\r') => Chunk::End,
            (Chunk::Trailer | Chunk::TrailerLine, b' '..=b'~') => Chunk::TrailerLine,
            (Chunk::TrailerLine, b'\r') => Chunk::TrailerLineEnd,
            (Chunk::TrailerLineEnd, b'\n') => Chunk::Trailer,
            (Chunk::End, b'\n') => return State::Head,
            _ => return State::Opaque,
        };
        State::Chunked(next)
    }
}

#[cfg(test)]
mod tests;
