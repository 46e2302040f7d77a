//! What a controller is configured with, and the times that follow from it: how long what
//! an earlier leader did may still have an effect.

use std::time::Duration;

use crate::policy::Tuning;
use crate::protocol::workers::HEARTBEAT_REPLY_TIMEOUT;
use crate::settings::Settings;

/// The platform's settings, and the operators' policy.
#[derive(Debug)]
pub struct Config {
    pub settings: Settings,
    pub tuning: Tuning,
}

impl Config {
    /// By then a worker whose last answered report arrived at the start of
    /// this time has given up its lease and killed its tasks: its lease, the
    /// drift of both clocks, and a margin for timer steps.
    pub fn worker_lease_timeout(&self) -> Duration {
        let workers = &self.settings.cluster.workers;
        workers.lease().mul_f64(1.002) + workers.report() / 4
    }

    /// How long after a cancellation a worker may still be answered that goes on
    /// with its tasks: the last answer must leave it time to lose its lease, by the
    /// proof that leaders go by, before the cancellation must have ended everything;
    /// less what an answer may take to arrive.
    pub fn cancelled_task_reply_window(&self) -> Duration {
        let cancellation = self.settings.cluster.workers.cancellation();
        cancellation.saturating_sub(self.worker_lease_timeout() + HEARTBEAT_REPLY_TIMEOUT)
    }

    /// How long after its lease has lapsed a leader still answers reports,
    /// without anything but stops. It may not know of cancellations that another
    /// has confirmed since then.
    pub fn post_lease_grace(&self) -> Duration {
        self.cancelled_task_reply_window().min(self.settings.cluster.workers.lease() / 2)
    }

    /// The same proof for a machine that this leader has never answered: an
    /// earlier one may have answered it until the end of its lapse window.
    pub fn failover_lease_timeout(&self) -> Duration {
        self.worker_lease_timeout() + self.post_lease_grace()
    }
}
