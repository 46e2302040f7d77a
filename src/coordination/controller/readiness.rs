//! Whether users and workers should be sent to this controller.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

/// Worker leases for which a controller stays ready without knowing a leader.
const TOLERATED_LEASES: u32 = 2;

/// What a controller knows of the leader at one moment.
#[derive(Debug, Clone, Copy)]
pub(super) struct LeaderVisibility {
    /// A leader is known, which may be this controller, and calls are not known to be cut
    /// off from it.
    pub(super) is_known: bool,
    /// The leader is named by the store, and no call has reached it for a whole lease.
    pub(super) is_lost: bool,
    /// No leader is known, and no other controller has answered for a whole lease.
    pub(super) is_isolated: bool,
}

/// The readiness that load balancers ask for.
pub(super) struct Readiness {
    is_ready: watch::Sender<bool>,
    leader_known_at: Instant,
    tolerated_gap: Duration,
}

impl Readiness {
    /// Not ready before a leader is known. Changes are published on the channel.
    pub(super) fn new(is_ready: watch::Sender<bool>, now: Instant, worker_lease: Duration) -> Self {
        Readiness { is_ready, leader_known_at: now, tolerated_gap: worker_lease * TOLERATED_LEASES }
    }

    /// Decides whether the controller is ready, and publishes it if that has changed.
    ///
    /// Removal from service lasts longer than most changes of leader, so a controller that
    /// was ready stays so for a short one; not if it is cut off from the leader or from all
    /// other controllers.
    pub(super) fn update(&mut self, now: Instant, leader: LeaderVisibility) {
        if leader.is_known {
            self.leader_known_at = now;
        }
        let was_ready = *self.is_ready.borrow();
        let gap_is_short = now < self.leader_known_at + self.tolerated_gap;
        let stays_ready = was_ready && gap_is_short && !leader.is_isolated && !leader.is_lost;
        let ready = leader.is_known || stays_ready;
        self.is_ready.send_if_modified(|published| std::mem::replace(published, ready) != ready);
    }

    /// Whether the controller is ready now.
    #[cfg(test)]
    pub(super) fn is_ready(&self) -> bool {
        *self.is_ready.borrow()
    }
}
