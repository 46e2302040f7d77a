//! A task's slot on a machine.

use tokio::time::Instant;

use crate::coordination::jobs::quota::QuotaId;
use crate::coordination::jobs::resources::Resources;

/// State of the task in a slot.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SlotState {
    /// The start command was sent in the reply to the heartbeat with this sequence number; no
    /// heartbeat has listed the task yet.
    StartSent {
        /// The heartbeat's sequence number within the worker's incarnation.
        sequence: u64,
    },
    /// The task's image is being fetched.
    Fetching,
    /// The task is running.
    Running,
    /// The task is saving a checkpoint before it stops.
    Saving,
}

/// Capacity of a machine that a task occupies, or may occupy.
#[derive(Debug, Clone)]
pub struct Slot {
    /// Number of the attempt that occupies the slot.
    pub attempt: u64,
    /// State of the task.
    pub state: SlotState,
    /// Resources that the task takes from the machine and from its team's quota.
    pub resources: Resources,
    /// The quota that `resources` are charged to, if the job's team has one.
    pub team: Option<QuotaId>,
    /// When the task entered this state.
    pub since: Instant,
    /// Grace period in seconds with which the task is being stopped; `None` if it is not being
    /// stopped.
    pub stop_grace_s: Option<f64>,
    /// Whether the task is assigned to this slot; if not, the task should not be here.
    pub assigned: bool,
}
