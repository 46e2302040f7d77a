//! A simulated network for tests. Requests to external systems and other controllers do not
//! use sockets: they are delivered, with their destination address, to the test that installed
//! the network on its thread. With the runtime's clock paused, a whole cluster runs in
//! simulated time.

use std::cell::RefCell;
use std::net::SocketAddr;

use tokio::sync::{mpsc, oneshot};

use super::call::{ClientError, HttpCall};
use super::codec::Response;
use super::peer_message::{PeerCall, PeerReply};
use crate::numeric::whole_ms;

/// A request on the simulated network. If `reply` is dropped, the request is lost: its sender
/// waits until its own timeout.
#[derive(Debug)]
pub enum SimulatedRequest {
    /// An HTTP request to an external system.
    Http {
        /// The destination address.
        to: SocketAddr,
        /// The request.
        call: HttpCall,
        /// Receives the response or the error.
        reply: oneshot::Sender<Result<Response, ClientError>>,
    },
    /// A call to another controller.
    Peer {
        /// The destination address.
        to: SocketAddr,
        /// The call.
        call: PeerCall,
        /// Whether a controller that does not lead should relay it to the leader.
        relay: bool,
        /// Receives the reply.
        reply: oneshot::Sender<PeerReply>,
    },
}

/// A network that a test has installed.
struct SimulatedNetwork {
    /// Delivers requests to the test. Once the test ends and this channel closes, the network
    /// counts as removed.
    requests: mpsc::UnboundedSender<SimulatedRequest>,
    installed_at: tokio::time::Instant,
    /// Number of write markers issued.
    write_markers: u64,
}

impl SimulatedNetwork {
    fn is_open(&self) -> bool {
        !self.requests.is_closed()
    }
}

thread_local! {
    static NETWORK: RefCell<Option<SimulatedNetwork>> = const { RefCell::new(None) };
}

/// Simulated time of day: milliseconds on the runtime's clock since the network was
/// installed. `None` without a network; the caller then uses the machine's time of day.
pub fn time_of_day_ms() -> Option<u64> {
    let installed_at = NETWORK.with(|network| {
        let network = network.borrow();
        network.as_ref().filter(|network| network.is_open()).map(|network| network.installed_at)
    })?;
    Some(whole_ms(installed_at.elapsed()))
}

/// A marker for a write: the same in each run of a test, different for each write. `None`
/// without a network; the caller then uses a random marker.
pub fn next_write_marker() -> Option<u64> {
    NETWORK.with(|network| {
        let mut network = network.borrow_mut();
        let network = network.as_mut().filter(|network| network.is_open())?;
        network.write_markers += 1;
        // The multiplication spreads the counter over all bits, like a random marker.
        Some(network.write_markers.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    })
}

/// Installs a network on this thread and replaces an earlier one. Requests sent from this
/// thread are delivered to the returned receiver until it is dropped.
pub fn install() -> mpsc::UnboundedReceiver<SimulatedRequest> {
    let (requests, received) = mpsc::unbounded_channel();
    let installed_at = tokio::time::Instant::now();
    NETWORK.with(|network| {
        *network.borrow_mut() = Some(SimulatedNetwork { requests, installed_at, write_markers: 0 });
    });
    received
}

/// Sends a request on the simulated network; returns `false` without a network.
fn send(request: SimulatedRequest) -> bool {
    NETWORK.with(|network| {
        network.borrow().as_ref().is_some_and(|network| network.requests.send(request).is_ok())
    })
}

/// Waits for the reply to a request; never returns if the test dropped the request.
async fn reply_to<T>(reply: oneshot::Receiver<T>) -> T {
    match reply.await {
        Ok(reply) => reply,
        Err(_) => std::future::pending().await,
    }
}

/// Sends an HTTP request on the simulated network. `None` without a network; the caller then
/// uses a socket.
pub(super) async fn http(to: SocketAddr, call: &HttpCall) -> Option<Result<Response, ClientError>> {
    let (reply, received) = oneshot::channel();
    let sent = send(SimulatedRequest::Http { to, call: call.clone(), reply });
    if sent { Some(reply_to(received).await) } else { None }
}

/// Sends a call to another controller on the simulated network. `None` without a network; the
/// caller then uses gRPC.
pub(super) async fn peer(to: SocketAddr, call: &PeerCall, relay: bool) -> Option<PeerReply> {
    let (reply, received) = oneshot::channel();
    let sent = send(SimulatedRequest::Peer { to, call: call.clone(), relay, reply });
    if sent { Some(reply_to(received).await) } else { None }
}
