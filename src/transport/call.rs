//! HTTP requests to external systems and their errors.

use std::time::Duration;

use thiserror::Error;

use super::codec::CodecError;

/// An HTTP request to an external system.
#[derive(Debug, Clone)]
pub struct HttpCall {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// Body; may be empty.
    pub body: Vec<u8>,
    /// Timeout of the whole exchange: connecting, sending and receiving the response.
    pub timeout: Duration,
}

/// Why a request failed. Only [`ClientError::NotSent`] proves that the server did not carry
/// it out; after any other error the outcome is unknown.
#[derive(Debug, Error)]
pub enum ClientError {
    /// The connection could not be established, so nothing was sent; only a GET may have been
    /// sent before, on an idle connection that was lost.
    #[error("could not connect")]
    NotSent,
    /// The timeout of the call ran out.
    #[error("request timed out")]
    TimedOut,
    /// The connection failed or was closed before the whole response had arrived.
    #[error("connection lost: {0}")]
    ConnectionLost(std::io::Error),
    /// The response is not valid HTTP or exceeds the limits.
    #[error("invalid response: {0}")]
    InvalidResponse(#[from] CodecError),
}
