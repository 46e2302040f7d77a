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
    asked_at: Option<Instant>,
    asking: bool,
    heard_at: Option<Instant>,
    /// The epoch that it said it leads, and when.
    leads: Option<(u64, Instant)>,
    /// When it said that it answers no worker, not even past its lease.
    free_at: Option<Instant>,
    /// A call to it got no answer.
    failed_at: Option<Instant>,
}

/// How a controller stands to leading, by its own words.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerState {
    /// Under a valid lease.
    Leads(u64),
    /// Past its lease; it may still answer workers for a while.
    Lapsed,
    /// It has no picture of any epoch, so it answers no worker.
    Free,
}

#[derive(Debug)]
pub struct Peers {
    /// Life of the leader's lease.
    ttl: Duration,
    peers: BTreeMap<String, Peer>,
    /// Since when the others are asked, for want of a leader.
    asking_since: Option<Instant>,
}

impl Peers {
    pub fn new(names: impl IntoIterator<Item = String>, ttl: Duration) -> Self {
        let peers = names.into_iter().map(|name| (name, Peer::default())).collect();
        Peers { ttl, peers, asking_since: None }
    }

    /// A leader is known by other means: nobody need be asked.
    pub fn rest(&mut self) {
        self.asking_since = None;
    }

    /// No leader is known: whom to ask now whether they lead.
    pub fn to_ask(&mut self, now: Instant) -> Vec<String> {
        self.asking_since.get_or_insert(now);
        let pause = self.ttl / 8;
        let due = |p: &Peer| !p.asking && p.asked_at.is_none_or(|at| now >= at + pause);
        let mut names = Vec::new();
        for (name, peer) in self.peers.iter_mut().filter(|(_, p)| due(p)) {
            (peer.asking, peer.asked_at) = (true, Some(now));
            names.push(name.clone());
        }
        names
    }

    /// A peer's answer, if there was any.
    pub fn answered(&mut self, now: Instant, name: &str, answer: Option<PeerState>) {
        let Some(peer) = self.peers.get_mut(name) else { return };
        peer.asking = false;
        match answer {
            Some(peer_state) => {
                peer.heard_at = Some(now);
                peer.failed_at = None;
                peer.leads = match peer_state {
                    PeerState::Leads(epoch) => Some((epoch, now)),
                    _ => None,
                };
                if peer_state == PeerState::Free {
                    peer.free_at = Some(now);
                }
            }
            None => {
                peer.failed_at = Some(now);
                peer.leads = None;
            }
        }
    }

    /// The peer that said lately that it leads; of several the one with the
    /// highest epoch, as the others' are over.
    pub fn leading(&self, now: Instant) -> Option<(&str, u64)> {
        let fresh = |at: Instant| now < at + self.ttl / 2;
        self.peers
            .iter()
            .filter_map(|(name, p)| {
                p.leads.filter(|(_, at)| fresh(*at)).map(|(epoch, _)| (name.as_str(), epoch))
            })
            .max_by_key(|(_, epoch)| *epoch)
    }

    /// When the last of all others said, since then, that it answers no worker.
    pub fn all_free_since(&self, since: Instant) -> Option<Instant> {
        let free = |p: &Peer| p.free_at.filter(|at| *at >= since);
        self.peers.values().map(free).try_fold(since, |latest, at| Some(latest.max(at?)))
    }

    /// A call to the peer got no answer in time.
    pub fn silent(&mut self, now: Instant, name: &str) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.failed_at = Some(now);
        }
    }

    /// Whether a call to the peer is worth its time.
    pub fn reachable(&self, now: Instant, name: &str) -> bool {
        self.peers.get(name).is_some_and(|p| p.failed_at.is_none_or(|at| now >= at + self.ttl / 2))
    }

    /// Peers that may hand a call on to one that cannot be reached from here.
    pub fn relays(&self, now: Instant, leader: &str) -> Vec<String> {
        let names = self.peers.keys().filter(|name| *name != leader && self.reachable(now, name));
        names.cloned().collect()
    }

    /// No leader is known, and none of the others has answered for a lease:
    /// whoever asks here is better off elsewhere.
    pub fn cut_off(&self, now: Instant) -> bool {
        let long = |at: Instant| now >= at + self.ttl;
        !self.peers.is_empty()
            && self.asking_since.is_some_and(long)
            && self.peers.values().all(|p| p.heard_at.is_none_or(long))
    }
}

/// What to do with the report of a worker that should turn to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Detour {
    /// Name the leader to it.
    Redirect,
    /// Hand the report on: the worker does not get through by itself.
    Relay,
}

#[derive(Debug, Clone, Copy)]
struct Sent {
    redirected_at: Instant,
    relaying_since: Option<Instant>,
}

/// Workers that were sent to the leader from here, and came back.
#[derive(Debug)]
pub struct Detours {
    /// The workers' lease.
    lease: Duration,
    sent: HashMap<MachineId, Sent>,
    /// Workers remembered; beyond, the oldest are forgotten and sent once more.
    most: usize,
}

impl Detours {
    /// Leases for which a worker's reports are handed on.
    const PATIENCE: u32 = 3;

    pub fn new(lease: Duration, most: usize) -> Self {
        Detours { lease, sent: HashMap::default(), most }
    }

    /// Another leads: the way to it may be open.
    pub fn clear(&mut self) {
        self.sent.clear();
    }

    /// `came_from`: the worker has had an answer of the present leader. It left of
    /// its own accord, as workers only do when that answers no more, so sending
    /// it back there would cost it one more wait for nothing.
    pub fn judge(&mut self, now: Instant, worker: &MachineId, came_from: bool) -> Detour {
        if self.sent.len() >= self.most {
            let lease = self.lease;
            self.sent.retain(|_, s| now < s.redirected_at + lease);
        }
        let room = self.sent.len() < self.most;
        let known = self.sent.get_mut(worker);
        let redirect = Sent { redirected_at: now, relaying_since: None };
        let begin = Sent { relaying_since: came_from.then_some(now), ..redirect };
        match known {
            // Back so soon, it did not get through. For a few leases its reports
            // are handed on, as each try costs it several seconds; then it is to
            // try again.
            Some(s) if now < s.redirected_at + self.lease / 2 || s.relaying_since.is_some() => {
                let since = *s.relaying_since.get_or_insert(now);
                if now < since + self.lease * Self::PATIENCE {
                    return Detour::Relay;
                }
                *s = redirect;
                return Detour::Redirect;
            }
            Some(s) => *s = begin,
            None if room => drop(self.sent.insert(worker.clone(), begin)),
            None => {}
        }
        if came_from { Detour::Relay } else { Detour::Redirect }
    }
}

#[cfg(test)]
mod tests;
