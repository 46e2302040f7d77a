//! Publishes this controller's leadership, and enforces that a leader starts at most once in
//! an epoch.

use tokio::sync::watch;
use tokio::time::Instant;

use crate::coordination::authority::Violation;

/// Publishes to the controller's other actors whether it leads and when its lease expires.
pub(super) struct LeadershipPublisher {
    is_leader: watch::Sender<bool>,
    lease_expiry: watch::Sender<Instant>,
    resigned_epoch: watch::Sender<u64>,
}

impl LeadershipPublisher {
    /// Publishes on these channels: whether the controller leads, when its lease expires, and
    /// the last epoch whose lease the election should revoke.
    pub(super) fn new(
        is_leader: watch::Sender<bool>,
        lease_expiry: watch::Sender<Instant>,
        resigned_epoch: watch::Sender<u64>,
    ) -> Self {
        LeadershipPublisher { is_leader, lease_expiry, resigned_epoch }
    }

    /// Publishes that the controller leads; called once for each epoch for which it is elected.
    pub(super) fn publish_leading(&self) {
        let _ = self.is_leader.send(true);
    }

    /// Publishes when the lease expires.
    pub(super) fn publish_lease_expiry(&self, lease_expiry: Instant) {
        let _ = self.lease_expiry.send(lease_expiry);
    }

    /// Publishes that the controller does not lead, and `now` as the expiry of its lease.
    pub(super) fn publish_not_leading(&self, now: Instant) {
        let _ = self.is_leader.send(false);
        let _ = self.lease_expiry.send(now);
    }

    /// Asks the election to revoke the lease of this epoch instead of letting it expire.
    pub(super) fn resign(&self, epoch: u64) {
        let _ = self.resigned_epoch.send(epoch);
    }
}

/// Ensures that no leader starts twice in one epoch. Attempt numbers are derived from the
/// epoch, so a second leader would use the same ones again.
#[derive(Debug, Default)]
pub(super) struct EpochGuard {
    last_epoch: u64,
    violations: u64,
}

impl EpochGuard {
    /// Claims an epoch for a leader that is about to start.
    ///
    /// # Errors
    ///
    /// Returns and counts [`Violation::EpochReused`] if this epoch or a later one was claimed
    /// before.
    pub(super) fn claim(&mut self, epoch: u64) -> Result<(), Violation> {
        if epoch <= self.last_epoch {
            self.violations += 1;
            return Err(Violation::EpochReused);
        }
        self.last_epoch = epoch;
        Ok(())
    }

    /// Returns how often an epoch was refused.
    pub(super) fn violations(&self) -> u64 {
        self.violations
    }
}
