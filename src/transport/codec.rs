//! An incremental HTTP/1.1 decoder and the matching encoders, shared by the
//! server and the client.
//!
//! Both sides are fed bytes as they arrive, so a message may be split at any
//! place. Every length is checked before memory is set aside for it.

use thiserror::Error;

/// Header count above which a message is refused.
const MAX_HEADERS: usize = 48;

/// What bounds a message on this connection.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    pub head: usize,
    pub body: usize,
}

/// Why a message cannot be read. Every case ends the connection: after a
/// framing error the start of the next message cannot be known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CodecError {
    #[error("malformed message head")]
    BadHead,
    #[error("message head too large")]
    HeadTooLarge,
    #[error("message body too large")]
    BodyTooLarge,
    #[error("body framing is ambiguous or unsupported")]
    BadFraming,
}

impl CodecError {
    /// The status with which a server refuses such a message.
    pub fn status(self) -> u16 {
        match self {
            CodecError::BadHead | CodecError::BadFraming => 400,
            CodecError::HeadTooLarge => 431,
            CodecError::BodyTooLarge => 413,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub body: Vec<u8>,
    /// The sender wants the connection closed after the answer.
    pub close: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
    pub retry_after_s: Option<u32>,
    pub close: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
}

/// The head of a message, as far as this program cares.
struct Head {
    size: usize,
    framing: Framing,
    close: bool,
    expect_continue: bool,
}

#[derive(Debug)]
pub struct Decoder {
    buffer: Vec<u8>,
    limits: Limits,
}

impl Decoder {
    pub fn new(limits: Limits) -> Self {
        Decoder { buffer: Vec::new(), limits }
    }

    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether part of a message has arrived.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Whether the sender waits for a `100 Continue` before its body.
    pub fn wants_continue(&self) -> bool {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        match parsed.parse(&self.buffer) {
            Ok(httparse::Status::Complete(size)) => read_headers(parsed.headers, size, parsed.version)
                .is_ok_and(|head| head.expect_continue && self.buffer.len() == head.size),
            _ => false,
        }
    }

    /// The next whole request, or `None` until more bytes arrive.
    pub fn next_request(&mut self) -> Result<Option<Request>, CodecError> {
        if self.buffer.is_empty() {
            return Ok(None);
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Request::new(&mut headers);
        let Some(size) = self.head_size(parsed.parse(&self.buffer))? else { return Ok(None) };
        let head = read_headers(parsed.headers, size, parsed.version)?;
        let method = parsed.method.unwrap_or_default().to_owned();
        let target = parsed.path.unwrap_or_default().to_owned();
        let Some((body, used)) = self.body(&head)? else { return Ok(None) };
        self.buffer.drain(..used);
        Ok(Some(Request { method, target, body, close: head.close }))
    }

    /// The next whole response, or `None` until more bytes arrive.
    pub fn next_response(&mut self) -> Result<Option<Response>, CodecError> {
        if self.buffer.is_empty() {
            return Ok(None);
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let Some(size) = self.head_size(parsed.parse(&self.buffer))? else { return Ok(None) };
        let head = read_headers(parsed.headers, size, parsed.version)?;
        let status = parsed.code.unwrap_or(0);
        let retry_after_s = header(parsed.headers, "retry-after").and_then(|v| v.parse().ok());
        let Some((body, used)) = self.body(&head)? else { return Ok(None) };
        self.buffer.drain(..used);
        Ok(Some(Response { status, body, retry_after_s, close: head.close }))
    }

    /// The size of a parsed head; `None` until all of it is here.
    fn head_size(&self, parsed: httparse::Result<usize>) -> Result<Option<usize>, CodecError> {
        let (size, whole) = match parsed {
            Ok(httparse::Status::Complete(size)) => (size, Some(size)),
            Ok(httparse::Status::Partial) => (self.buffer.len(), None),
            Err(_) => return Err(CodecError::BadHead),
        };
        if size > self.limits.head { Err(CodecError::HeadTooLarge) } else { Ok(whole) }
    }

    /// The body and the bytes the whole message takes, once all are here.
    fn body(&self, head: &Head) -> Result<Option<(Vec<u8>, usize)>, CodecError> {
        match head.framing {
            Framing::Length(length) => {
                if length > self.limits.body {
                    return Err(CodecError::BodyTooLarge);
                }
                let end = head.size + length;
                Ok(self.buffer.get(head.size..end).map(|body| (body.to_vec(), end)))
            }
            Framing::Chunked => self.chunked(head.size),
        }
    }

    fn chunked(&self, start: usize) -> Result<Option<(Vec<u8>, usize)>, CodecError> {
        let mut body = Vec::new();
        let mut at = start;
        loop {
            let rest = self.buffer.get(at..).unwrap_or_default();
            let (line, length) = match httparse::parse_chunk_size(rest) {
                Ok(httparse::Status::Complete(found)) => found,
                // Chunk extensions count against the head, or a sender could
                // grow the buffer without ever sending a body.
                Ok(httparse::Status::Partial) if rest.len() > self.limits.head => {
                    return Err(CodecError::BadFraming);
                }
                Ok(httparse::Status::Partial) => return Ok(None),
                Err(_) => return Err(CodecError::BadFraming),
            };
            let length = usize::try_from(length).map_err(|_| CodecError::BodyTooLarge)?;
            if length > self.limits.body.saturating_sub(body.len()) {
                return Err(CodecError::BodyTooLarge);
            }
            at += line;
            let Some(chunk) = self.buffer.get(at..at + length + 2) else { return Ok(None) };
            if &chunk[length..] != b"\r\n" {
                // Trailers after the last chunk are not supported.
                return Err(CodecError::BadFraming);
            }
            body.extend_from_slice(&chunk[..length]);
            at += length + 2;
            if length == 0 {
                return Ok(Some((body, at)));
            }
        }
    }
}

fn header<'a>(headers: &'a [httparse::Header<'_>], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|h| h.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(found.value).ok().map(str::trim)
}

fn read_headers(
    headers: &[httparse::Header<'_>],
    size: usize,
    version: Option<u8>,
) -> Result<Head, CodecError> {
    let mut length = None;
    let mut chunked = false;
    // HTTP/1.0 peers close unless they say otherwise.
    let mut close = version == Some(0);
    let mut expect_continue = false;
    for header in headers {
        let value = std::str::from_utf8(header.value).map_err(|_| CodecError::BadHead)?.trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            // "+5" parses as a number but is no valid length.
            if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
                return Err(CodecError::BadFraming);
            }
            let parsed: usize = value.parse().map_err(|_| CodecError::BodyTooLarge)?;
            if length.is_some_and(|earlier| earlier != parsed) {
                return Err(CodecError::BadFraming);
            }
            length = Some(parsed);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") || chunked {
                return Err(CodecError::BadFraming);
            }
            chunked = true;
        } else if header.name.eq_ignore_ascii_case("connection") {
            if value.split(',').any(|v| v.trim().eq_ignore_ascii_case("close")) {
                close = true;
            } else if value.eq_ignore_ascii_case("keep-alive") {
                close = false;
            }
        } else if header.name.eq_ignore_ascii_case("expect") {
            expect_continue = value.eq_ignore_ascii_case("100-continue");
        }
    }
    // Both at once is how requests are smuggled past one of two readers.
    let framing = match (length, chunked) {
        (Some(_), true) => return Err(CodecError::BadFraming),
        (None, true) => Framing::Chunked,
        (length, false) => Framing::Length(length.unwrap_or(0)),
    };
    Ok(Head { size, framing, close, expect_continue })
}

/// Writes a response as bytes.
pub fn encode_response(response: &Response) -> Vec<u8> {
    let mut out = Vec::with_capacity(160 + response.body.len());
    out.extend_from_slice(b"HTTP/1.1 ");
    out.extend_from_slice(response.status.to_string().as_bytes());
    out.extend_from_slice(reason(response.status).as_bytes());
    if !response.body.is_empty() {
        out.extend_from_slice(b"\r\nContent-Type: application/cbor");
    }
    out.extend_from_slice(b"\r\nContent-Length: ");
    out.extend_from_slice(response.body.len().to_string().as_bytes());
    if let Some(seconds) = response.retry_after_s {
        out.extend_from_slice(b"\r\nRetry-After: ");
        out.extend_from_slice(seconds.to_string().as_bytes());
    }
    if response.close {
        out.extend_from_slice(b"\r\nConnection: close");
    }
    out.extend_from_slice(b"\r\n\r\n");
    out.extend_from_slice(&response.body);
    out
}

/// Writes a request as bytes.
pub fn encode_request(method: &str, target: &str, host: &str, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(128 + target.len() + body.len());
    for part in [method, " ", target, " HTTP/1.1\r\nHost: ", host] {
        out.extend_from_slice(part.as_bytes());
    }
    if !body.is_empty() {
        out.extend_from_slice(b"\r\nContent-Type: application/cbor");
    }
    if method != "GET" || !body.is_empty() {
        out.extend_from_slice(b"\r\nContent-Length: ");
        out.extend_from_slice(body.len().to_string().as_bytes());
    }
    out.extend_from_slice(b"\r\n\r\n");
    out.extend_from_slice(body);
    out
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => " OK",
        201 => " Created",
        400 => " Bad Request",
        404 => " Not Found",
        405 => " Method Not Allowed",
        408 => " Request Timeout",
        413 => " Content Too Large",
        421 => " Misdirected Request",
        422 => " Unprocessable Content",
        429 => " Too Many Requests",
        431 => " Request Header Fields Too Large",
        503 => " Service Unavailable",
        504 => " Gateway Timeout",
        _ => " Other",
    }
}

#[cfg(test)]
mod tests;
