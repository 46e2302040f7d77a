//! The tasks that send calls to the leader: the forwarding of a user's request, and the relay
//! of a heartbeat.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::coordination::controller::POLL_TIMEOUT;
use crate::coordination::controller::events::{ForwardedReply, InternalEvent, ReplySender, UserRequest};
use crate::coordination::controller::heartbeat_answers::{redirect_answer, relayed_answer};
use crate::numeric::count_u32;
use crate::transport::peer::{PeerCall, PeerLink};

/// One route for a call to the leader.
pub(super) struct Route {
    /// The controller that is called.
    pub(super) peer: String,
    /// Whether that controller must relay the call to the leader.
    pub(super) via_relay: bool,
    /// The link to that controller.
    pub(super) link: PeerLink,
}

/// The forwarding of one user's request.
pub(super) struct Forwarding {
    routes: Vec<Route>,
    leader_was_unreachable: bool,
    events: mpsc::Sender<InternalEvent>,
    /// Timeout of the call on each route.
    timeout: Duration,
}

impl Forwarding {
    /// Prepares to forward a request on these routes, of which there must be at least one.
    /// The outcome is sent as events.
    pub(super) fn new(
        routes: Vec<Route>,
        leader_was_unreachable: bool,
        events: mpsc::Sender<InternalEvent>,
    ) -> Self {
        let route_count = count_u32(routes.len());
        Forwarding { routes, leader_was_unreachable, events, timeout: POLL_TIMEOUT / route_count }
    }

    /// Tries the routes one after the other until a controller replies or the caller has left.
    pub(super) async fn run(self, request: UserRequest) {
        let Forwarding { routes, leader_was_unreachable, events, timeout } = self;
        for Route { peer, via_relay, link } in routes {
            if request.reply.is_closed() {
                return;
            }
            let forwarded_at = Instant::now();
            if let Some(peer_reply) = link.call(request.call.clone(), via_relay, timeout).await {
                let reply = ForwardedReply { request, peer, forwarded_at, peer_reply };
                let _ = events.send(InternalEvent::RequestForwarded(Box::new(reply))).await;
                if leader_was_unreachable {
                    let _ = events.send(InternalEvent::LeaderReached).await;
                }
                return;
            }
            let _ = events.send(InternalEvent::PeerTimedOut { peer }).await;
        }
        let _ = events.send(InternalEvent::LeaderNotReached).await;
        let _ = events.send(InternalEvent::RequestNotForwarded(request)).await;
    }
}

/// The relay of one heartbeat to the leader.
pub(super) struct HeartbeatRelay {
    /// The leader's name.
    pub(super) leader: String,
    /// The link to the leader.
    pub(super) link: PeerLink,
}

impl HeartbeatRelay {
    /// Relays the heartbeat and returns the leader's reply to the worker, unchanged, under the
    /// leader's fencing token and lease. The worker drops a reply that takes too long, as it
    /// does with direct replies.
    pub(super) async fn run(self, body: Vec<u8>, reply: ReplySender, events: mpsc::Sender<InternalEvent>) {
        let HeartbeatRelay { leader, link } = self;
        let relayed_at = Instant::now();
        let leader_reply = link.call(PeerCall::Heartbeat(body), false, POLL_TIMEOUT).await;
        let timed_out_peer = leader_reply.is_none().then_some(leader);
        let answer = match leader_reply {
            Some(leader_reply) => relayed_answer(leader_reply, relayed_at),
            None => redirect_answer(None),
        };
        let _ = reply.send(answer);
        let _ = events.send(InternalEvent::HeartbeatRelayed { timed_out_peer }).await;
    }
}
