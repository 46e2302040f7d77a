//! An HTTP request to an outside system, and how it may fail.

use std::time::Duration;

use thiserror::Error;

use super::codec::CodecError;

/// A request to an outside system.
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

/// How a request failed. Only [`ClientError::NotSent`] proves that it was not carried out;
/// after each other failure the outcome is unknown.
#[derive(Debug, Error)]
pub enum ClientError {
    /// No connection could be made, so nothing was sent.
    #[error("could not connect")]
    NotSent,
    /// The timeout of the call ran out.
    #[error("no answer in time")]
    TimedOut,
    /// The connection failed or was closed before the whole response had arrived.
    #[error("connection lost: {0}")]
    ConnectionLost(std::io::Error),
    /// The response is no valid HTTP, or larger than the limits allow.
    #[error("unreadable answer: {0}")]
    InvalidResponse(#[from] CodecError),
}
