//! HTTP for the parts of the harness: one listener helper for the servers, one function for
//! the clients.

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

/// Most bytes in the head of a message.
const MAX_HEAD: usize = 8192;
/// Most bytes in the body of a message, other than those to the key-value store.
pub const MAX_BODY: usize = 64 * 1024;
/// How long a connection may be idle, and how long a request may take.
const SERVER_TIMEOUT: Duration = Duration::from_secs(60);

/// A server that listens on a free loopback port.
#[derive(Debug)]
pub struct Listening {
    /// Where it listens.
    pub address: SocketAddr,
    /// Stops it; otherwise it ends with the runtime.
    pub serving: AbortHandle,
}

/// Passes each request on to the actor that answers it, as a message.
#[derive(Clone)]
struct ToActor<F>(F);

impl<F> Handler for ToActor<F>
where
    F: Fn(Request, oneshot::Sender<Response>) + Clone + Send + Sync + 'static,
{
    async fn handle(&self, request: Request) -> Response {
        let (reply, response) = oneshot::channel();
        (self.0)(request, reply);
        match response.await {
            Ok(response) => response,
            // The actor drops a request that is to get no response: the client times out.
            Err(_) => std::future::pending().await,
        }
    }
}

/// Listens on a free loopback port, for at most `connections` connections and bodies of
/// `max_body` bytes. `pass_on` sends each request to the actor that answers it.
///
/// # Errors
///
/// If no port is free.
pub async fn listen<F>(connections: usize, max_body: usize, pass_on: F) -> std::io::Result<Listening>
where
    F: Fn(Request, oneshot::Sender<Response>) + Clone + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let limits = Limits { head: MAX_HEAD, body: max_body };
    let options = ServerOptions {
        limits,
        max_connections: connections,
        idle_timeout: SERVER_TIMEOUT,
        io_timeout: SERVER_TIMEOUT,
    };
    let serving = tokio::spawn(serve(listener, options, ToActor(pass_on))).abort_handle();
    Ok(Listening { address, serving })
}

/// A response with this status and body.
pub fn response(status: u16, body: &Value) -> Response {
    Response { status, body: encode(body), retry_after_s: None, close: false }
}

/// Sends a request on a connection of its own; `None` if there was no usable response.
pub async fn send(to: SocketAddr, call: HttpCall) -> Option<Response> {
    let limits = Limits { head: MAX_HEAD, body: MAX_BODY };
    PreparedCall::without_pool(to, limits, call).run().await.0.ok()
}
