//! HTTP helpers of the harness: a listener for the servers and a request function for the
//! clients.

use std::net::SocketAddr;
use std::time::Duration;

use ciborium::value::Value;
use shedtally::protocol::cbor::encode;
use shedtally::transport::client::{HttpCall, PreparedCall};
use shedtally::transport::codec::{Limits, Request, Response};
use shedtally::transport::server::{Handler, ServerOptions, serve};
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// Maximum size of a message head, in bytes.
const MAX_HEAD: usize = 8192;
/// Maximum size of a message body, in bytes, except for requests to the key-value store.
pub const MAX_BODY: usize = 64 * 1024;
/// Timeout for idle connections and for requests.
const SERVER_TIMEOUT: Duration = Duration::from_secs(60);

/// A server that listens on a free loopback port.
#[derive(Debug)]
pub struct RunningServer {
    /// The address that it listens on.
    pub address: SocketAddr,
    /// Stops the server, which otherwise runs until the runtime ends.
    pub abort_handle: AbortHandle,
}

/// Sends each request as a message to the actor that responds to it.
#[derive(Clone)]
struct ActorHandler<F>(F);

impl<F> Handler for ActorHandler<F>
where
    F: Fn(Request, oneshot::Sender<Response>) + Clone + Send + Sync + 'static,
{
    async fn handle(&self, request: Request) -> Response {
        let (reply, response) = oneshot::channel();
        (self.0)(request, reply);
        match response.await {
            Ok(response) => response,
            // The actor dropped the request so that it gets no response and the client times out.
            Err(_) => std::future::pending().await,
        }
    }
}

/// Starts a server on a free loopback port, for at most `max_connections` connections and bodies
/// of `max_body` bytes. `forward` sends each request to the actor that responds to it.
///
/// # Errors
///
/// If no port is free.
pub async fn listen<F>(max_connections: usize, max_body: usize, forward: F) -> std::io::Result<RunningServer>
where
    F: Fn(Request, oneshot::Sender<Response>) + Clone + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let limits = Limits { head: MAX_HEAD, body: max_body };
    let options =
        ServerOptions { limits, max_connections, idle_timeout: SERVER_TIMEOUT, io_timeout: SERVER_TIMEOUT };
    let abort_handle = tokio::spawn(serve(listener, options, ActorHandler(forward))).abort_handle();
    Ok(RunningServer { address, abort_handle })
}

/// Creates a response with this status and body.
pub fn response(status: u16, body: &Value) -> Response {
    Response { status, body: encode(body), retry_after_s: None, close: false }
}

/// Sends a request on a new connection; returns `None` if there was no valid response.
pub async fn send(to: SocketAddr, call: HttpCall) -> Option<Response> {
    let limits = Limits { head: MAX_HEAD, body: MAX_BODY };
    PreparedCall::without_pool(to, limits, call).run().await.0.ok()
}
