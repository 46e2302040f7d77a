//! What the leader holds of machines and of the rentals that named them.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::catalog::MachineTypeId;
use crate::coordination::jobs::job::{Slot, SlotKey};
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::effects::Effect;
use crate::maps::HashMap;
use crate::protocol::cloud::MachineType;
use crate::protocol::jobs::{JobId, JobSpec};
use crate::protocol::workers::{Command, MachineId};

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

#[derive(Debug)]
pub struct Machine {
    pub id: MachineId,
    pub machine_type: MachineTypeId,
    pub zone: String,
    pub spot: bool,
    /// The fleet record it stands in.
    pub node_pool: String,
    pub phase: Phase,
    pub address: String,
    pub requested_at: Instant,
    pub up_since: Option<Instant>,
    /// Newest report taken, under this epoch's token: (session, sequence).
    pub last_heartbeat: Option<(u64, u64)>,
    /// Newest report under an earlier token, of which nothing was taken.
    pub last_stale_heartbeat: Option<(u64, u64)>,
    pub ack_tracker: AckTracker,
    /// It seems not to hear us: its room counts for nothing.
    pub one_way_partitioned: bool,
    /// Reports of earlier sessions are void.
    pub min_incarnation: u64,
    pub heartbeat_at: Option<Instant>,
    /// Arrival of the last report that got a 200.
    pub replied_at: Option<Instant>,
    /// What is on it is known: from a report under this epoch's token, or by
    /// proof that nothing is.
    pub reconciled: bool,
    /// The record says that starts may have been sent to it.
    pub use_recorded: bool,
    /// That mark is on its way to the record.
    pub use_record_in_flight: bool,
    /// A deletion is under way.
    pub deletion_in_flight: bool,
    /// When stops were last sent straight to it.
    pub stops_pushed_at: Option<Instant>,
    pub preempted_at: Option<Instant>,
    pub slots: HashMap<SlotKey, Slot>,
    pub free: Resources,
    /// Tasks are on it whose job is unknown; nothing is placed beside them.
    pub has_orphan_tasks: bool,
    /// Images believed to be cached, most recent first.
    pub images: VecDeque<(String, f64)>,
    /// Jobs whose tasks failed here since the last success, and how often.
    pub failures: Vec<JobId>,
    pub cordoned: bool,
    pub idle_since: Instant,
    /// Times that a list young enough to show it did not.
    pub missed_listings: u32,
    pub was_listed: bool,
    /// Some demand counts on it; others are left to run empty.
    pub needed: bool,
    /// Since when no demand has counted on it.
    pub unneeded_since: Option<Instant>,
    /// Its replicas are being moved elsewhere: nothing is placed on it.
    pub draining: bool,
}

impl Machine {
    /// Stops to be sent straight to it, if it is known where it is.
    pub fn push_commands(&mut self, now: Instant, token: u64, orders: Vec<Command>) -> Option<Effect> {
        let (session, _) = self.last_heartbeat?;
        let address = self.address.parse().ok()?;
        self.stops_pushed_at = Some(now);
        Some(Effect::PushCommands { address, fencing_token: token, incarnation: session, commands: orders })
    }

    pub fn has_image(&self, image: &str) -> bool {
        self.images.iter().any(|(name, _)| name == image)
    }

    /// A task of the job runs here, so its image is cached; the least recent images give
    /// way to it where the type's cache is full.
    pub fn record_image(&mut self, spec: &JobSpec, kind: Option<&MachineType>) {
        let (image, size_gb) = (spec.image.as_str(), spec.image_gb);
        let cache_gb = kind.map_or(0.0, |kind| kind.cache_gb);
        if self.images.front().is_some_and(|(name, _)| name == image) {
            return;
        }
        self.images.retain(|(name, _)| name != image);
        self.images.push_front((image.to_owned(), size_gb));
        let mut total: f64 = self.images.iter().map(|(_, gb)| gb).sum();
        while total > cache_gb && self.images.len() > 1 {
            total -= self.images.pop_back().map_or(0.0, |(_, gb)| gb);
        }
    }

    /// Whether its room may be counted on.
    pub fn has_usable_capacity(&self) -> bool {
        self.is_schedulable() && !self.one_way_partitioned
    }

    /// Whether tasks may be placed on it.
    pub fn is_schedulable(&self) -> bool {
        self.phase == Phase::Up
            && self.reconciled
            && self.use_recorded
            && !self.cordoned
            && !self.has_orphan_tasks
            && !self.draining
            && self.preempted_at.is_none()
    }
}
