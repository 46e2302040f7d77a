//! A small HTTP server: one task per connection, requests answered in order.
//!
//! The number of connections served, the size of heads and bodies, and idle times are all
//! bounded, so hostile or slow clients cannot use an unlimited amount of memory.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

use super::codec::{Decoder, Limits, Request, Response, encode_response};

/// Size in bytes of the buffer for one read from a connection.
const READ_BUFFER_BYTES: usize = 4096;
/// After `accept` fails, the server waits for [`ServerOptions::io_timeout`] divided by this.
const ACCEPT_RETRY_DIVISOR: u32 = 50;
/// `Retry-After` in seconds for a client that is refused at the connection limit.
const REFUSED_RETRY_AFTER_S: u32 = 1;

/// Limits and timeouts of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerOptions {
    /// Maximum size of a request.
    pub limits: Limits,
    /// Maximum number of concurrent connections; further ones are refused with status 503.
    /// At least one connection is served, even if this is 0.
    pub max_connections: usize,
    /// Maximum time that a connection may be idle before its first request and between two
    /// requests.
    pub idle_timeout: Duration,
    /// Timeout for a whole request to arrive after its first byte, and for a response to be
    /// sent.
    pub io_timeout: Duration,
}

/// Handles requests. Cloned once for every connection.
pub trait Handler: Clone + Send + 'static {
    /// Handles one request.
    fn handle(&self, request: Request) -> impl Future<Output = Response> + Send;
}

/// Accepts and serves connections. Never returns: a failure to accept is retried.
pub async fn serve<H: Handler>(listener: TcpListener, options: ServerOptions, handler: H) {
    // The channel is a counting semaphore: each message is a permit for one connection. The
    // server takes a permit for each connection, whose task returns the permit at its end.
    let max_connections = options.max_connections.max(1);
    let (return_permit, mut permits) = mpsc::channel::<()>(max_connections);
    for _ in 0..max_connections {
        let _ = return_permit.try_send(());
    }
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // The usual cause is that the process has run out of file descriptors: wait
                // until some connections have closed.
                tracing::error!(%error, "connection not accepted");
                tokio::time::sleep(options.io_timeout / ACCEPT_RETRY_DIVISOR).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        if permits.try_recv().is_err() {
            tokio::spawn(refuse_connection(stream, options.io_timeout));
            continue;
        }
        let (return_permit, handler) = (return_permit.clone(), handler.clone());
        tokio::spawn(async move {
            serve_connection(stream, options, handler).await;
            let _ = return_permit.try_send(());
        });
    }
}

async fn refuse_connection(mut stream: TcpStream, send_timeout: Duration) {
    let retry_after_s = Some(REFUSED_RETRY_AFTER_S);
    let response = Response { status: 503, body: Vec::new(), retry_after_s, close: true };
    let _ = timeout(send_timeout, stream.write_all(&encode_response(&response))).await;
}

/// Handles the requests of a connection until one side closes it.
async fn serve_connection<H: Handler>(mut stream: TcpStream, options: ServerOptions, handler: H) {
    let mut decoder = Decoder::new(options.limits);
    loop {
        let response = match read_request(&mut stream, &mut decoder, &options).await {
            Received::Request(request) => {
                let client_closes = request.close;
                let response = handler.handle(request).await;
                Response { close: response.close || client_closes, ..response }
            }
            Received::Invalid { status } => {
                Response { status, body: Vec::new(), retry_after_s: None, close: true }
            }
            Received::Disconnected => return,
        };
        let sent = timeout(options.io_timeout, stream.write_all(&encode_response(&response))).await;
        if response.close || !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}

/// Outcome of waiting for a request.
enum Received {
    /// A whole request.
    Request(Request),
    /// An invalid or incomplete request, to be rejected with this HTTP status.
    Invalid { status: u16 },
    /// No whole request: the connection was closed or failed, or was idle for too long.
    Disconnected,
}

async fn read_request(stream: &mut TcpStream, decoder: &mut Decoder, options: &ServerOptions) -> Received {
    let mut chunk = [0u8; READ_BUFFER_BYTES];
    // Set once the first byte of the request has been received.
    let mut request_deadline = None;
    let mut sent_continue = false;
    loop {
        match decoder.next_request() {
            Ok(Some(request)) => return Received::Request(request),
            Ok(None) => {}
            Err(error) => return Received::Invalid { status: error.status() },
        }
        if !decoder.is_empty() && request_deadline.is_none() {
            request_deadline = Some(Instant::now() + options.io_timeout);
        }
        if !sent_continue && decoder.wants_continue() {
            sent_continue = true;
            if stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
                return Received::Disconnected;
            }
        }
        let deadline = request_deadline.unwrap_or_else(|| Instant::now() + options.idle_timeout);
        match timeout_at(deadline, stream.read(&mut chunk)).await {
            Ok(Ok(0) | Err(_)) => return Received::Disconnected,
            Ok(Ok(read)) => decoder.push(&chunk[..read]),
            Err(_) if decoder.is_empty() => return Received::Disconnected,
            Err(_) => return Received::Invalid { status: 408 },
        }
    }
}

/// Opens a listener on an address from the settings.
///
/// # Errors
///
/// The operating system's error if the address is in use or does not belong to this machine.
pub async fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

#[cfg(test)]
mod tests;
