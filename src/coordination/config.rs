//! A controller's configuration, and the timeouts that follow from it: for how long the
//! answers of an earlier leader may still take effect.

use std::time::Duration;

use crate::policy::Tuning;
use crate::protocol::workers::HEARTBEAT_REPLY_TIMEOUT;
use crate::settings::Settings;

/// Longest that a worker's lease lasts by another clock, as a multiple of its duration.
const WORKER_CLOCK_DRIFT: f64 = 1.002;
/// Part of the time between two heartbeats that is a margin for timer steps.
const TIMER_MARGIN_DIVISOR: u32 = 4;
/// Part of the workers' lease that the post-lease grace period lasts at most.
const POST_LEASE_GRACE_DIVISOR: u32 = 2;

/// The platform's settings, and the operators' policy.
#[derive(Debug)]
pub struct Config {
    /// The settings of the cluster and of this controller.
    pub settings: Settings,
    /// What the policy tunes.
    pub tuning: Tuning,
}

impl Config {
    /// How long after the arrival of its last answered heartbeat a worker certainly has given
    /// up its lease and killed its tasks: its lease, the drift of both clocks, and a margin
    /// for timer steps.
    pub fn worker_lease_timeout(&self) -> Duration {
        let workers = &self.settings.cluster.workers;
        workers.lease().mul_f64(WORKER_CLOCK_DRIFT) + workers.heartbeat_interval() / TIMER_MARGIN_DIVISOR
    }

    /// How long after a cancellation a worker may still be answered that goes on with the
    /// cancelled tasks. The last answer must leave the worker time to lose its lease, as
    /// [`Self::worker_lease_timeout`] counts it, before the cancellation must have ended
    /// everything; less the time that an answer may take to arrive.
    pub fn cancelled_task_reply_window(&self) -> Duration {
        let cancellation = self.settings.cluster.workers.cancellation();
        cancellation.saturating_sub(self.worker_lease_timeout() + HEARTBEAT_REPLY_TIMEOUT)
    }

    /// How long after the expiry of its lease a leader still answers heartbeats, with no other
    /// commands than stops. It may not know of cancellations that another leader has confirmed
    /// since then.
    pub fn post_lease_grace(&self) -> Duration {
        let workers = &self.settings.cluster.workers;
        self.cancelled_task_reply_window().min(workers.lease() / POST_LEASE_GRACE_DIVISOR)
    }

    /// [`Self::worker_lease_timeout`] for a machine that this leader has never answered: an
    /// earlier leader may have answered it until the end of its post-lease grace period.
    pub fn failover_lease_timeout(&self) -> Duration {
        self.worker_lease_timeout() + self.post_lease_grace()
    }
}
