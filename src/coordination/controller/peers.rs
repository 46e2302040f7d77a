//! What this controller hears of the others, beside what the state service
//! says: which of them leads, and which of them can be reached.
//!
//! A controller that has lost the state service cannot learn from it who leads.
//! The others may know; that says only where requests and reports are handed on
//! to, and the leader answers them under its own lease. One thing is concluded
//! from it: that no earlier leader answers workers any more, see
//! `Leader::lapse_windows_are_over`.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::maps::HashMap;
use crate::protocol::workers::MachineId;

#[derive(Debug, Default)]
struct Peer {
    queried_at: Option<Instant>,
    query_in_flight: bool,
    answered_at: Option<Instant>,
    /// The epoch that it said it leads, and when.
    leading: Option<(u64, Instant)>,
    /// When it said that it answers no worker, not even past its lease.
    idle_at: Option<Instant>,
    /// A call to it got no answer.
    failed_at: Option<Instant>,
}

/// How a controller stands to leading, by its own words.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// Under a valid lease.
    Leading(u64),
    /// Past its lease; it may still answer workers for a while.
    LeaseExpired,
    /// It has no picture of any epoch, so it answers no worker.
    Idle,
}

#[derive(Debug)]
pub struct Peers {
    /// Life of the leader's lease.
    ttl: Duration,
    peers: BTreeMap<String, Peer>,
    /// Since when the others are asked, for want of a leader.
    querying_since: Option<Instant>,
}

impl Peers {
    pub fn new(names: impl IntoIterator<Item = String>, ttl: Duration) -> Self {
        let peers = names.into_iter().map(|name| (name, Peer::default())).collect();
        Peers { ttl, peers, querying_since: None }
    }

    /// A leader is known by other means: nobody need be asked.
    pub fn stop_querying(&mut self) {
        self.querying_since = None;
    }

    /// No leader is known: whom to ask now whether they lead.
    pub fn peers_to_query(&mut self, now: Instant) -> Vec<String> {
        self.querying_since.get_or_insert(now);
        let pause = self.ttl / 8;
        let due = |p: &Peer| !p.query_in_flight && p.queried_at.is_none_or(|at| now >= at + pause);
        let mut names = Vec::new();
        for (name, peer) in self.peers.iter_mut().filter(|(_, p)| due(p)) {
            (peer.query_in_flight, peer.queried_at) = (true, Some(now));
            names.push(name.clone());
        }
        names
    }

    /// A peer's answer, if there was any.
    pub fn record_answer(&mut self, now: Instant, name: &str, answer: Option<PeerState>) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.query_in_flight = false;
        match answer {
            Some(peer_state) => {
                peer.answered_at = Some(now);
                peer.failed_at = None;
                peer.leading = match peer_state {
                    PeerState::Leading(epoch) => Some((epoch, now)),
                    _ => None,
                };
                if peer_state == PeerState::Idle {
                    peer.idle_at = Some(now);
                }
            }
            None => {
                peer.failed_at = Some(now);
                peer.leading = None;
            }
        }
    }

    /// The peer that said lately that it leads; of several the one with the
    /// highest epoch, as the others' are over.
    pub fn known_leader(&self, now: Instant) -> Option<(&str, u64)> {
        let fresh = |at: Instant| now < at + self.ttl / 2;
        self.peers
            .iter()
            .filter_map(|(name, p)| {
                p.leading.filter(|(_, at)| fresh(*at)).map(|(epoch, _)| (name.as_str(), epoch))
            })
            .max_by_key(|(_, epoch)| *epoch)
    }

    /// When the last of all others said, since then, that it answers no worker.
    pub fn all_idle_since(&self, since: Instant) -> Option<Instant> {
        let free = |p: &Peer| p.idle_at.filter(|at| *at >= since);
        self.peers.values().map(free).try_fold(since, |latest, at| Some(latest.max(at?)))
    }

    /// A call to the peer got no answer in time.
    pub fn record_timeout(&mut self, now: Instant, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.failed_at = Some(now);
        }
    }

    /// Whether a call to the peer is worth its time.
    pub fn is_reachable(&self, now: Instant, name: &str) -> bool {
        self.peers.get(name).is_some_and(|p| p.failed_at.is_none_or(|at| now >= at + self.ttl / 2))
    }

    /// Peers that may hand a call on to one that cannot be reached from here.
    pub fn relay_candidates(&self, now: Instant, leader: &str) -> Vec<String> {
        let names = self.peers.keys().filter(|name| *name != leader && self.is_reachable(now, name));
        names.cloned().collect()
    }

    /// No leader is known, and none of the others has answered for a lease:
    /// whoever asks here is better off elsewhere.
    pub fn is_isolated(&self, now: Instant) -> bool {
        let long = |at: Instant| now >= at + self.ttl;
        !self.peers.is_empty()
            && self.querying_since.is_some_and(long)
            && self.peers.values().all(|p| p.answered_at.is_none_or(long))
    }
}

/// What to do with the report of a worker that should turn to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RedirectDecision {
    /// Name the leader to it.
    Redirect,
    /// Hand the report on: the worker does not get through by itself.
    Relay,
}

#[derive(Debug, Clone, Copy)]
struct RedirectRecord {
    redirected_at: Instant,
    relaying_since: Option<Instant>,
}

/// Workers that were sent to the leader from here, and came back.
#[derive(Debug)]
pub struct WorkerRedirects {
    /// The workers' lease.
    lease: Duration,
    redirects: HashMap<MachineId, RedirectRecord>,
    /// Workers remembered; beyond, the oldest are forgotten and sent once more.
    capacity: usize,
}

impl WorkerRedirects {
    /// Leases for which a worker's reports are handed on.
    const PATIENCE: u32 = 3;

    pub fn new(lease: Duration, most: usize) -> Self {
        WorkerRedirects { lease, redirects: HashMap::default(), capacity: most }
    }

    /// Another leads: the way to it may be open.
    pub fn clear(&mut self) {
        self.redirects.clear();
    }

    /// `came_from`: the worker has had an answer of the present leader. It left of
    /// its own accord, as workers only do when that answers no more, so sending
    /// it back there would cost it one more wait for nothing.
    pub fn decide(&mut self, now: Instant, worker: &MachineId, came_from: bool) -> RedirectDecision {
        if self.redirects.len() >= self.capacity {
            let lease = self.lease;
            self.redirects.retain(|_, s| now < s.redirected_at + lease);
        }
        let room = self.redirects.len() < self.capacity;
        let known = self.redirects.get_mut(worker);
        let redirect = RedirectRecord { redirected_at: now, relaying_since: None };
        let begin = RedirectRecord { relaying_since: came_from.then_some(now), ..redirect };
        match known {
            // Back so soon, it did not get through. For a few leases its reports
            // are handed on, as each try costs it several seconds; then it is to
            // try again.
            Some(s) if now < s.redirected_at + self.lease / 2 || s.relaying_since.is_some() => {
                let since = *s.relaying_since.get_or_insert(now);
                if now < since + self.lease * Self::PATIENCE {
                    return RedirectDecision::Relay;
                }
                *s = redirect;
                return RedirectDecision::Redirect;
            }
            Some(s) => *s = begin,
            None if room => drop(self.redirects.insert(worker.clone(), begin)),
            None => {}
        }
        if came_from { RedirectDecision::Relay } else { RedirectDecision::Redirect }
    }
}

#[cfg(test)]
mod tests;
