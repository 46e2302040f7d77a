//! How requests have waited in the client, for operators.

use std::time::Duration;

use super::RequestClass;

/// Number of request classes.
pub(super) const CLASS_COUNT: usize = 6;

/// The requests of one class.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ClassStatistics {
    /// Requests that wait to be sent now.
    pub queued: usize,
    /// How long the first of them has waited.
    pub oldest: Duration,
    /// Requests sent since the process started.
    pub sent: u64,
    /// Those among them whose caller no longer waited for the response; always 0, since such requests
    /// are dropped.
    pub sent_for_nobody: u64,
    /// Requests dropped before they were sent, since their callers had left.
    pub dropped: u64,
    /// Longest time that a request has waited to be sent.
    pub longest_wait: Duration,
}

impl ClassStatistics {
    /// Records that a request is sent, which has waited for this long.
    pub(super) fn record_sent(&mut self, wait: Duration, is_awaited: bool) {
        self.sent += 1;
        self.sent_for_nobody += u64::from(!is_awaited);
        self.longest_wait = self.longest_wait.max(wait);
    }
}

/// The requests of all classes, as of at most a second ago while there are requests.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct QueueStatistics {
    /// Indexed by class.
    pub(super) classes: [ClassStatistics; CLASS_COUNT],
    /// This controller's share of the store's request rate, in requests per second.
    pub(super) request_rate: f64,
}

impl QueueStatistics {
    /// The requests of one class.
    pub fn of(&self, class: RequestClass) -> ClassStatistics {
        self.classes[class as usize]
    }
}
