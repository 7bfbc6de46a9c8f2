//! Heads of requests and responses: parsing, writing, and the choice of headers to forward.

use bytes::{Buf, BytesMut};

use crate::error::{HttpError, Result};

/// Maximum number of headers in one head; heads within the size limits hold fewer in practice.
const MAX_HEADERS: usize = 128;

/// Headers that apply to one connection or message and are not forwarded (RFC 9110, section 7.6.1).
const HOP_BY_HOP: [&str; 10] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Whether a header applies to one connection or to the framing of one message; `connection` is the
/// value of the message's `connection` header.
pub fn is_hop_by_hop(name: &str, connection: &str) -> bool {
    let listed = connection.split(',').any(|n| n.trim().eq_ignore_ascii_case(name));

    listed || HOP_BY_HOP.iter().any(|h| h.eq_ignore_ascii_case(name))
}

/// Headers in order of arrival; names are matched case-insensitively.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    fields: Vec<(String, Vec<u8>)>,
}

impl Headers {
    /// First value of a header.
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let same = |(field, _): &&(String, Vec<u8>)| field.eq_ignore_ascii_case(name);

        self.fields.iter().find(same).map(|(_, value)| value.as_slice())
    }

    /// First value of a header, trimmed, if it is valid UTF-8.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.get(name).and_then(|value| std::str::from_utf8(value).ok()).map(str::trim)
    }

    /// All values of a header.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let same = move |(field, _): &&(String, Vec<u8>)| field.eq_ignore_ascii_case(name);

        self.fields.iter().filter(same).map(|(_, value)| value.as_slice())
    }

    /// All headers, in order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.fields.iter().map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    /// Appends a header.
    pub fn push(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.fields.push((name.to_string(), value.into()));
    }

    /// Removes all values of a header.
    pub fn remove(&mut self, name: &str) {
        self.fields.retain(|(field, _)| !field.eq_ignore_ascii_case(name));
    }

    /// The headers that a proxy forwards.
    pub fn end_to_end(&self) -> Headers {
        let connection = self.text("connection").unwrap_or_default();
        let keep = |(name, _): &&(String, Vec<u8>)| !is_hop_by_hop(name, connection);

        Headers { fields: self.fields.iter().filter(keep).cloned().collect() }
    }

    /// Whether the `connection` header lists an option, such as `close`.
    pub fn has_connection_option(&self, option: &str) -> bool {
        let matches = |part: &str| part.trim().eq_ignore_ascii_case(option);
        let texts = self.all("connection").filter_map(|value| std::str::from_utf8(value).ok());

        texts.flat_map(|text| text.split(',')).any(matches)
    }

    fn write(&self, out: &mut Vec<u8>) {
        for (name, value) in &self.fields {
            out.extend_from_slice(name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n");
        }

        out.extend_from_slice(b"\r\n");
    }

    fn parsed(headers: &[httparse::Header<'_>]) -> Self {
        let field = |h: &httparse::Header<'_>| (h.name.to_string(), h.value.to_vec());

        Headers { fields: headers.iter().map(field).collect() }
    }
}

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method, as received.
    pub method: String,
    /// Path and query, as received.
    pub target: String,
    /// 0 for HTTP/1.0, 1 for HTTP/1.1.
    pub minor_version: u8,
    /// Headers of the message.
    pub headers: Headers,
}

/// Head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// 0 for HTTP/1.0, 1 for HTTP/1.1.
    pub minor_version: u8,
    /// Headers of the message.
    pub headers: Headers,
}

impl RequestHead {
    /// Removes a head from the front of the buffer; returns `None` while it is incomplete.
    pub fn parse(buffer: &mut BytesMut) -> Result<Option<Self>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);

        let length = match parsed.parse(buffer) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(HttpError::Malformed("request head")),
        };

        let head = RequestHead {
            method: parsed.method.unwrap_or_default().to_string(),
            target: parsed.path.unwrap_or_default().to_string(),
            minor_version: parsed.version.unwrap_or_default(),
            headers: Headers::parsed(parsed.headers),
        };

        buffer.advance(length);
        Ok(Some(head))
    }

    /// Appends the head, with its final empty line, to the buffer.
    pub fn write(&self, out: &mut Vec<u8>) {
        out.extend_from_slice(self.method.as_bytes());
        out.push(b' ');
        out.extend_from_slice(self.target.as_bytes());
        out.extend_from_slice(b" HTTP/1.1\r\n");
        self.headers.write(out);
    }

    /// Path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Whether the connection may carry another request after this one.
    pub fn keeps_alive(&self) -> bool {
        self.minor_version >= 1 && !self.headers.has_connection_option("close")
    }
}

impl ResponseHead {
    /// Creates a head without headers.
    pub fn new(status: u16) -> Self {
        ResponseHead { status, minor_version: 1, headers: Headers::default() }
    }

    /// Removes a head from the front of the buffer; returns `None` while it is incomplete.
    pub fn parse(buffer: &mut BytesMut) -> Result<Option<Self>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);

        let length = match parsed.parse(buffer) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(HttpError::Malformed("response head")),
        };

        let head = ResponseHead {
            status: parsed.code.unwrap_or_default(),
            minor_version: parsed.version.unwrap_or_default(),
            headers: Headers::parsed(parsed.headers),
        };

        buffer.advance(length);
        Ok(Some(head))
    }

    /// Appends the head, with its final empty line, to the buffer.
    pub fn write(&self, out: &mut Vec<u8>) {
        let line = format!("HTTP/1.1 {} {}\r\n", self.status, reason_phrase(self.status));
        out.extend_from_slice(line.as_bytes());
        self.headers.write(out);
    }

    /// Whether the connection may carry another request after this response.
    pub fn keeps_alive(&self) -> bool {
        self.minor_version >= 1 && !self.headers.has_connection_option("close")
    }

    /// Whether the status is 2xx.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        100 => "Continue",
        200 => "OK",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        // Clients ignore the reason phrase, so any word serves for other codes.
        _ => "Status",
    }
}
