//! Numbers of task attempts.

/// Numbers attempts so that none is ever used twice: the epoch in the upper half, a counter
/// of this epoch in the lower.
#[derive(Debug)]
pub(crate) struct AttemptCounter {
    epoch: u64,
    last: u32,
}

impl AttemptCounter {
    /// No attempt of the epoch has been made yet.
    pub(crate) fn new(epoch: u64) -> Self {
        AttemptCounter { epoch, last: 0 }
    }

    /// The number of the latest attempt.
    pub(crate) fn latest(&self) -> u64 {
        self.number(self.last)
    }

    /// The number of the next attempt, which is not used up by asking; `None` once all
    /// numbers of the epoch are.
    pub(crate) fn next(&self) -> Option<u64> {
        self.last.checked_add(1).map(|counter| self.number(counter))
    }

    /// Uses up the next number.
    pub(crate) fn advance(&mut self) {
        self.last = self.last.saturating_add(1);
    }

    fn number(&self, counter: u32) -> u64 {
        self.epoch << 32 | u64::from(counter)
    }
}
