//! Handling of commit results: a transaction is reported to its caller, retried, or its first
//! key is read back to determine whether an earlier attempt was committed.

use ciborium::value::Value;
use tokio::time::Instant;

use super::actor::Actor;
use super::queue::PendingTransaction;
use super::{HttpResult, KvError, WRITE_MARKER};
use crate::maps::HashSet;
use crate::protocol::cbor::{Fields, decode};
use crate::protocol::kv::{Change, decode_commit_revision, decode_entry, decode_failed_compares};
use crate::storage::records::LEADER;
use crate::transport::client::ClientError;
use crate::transport::codec::Response;

/// Outcome of one attempt to commit a batch.
#[derive(Debug, PartialEq)]
enum Outcome {
    /// Committed, at this revision of the store.
    Committed(u64),
    /// Not committed: these keys have other versions than expected.
    Conflicted(HashSet<String>),
    /// Not committed: rejected as malformed or too large.
    Rejected,
    /// Not committed, but a retry may succeed.
    NotApplied,
    /// It may have been committed, or may yet be.
    Unknown,
}

impl Outcome {
    fn from_result(result: &HttpResult) -> Self {
        match result {
            Ok(response) => Self::from_response(response),
            Err(ClientError::NotSent) => Outcome::NotApplied,
            Err(_) => Outcome::Unknown,
        }
    }

    fn from_response(response: &Response) -> Self {
        let body = || decode(&response.body).ok();
        match response.status {
            200 => {
                let revision = body().and_then(|body| decode_commit_revision(&body).ok());
                revision.map_or(Outcome::Unknown, Outcome::Committed)
            }
            409 => {
                let failed = body().and_then(|body| decode_failed_compares(&body).ok());
                failed.map_or(Outcome::Unknown, |keys| Outcome::Conflicted(keys.into_iter().collect()))
            }
            400 => Outcome::Rejected,
            429 | 503 => Outcome::NotApplied,
            _ => Outcome::Unknown,
        }
    }
}

impl Actor {
    /// Handles the result of a batch: reports it to the callers, or queues their transactions
    /// again.
    pub(super) fn handle_commit_result(&mut self, batch: Vec<PendingTransaction>, result: &HttpResult) {
        if let Ok(response) = result {
            self.record_refusal(response.status);
        }
        match Outcome::from_result(result) {
            Outcome::Committed(revision) => report_all(batch, Ok(revision)),
            Outcome::Conflicted(failed) if failed.contains(LEADER) => {
                report_all(batch, Err(KvError::Fenced));
            }
            Outcome::Conflicted(failed) => self.handle_conflict(batch, &failed),
            Outcome::Rejected if batch.len() == 1 => {
                tracing::error!("transaction rejected by the key-value store");
                report_all(batch, Err(KvError::Rejected));
            }
            Outcome::Rejected => {
                self.log_not_committed(result, false);
                // The batch may be too large although each of its transactions is not.
                self.retry(batch, PendingTransaction::isolate);
            }
            Outcome::NotApplied => {
                self.log_not_committed(result, false);
                self.retry(batch, |_| {});
            }
            Outcome::Unknown => {
                self.log_not_committed(result, true);
                self.retry(batch, PendingTransaction::mark_outcome_unknown);
            }
        }
    }

    /// Handles a batch that was not committed because the `failed` keys have other versions
    /// than expected. Transactions that do not compare these keys are retried, each alone.
    fn handle_conflict(&mut self, batch: Vec<PendingTransaction>, failed: &HashSet<String>) {
        for mut pending in batch {
            let has_conflict =
                pending.transaction.compares.iter().any(|compare| failed.contains(&compare.key));
            pending.isolate();
            if !has_conflict {
                self.queues.push_front(pending);
            } else if pending.is_outcome_unknown() {
                // An earlier attempt of this transaction may have written the other version.
                self.read_back(pending);
            } else {
                pending.report(Err(KvError::Conflict));
            }
        }
    }

    fn log_not_committed(&mut self, result: &HttpResult, outcome_unknown: bool) {
        if let Some(times) = self.log_throttle.record_failure(Instant::now()) {
            let status = result.as_ref().map(|response| response.status).ok();
            tracing::error!(times, ?status, outcome_unknown, "commit failed, retrying");
        }
    }

    /// Applies `update`, which records the outcome of the attempt, to each transaction of a
    /// batch, and queues them again in the same order, in front of all others of their class.
    fn retry(&mut self, batch: Vec<PendingTransaction>, update: impl Fn(&mut PendingTransaction)) {
        self.pause();
        for mut pending in batch.into_iter().rev() {
            update(&mut pending);
            self.queues.push_front(pending);
        }
    }

    /// Handles the response to the read of a key that an earlier attempt may have changed.
    pub(super) fn handle_read_back(&mut self, pending: PendingTransaction, result: &HttpResult) {
        match read_back_result(&pending, result) {
            Some(outcome) => pending.report(outcome),
            None => {
                self.pause();
                self.queues.push_front(pending);
            }
        }
    }
}

fn report_all(batch: Vec<PendingTransaction>, result: Result<u64, KvError>) {
    for pending in batch {
        pending.report(result);
    }
}

/// Result of a transaction, determined from the current entry of its first key: whether an
/// earlier attempt was committed. `None` if the response does not show it.
fn read_back_result(pending: &PendingTransaction, result: &HttpResult) -> Option<Result<u64, KvError>> {
    let response = result.as_ref().ok()?;
    let change = pending.transaction.changes.first();
    match (response.status, change) {
        // The key is gone, as the delete requires; the revision of the commit is not known.
        (404, Some(Change::Delete { .. })) => Some(Ok(0)),
        (404, _) => Some(Err(KvError::Conflict)),
        (200, Some(change)) => {
            let entry = decode_entry(&decode(&response.body).ok()?).ok()?;
            // A response about another key says nothing about this one.
            if entry.key != change.key() {
                return None;
            }
            let is_own_write = write_marker_of(&entry.value) == Some(pending.write_marker.as_str());
            Some(if is_own_write { Ok(entry.version) } else { Err(KvError::Conflict) })
        }
        _ => None,
    }
}

/// The marker that [`super::KvClient::compare_and_swap`] added to a value.
fn write_marker_of(value: &Value) -> Option<&str> {
    Fields::of(value).ok()?.opt_text(WRITE_MARKER).ok()?
}
