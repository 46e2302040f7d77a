//! A controller's configuration and the timeouts derived from it. The timeouts bound how long
//! workers may still run tasks because of the replies of an earlier leader.

use std::time::Duration;

use crate::policy::Tuning;
use crate::protocol::workers::HEARTBEAT_REPLY_TIMEOUT;
use crate::settings::Settings;

/// Allowance for clock drift: measured by another machine's clock, a worker's lease lasts at
/// most this multiple of its duration.
const WORKER_CLOCK_DRIFT_FACTOR: f64 = 1.002;
/// The margin for timer resolution is the heartbeat interval divided by this.
const TIMER_MARGIN_DIVISOR: u32 = 4;
/// The post-lease grace period is at most the workers' lease duration divided by this.
const POST_LEASE_GRACE_DIVISOR: u32 = 2;

/// The platform's settings and the operators' policy.
#[derive(Debug)]
pub struct Config {
    /// The settings of the cluster and of this controller.
    pub settings: Settings,
    /// The parameters that the operators' policy tunes.
    pub tuning: Tuning,
}

impl Config {
    /// The time after the arrival of its last heartbeat that was replied to by which a worker's lease has
    /// certainly expired and the worker has killed its tasks: the lease duration, the drift of
    /// both clocks, and a margin for timer resolution.
    pub fn worker_lease_timeout(&self) -> Duration {
        let workers = &self.settings.cluster.workers;
        workers.lease().mul_f64(WORKER_CLOCK_DRIFT_FACTOR)
            + workers.heartbeat_interval() / TIMER_MARGIN_DIVISOR
    }

    /// How long after it was decided a worker may execute the reply to a heartbeat, or a copy of it,
    /// given the drift of both clocks. The worker counts [`HEARTBEAT_REPLY_TIMEOUT`] from the earlier
    /// moment at which it sent the heartbeat.
    pub fn heartbeat_reply_validity(&self) -> Duration {
        HEARTBEAT_REPLY_TIMEOUT.mul_f64(WORKER_CLOCK_DRIFT_FACTOR)
    }

    /// How long after a cancellation a controller may still reply to a worker that keeps running
    /// the cancelled tasks: the time within which all tasks of a cancelled job must end, less
    /// [`HEARTBEAT_REPLY_TIMEOUT`], which the last reply may take to arrive, and less
    /// [`Self::worker_lease_timeout`], by which the worker's lease has then expired.
    pub fn cancelled_task_reply_window(&self) -> Duration {
        let cancellation = self.settings.cluster.workers.cancellation();
        cancellation.saturating_sub(self.worker_lease_timeout() + HEARTBEAT_REPLY_TIMEOUT)
    }

    /// How long after the expiry of its lease a leader still replies to heartbeats, with
    /// stop commands only. The time is limited because the leader may not know of cancellations that
    /// another leader has confirmed since then.
    pub fn post_lease_grace(&self) -> Duration {
        let workers = &self.settings.cluster.workers;
        self.cancelled_task_reply_window().min(workers.lease() / POST_LEASE_GRACE_DIVISOR)
    }

    /// The [`Self::worker_lease_timeout`] of a machine that this leader has never replied to:
    /// an earlier leader may have replied to it until the end of its post-lease grace period.
    pub fn failover_lease_timeout(&self) -> Duration {
        self.worker_lease_timeout() + self.post_lease_grace()
    }
}
