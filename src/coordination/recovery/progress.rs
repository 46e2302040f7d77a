//! The progress of a failover: which machines are reconciled, and which records cannot be read.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::config::Config;
use crate::coordination::fleet::machine::Machine;
use crate::coordination::fleet::machine_table::MachineTable;
use crate::coordination::recovery::unreadable::UnreadableRecords;
use crate::protocol::workers::MachineId;

/// What is still unknown about the machines and records of earlier leaders.
///
/// The failover is complete once every machine that an earlier leader may have used is
/// reconciled: by a heartbeat under this epoch's fencing token, or by the proof that its
/// lease has expired. Until then tasks that may have started in earlier epochs wait.
#[derive(Debug)]
pub(crate) struct FailoverProgress {
    /// When the snapshot had been read completely.
    snapshot_at: Instant,
    /// Time since which no earlier leader can have replied to a worker, not even in its
    /// post-lease grace, in which it still replies although its own lease has expired; `None`
    /// until that is confirmed.
    post_lease_graces_over_at: Option<Instant>,
    /// Whether every machine that may hold tasks is reconciled. Never reset within an epoch.
    is_complete: bool,
    /// Records that exist and cannot be used.
    unreadable: UnreadableRecords,
    /// Whether unrecorded machines, which no readable record names, may hold tasks.
    unrecorded_machines_possible: bool,
    /// When an unrecorded machine was last replied to while such machines may have held tasks.
    unrecorded_replied_at: Option<Instant>,
    /// A machine that was not reconciled at the last check. While it remains so, the next check
    /// need not look at other machines.
    unreconciled_machine: Option<MachineId>,
}

impl FailoverProgress {
    /// The state at the beginning of a failover. `unreadable`: the records of the snapshot that
    /// could not be used.
    pub(crate) fn new(now: Instant, unreadable: UnreadableRecords) -> Self {
        let mut progress = FailoverProgress {
            snapshot_at: now,
            post_lease_graces_over_at: None,
            is_complete: false,
            unrecorded_machines_possible: unreadable.may_hide_machines(),
            unreadable: UnreadableRecords::default(),
            unrecorded_replied_at: None,
            unreconciled_machine: None,
        };
        // Added one by one, since that logs each of them.
        progress.unreadable.extend(unreadable);
        progress
    }

    /// When the snapshot had been read completely.
    pub(crate) fn snapshot_at(&self) -> Instant {
        self.snapshot_at
    }

    /// Whether every machine that an earlier leader may have used is reconciled.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Ends the failover: every machine is reconciled.
    pub(crate) fn complete(&mut self) {
        self.is_complete = true;
    }

    /// The records that exist and cannot be used.
    pub(crate) fn unreadable(&self) -> &UnreadableRecords {
        &self.unreadable
    }

    /// The records that exist and cannot be used, to be updated as they are read again.
    pub(crate) fn unreadable_mut(&mut self) -> &mut UnreadableRecords {
        &mut self.unreadable
    }

    /// Whether unrecorded machines, which no readable record names, may hold tasks.
    pub(crate) fn unrecorded_machines_possible(&self) -> bool {
        self.unrecorded_machines_possible
    }

    /// Whether a confirmation that no earlier leader is in its post-lease grace period would
    /// shorten the failover.
    pub(crate) fn awaits_post_lease_graces(&self) -> bool {
        !self.is_complete && self.post_lease_graces_over_at.is_none()
    }

    /// Records that no earlier leader can have replied to a worker since `at`. The first
    /// confirmation counts.
    pub(crate) fn record_post_lease_graces_over(&mut self, at: Instant) {
        self.post_lease_graces_over_at.get_or_insert(at);
    }

    /// Expiry of the lease of a machine to which this leader has never replied: one worker lease
    /// after the end of all post-lease grace periods. That end is the configured bound, or earlier if it
    /// was confirmed earlier.
    pub(crate) fn unreplied_lease_expiry(&self, config: &Config) -> Instant {
        let after_graces = self.snapshot_at + config.failover_lease_timeout();
        self.post_lease_graces_over_at
            .map_or(after_graces, |at| after_graces.min(at + config.worker_lease_timeout()))
    }

    /// Whether an unrecorded machine may be replied to while a node pool's record cannot be read.
    ///
    /// Each reply renews the lease of a worker whose tasks are not counted anywhere. Replies are
    /// therefore given only for one `lease` after the snapshot: by then every live machine has
    /// been registered by a heartbeat.
    pub(crate) fn may_reply_to_unrecorded(&mut self, now: Instant, lease: Duration) -> bool {
        let may_reply = now < self.snapshot_at + lease;
        if may_reply {
            self.unrecorded_replied_at = Some(now);
        }
        may_reply
    }

    /// Whether the leases of unrecorded machines have just expired, so that none of them can
    /// hold tasks from now on. Returns `true` at most once.
    pub(crate) fn expire_unrecorded(&mut self, now: Instant, config: &Config) -> bool {
        let replied_expiry = self.unrecorded_replied_at.map(|at| at + config.worker_lease_timeout());
        let has_expired = self.unrecorded_machines_possible
            && now >= self.unreplied_lease_expiry(config)
            && replied_expiry.is_none_or(|expiry| now >= expiry);
        if has_expired {
            self.unrecorded_machines_possible = false;
        }
        has_expired
    }

    /// Whether every machine that may hold tasks is reconciled.
    ///
    /// The search continues at the machine where the last search stopped, so that heartbeats
    /// during a failover do not each iterate over the whole fleet. The result does not depend on
    /// the order in which machines are reconciled: a search that reaches the end starts again
    /// with the first machine.
    pub(crate) fn all_machines_reconciled(&mut self, machines: &MachineTable) -> bool {
        let is_unreconciled = |machine: &&Machine| machine.may_hold_tasks() && !machine.reconciled;
        let last = self.unreconciled_machine.take();
        let at_or_after_last = last.and_then(|last| machines.starting_at(last).find(is_unreconciled));
        let found = at_or_after_last.or_else(|| machines.values().find(is_unreconciled));
        self.unreconciled_machine = found.map(|machine| machine.id.clone());
        self.unreconciled_machine.is_none()
    }
}
