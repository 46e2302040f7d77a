//! A small HTTP server: one task a connection, requests answered in order.
//!
//! Connections, heads, bodies and idle times are all bounded, so a hostile or
//! slow peer costs at most one connection's buffers.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

use super::codec::{Decoder, Limits, Request, Response, encode_response};

#[derive(Debug, Clone, Copy)]
pub struct ServerOptions {
    pub limits: Limits,
    /// Connections beyond this many are refused at once.
    pub connections: usize,
    /// How long a connection may be silent between requests.
    pub idle: Duration,
    /// How long a request may take to arrive, and an answer to be taken.
    pub patience: Duration,
}

/// Answers a request. Cloned once for every connection.
pub trait Handler: Clone + Send + 'static {
    fn handle(&self, request: Request) -> impl Future<Output = Response> + Send;
}

/// Accepts connections until the listener fails for good.
pub async fn serve<H: Handler>(listener: TcpListener, options: ServerOptions, handler: H) {
    // Ended connections hand back their place through this channel.
    let (places, mut free) = mpsc::channel::<()>(options.connections.max(1));
    for _ in 0..options.connections.max(1) {
        let _ = places.try_send(());
    }
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                // Mostly no free sockets: give ending connections a moment.
                tracing::error!(%error, "cannot accept a connection");
                tokio::time::sleep(options.patience / 50).await;
                continue;
            }
        };
        let _ = stream.set_nodelay(true);
        if free.try_recv().is_err() {
            tokio::spawn(refuse(stream, options.patience));
            continue;
        }
        let (places, handler) = (places.clone(), handler.clone());
        tokio::spawn(async move {
            connection(stream, options, handler).await;
            let _ = places.try_send(());
        });
    }
}

async fn refuse(mut stream: TcpStream, patience: Duration) {
    let response = Response { status: 503, body: Vec::new(), retry_after_s: Some(1), close: true };
    let _ = timeout(patience, stream.write_all(&encode_response(&response))).await;
}

async fn connection<H: Handler>(mut stream: TcpStream, options: ServerOptions, handler: H) {
    let mut decoder = Decoder::new(options.limits);
    loop {
        let (response, close) = match read_request(&mut stream, &mut decoder, &options).await {
            Arrival::Request(request) => {
                let close = request.close;
                let mut response = handler.handle(request).await;
                response.close |= close;
                let close = response.close;
                (response, close)
            }
            Arrival::Refused(status) => {
                (Response { status, body: Vec::new(), retry_after_s: None, close: true }, true)
            }
            Arrival::Gone => return,
        };
        match timeout(options.patience, stream.write_all(&encode_response(&response))).await {
            Ok(Ok(())) if !close => {}
            _ => return,
        }
    }
}

enum Arrival {
    Request(Request),
    Refused(u16),
    Gone,
}

async fn read_request(stream: &mut TcpStream, decoder: &mut Decoder, options: &ServerOptions) -> Arrival {
    let mut chunk = [0u8; 4096];
    let mut deadline = None;
    let mut continued = false;
    loop {
        match decoder.next_request() {
            Ok(Some(request)) => return Arrival::Request(request),
            Ok(None) => {}
            Err(error) => return Arrival::Refused(error.status()),
        }
        if !decoder.is_empty() && deadline.is_none() {
            deadline = Some(tokio::time::Instant::now() + options.patience);
        }
        if !continued && decoder.wants_continue() {
            continued = true;
            if stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
                return Arrival::Gone;
            }
        }
        let until = deadline.unwrap_or_else(|| tokio::time::Instant::now() + options.idle);
        match tokio::time::timeout_at(until, stream.read(&mut chunk)).await {
            Ok(Ok(0)) | Ok(Err(_)) => return Arrival::Gone,
            Ok(Ok(read)) => decoder.push(&chunk[..read]),
            Err(_) if decoder.is_empty() => return Arrival::Gone,
            Err(_) => return Arrival::Refused(408),
        }
    }
}

/// Listens on an address from the settings.
pub async fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

#[cfg(test)]
mod tests;
