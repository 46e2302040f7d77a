//! An incremental HTTP/1.1 decoder and the matching encoders, shared by the server and the
//! client.
//!
//! The decoder accepts bytes as they arrive; a message may be split at any position. Every
//! length is checked against the limits before memory is allocated for it.

use thiserror::Error;

/// Maximum number of headers in a message; a message with more is rejected.
const MAX_HEADERS: usize = 48;
/// Terminates the data of each chunk of a chunked body.
const CHUNK_END: &[u8] = b"\r\n";
/// Buffer capacity in bytes for the head of an encoded response.
const RESPONSE_HEAD_BYTES: usize = 160;
/// Buffer capacity in bytes for the head of an encoded request, without its target.
const REQUEST_HEAD_BYTES: usize = 128;

/// Maximum size of a message accepted on a connection.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum size of the head (first line and headers) in bytes.
    pub head: usize,
    /// Maximum size of the body in bytes, after its chunks are joined.
    pub body: usize,
}

/// Why a message cannot be decoded. Any of these errors ends the connection, because the
/// start of the next message is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CodecError {
    /// The first line or a header is malformed, or there are too many headers.
    #[error("malformed message head")]
    BadHead,
    /// The head is larger than [`Limits::head`].
    #[error("message head too large")]
    HeadTooLarge,
    /// The body is larger than [`Limits::body`].
    #[error("message body too large")]
    BodyTooLarge,
    /// The length of the body cannot be determined: conflicting or malformed lengths, an
    /// unsupported transfer encoding, or malformed chunks.
    #[error("body framing is ambiguous or unsupported")]
    BadFraming,
}

impl CodecError {
    /// The HTTP status with which a server rejects such a message.
    pub fn status(self) -> u16 {
        match self {
            CodecError::BadHead | CodecError::BadFraming => 400,
            CodecError::HeadTooLarge => 431,
            CodecError::BodyTooLarge => 413,
        }
    }
}

/// The parts of an HTTP request that this program uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Request {
    /// HTTP method, as sent.
    pub method: String,
    /// Path and query, as sent.
    pub target: String,
    /// Body; empty if there was none.
    pub body: Vec<u8>,
    /// Whether the sender wants the connection closed after the response.
    pub close: bool,
}

/// The parts of an HTTP response that this program uses.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// HTTP status.
    pub status: u16,
    /// Body; empty if there is none.
    pub body: Vec<u8>,
    /// `Retry-After` in seconds, if the response has that header.
    pub retry_after_s: Option<u32>,
    /// Whether the connection is closed after the response.
    pub close: bool,
}

/// How the length of a body is given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// By `Content-Length`, in bytes; 0 without that header.
    Length(usize),
    /// By chunks, each with its own length.
    Chunked,
}

/// The parts of a message head that the decoder uses.
struct Head {
    /// Size of the head in bytes, blank line included.
    size: usize,
    framing: Framing,
    close: bool,
    expect_continue: bool,
}

/// A body and the offset in the buffer at which its message ends.
struct Body {
    bytes: Vec<u8>,
    message_end: usize,
}

/// Decodes messages from the bytes of one connection.
#[derive(Debug)]
pub struct Decoder {
    /// Received bytes that are not part of a decoded message yet.
    buffer: Vec<u8>,
    limits: Limits,
}

impl Decoder {
    /// A decoder for a new connection.
    pub fn new(limits: Limits) -> Self {
        Decoder { buffer: Vec::new(), limits }
    }

    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether no bytes of another message have been received.
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

    /// Removes the next request from the buffer; `None` until all of it has been received.
    ///
    /// # Errors
    ///
    /// [`CodecError`] if the bytes are not a valid request or exceed a limit. The connection
    /// must then be closed.
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
        let Some(Body { bytes: body, message_end }) = self.body(&head)? else { return Ok(None) };
        self.buffer.drain(..message_end);
        Ok(Some(Request { method, target, body, close: head.close }))
    }

    /// Removes the next response from the buffer; `None` until all of it has been received.
    ///
    /// # Errors
    ///
    /// [`CodecError`] if the bytes are not a valid response or exceed a limit. The connection
    /// must then be closed.
    pub fn next_response(&mut self) -> Result<Option<Response>, CodecError> {
        if self.buffer.is_empty() {
            return Ok(None);
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let Some(size) = self.head_size(parsed.parse(&self.buffer))? else { return Ok(None) };
        let head = read_headers(parsed.headers, size, parsed.version)?;
        let status = parsed.code.unwrap_or(0);
        let retry_after_s = header(parsed.headers, "retry-after").and_then(|value| value.parse().ok());
        let Some(Body { bytes: body, message_end }) = self.body(&head)? else { return Ok(None) };
        self.buffer.drain(..message_end);
        Ok(Some(Response { status, body, retry_after_s, close: head.close }))
    }

    /// The size of the head in bytes; `None` until all of it has been received.
    fn head_size(&self, parsed: httparse::Result<usize>) -> Result<Option<usize>, CodecError> {
        let (received, complete) = match parsed {
            Ok(httparse::Status::Complete(size)) => (size, Some(size)),
            Ok(httparse::Status::Partial) => (self.buffer.len(), None),
            Err(_) => return Err(CodecError::BadHead),
        };
        if received > self.limits.head { Err(CodecError::HeadTooLarge) } else { Ok(complete) }
    }

    /// The body; `None` until all of it has been received.
    fn body(&self, head: &Head) -> Result<Option<Body>, CodecError> {
        match head.framing {
            Framing::Length(length) => self.body_of_length(head.size, length),
            Framing::Chunked => self.chunked_body(head.size),
        }
    }

    fn body_of_length(&self, start: usize, length: usize) -> Result<Option<Body>, CodecError> {
        if length > self.limits.body {
            return Err(CodecError::BodyTooLarge);
        }
        let message_end = start + length;
        let bytes = self.buffer.get(start..message_end);
        Ok(bytes.map(|bytes| Body { bytes: bytes.to_vec(), message_end }))
    }

    /// Joins the chunks of a body, up to the empty last chunk.
    fn chunked_body(&self, start: usize) -> Result<Option<Body>, CodecError> {
        let mut bytes = Vec::new();
        let mut position = start;
        loop {
            let max_length = self.limits.body.saturating_sub(bytes.len());
            let Some((chunk, end)) = self.chunk(position, max_length)? else { return Ok(None) };
            bytes.extend_from_slice(chunk);
            position = end;
            if chunk.is_empty() {
                return Ok(Some(Body { bytes, message_end: position }));
            }
        }
    }

    /// The data of the chunk at `position`, at most `max_length` bytes, and the position after
    /// the chunk; `None` until all of it has been received.
    fn chunk(&self, position: usize, max_length: usize) -> Result<Option<(&[u8], usize)>, CodecError> {
        let rest = self.buffer.get(position..).unwrap_or_default();
        let (size_line, length) = match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete(found)) => found,
            // Chunk extensions are bounded by the limit on the head. Without a bound a sender
            // could make the buffer grow without sending any body data.
            Ok(httparse::Status::Partial) if rest.len() > self.limits.head => {
                return Err(CodecError::BadFraming);
            }
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(CodecError::BadFraming),
        };
        let length = usize::try_from(length).map_err(|_| CodecError::BodyTooLarge)?;
        if length > max_length {
            return Err(CodecError::BodyTooLarge);
        }
        let data = position + size_line;
        let end = data + length + CHUNK_END.len();
        let Some(chunk) = self.buffer.get(data..end) else { return Ok(None) };
        // After the last chunk this also rejects trailers, which are not supported.
        let chunk = chunk.strip_suffix(CHUNK_END).ok_or(CodecError::BadFraming)?;
        Ok(Some((chunk, end)))
    }
}

