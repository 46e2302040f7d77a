//! Archiving: moves the row of a terminal job to the archive and evicts the job from memory.

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
    /// Archives the job's row if the job is terminal and no task of it is on a machine. Until
    /// then the row stays live, so that a new leader knows which resources its tasks take.
    pub(crate) fn try_archive(&mut self, job_id: &JobId) {
        let Some(job) = self.jobs.get_mut(job_id) else { return };
        let has_slots_or_write = job.tasks.slot_count > 0 || job.stored.write_in_flight.is_some();
        if job.record.terminal_state().is_none() || has_slots_or_write {
            return;
        }
        match job.stored.row {
            RowState::Archived => return self.evict_job(job_id),
            RowState::Archiving => return,
            RowState::Live => {}
        }
        // A machine that is not reconciled may still hold a task of the job.
        if job.tasks.unreconciled_below > 0 && !self.failover.is_complete() {
            return;
        }
        job.stored.row = RowState::Archiving;
        self.record_writes.push_archive(job_id.clone());
        self.archive_queued_rows();
    }

    /// Archives queued rows while the number of row moves in flight is below its limit.
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
            // A machine has since reported another task of the job: the row is archived once
            // that task is gone.
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

    /// Handles the outcome of a row's move to the archive, and evicts the job from memory unless
    /// a machine has since reported a task of it.
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
            // A machine has since reported a task of the job. Nothing would stop that task if
            // the job were evicted.
            Some(job) => {
                job.stored.row = RowState::Archived;
                self.record_violation(Violation::JobEvictedWithTasks, job_id);
            }
            None => self.evict_job(job_id),
        }
        self.archive_queued_rows();
    }

    /// Removes a terminal job without tasks on any machine from memory.
    fn evict_job(&mut self, job_id: &JobId) {
        self.queue.release_reservation(job_id);
        self.dependencies.remove(job_id);
        if let Some(job) = self.jobs.remove(job_id) {
            self.outbox.push(Effect::JobEvicted(job.status()));
        }
    }
}
