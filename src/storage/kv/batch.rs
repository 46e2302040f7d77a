//! Batches: transactions of several callers in one request.

use ciborium::value::Value;
use tokio::time::Instant;

use super::queue::{PendingTransaction, RequestQueues};
use super::rates::RateLimits;
use crate::protocol::kv::{Compare, encode_compare_and_swap};
use crate::storage::records::LEADER;

/// Maximum size of a batch in bytes, with some margin below the store's limit of 64 KiB.
const MAX_BATCH_BYTES: usize = 48 * 1024;
/// Maximum number of comparisons in a batch, per put or delete that it may hold.
const COMPARES_PER_CHANGE: usize = 4;

/// Transactions of one epoch that are committed together, in one request.
pub(super) struct Batch {
    transactions: Vec<PendingTransaction>,
    epoch: u64,
    changes: usize,
    /// Number of comparisons, including the one with the epoch.
    compares: usize,
    bytes: usize,
}

impl Batch {
    /// Creates a batch of this transaction alone.
    pub(super) fn new(first: PendingTransaction) -> Self {
        Batch {
            epoch: first.transaction.epoch,
            changes: first.transaction.changes.len(),
            compares: first.transaction.compares.len() + 1,
            bytes: first.size,
            transactions: vec![first],
        }
    }

    /// Adds waiting transactions of the same epoch as far as the limits allow: at most
    /// `max_changes` puts and deletes, and no more than the write rate allows now.
    pub(super) fn fill(
        &mut self,
        now: Instant,
        queues: &mut RequestQueues,
        rates: &mut RateLimits,
        max_changes: usize,
    ) {
        if !self.transactions.iter().all(PendingTransaction::is_batchable) {
            return;
        }
        let added = queues.take_transactions(|class, pending| {
            let changes = self.changes + pending.transaction.changes.len();
            let accepted = self.has_room_for(pending, max_changes) && rates.allows_batch(now, class, changes);
            if accepted {
                self.changes = changes;
                self.compares += pending.transaction.compares.len();
                self.bytes += pending.size;
            }
            accepted
        });
        self.transactions.extend(added);
    }

    fn has_room_for(&self, pending: &PendingTransaction, max_changes: usize) -> bool {
        let transaction = &pending.transaction;
        pending.is_batchable()
            && transaction.epoch == self.epoch
            && self.changes + transaction.changes.len() <= max_changes
            && self.compares + transaction.compares.len() <= max_changes * COMPARES_PER_CHANGE
            && self.bytes + pending.size <= MAX_BATCH_BYTES
    }

    /// Number of puts and deletes.
    pub(super) fn changes(&self) -> usize {
        self.changes
    }

    /// Encodes the request that commits the batch. The commit requires that the leader's key
    /// still has the epoch as its version, which makes the epoch a fencing token.
    pub(super) fn encode(&self) -> Value {
        let epoch_compare = Compare { key: LEADER.to_owned(), version: self.epoch };
        let transactions = || self.transactions.iter().map(|pending| &pending.transaction);
        let compares = transactions().flat_map(|transaction| &transaction.compares);
        encode_compare_and_swap(
            std::iter::once(&epoch_compare).chain(compares),
            transactions().flat_map(|transaction| &transaction.changes),
        )
    }

    /// The transactions, in the order in which they were added.
    pub(super) fn into_transactions(self) -> Vec<PendingTransaction> {
        self.transactions
    }
}
