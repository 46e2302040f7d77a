//! State learned from the other controllers (peers) rather than from the store: which of them
//! leads, and which of them can be reached.
//!
//! A controller that has lost its connection to the store cannot read there who leads, but a
//! peer may know. The peers' statements never permit a controller to act as the leader. They
//! decide the following:
//!
//! - where requests and heartbeats are forwarded; the leader answers those under its own lease;
//! - whether a leader is known, for the readiness check and `/status`;
//! - which epoch is the newest known: replies that were decided under an older one are rejected
//!   (`newest_epoch`);
//! - whether a leader whose lease has expired forwards users' requests to a peer that leads
//!   (`serves_as_leader`), and whether it steps down because that peer's epoch is higher
//!   (`handle_peer_state`);
//! - whether a new leader need not wait for earlier leaders' post-lease grace periods, because
//!   no peer replies to workers any more (`Leader::record_post_lease_graces_over`).

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::authority::answers::Answer;
use crate::protocol::cbor::{Fields, MapBuilder, decode};
use crate::transport::peer::PeerReply;

/// Field of the reply to a leader query: the epoch in which the controller leads.
const EPOCH: &str = "epoch";
/// Field of the reply of a controller that does not lead: whether it is idle.
const IDLE: &str = "free";
/// The leader's lease divided by this is the time between two queries to one peer.
const QUERY_LEASE_DIVISOR: u32 = 8;
/// The leader's lease divided by this is the time for which a peer's statement, or a timeout,
/// counts as recent.
const RECENT_LEASE_DIVISOR: u32 = 2;

/// State of one peer.
#[derive(Debug, Default)]
struct Peer {
    queried_at: Option<Instant>,
    query_in_flight: bool,
    answered_at: Option<Instant>,
    leading: Option<LeadershipClaim>,
    /// When the peer last stated that it replies to no worker, not even in a post-lease
    /// grace period.
    idle_at: Option<Instant>,
    /// When a call to the peer last timed out.
    timed_out_at: Option<Instant>,
}

/// A peer's statement that it leads.
#[derive(Debug, Clone, Copy)]
struct LeadershipClaim {
    epoch: u64,
    claimed_at: Instant,
}

/// Whether a controller leads, as stated by that controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum PeerState {
    /// The controller leads in this epoch, under a valid lease.
    Leading(u64),
    /// Its lease has expired; it may still reply to workers until its post-lease grace period ends.
    LeaseExpired,
    /// It has no leader state of any epoch in memory, so it replies to no worker.
    Idle,
}

impl PeerState {
    /// Encodes the reply to [`PeerCall::LeaderQuery`](crate::transport::peer::PeerCall::LeaderQuery).
    pub(super) fn to_answer(self) -> Answer {
        let fields = MapBuilder::new();
        match self {
            PeerState::Leading(epoch) => Answer::new(200, &fields.set(EPOCH, epoch).build()),
            PeerState::LeaseExpired => Answer::new(421, &fields.set(IDLE, false).build()),
            PeerState::Idle => Answer::new(421, &fields.set(IDLE, true).build()),
        }
    }

    /// Decodes such a reply; `None` if it is malformed.
    pub(super) fn decode(reply: &PeerReply) -> Option<Self> {
        let body = decode(&reply.body).ok()?;
        let fields = Fields::of(&body).ok()?;
        match reply.status {
            200 => fields.count(EPOCH).ok().map(PeerState::Leading),
            _ if fields.bool(IDLE).ok()? => Some(PeerState::Idle),
            _ => Some(PeerState::LeaseExpired),
        }
    }
}

/// The controller that leads, as far as this controller knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct KnownLeader<'a> {
    /// The leader's name.
    pub(super) name: &'a str,
    /// The epoch in which it leads.
    pub(super) epoch: u64,
}

/// The other controllers, by name.
#[derive(Debug)]
pub(super) struct Peers {
    /// Duration of the leader's lease.
    lease: Duration,
    peers: BTreeMap<String, Peer>,
    /// Since when the peers are queried because the leader is unknown or unreachable. It is
    /// reset at each tick while neither is the case, even if a new leader queries them.
    querying_since: Option<Instant>,
}

