//! Archiving: a terminal job's row follows its record, and the job leaves memory.

use crate::coordination::authority::Violation;
use crate::coordination::jobs::record_state::RowState;
use crate::coordination::jobs::record_write::put;
use crate::coordination::leader::Leader;
use crate::coordination::leader::effects::{Effect, PendingOperation};
use crate::protocol::jobs::JobId;
use crate::protocol::kv::{Change, Compare};
use crate::storage::kv::{KvError, RequestClass};
use crate::storage::records::{archived_row_key, encode_row, live_row_key};

impl Leader {
    /// Once a job is terminal and nothing of it is on a machine, its row is archived. Until
    /// then the row stays among the live ones, so that a new leader knows what its tasks take.
    pub(crate) fn try_archive(&mut self, job_id: &JobId) {
        let Some(job) = self.jobs.get_mut(job_id) else { return };
        let is_in_use = job.tasks.slot_count > 0 || job.stored.write_in_flight.is_some();
        if job.record.terminal_state().is_none() || is_in_use {
            return;
        }
        match job.stored.row {
            RowState::Archived => return self.evict_job(job_id),
            RowState::Archiving => return,
            RowState::Live => {}
        }
        // While a machine is not reconciled, a task may still be there.
        if job.tasks.unreconciled_below > 0 && !self.failover.is_complete() {
            return;
        }
        job.stored.row = RowState::Archiving;
        self.record_writes.push_archive(job_id.clone());
        self.archive_queued_rows();
    }

    /// Archives rows as long as few of their moves are in flight.
    pub(crate) fn archive_queued_rows(&mut self) {
        let max_in_flight = self.config.settings.cluster.kv.strictest().txn_ops;
        while let Some(job_id) = self.record_writes.pop_archive(max_in_flight) {
            self.archive_row(&job_id);
        }
    }

    fn archive_row(&mut self, job_id: &JobId) {
        let Some(job) = self.jobs.get_mut(job_id) else { return };
        let Some(state) = job.record.terminal_state() else { return };
        if job.tasks.slot_count > 0 {
            // A machine has shown one more task of it since: archived once that is gone.
            job.stored.row = RowState::Live;
            return;
        }
        self.record_writes.archive_started();
        let (live, archived) = (live_row_key(job_id), archived_row_key(job_id));
        let compares = vec![
            Compare { key: live.clone(), version: job.stored.live_row_version },
            Compare { key: archived.clone(), version: 0 },
        ];
        let changes = vec![put(archived, encode_row(state)), Change::Delete { key: live }];
        let operation = PendingOperation::ArchiveRow(job_id.clone());
        self.commit(operation, RequestClass::Background, compares, changes);
    }

    /// The move of a row has ended: the job leaves memory.
    pub(crate) fn handle_row_archived(&mut self, job_id: &JobId, result: Result<u64, KvError>) {
        self.record_writes.archive_ended();
        match result {
            Ok(_) => {}
            Err(KvError::Fenced) => return,
            Err(error) => {
                tracing::error!(job = %job_id, ?error, "row not archived: it differs from what was read; see `audit`");
            }
        }
        match self.jobs.get_mut(job_id).filter(|job| job.tasks.slot_count > 0) {
            // A machine has shown a task of it since. Out of memory, nobody would stop it.
            Some(job) => {
                job.stored.row = RowState::Archived;
                self.record_violation(Violation::JobEvictedWithTasks, job_id);
            }
            None => self.evict_job(job_id),
        }
        self.archive_queued_rows();
    }

    /// A terminal job with nothing on any machine leaves memory.
    fn evict_job(&mut self, job_id: &JobId) {
        self.queue.release_reservation(job_id);
        self.dependencies.remove(job_id);
        if let Some(job) = self.jobs.remove(job_id) {
            self.outbox.push(Effect::JobEvicted(job.status()));
        }
    }
}
