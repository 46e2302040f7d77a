//! Workers that were redirected to the leader and came back.
//!
//! A worker that cannot reach the leader, as in a network partition between two zones,
//! returns to the controller that redirected it. From then on its heartbeats are relayed.

use std::time::Duration;

use tokio::time::Instant;

use crate::maps::HashMap;
use crate::protocol::workers::MachineId;

/// Worker leases for which a worker's heartbeats are relayed before it is redirected again.
const RELAY_LEASES: u32 = 3;

/// What to do with the heartbeat of a worker that should turn to the leader.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RedirectDecision {
    /// Name the leader to it.
    Redirect,
    /// Relay the heartbeat: the worker does not reach the leader by itself.
    Relay,
}

/// What is remembered of one redirected worker.
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
    /// Workers remembered; with more, the oldest are forgotten and redirected once more.
    capacity: usize,
}

impl WorkerRedirects {
    /// Remembers up to `capacity` workers with this lease.
    pub(super) fn new(lease: Duration, capacity: usize) -> Self {
        WorkerRedirects { lease, redirects: HashMap::default(), capacity }
    }

    /// Forgets all workers: another controller leads, and they may reach that one.
    pub(super) fn clear(&mut self) {
        self.redirects.clear();
    }

    /// Decides about the heartbeat of a worker that does not belong here.
    ///
    /// `was_with_leader`: the worker has had an answer of the present leader. It left of its
    /// own accord, as workers only do when the leader no longer answers, so redirecting it
    /// there would cost it one more timeout for nothing.
    pub(super) fn decide(
        &mut self,
        now: Instant,
        worker: &MachineId,
        was_with_leader: bool,
    ) -> RedirectDecision {
        self.forget_old(now);
        let has_room = self.redirects.len() < self.capacity;
        let redirected = RedirectRecord { redirected_at: now, relaying_since: None };
        let first = RedirectRecord { relaying_since: was_with_leader.then_some(now), ..redirected };
        match self.redirects.get_mut(worker) {
            // Back so soon, it did not reach the leader. For a few leases its heartbeats are
            // relayed, as each of its tries costs it several seconds; then it is to try again.
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
            Some(record) => *record = first,
            None if has_room => drop(self.redirects.insert(worker.clone(), first)),
            None => {}
        }
        if was_with_leader { RedirectDecision::Relay } else { RedirectDecision::Redirect }
    }

    /// Makes room, if there is none, by forgetting workers redirected a lease ago.
    fn forget_old(&mut self, now: Instant) {
        if self.redirects.len() >= self.capacity {
            let lease = self.lease;
            self.redirects.retain(|_, record| now < record.redirected_at + lease);
        }
    }
}

#[cfg(test)]
mod tests;
