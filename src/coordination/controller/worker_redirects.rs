//! Tracks workers that were redirected to the leader, and whether they return.
//!
//! A worker that cannot reach the leader, for example because of a network partition between
//! two zones, returns to the controller that redirected it. That controller then relays the
//! worker's heartbeats for a few leases before it redirects the worker again.

use std::time::Duration;

use tokio::time::Instant;

use crate::maps::HashMap;
use crate::protocol::workers::MachineId;

/// How long a worker's heartbeats are relayed before it is redirected again, in worker leases.
const RELAY_LEASES: u32 = 3;

/// How to handle the heartbeat of a worker that should send it to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RedirectDecision {
    /// Redirect the worker to the leader.
    Redirect,
    /// Relay the heartbeat: the worker cannot reach the leader itself.
    Relay,
}

/// State of one redirected worker.
#[derive(Debug, Clone, Copy)]
struct RedirectRecord {
    redirected_at: Instant,
    relaying_since: Option<Instant>,
}

/// The redirected workers, by machine.
#[derive(Debug)]
pub(super) struct WorkerRedirects {
    /// The workers' lease.
    lease: Duration,
    redirects: HashMap<MachineId, RedirectRecord>,
    /// Maximum number of workers tracked. Beyond that old entries are dropped, and those workers
    /// are redirected once more.
    capacity: usize,
}

impl WorkerRedirects {
    /// Tracks up to `capacity` workers with this lease.
    pub(super) fn new(lease: Duration, capacity: usize) -> Self {
        WorkerRedirects { lease, redirects: HashMap::default(), capacity }
    }

    /// Removes all workers: another controller leads, and they may be able to reach it.
    pub(super) fn clear(&mut self) {
        self.redirects.clear();
    }

    /// Decides how to handle the heartbeat of a worker that should send it to the leader.
    ///
    /// `had_leader_reply` states whether the current leader has replied to the worker before. A
    /// worker leaves its leader only when the leader no longer replies to it, so redirecting it back
    /// would only cost it another timeout.
    pub(super) fn decide(
        &mut self,
        now: Instant,
        worker: &MachineId,
        had_leader_reply: bool,
    ) -> RedirectDecision {
        self.evict_if_full(now);
        let has_room = self.redirects.len() < self.capacity;
        let redirected = RedirectRecord { redirected_at: now, relaying_since: None };
        let new_record = RedirectRecord { relaying_since: had_leader_reply.then_some(now), ..redirected };
        match self.redirects.get_mut(worker) {
            // A worker that returns this soon did not reach the leader. Its heartbeats are relayed
            // for a few leases, since each attempt to reach the leader costs it several seconds;
            // then it is redirected again.
            Some(record)
                if now < record.redirected_at + self.lease / 2 || record.relaying_since.is_some() =>
            {
                let since = *record.relaying_since.get_or_insert(now);
                if now < since + self.lease * RELAY_LEASES {
                    return RedirectDecision::Relay;
                }
                *record = redirected;
                return RedirectDecision::Redirect;
            }
            Some(record) => *record = new_record,
            None if has_room => drop(self.redirects.insert(worker.clone(), new_record)),
            None => {}
        }
        if had_leader_reply { RedirectDecision::Relay } else { RedirectDecision::Redirect }
    }

    /// If the map is full, removes workers that were redirected at least a lease ago.
    fn evict_if_full(&mut self, now: Instant) {
        if self.redirects.len() >= self.capacity {
            let lease = self.lease;
            self.redirects.retain(|_, record| now < record.redirected_at + lease);
        }
    }
}

#[cfg(test)]
mod tests;