impl Peers {
    /// Creates the state of peers that have not been called yet. `lease` is the duration of the
    /// leader's lease.
    pub(super) fn new(names: impl IntoIterator<Item = String>, lease: Duration) -> Self {
        let peers = names.into_iter().map(|name| (name, Peer::default())).collect();
        Peers { lease, peers, querying_since: None }
    }

    /// Records that the leader is known by other means, and is not unreachable.
    pub(super) fn stop_querying(&mut self) {
        self.querying_since = None;
    }

    /// Returns the peers whose query is due, and marks them as queried. To be called while the
    /// leader is unknown or unreachable, and by a new leader until no earlier leader can be in
    /// its post-lease grace period any more.
    pub(super) fn peers_to_query(&mut self, now: Instant) -> Vec<String> {
        self.querying_since.get_or_insert(now);
        let pause = self.lease / QUERY_LEASE_DIVISOR;
        let is_due =
            |peer: &Peer| !peer.query_in_flight && peer.queried_at.is_none_or(|at| now >= at + pause);
        let mut names = Vec::new();
        for (name, peer) in self.peers.iter_mut().filter(|(_, peer)| is_due(peer)) {
            peer.query_in_flight = true;
            peer.queried_at = Some(now);
            names.push(name.clone());
        }
        names
    }

    /// Records the result of a query; `None` if the peer did not reply in time.
    pub(super) fn record_answer(&mut self, now: Instant, name: &str, answer: Option<PeerState>) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.query_in_flight = false;
        match answer {
            Some(peer_state) => {
                peer.answered_at = Some(now);
                peer.timed_out_at = None;
                peer.leading = match peer_state {
                    PeerState::Leading(epoch) => Some(LeadershipClaim { epoch, claimed_at: now }),
                    _ => None,
                };
                if peer_state == PeerState::Idle {
                    peer.idle_at = Some(now);
                }
            }
            None => {
                peer.timed_out_at = Some(now);
                peer.leading = None;
            }
        }
    }

    /// Returns the peer that recently stated that it leads. If several did, returns the one
    /// with the highest epoch, as the other epochs are over.
    pub(super) fn known_leader(&self, now: Instant) -> Option<KnownLeader<'_>> {
        let is_recent = |claim: &LeadershipClaim| self.is_recent(now, claim.claimed_at);
        self.peers
            .iter()
            .filter_map(|(name, peer)| {
                let claim = peer.leading.filter(is_recent)?;
                Some(KnownLeader { name, epoch: claim.epoch })
            })
            .max_by_key(|leader| leader.epoch)
    }

    /// Returns the latest time at which a peer stated that it replies to no worker, if every peer
    /// has stated that at `since` or later.
    pub(super) fn all_idle_since(&self, since: Instant) -> Option<Instant> {
        let idle_at = |peer: &Peer| peer.idle_at.filter(|at| *at >= since);
        self.peers.values().map(idle_at).try_fold(since, |latest, at| Some(latest.max(at?)))
    }

    /// Records that a call to the peer timed out.
    pub(super) fn record_timeout(&mut self, now: Instant, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.timed_out_at = Some(now);
        }
    }

    /// Whether the peer can be assumed to answer: no call to it has timed out recently.
    pub(super) fn is_reachable(&self, now: Instant, name: &str) -> bool {
        self.peers.get(name).is_some_and(|peer| !peer.timed_out_at.is_some_and(|at| self.is_recent(now, at)))
    }

    /// Returns the peers that may relay a call to a leader that this controller cannot reach.
    pub(super) fn relay_candidates(&self, now: Instant, leader: &str) -> Vec<String> {
        let names = self.peers.keys().filter(|name| *name != leader && self.is_reachable(now, name));
        names.cloned().collect()
    }

    /// Whether the leader has been unknown or unreachable, and no peer has replied, for a whole
    /// lease, so that users and workers should use another controller.
    pub(super) fn is_isolated(&self, now: Instant) -> bool {
        let is_a_lease_ago = |at: Instant| now >= at + self.lease;
        !self.peers.is_empty()
            && self.querying_since.is_some_and(is_a_lease_ago)
            && self.peers.values().all(|peer| peer.answered_at.is_none_or(is_a_lease_ago))
    }

    fn is_recent(&self, now: Instant, at: Instant) -> bool {
        now < at + self.lease / RECENT_LEASE_DIVISOR
    }
}

#[cfg(test)]
mod tests;
