//! How far a failover has come: whether all that may run on machines is known.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::config::Config;
use crate::coordination::fleet::machine::Machine;
use crate::coordination::fleet::machine_table::MachineTable;
use crate::coordination::recovery::unreadable::UnreadableRecords;
use crate::protocol::workers::MachineId;

/// A new leader's knowledge of what earlier leaders have left.
///
/// The failover is complete once every machine that an earlier leader may have used is
/// reconciled: by a heartbeat under this epoch's fencing token, or by the proof that its
/// lease has expired. Until then tasks that may have started in earlier epochs wait.
#[derive(Debug)]
pub(crate) struct FailoverProgress {
    /// When the snapshot had been read.
    snapshot_at: Instant,
    /// Since when no earlier leader can have replied to a worker.
    post_lease_graces_over_at: Option<Instant>,
    is_complete: bool,
    unreadable: UnreadableRecords,
    /// Machines that no readable record names may hold tasks.
    unlisted_machines_possible: bool,
    /// When a machine that is not known was last replied to while that was so.
    unlisted_replied_at: Option<Instant>,
    /// A machine that was not reconciled when that was last looked at: while it is not,
    /// there is nothing to look for.
    unreconciled_machine: Option<MachineId>,
}

impl FailoverProgress {
    /// The failover begins. `unreadable`: what of the snapshot could not be read.
    pub(crate) fn new(now: Instant, unreadable: UnreadableRecords) -> Self {
        let mut progress = FailoverProgress {
            snapshot_at: now,
            post_lease_graces_over_at: None,
            is_complete: false,
            unlisted_machines_possible: unreadable.may_hide_machines(),
            unreadable: UnreadableRecords::default(),
            unlisted_replied_at: None,
            unreconciled_machine: None,
        };
        // Logs each of them.
        progress.unreadable.extend(unreadable);
        progress
    }

    /// When the snapshot had been read.
    pub(crate) fn snapshot_at(&self) -> Instant {
        self.snapshot_at
    }

    /// Whether all that may be on machines from before this epoch is known.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// All machines are reconciled.
    pub(crate) fn complete(&mut self) {
        self.is_complete = true;
    }

    /// Records that are there and cannot be read.
    pub(crate) fn unreadable(&self) -> &UnreadableRecords {
        &self.unreadable
    }

    /// The same, to be changed as they are read again.
    pub(crate) fn unreadable_mut(&mut self) -> &mut UnreadableRecords {
        &mut self.unreadable
    }

    /// Whether machines that no readable record names may hold tasks.
    pub(crate) fn unlisted_machines_possible(&self) -> bool {
        self.unlisted_machines_possible
    }

    /// Whether it would help to know that no earlier leader is in its post-lease grace.
    pub(crate) fn awaits_post_lease_graces(&self) -> bool {
        !self.is_complete && self.post_lease_graces_over_at.is_none()
    }

    /// No earlier leader can have replied to a worker since then.
    pub(crate) fn record_post_lease_graces_over(&mut self, at: Instant) {
        self.post_lease_graces_over_at.get_or_insert(at);
    }

    /// When a machine that this epoch has never replied to has lost its lease.
    pub(crate) fn unreplied_lease_expiry(&self, config: &Config) -> Instant {
        let after_graces = self.snapshot_at + config.failover_lease_timeout();
        self.post_lease_graces_over_at
            .map_or(after_graces, |at| after_graces.min(at + config.worker_lease_timeout()))
    }

    /// Whether a machine that is not known may be replied to while a node pool's record
    /// cannot be read. Each reply may keep alive tasks that nobody counts, so they end
    /// after a lease: by then a live machine has been registered.
    pub(crate) fn may_reply_to_unlisted(&mut self, now: Instant, lease: Duration) -> bool {
        let may_reply = now < self.snapshot_at + lease;
        if may_reply {
            self.unlisted_replied_at = Some(now);
        }
        may_reply
    }

    /// Whether machines of unreadable node pools have lost their leases by now. From then
    /// on none of them can hold tasks.
    pub(crate) fn expire_unlisted(&mut self, now: Instant, config: &Config) -> bool {
        let replied_expiry = self.unlisted_replied_at.map(|at| at + config.worker_lease_timeout());
        let has_expired = self.unlisted_machines_possible
            && now >= self.unreplied_lease_expiry(config)
            && replied_expiry.is_none_or(|expiry| now >= expiry);
        if has_expired {
            self.unlisted_machines_possible = false;
        }
        has_expired
    }

    /// Whether every machine that may hold tasks is reconciled.
    ///
    /// Machines are reconciled in about the order of the walk or in any other; it goes on
    /// where it stopped, so that a failover's heartbeats do not each walk the whole fleet.
    pub(crate) fn all_machines_reconciled(&mut self, machines: &MachineTable) -> bool {
        let is_unreconciled = |machine: &&Machine| machine.may_hold_tasks() && !machine.reconciled;
        let last = self.unreconciled_machine.take();
        let rest = last.and_then(|last| machines.starting_at(last).find(is_unreconciled));
        let found = rest.or_else(|| machines.values().find(is_unreconciled));
        self.unreconciled_machine = found.map(|machine| machine.id.clone());
        self.unreconciled_machine.is_none()
    }
}
