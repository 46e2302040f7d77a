//! A small HTTP server: one task per connection, requests answered in order.
//!
//! The number of connections, the size of heads and bodies, and idle times are all bounded,
//! so a hostile or slow client costs at most the buffers of one connection.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};

use super::codec::{Decoder, Limits, Request, Response, encode_response};

/// Bytes read from a connection at once.
const READ_BYTES: usize = 4096;
/// After a failure to accept, the server waits for this part of [`ServerOptions::io_timeout`].
const ACCEPT_RETRY_DIVISOR: u32 = 50;
/// Seconds after which a client that was refused for lack of a free connection may retry.
const REFUSED_RETRY_AFTER_S: u32 = 1;

/// Bounds of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServerOptions {
    /// Largest request accepted.
    pub limits: Limits,
    /// Most connections at once; further ones are refused with status 503. At least one
    /// connection is served whatever the number.
    pub max_connections: usize,
    /// How long a connection may be idle between two requests.
    pub idle_timeout: Duration,
    /// Timeout for a whole request to arrive after its first byte, and for a response to be
    /// sent.
    pub io_timeout: Duration,
}

/// Answers requests. Cloned once for every connection.
pub trait Handler: Clone + Send + 'static {
    /// Answers one request.
    fn handle(&self, request: Request) -> impl Future<Output = Response> + Send;
}

/// Accepts and serves connections. Never returns: a failure to accept is retried.
pub async fn serve<H: Handler>(listener: TcpListener, options: ServerOptions, handler: H) {
    // A counting semaphore: each message is one free connection. A connection that is
    // accepted takes one, and its task puts it back at the end.
    let max_connections = options.max_connections.max(1);
    let (release, mut free) = mpsc::channel::<()>(max_connections);
    for _ in 0..max_connections {
        let _ = release.try_send(());
    }
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // Mostly the process is out of file descriptors: wait until some
                // connections have ended.
                tracing::error!(%error, "connection not accepted");
                tokio::time::sleep(options.io_timeout / ACCEPT_RETRY_DIVISOR).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        if free.try_recv().is_err() {
            tokio::spawn(refuse_connection(stream, options.io_timeout));
            continue;
        }
        let (release, handler) = (release.clone(), handler.clone());
        tokio::spawn(async move {
            serve_connection(stream, options, handler).await;
            let _ = release.try_send(());
        });
    }
}

async fn refuse_connection(mut stream: TcpStream, send_timeout: Duration) {
    let retry_after_s = Some(REFUSED_RETRY_AFTER_S);
    let response = Response { status: 503, body: Vec::new(), retry_after_s, close: true };
    let _ = timeout(send_timeout, stream.write_all(&encode_response(&response))).await;
}

/// Answers the requests of a connection until one side closes it.
async fn serve_connection<H: Handler>(mut stream: TcpStream, options: ServerOptions, handler: H) {
    let mut decoder = Decoder::new(options.limits);
    loop {
        let response = match read_request(&mut stream, &mut decoder, &options).await {
            Received::Request(request) => {
                let client_closes = request.close;
                let response = handler.handle(request).await;
                Response { close: response.close || client_closes, ..response }
            }
            Received::Unreadable { status } => {
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

/// What waiting for a request came to.
enum Received {
    /// A whole request.
    Request(Request),
    /// An invalid or incomplete request, to be refused with this HTTP status.
    Unreadable { status: u16 },
    /// No request: the client closed the connection, or was idle for too long.
    Disconnected,
}

async fn read_request(stream: &mut TcpStream, decoder: &mut Decoder, options: &ServerOptions) -> Received {
    let mut chunk = [0u8; READ_BYTES];
    // Set once the first byte of the request has been received.
    let mut request_deadline = None;
    let mut sent_continue = false;
    loop {
        match decoder.next_request() {
            Ok(Some(request)) => return Received::Request(request),
            Ok(None) => {}
            Err(error) => return Received::Unreadable { status: error.status() },
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
            Err(_) => return Received::Unreadable { status: 408 },
        }
    }
}

/// Listens on an address from the settings.
///
/// # Errors
///
/// The system's error if the address is in use or not one of this machine.
pub async fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

#[cfg(test)]
mod tests;
