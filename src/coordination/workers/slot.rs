//! A task's slot on a machine.

use tokio::time::Instant;

use crate::coordination::jobs::quota::QuotaId;
use crate::coordination::jobs::resources::Resources;

/// How far the task in a slot has come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SlotState {
    /// The start went out in the reply to the heartbeat with this sequence number; no
    /// heartbeat has shown the task yet.
    StartSent {
        /// The heartbeat's sequence number within the worker's incarnation.
        sequence: u64,
    },
    /// Its image is being fetched.
    Fetching,
    /// It runs.
    Running,
    /// It saves a checkpoint before it stops.
    Saving,
}

/// Capacity of a machine that a task takes, or may take.
#[derive(Debug, Clone)]
pub struct Slot {
    /// Number of the attempt that takes the slot.
    pub attempt: u64,
    /// How far the task has come.
    pub state: SlotState,
    /// What the task takes of the machine and of its team's quota.
    pub resources: Resources,
    /// The quota that `resources` are charged to, if the job's team has one.
    pub team: Option<QuotaId>,
    /// Since when the task has been in this state.
    pub since: Instant,
    /// Seconds of grace with which the task is to stop; `None` while it may run on.
    pub stop_grace_s: Option<f64>,
    /// The task is assigned to this slot; otherwise it should not be here.
    pub assigned: bool,
}
