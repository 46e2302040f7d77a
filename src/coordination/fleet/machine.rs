//! What the leader holds of machines and of the rentals that named them.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::catalog::MachineTypeId;
use crate::coordination::fleet::image_cache::ImageCache;
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::effects::Effect;
use crate::coordination::workers::slot::Slot;
use crate::maps::HashMap;
use crate::protocol::jobs::{JobId, TaskId};
use crate::protocol::workers::{Command, Heartbeat, MachineId};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Rented, nothing heard of it yet.
    Booting,
    Up,
    /// Its deletion has been asked for.
    Deleting,
}

/// Whether a machine seems to hear us. Its reports may arrive while answers and
/// commands do not: an answer sent is no proof that it was received, only what
/// later reports show of it is.
#[derive(Debug, Clone, Copy, Default)]
pub struct AckTracker {
    /// Answers in a row that should have shown an effect and did not.
    missed_in_a_row: u32,
    first_missed_at: Option<Instant>,
    last_missed_at: Option<Instant>,
}

impl AckTracker {
    /// So many, over at least two reports' time, and the machine is doubted:
    /// one lost answer, or a burst of late copies, costs nothing.
    const MAX_MISSED: u32 = 3;

    pub fn record_missed(&mut self, now: Instant) {
        self.missed_in_a_row = self.missed_in_a_row.saturating_add(1);
        self.first_missed_at.get_or_insert(now);
        self.last_missed_at = Some(now);
    }

    /// An effect was seen.
    pub fn record_acknowledged(&mut self) {
        *self = AckTracker::default();
    }

    pub fn suspects_one_way_partition(&self, now: Instant, report: Duration) -> bool {
        self.missed_in_a_row >= Self::MAX_MISSED
            && self.first_missed_at.is_some_and(|at| now >= at + report * 2)
    }

    /// Whether it is time to try a single start on a doubted machine.
    pub fn may_probe(&self, now: Instant, pause: Duration) -> bool {
        self.last_missed_at.is_none_or(|at| now >= at + pause)
    }
}

/// Names one heartbeat of a machine. Numbers of a later incarnation are higher.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct HeartbeatStamp {
    /// The agent's incarnation.
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

/// What is known of the exchange of heartbeats with a machine's agent.
#[derive(Debug, Default)]
pub struct AgentContact {
    /// Where the agent takes pushed commands; empty while that is not known.
    pub address: String,
    /// The newest heartbeat under this epoch's fencing token.
    pub last_heartbeat: Option<HeartbeatStamp>,
    /// The newest heartbeat under an earlier token, of which nothing but its arrival was used.
    pub last_stale_heartbeat: Option<HeartbeatStamp>,
    /// Heartbeats of earlier incarnations are void.
    pub min_incarnation: u64,
    /// When the last heartbeat arrived.
    pub heartbeat_at: Option<Instant>,
    /// When the last heartbeat arrived that was replied to, which renews the agent's lease.
    pub replied_at: Option<Instant>,
    /// Whether replies show an effect.
    pub acks: AckTracker,
    /// Replies show none: the machine's capacity counts for nothing.
    pub one_way_partitioned: bool,
    /// When stops were last pushed to it.
    pub stops_pushed_at: Option<Instant>,
}

/// Whether the stored record says that a machine may hold tasks. It has to before the first
/// start, so that a later leader knows which machines to reconcile.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UseRecord {
    /// It does not say so.
    NotRecorded,
    /// The write that says so is under way.
    InFlight,
    /// It says so.
    Recorded,
}

/// How a machine fares in the cloud's inventory.
#[derive(Debug, Clone, Copy)]
pub struct Listing {
    /// It was listed at least once.
    pub was_listed: bool,
    /// Readings in a row, young enough to show it, that did not.
    pub missed: u32,
}

/// Whether demand needs a machine.
#[derive(Debug, Clone, Copy)]
pub struct MachineNeed {
    /// Some demand counts on it; others are left to run empty.
    pub is_needed: bool,
    /// Since when no demand has counted on it.
    pub unneeded_since: Option<Instant>,
    /// Its replicas are being moved elsewhere: nothing is placed on it.
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
    /// The node pool whose record names it.
    pub node_pool: String,
    /// How far it has come.
    pub phase: Phase,
    /// When it was asked of the cloud, as far as that matters for what is billed.
    pub requested_at: Instant,
    /// The exchange of heartbeats with its agent.
    pub agent: AgentContact,
    /// What is on it is known: by a heartbeat under this epoch's fencing token, or by proof
    /// that nothing is.
    pub reconciled: bool,
    /// Whether its record says that it may hold tasks.
    pub use_record: UseRecord,
    /// A deletion is under way.
    pub deletion_in_flight: bool,
    /// When the cloud takes it back, once it has announced that.
    pub preempted_at: Option<Instant>,
    /// The tasks that are, or may be, on it.
    pub slots: HashMap<TaskId, Slot>,
    /// What is left beside the slots.
    pub free: Resources,
    /// Tasks are on it whose job is unknown; nothing is placed beside them.
    pub has_orphan_tasks: bool,
    /// The images believed to be cached on it.
    pub images: ImageCache,
    /// Jobs whose tasks have failed here since the last success, once for each failure.
    pub failures: Vec<JobId>,
    /// Tasks of several jobs have failed here: nothing is placed on it, and it is replaced.
    pub cordoned: bool,
    /// Since when no slot is on it.
    pub idle_since: Instant,
    /// How it fares in the cloud's inventory.
    pub listing: Listing,
    /// Whether demand needs it.
    pub need: MachineNeed,
}

impl Machine {
    /// Pushes stops to it, if it is known where its agent is.
    pub fn push_commands(
        &mut self,
        now: Instant,
        fencing_token: u64,
        commands: Vec<Command>,
    ) -> Option<Effect> {
        let incarnation = self.agent.last_heartbeat?.incarnation;
        let address = self.agent.address.parse().ok()?;
        self.agent.stops_pushed_at = Some(now);
        Some(Effect::PushCommands { address, fencing_token, incarnation, commands })
    }

    /// Whether its capacity may be counted on.
    pub fn has_usable_capacity(&self) -> bool {
        self.is_schedulable() && !self.agent.one_way_partitioned
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

    /// Whether its record says that it may hold tasks.
    pub fn may_hold_tasks(&self) -> bool {
        self.use_record == UseRecord::Recorded
    }
}
