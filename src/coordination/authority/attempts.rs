//! Numbers of task attempts.

/// Assigns attempt numbers that are never used twice: the upper half is the epoch, the lower
/// half is a counter within the epoch.
#[derive(Debug)]
pub(crate) struct AttemptCounter {
    epoch: u64,
    last: u32,
}

impl AttemptCounter {
    /// A counter for an epoch in which no attempt has been made yet.
    pub(crate) fn new(epoch: u64) -> Self {
        AttemptCounter { epoch, last: 0 }
    }

    /// The number of the latest attempt.
    pub(crate) fn latest(&self) -> u64 {
        self.number(self.last)
    }

    /// The number of the next attempt, without consuming it; `None` once all numbers of the
    /// epoch are used.
    pub(crate) fn peek(&self) -> Option<u64> {
        self.last.checked_add(1).map(|counter| self.number(counter))
    }

    /// Consumes the next number.
    pub(crate) fn advance(&mut self) {
        self.last = self.last.saturating_add(1);
    }

    fn number(&self, counter: u32) -> u64 {
        self.epoch << 32 | u64::from(counter)
    }
}
