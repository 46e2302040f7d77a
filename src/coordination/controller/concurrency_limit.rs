//! A limit on the concurrent operations of one kind.

/// Counts the operations in flight and refuses further ones at the limit.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    in_flight: usize,
    limit: usize,
}

impl ConcurrencyLimit {
    /// Allows `limit` concurrent operations.
    pub(super) fn new(limit: usize) -> Self {
        ConcurrencyLimit { in_flight: 0, limit }
    }

    /// Counts one more operation and returns true, unless the limit is reached. Each
    /// successful call must be followed by one call of [`Self::release`].
    #[must_use]
    pub(super) fn try_acquire(&mut self) -> bool {
        self.try_acquire_within(self.limit)
    }

    /// As [`Self::try_acquire`], with a lower limit for this operation.
    #[must_use]
    pub(super) fn try_acquire_within(&mut self, limit: usize) -> bool {
        if self.in_flight >= self.limit.min(limit) {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Records that an operation has ended.
    pub(super) fn release(&mut self) {
        self.in_flight -= 1;
    }

    /// Returns the number of operations in flight.
    #[cfg(test)]
    pub(super) fn in_flight(&self) -> usize {
        self.in_flight
    }
}
