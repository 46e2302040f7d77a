//! Requests to outside systems, each with a deadline.
//!
//! A [`Pool`] is owned by one actor. The actor takes a connection, sends the
//! request in a task of its own and is handed the connection back with the
//! outcome, so no state is shared.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::codec::{CodecError, Decoder, Limits, Response, encode_request};

/// How a request failed. Only `NotSent` proves that nothing was carried out.
#[derive(Debug, Error)]
pub enum ClientError {
    #[error("could not connect")]
    NotSent,
    #[error("no answer in time")]
    TimedOut,
    #[error("connection lost: {0}")]
    Lost(std::io::Error),
    #[error("unreadable answer: {0}")]
    Unreadable(#[from] CodecError),
}

#[derive(Debug, Clone)]
pub struct Call {
    pub method: &'static str,
    pub target: String,
    pub body: Vec<u8>,
    pub deadline: Duration,
}

#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    decoder: Decoder,
}

/// Connections to one address that stand idle.
#[derive(Debug)]
pub struct Pool {
    address: SocketAddr,
    limits: Limits,
    idle: Vec<Connection>,
    max_idle: usize,
}

/// One prepared request: to be run in a task of its own.
#[derive(Debug)]
pub struct PreparedCall {
    address: SocketAddr,
    limits: Limits,
    connection: Option<Connection>,
    call: Call,
}

impl Pool {
    pub fn new(address: SocketAddr, limits: Limits, keep: usize) -> Self {
        Pool { address, limits, idle: Vec::new(), max_idle: keep }
    }

    pub fn prepare(&mut self, call: Call) -> PreparedCall {
        PreparedCall { address: self.address, limits: self.limits, connection: self.idle.pop(), call }
    }

    pub fn put_back(&mut self, connection: Option<Connection>) {
        if let Some(connection) = connection
            && self.idle.len() < self.max_idle
        {
            self.idle.push(connection);
        }
    }
}

impl PreparedCall {
    /// A request outside any pool, on a connection of its own.
    pub fn without_pool(address: SocketAddr, limits: Limits, call: Call) -> Self {
        PreparedCall { address, limits, connection: None, call }
    }

    /// Sends the request; returns the connection if it can be used again.
    pub async fn run(self) -> (Result<Response, ClientError>, Option<Connection>) {
        let deadline = self.call.deadline;
        match timeout(deadline, self.exchange()).await {
            Ok((result, connection)) => (result, connection),
            Err(_) => (Err(ClientError::TimedOut), None),
        }
    }

    async fn exchange(self) -> (Result<Response, ClientError>, Option<Connection>) {
        let PreparedCall { address, limits, connection, call } = self;
        #[cfg(test)]
        if let Some(result) = super::scripted::http(address, &call).await {
            return (result, None);
        }
        let bytes = encode_request(call.method, &call.target, &address.to_string(), &call.body);
        // A kept connection may have been closed meanwhile. A GET changes
        // nothing and is simply sent again; for others the outcome counts as
        // unknown and is the caller's to settle.
        if let Some(mut kept) = connection.filter(Connection::is_clean) {
            match kept.send(&bytes).await {
                Err(ClientError::Lost(_)) if call.method == "GET" => {}
                outcome => return finish(outcome, kept),
            }
        }
        let Ok(stream) = TcpStream::connect(address).await else {
            return (Err(ClientError::NotSent), None);
        };
        let _ = stream.set_nodelay(true);
        let mut fresh = Connection { stream, decoder: Decoder::new(limits) };
        let outcome = fresh.send(&bytes).await;
        finish(outcome, fresh)
    }
}

fn finish(
    outcome: Result<Response, ClientError>,
    connection: Connection,
) -> (Result<Response, ClientError>, Option<Connection>) {
    let reusable = outcome.as_ref().is_ok_and(|r| !r.close) && connection.decoder.is_empty();
    (outcome, reusable.then_some(connection))
}

impl Connection {
    /// Whether nothing has come since the last answer. What has, a second copy of it or
    /// a word of farewell, would be taken for the answer to the next request.
    fn is_clean(&self) -> bool {
        let mut byte = [0u8; 1];
        matches!(self.stream.try_read(&mut byte), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    async fn send(&mut self, bytes: &[u8]) -> Result<Response, ClientError> {
        self.stream.write_all(bytes).await.map_err(ClientError::Lost)?;
        let mut chunk = [0u8; 8192];
        loop {
            if let Some(response) = self.decoder.next_response()? {
                return Ok(response);
            }
            match self.stream.read(&mut chunk).await.map_err(ClientError::Lost)? {
                0 => return Err(ClientError::Lost(ErrorKind::UnexpectedEof.into())),
                read => self.decoder.push(&chunk[..read]),
            }
        }
    }
}

#[cfg(test)]
mod tests;
