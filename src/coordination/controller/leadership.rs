//! What this controller publishes about its own leadership, and the rule that an epoch is
//! led once only.

use tokio::sync::watch;
use tokio::time::Instant;

use crate::coordination::authority::Violation;

/// Publishes to the controller's other actors whether and until when it leads.
pub(super) struct LeadershipPublisher {
    is_leader: watch::Sender<bool>,
    lease_expiry: watch::Sender<Instant>,
    resigned_epoch: watch::Sender<u64>,
}

impl LeadershipPublisher {
    /// Publishes on these channels: whether the controller leads, until when, and the last
    /// epoch that it resigned before its lease ended.
    pub(super) fn new(
        is_leader: watch::Sender<bool>,
        lease_expiry: watch::Sender<Instant>,
        resigned_epoch: watch::Sender<u64>,
    ) -> Self {
        LeadershipPublisher { is_leader, lease_expiry, resigned_epoch }
    }

    /// The controller was elected for a new epoch.
    pub(super) fn acquired(&self) {
        let _ = self.is_leader.send(true);
    }

    /// The lease holds until then.
    pub(super) fn lease_extended(&self, lease_expiry: Instant) {
        let _ = self.lease_expiry.send(lease_expiry);
    }

    /// The controller does not lead, or no longer.
    pub(super) fn lost(&self, now: Instant) {
        let _ = self.is_leader.send(false);
        let _ = self.lease_expiry.send(now);
    }

    /// Asks the election to release the lease of this epoch before it expires.
    pub(super) fn resign(&self, epoch: u64) {
        let _ = self.resigned_epoch.send(epoch);
    }
}

/// Makes sure that no leader begins twice in one epoch: its attempt numbers start from the
/// epoch, and would be used a second time.
#[derive(Debug, Default)]
pub(super) struct EpochGuard {
    last_led: u64,
    violations: u64,
}

impl EpochGuard {
    /// A leader is about to begin in an epoch.
    ///
    /// # Errors
    ///
    /// [`Violation::EpochReused`] if one began in it, or in a later one, before; it is
    /// counted.
    pub(super) fn begin(&mut self, epoch: u64) -> Result<(), Violation> {
        if epoch <= self.last_led {
            self.violations += 1;
            return Err(Violation::EpochReused);
        }
        self.last_led = epoch;
        Ok(())
    }

    /// How many times an epoch was refused.
    pub(super) fn violations(&self) -> u64 {
        self.violations
    }
}
