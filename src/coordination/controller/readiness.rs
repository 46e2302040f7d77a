//! The readiness check: whether users and workers should be sent to this controller.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// How long a controller stays ready without a known leader, in worker leases.
const TOLERATED_LEASES: u32 = 2;

/// A controller's view of the leader at one moment.
#[derive(Debug, Clone, Copy)]
pub(super) struct LeaderVisibility {
    /// A leader is known, possibly this controller, and it is not known to be unreachable.
    pub(super) is_known: bool,
    /// The store names a leader, and no call has reached it for a whole lease.
    pub(super) is_lost: bool,
    /// For a whole lease the leader has been unknown or unreachable, and no other controller has
    /// replied.
    pub(super) is_isolated: bool,
}

/// The readiness that load balancers query.
pub(super) struct Readiness {
    is_ready: watch::Sender<bool>,
    leader_known_at: Instant,
    /// Maximum time without a known leader for which the controller stays ready.
    max_leader_gap: Duration,
}

impl Readiness {
    /// Starts as not ready, until a leader is known. Changes are published on the channel.
    pub(super) fn new(is_ready: watch::Sender<bool>, now: Instant, worker_lease: Duration) -> Self {
        Readiness { is_ready, leader_known_at: now, max_leader_gap: worker_lease * TOLERATED_LEASES }
    }

    /// Recomputes whether the controller is ready, and publishes a change.
    ///
    /// Once a load balancer has removed a controller, it keeps it out for longer than most leader
    /// changes take. A ready controller therefore stays ready during a short leader change, unless
    /// it is cut off from the leader or from all other controllers.
    pub(super) fn update(&mut self, now: Instant, leader: LeaderVisibility) {
        if leader.is_known {
            self.leader_known_at = now;
        }
        let was_ready = *self.is_ready.borrow();
        let gap_is_short = now < self.leader_known_at + self.max_leader_gap;
        let stays_ready = was_ready && gap_is_short && !leader.is_isolated && !leader.is_lost;
        let ready = leader.is_known || stays_ready;
        let changed =
            self.is_ready.send_if_modified(|published| std::mem::replace(published, ready) != ready);
        if changed {
            let LeaderVisibility { is_known, is_lost, is_isolated } = leader;
            tracing::info!(ready, is_known, is_lost, is_isolated, "readiness changed");
        }
    }

    /// Whether the controller is ready.
    #[cfg(test)]
    pub(super) fn is_ready(&self) -> bool {
        *self.is_ready.borrow()
    }
}
