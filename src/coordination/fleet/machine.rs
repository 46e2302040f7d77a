//! The leader's view of a machine: its phase, its worker's heartbeats, the tasks on it, and whether
//! demand needs it.
//!
//! A machine is deleted by a request to the cloud; scaling in is deleting machines that are not
//! needed. A machine is silent while no heartbeats of its worker arrive. How long it must be silent
//! to be suspected, or to be considered dead, is decided by the module `workers::failure_detector`.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::catalog::MachineTypeId;
use crate::coordination::fleet::image_cache::ImageCache;
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::effects::Effect;
use crate::coordination::workers::recent_starts::RecentStarts;
use crate::coordination::workers::slot::Slot;
use crate::maps::HashMap;
use crate::protocol::cloud::NodePoolRequest;
use crate::protocol::jobs::{JobId, TaskId};
use crate::protocol::workers::{Command, Heartbeat, MachineId};

/// The lifecycle phase of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Provisioned by the cloud; no heartbeat has arrived yet.
    Booting,
    /// A heartbeat has arrived in this epoch, or in an earlier one according to its record.
    Up,
    /// Its deletion was requested; nothing is placed on it any more.
    Deleting,
}

/// Tracks whether replies and commands reach a machine's worker. In a one-way partition the worker's
/// heartbeats arrive and the replies do not: only the effect of a reply in later heartbeats proves
/// that it was received.
#[derive(Debug, Clone, Copy, Default)]
pub struct AckTracker {
    /// Consecutive replies that should have shown an effect and did not.
    consecutive_missed: u32,
    /// When the first of them was noticed.
    first_missed_at: Option<Instant>,
    /// When the last of them was noticed.
    last_missed_at: Option<Instant>,
}

impl AckTracker {
    /// Consecutive missed replies after which a one-way partition is suspected, if
    /// [`Self::MIN_INTERVALS`] have passed as well. A single lost reply or a burst of delayed copies
    /// thus raises no suspicion.
    const MAX_MISSED: u32 = 3;
    /// Heartbeat intervals that must have passed since the first missed reply.
    const MIN_INTERVALS: u32 = 2;

    /// Records that a heartbeat does not show the effect of an earlier reply.
    pub fn record_missed(&mut self, now: Instant) {
        self.consecutive_missed = self.consecutive_missed.saturating_add(1);
        self.first_missed_at.get_or_insert(now);
        self.last_missed_at = Some(now);
    }

    /// Records that a heartbeat shows the effect of a reply.
    pub fn record_acknowledged(&mut self) {
        *self = AckTracker::default();
    }

    /// Whether replies appear not to reach the worker. `interval`: the time between two heartbeats.
    pub fn suspects_one_way_partition(&self, now: Instant, interval: Duration) -> bool {
        self.consecutive_missed >= Self::MAX_MISSED
            && self.first_missed_at.is_some_and(|at| now >= at + interval * Self::MIN_INTERVALS)
    }

    /// Whether a single task start may be attempted on a suspected machine, because `pause` has
    /// passed since the last missed reply.
    pub fn may_probe(&self, now: Instant, pause: Duration) -> bool {
        self.last_missed_at.is_none_or(|at| now >= at + pause)
    }
}

/// Identifies one heartbeat of a machine. Stamps of a later incarnation are greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatStamp {
    /// The worker's incarnation. It starts at 1 and increases each time the worker's lease expires,
    /// not at each start of its process.
    pub incarnation: u64,
    /// The heartbeat's number within the incarnation.
    pub sequence: u64,
}

impl HeartbeatStamp {
    /// The stamp of a heartbeat.
    pub fn of(heartbeat: &Heartbeat) -> Self {
        HeartbeatStamp { incarnation: heartbeat.incarnation, sequence: heartbeat.sequence }
    }
}

/// The state of the exchange of heartbeats and replies with a machine's worker.
#[derive(Debug, Default)]
pub struct WorkerContact {
    /// The address at which the worker accepts pushed commands; empty while it is unknown.
    pub address: String,
    /// The newest heartbeat under this epoch's fencing token.
    pub last_heartbeat: Option<HeartbeatStamp>,
    /// The newest heartbeat under an earlier fencing token. Its task list is not used.
    pub last_stale_heartbeat: Option<HeartbeatStamp>,
    /// Heartbeats of incarnations earlier than this one are ignored.
    pub min_incarnation: u64,
    /// When the last heartbeat under this epoch's fencing token arrived.
    pub heartbeat_at: Option<Instant>,
    /// When the last heartbeat that was not redirected arrived. The reply to it renews the worker's
    /// lease.
    pub replied_at: Option<Instant>,
    /// Whether later heartbeats show an effect of the replies.
    pub acks: AckTracker,
    /// Whether replies appear not to reach the worker. The machine's capacity is then not relied on.
    pub one_way_partitioned: bool,
    /// When stops, the only commands that are pushed, were last pushed to it.
    pub commands_pushed_at: Option<Instant>,
}

/// Whether the stored record of a machine's node pool says that the machine may hold tasks. It must
/// say so before the first task start, so that a later leader knows which machines to reconcile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UseRecord {
    /// The stored record does not say so.
    NotRecorded,
    /// The write that says so is in flight.
    InFlight,
    /// The stored record says so.
    Recorded,
}

/// How a machine appears in the scans of the cloud's inventory.
#[derive(Debug, Clone, Copy)]
pub struct Listing {
    /// Whether it was listed at least once.
    pub was_listed: bool,
    /// Scans since it was last listed that should have listed it and did not, while it was silent.
    pub missed_scans: u32,
}