/// The trimmed value of a header; `None` if it is absent or not UTF-8.
fn header<'a>(headers: &'a [httparse::Header<'_>], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(found.value).ok().map(str::trim)
}

/// Reads the headers that determine the framing of the message and the state of the
/// connection.
fn read_headers(
    headers: &[httparse::Header<'_>],
    size: usize,
    version: Option<u8>,
) -> Result<Head, CodecError> {
    let mut length = None;
    let mut chunked = false;
    // Minor version 0 is HTTP/1.0, where the connection closes unless the sender asks to keep it.
    let mut close = version == Some(0);
    let mut expect_continue = false;
    for header in headers {
        let value = std::str::from_utf8(header.value).map_err(|_| CodecError::BadHead)?.trim();
        if header.name.eq_ignore_ascii_case("content-length") {
            length = Some(read_content_length(value, length)?);
        } else if header.name.eq_ignore_ascii_case("transfer-encoding") {
            if !value.eq_ignore_ascii_case("chunked") || chunked {
                return Err(CodecError::BadFraming);
            }
            chunked = true;
        } else if header.name.eq_ignore_ascii_case("connection") {
            close = read_connection(value).unwrap_or(close);
        } else if header.name.eq_ignore_ascii_case("expect") {
            expect_continue = value.eq_ignore_ascii_case("100-continue");
        }
    }
    let framing = match (length, chunked) {
        // With both headers, two parsers may disagree on where the message ends, which allows
        // request smuggling.
        (Some(_), true) => return Err(CodecError::BadFraming),
        (None, true) => Framing::Chunked,
        (length, false) => Framing::Length(length.unwrap_or(0)),
    };
    Ok(Head { size, framing, close, expect_continue })
}

/// Reads a `Content-Length` in bytes; a repeated header must have the same value as the
/// `earlier` one.
fn read_content_length(value: &str, earlier: Option<usize>) -> Result<usize, CodecError> {
    // "+5" parses as a number but is not a valid length.
    if value.is_empty() || !value.bytes().all(|b| b.is_ascii_digit()) {
        return Err(CodecError::BadFraming);
    }
    let length: usize = value.parse().map_err(|_| CodecError::BodyTooLarge)?;
    if earlier.is_some_and(|earlier| earlier != length) {
        return Err(CodecError::BadFraming);
    }
    Ok(length)
}

/// Whether a `Connection` header asks to close the connection (`true`) or to keep it
/// (`false`); `None` if it says neither.
fn read_connection(value: &str) -> Option<bool> {
    if value.split(',').any(|option| option.trim().eq_ignore_ascii_case("close")) {
        Some(true)
    } else if value.eq_ignore_ascii_case("keep-alive") {
        Some(false)
    } else {
        None
    }
}

/// Encodes a response. A non-empty body has the content type CBOR.
pub fn encode_response(response: &Response) -> Vec<u8> {
    let mut out = Vec::with_capacity(RESPONSE_HEAD_BYTES + response.body.len());
    out.extend_from_slice(b"HTTP/1.1 ");
    out.extend_from_slice(response.status.to_string().as_bytes());
    out.extend_from_slice(reason_phrase(response.status).as_bytes());
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

/// Encodes a request. `host` is the server's address; a non-empty body has the content type
/// CBOR.
pub fn encode_request(method: &str, target: &str, host: &str, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(REQUEST_HEAD_BYTES + target.len() + body.len());
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

/// The reason phrase of the status line, with the space before it.
fn reason_phrase(status: u16) -> &'static str {
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
