//! HTTP client for external systems; each request has a timeout.
//!
//! A [`ConnectionPool`] is owned by one actor. Preparing a request takes an idle connection out
//! of the pool, if there is one. The request runs in its own task, which returns the connection
//! to the actor together with the outcome, so tasks share no state.

use std::io::ErrorKind;
use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

pub use super::call::{ClientError, HttpCall};
use super::codec::{Decoder, Limits, Response, encode_request};

/// Size in bytes of the buffer for one read from a connection.
const READ_BUFFER_BYTES: usize = 8192;

/// The result of a request, and its connection if it can be reused for another request.
type Outcome = (Result<Response, ClientError>, Option<Connection>);

/// An open connection and the bytes received on it that are not yet decoded.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    decoder: Decoder,
}

/// Idle connections to one address.
#[derive(Debug)]
pub struct ConnectionPool {
    address: SocketAddr,
    limits: Limits,
    idle: Vec<Connection>,
    max_idle: usize,
}

/// A request with the connection that it will use, to be run in its own task.
#[derive(Debug)]
pub struct PreparedCall {
    address: SocketAddr,
    limits: Limits,
    /// An idle connection of the pool; `None` to open a new one.
    connection: Option<Connection>,
    call: HttpCall,
}

impl ConnectionPool {
    /// An empty pool that keeps at most `max_idle` idle connections. `limits` bound the
    /// responses that are accepted.
    pub fn new(address: SocketAddr, limits: Limits, max_idle: usize) -> Self {
        ConnectionPool { address, limits, idle: Vec::new(), max_idle }
    }

    /// Prepares a request on an idle connection, or on a new one if none is idle.
    pub fn prepare(&mut self, call: HttpCall) -> PreparedCall {
        PreparedCall { address: self.address, limits: self.limits, connection: self.idle.pop(), call }
    }

    /// Returns the connection from [`PreparedCall::run`] to the pool. The connection is closed
    /// if the pool is full.
    pub fn put_back(&mut self, connection: Option<Connection>) {
        if let Some(connection) = connection
            && self.idle.len() < self.max_idle
        {
            self.idle.push(connection);
        }
    }
}

impl PreparedCall {
    /// A request that opens its own connection and uses no pool.
    pub fn without_pool(address: SocketAddr, limits: Limits, call: HttpCall) -> Self {
        PreparedCall { address, limits, connection: None, call }
    }

    /// Sends the request and waits for the response. Also returns the connection if it can be
    /// reused. After a timeout the connection is closed, so that a late response cannot be
    /// mistaken for the response to another request.
    ///
    /// # Errors
    ///
    /// The result is a [`ClientError`] if no valid response arrived within the call's timeout.
    pub async fn run(self) -> (Result<Response, ClientError>, Option<Connection>) {
        let duration = self.call.timeout;
        match timeout(duration, self.exchange()).await {
            Ok(outcome) => outcome,
            Err(_) => (Err(ClientError::TimedOut), None),
        }
    }

    async fn exchange(self) -> Outcome {
        let PreparedCall { address, limits, connection, call } = self;
        #[cfg(test)]
        if let Some(result) = super::simulated_network::http(address, &call).await {
            return (result, None);
        }
        let bytes = encode_request(call.method, &call.target, &address.to_string(), &call.body);
        if let Some(mut idle) = connection.filter(Connection::has_no_unread_bytes) {
            match idle.exchange(&bytes).await {
                // The server may have closed the idle connection in the meantime. A GET
                // changes nothing and is sent again on a new connection. For other methods
                // the outcome is unknown, and the caller has to determine it.
                Err(ClientError::ConnectionLost(_)) if call.method == "GET" => {}
                result => return idle.into_outcome(result),
            }
        }
        let Ok(mut connection) = Connection::open(address, limits).await else {
            return (Err(ClientError::NotSent), None);
        };
        let result = connection.exchange(&bytes).await;
        connection.into_outcome(result)
    }
}

impl Connection {
    async fn open(address: SocketAddr, limits: Limits) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        let _ = stream.set_nodelay(true);
        Ok(Connection { stream, decoder: Decoder::new(limits) })
    }

    /// Whether the connection is open and nothing has been received since the last response.
    /// Unread bytes, such as a duplicate of that response or a message that the server sent
    /// before it closed, would be mistaken for the response to the next request.
    fn has_no_unread_bytes(&self) -> bool {
        let mut byte = [0u8; 1];
        matches!(self.stream.try_read(&mut byte), Err(error) if error.kind() == ErrorKind::WouldBlock)
    }

    /// Sends an encoded request and reads the response.
    async fn exchange(&mut self, request: &[u8]) -> Result<Response, ClientError> {
        self.stream.write_all(request).await.map_err(ClientError::ConnectionLost)?;
        let mut chunk = [0u8; READ_BUFFER_BYTES];
        loop {
            if let Some(response) = self.decoder.next_response()? {
                return Ok(response);
            }
            match self.stream.read(&mut chunk).await.map_err(ClientError::ConnectionLost)? {
                0 => return Err(ClientError::ConnectionLost(ErrorKind::UnexpectedEof.into())),
                read => self.decoder.push(&chunk[..read]),
            }
        }
    }

    /// Keeps the connection if the server keeps it open and has sent nothing after the
    /// response.
    fn into_outcome(self, result: Result<Response, ClientError>) -> Outcome {
        let stays_open = result.as_ref().is_ok_and(|response| !response.close);
        let reusable = stays_open && self.decoder.is_empty();
        (result, reusable.then_some(self))
    }
}

#[cfg(test)]
mod tests;