/// Whether demand needs a machine.
#[derive(Debug, Clone, Copy)]
pub struct MachineNeed {
    /// Whether some demand relies on it. A machine that is not needed is left to become empty.
    pub is_needed: bool,
    /// Since when no demand has relied on it; `None` while some does.
    pub unneeded_since: Option<Instant>,
    /// Whether its replicas are being moved elsewhere. Nothing is placed on it then.
    pub is_draining: bool,
}

/// A machine of the fleet.
#[derive(Debug)]
pub struct Machine {
    /// Its name.
    pub id: MachineId,
    /// Its type.
    pub machine_type: MachineTypeId,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot machine, which the cloud may preempt.
    pub spot: bool,
    /// The node pool whose record lists it.
    pub node_pool: String,
    /// Its lifecycle phase.
    pub phase: Phase,
    /// When it was requested from the cloud, as far as is known. The boot limit and the minimum
    /// billing period are counted from it.
    pub requested_at: Instant,
    /// The state of the heartbeat exchange with its worker.
    pub worker: WorkerContact,
    /// Whether the leader knows which tasks are on it, from a heartbeat under this epoch's fencing
    /// token or because there provably are none.
    pub reconciled: bool,
    /// Whether its record says that it may hold tasks.
    pub use_record: UseRecord,
    /// Whether a deletion request is in flight.
    pub deletion_in_flight: bool,
    /// When the cloud will preempt it, if that was announced.
    pub preempted_at: Option<Instant>,
    /// The tasks that are, or may be, on it.
    pub slots: HashMap<TaskId, Slot>,
    /// The starts that its worker may still execute a second time.
    pub recent_starts: RecentStarts,
    /// The capacity that its slots leave free.
    pub free: Resources,
    /// Whether it holds orphan tasks, whose job is not in memory. Nothing else is placed on it then.
    pub has_orphan_tasks: bool,
    /// The images believed to be cached on it.
    pub images: ImageCache,
    /// Jobs whose tasks have failed here since the last success, with one entry for each failure.
    pub failures: Vec<JobId>,
    /// Whether tasks have failed here repeatedly. Nothing is placed on it, and it is replaced.
    pub cordoned: bool,
    /// Since when it has had no slot.
    pub idle_since: Instant,
    /// How it appears in the cloud's inventory.
    pub listing: Listing,
    /// Whether demand needs it.
    pub need: MachineNeed,
}

impl Machine {
    /// Creates a machine of a node pool with this request, on which no task was ever started.
    /// `capacity`: the capacity of its type.
    pub(crate) fn new(
        id: MachineId,
        request: &NodePoolRequest,
        machine_type: MachineTypeId,
        capacity: Resources,
        now: Instant,
    ) -> Self {
        Machine {
            id,
            machine_type,
            zone: request.zone.clone(),
            spot: request.spot,
            node_pool: request.name.clone(),
            phase: Phase::Booting,
            requested_at: now,
            worker: WorkerContact::default(),
            // Nothing was ever started on a machine whose use is not recorded.
            reconciled: true,
            use_record: UseRecord::NotRecorded,
            deletion_in_flight: false,
            preempted_at: None,
            slots: HashMap::default(),
            recent_starts: RecentStarts::default(),
            free: capacity,
            has_orphan_tasks: false,
            images: ImageCache::default(),
            failures: Vec::new(),
            cordoned: false,
            idle_since: now,
            listing: Listing { was_listed: false, missed_scans: 0 },
            need: MachineNeed { is_needed: true, unneeded_since: None, is_draining: false },
        }
    }

    /// Marks a new machine as one that may hold tasks of an earlier epoch, according to its record.
    pub(crate) fn mark_used_in_earlier_epoch(&mut self, requested_at: Instant) {
        self.phase = Phase::Up;
        self.requested_at = requested_at;
        self.reconciled = false;
        self.use_record = UseRecord::Recorded;
        // It was listed in an earlier epoch, so its absence from the inventory is meaningful even
        // if no scan of this epoch has listed it, and counts as if one scan had missed it already.
        self.listing = Listing { was_listed: true, missed_scans: 1 };
    }

    /// Records that a scan of the cloud's inventory lists it, at this address.
    pub(crate) fn record_listed(&mut self, address: &str) {
        self.listing = Listing { was_listed: true, missed_scans: 0 };
        if self.worker.address.is_empty() {
            self.worker.address.push_str(address);
        }
    }

    /// Returns an effect that pushes commands to its worker, if the worker's address and incarnation
    /// are known.
    pub fn push_commands(
        &mut self,
        now: Instant,
        fencing_token: u64,
        commands: Vec<Command>,
    ) -> Option<Effect> {
        let incarnation = self.worker.last_heartbeat?.incarnation;
        let address = self.worker.address.parse().ok()?;
        self.worker.commands_pushed_at = Some(now);
        Some(Effect::PushCommands { address, fencing_token, incarnation, commands })
    }

    /// Whether its capacity may be relied on: tasks may be placed on it, and replies reach its
    /// worker.
    pub fn has_usable_capacity(&self) -> bool {
        self.is_schedulable() && !self.worker.one_way_partitioned
    }

    /// Whether tasks may be placed on it.
    pub fn is_schedulable(&self) -> bool {
        self.phase == Phase::Up
            && self.reconciled
            && self.may_hold_tasks()
            && !self.cordoned
            && !self.has_orphan_tasks
            && !self.need.is_draining
            && self.preempted_at.is_none()
    }

    /// Whether its stored record says that it may hold tasks.
    pub fn may_hold_tasks(&self) -> bool {
        self.use_record == UseRecord::Recorded
    }
}
