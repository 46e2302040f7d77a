//! A task's place on a machine.

use tokio::time::Instant;

use crate::coordination::jobs::quota::QuotaId;
use crate::coordination::jobs::resources::Resources;

#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SlotState {
    /// The start went out in the reply to the heartbeat with this number.
    StartSent {
        sequence: u64,
    },
    Fetching,
    Running,
    Saving,
}

/// Room on a machine that a task takes, or may take.
#[derive(Debug, Clone)]
pub struct Slot {
    pub attempt: u64,
    pub state: SlotState,
    pub resources: Resources,
    pub team: Option<QuotaId>,
    /// Since when it has been in this state.
    pub since: Instant,
    /// Seconds of grace with which it is to stop.
    pub stop_grace_s: Option<f64>,
    /// The job counts on this slot; otherwise the task should not be here.
    pub assigned: bool,
}
