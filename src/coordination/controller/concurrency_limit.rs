//! A bound on how many operations of one kind are under way at once.

/// Counts operations under way and refuses more than a limit.
#[derive(Debug)]
pub(super) struct ConcurrencyLimit {
    in_flight: usize,
    limit: usize,
}

impl ConcurrencyLimit {
    /// Allows `limit` operations at once.
    pub(super) fn new(limit: usize) -> Self {
        ConcurrencyLimit { in_flight: 0, limit }
    }

    /// Counts one more operation, unless the limit is reached. Each that was allowed must be
    /// ended by one call of [`Self::end`].
    #[must_use]
    pub(super) fn try_begin(&mut self) -> bool {
        if self.in_flight >= self.limit {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// An operation that was allowed has ended.
    pub(super) fn end(&mut self) {
        self.in_flight -= 1;
    }

    /// Operations under way.
    #[cfg(test)]
    pub(super) fn in_flight(&self) -> usize {
        self.in_flight
    }
}
