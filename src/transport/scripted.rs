//! A network for tests: requests to outside systems and to other controllers go
//! to whoever installed it on this thread, with the address they were sent to,
//! instead of to sockets. With the runtime's clock paused a whole cluster then
//! runs in simulated time.

use std::cell::RefCell;
use std::net::SocketAddr;

use tokio::sync::{mpsc, oneshot};

use super::client::{Call, ClientError};
use super::codec::Response;
use super::peer::{PeerCall, PeerReply};

/// A request under way. Dropping `reply` leaves it without an answer.
#[derive(Debug)]
pub enum Ask {
    Http { to: SocketAddr, call: Call, reply: oneshot::Sender<Result<Response, ClientError>> },
    Peer { to: SocketAddr, call: PeerCall, relay: bool, reply: oneshot::Sender<PeerReply> },
}

struct Network {
    asks: mpsc::UnboundedSender<Ask>,
    since: tokio::time::Instant,
    /// How many marks were given out.
    marks: u64,
}

thread_local! {
    static NETWORK: RefCell<Option<Network>> = const { RefCell::new(None) };
}

/// Milliseconds that the runtime's clock has run since a network was installed, if
/// one is: the time of day must not be the machine's then.
pub fn wall_ms() -> Option<u64> {
    let open = |network: &Option<Network>| network.as_ref().filter(|n| !n.asks.is_closed()).map(|n| n.since);
    let since = NETWORK.with(|network| open(&network.borrow()))?;
    Some(u64::try_from(since.elapsed().as_millis()).unwrap_or(u64::MAX))
}

/// A mark for a write, if a network is installed: alike in each run, unlike in each write.
pub fn next_mark() -> Option<u64> {
    NETWORK.with(|network| {
        let mut network = network.borrow_mut();
        let network = network.as_mut().filter(|n| !n.asks.is_closed())?;
        network.marks += 1;
        // Spread over all bits, as random ones are.
        Some(network.marks.wrapping_mul(0x9e37_79b9_7f4a_7c15))
    })
}

/// From now on, what this thread's tests send arrives here.
pub fn install() -> mpsc::UnboundedReceiver<Ask> {
    let (asks, asked) = mpsc::unbounded_channel();
    NETWORK.with(|network| {
        *network.borrow_mut() = Some(Network { asks, since: tokio::time::Instant::now(), marks: 0 })
    });
    asked
}

fn send(ask: Ask) -> bool {
    NETWORK.with(|network| network.borrow().as_ref().is_some_and(|n| n.asks.send(ask).is_ok()))
}

/// `None` where no network is installed: sockets it is.
pub(super) async fn http(to: SocketAddr, call: &Call) -> Option<Result<Response, ClientError>> {
    let (reply, answer) = oneshot::channel();
    if !send(Ask::Http { to, call: call.clone(), reply }) {
        return None;
    }
    match answer.await {
        Ok(result) => Some(result),
        Err(_) => std::future::pending().await,
    }
}

pub(super) async fn peer(to: SocketAddr, call: &PeerCall, relay: bool) -> Option<PeerReply> {
    let (reply, answer) = oneshot::channel();
    if !send(Ask::Peer { to, call: call.clone(), relay, reply }) {
        return None;
    }
    match answer.await {
        Ok(reply) => Some(reply),
        Err(_) => std::future::pending().await,
    }
}
