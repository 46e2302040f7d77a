//! The leader's writes of job records. Done tasks are written in batches; each record has at
//! most one write in flight.

use tokio::time::Instant;

use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::record_state::{BlockConversion, RecordWriteInFlight, WriteScope};
use crate::coordination::jobs::record_write::RecordWrite;
use crate::coordination::jobs::write_queue::DirtyJob;
use crate::coordination::leader::Leader;
use crate::coordination::leader::effects::PendingOperation;
use crate::protocol::jobs::{JobId, JobState};
use crate::settings::KvSettings;
use crate::storage::kv::KvError;
use crate::storage::records::block_size;

/// Minimum number of tasks in a block: the tasks that one character of a bitmap encodes.
const MIN_BLOCK_TASKS: u32 = 6;
/// Number of tasks by which one write raises the started high-water mark of a very large job.
const HIGH_WATER_STEP: u32 = 4096;

impl Leader {
    /// Marks a task as done; the next batch writes it.
    pub(crate) fn mark_task_done(&mut self, now: Instant, job_id: &JobId, task: u32) {
        let value_kb = self.config.settings.cluster.kv.value_kb;
        let Some(job) = self.jobs.get_mut(job_id) else { return };
        if job.record.terminal_state().is_some() || job.is_service() || !job.record.done.insert(task) {
            return;
        }
        job.tasks.requeued.remove(&task);
        job.failures.machines.clear();
        job.failures.backoff_until = None;
        if let Some(size) = job.record.layout(value_kb).block_tasks() {
            job.stored.dirty_blocks.insert(task / size);
        }
        let completes = job.record.all_tasks_done();
        self.mark_dirty(now, job_id);
        // The user waits for the completion, so it is written without waiting for a batch.
        if completes {
            self.write_record(now, job_id);
        }
    }

    fn mark_dirty(&mut self, now: Instant, job_id: &JobId) {
        let Some(job) = self.jobs.get_mut(job_id) else { return };
        if job.stored.dirty_since.is_none() {
            job.stored.dirty_since = Some(now);
            self.record_writes.push_dirty(now, job_id.clone());
        }
    }

    /// Writes the records whose done tasks have waited for the batch delay, using at most the
    /// share of the store's write rate that is reserved for done tasks. Admissions and
    /// completions, for which users wait, must never queue behind done tasks: under load the
    /// done tasks wait longer and are written in fewer, larger batches. Also retries rejected
    /// records and archives queued rows.
    pub(crate) fn flush_dirty_records(&mut self, now: Instant) {
        let max_writes = self.record_writes.begin_flush(now);
        let delay = self.config.tuning.done_task_batch_delay;
        let mut writes = 0;
        for _ in 0..self.record_writes.dirty_len() {
            if writes >= max_writes {
                break;
            }
            let Some(DirtyJob { since, job: job_id }) = self.record_writes.pop_due_dirty(now, delay) else {
                break;
            };
            let Some(job) = self.jobs.get(&job_id) else { continue };
            if job.stored.dirty_since != Some(since) {
                // Another write has included its done tasks.
                continue;
            }
            if job.stored.write_in_flight.is_some() {
                self.record_writes.push_dirty(since, job_id);
                continue;
            }
            writes += 1;
            self.write_record(now, &job_id);
        }
        self.retry_rejected_records(now);
        self.archive_queued_rows();
    }

    fn retry_rejected_records(&mut self, now: Instant) {
        for job_id in self.record_writes.take_due_rejected(now) {
            if let Some(job) = self.jobs.get_mut(&job_id) {
                job.stored.is_rejected = false;
            }
            self.write_record(now, &job_id);
        }
    }

    /// Raises the started high-water mark in the record before the first task beyond it
    /// starts: to all tasks of the job, or by [`HIGH_WATER_STEP`] tasks for a very large job.
    pub(crate) fn raise_started_high_water(&mut self, now: Instant, job_id: &JobId) {
        let Some(job) = self.jobs.get_mut(job_id) else { return };
        let tasks = job.spec().task_count;
        let committed = job.stored.started_high_water;
        // A raised mark implies that the job's dependencies are done.
        let may_start = job.is_startable() && !job.waits_for_dependencies();
        if may_start && job.record.started_high_water == committed && committed < tasks {
            job.record.started_high_water = tasks.min(committed.saturating_add(HIGH_WATER_STEP));
            self.write_record(now, job_id);
        }
    }

    /// Writes a job's record, unless the record is terminal, a write of it is in flight, or the
    /// store has rejected it in every size. Changes made during a write are written once that
    /// write has ended.
    pub(crate) fn write_record(&mut self, now: Instant, job_id: &JobId) {
        let now_ms = self.clock.unix_time_ms(now);
        let Some(job) = self.jobs.get_mut(job_id) else { return };
        let is_blocked = job.stored.write_in_flight.is_some() || job.stored.is_rejected;
        if is_blocked || job.record.terminal_state().is_some() {
            return;
        }
        let write = RecordWrite::next(job, now_ms, &self.config.settings.cluster.kv);
        job.stored.dirty_since = None;
        job.stored.write_in_flight = Some(write.in_flight);
        let operation = PendingOperation::WriteJobRecord(job_id.clone());
        self.commit(operation, write.class, write.compares, write.changes);
    }

    /// Handles the outcome of a write of a job's record.
    pub(crate) fn handle_record_written(
        &mut self,
        now: Instant,
        job_id: &JobId,
        result: Result<u64, KvError>,
    ) {
        let Some(job) = self.jobs.get_mut(job_id) else { return };
        let Some(write) = job.stored.write_in_flight.take() else { return };
        match result {
            Ok(version) => self.apply_committed_write(now, job_id, write, version),
            Err(KvError::Fenced) => {}
            Err(KvError::Rejected) => self.handle_record_rejected(now, job_id, &write),
            Err(error) => {
                // Another process has written under this epoch, or the record is not the one
                // that was read. Continuing could not repair either.
                tracing::error!(job = %job_id, ?error, "job record not written; epoch resigned");
                self.term.fence();
            }
        }
    }

    fn apply_committed_write(
        &mut self,
        now: Instant,
        job_id: &JobId,
        write: RecordWriteInFlight,
        version: u64,
    ) {
        let value_kb = self.config.settings.cluster.kv.value_kb;
        let Some(job) = self.jobs.get_mut(job_id) else { return };
        if let WriteScope::NewBlocks { count } = write.scope {
            if let Some(conversion) = &mut job.stored.conversion {
                conversion.versions.extend((0..count).map(|_| version));
            }
            return self.write_record(now, job_id);
        }
        if write.started_high_water > job.stored.started_high_water {
            self.latency_classes.record_new_work();
        }
        job.record.cancelled = write.cancelled;
        job.record.completed = write.completed;
        job.cancellation.committed_at = write.cancelled.then_some(now);
        let conversion = job.stored.apply_commit(write, version);
        if let Some(conversion) = conversion {
            job.adopt_blocks(conversion, value_kb);
            let blocks = job.stored.block_versions.len();
            tracing::info!(job = %job_id, blocks, "done tasks moved to smaller blocks");
        }
        match job.record.terminal_state() {
            Some(state) => self.handle_job_terminated(now, job_id, state),
            None => self.write_pending_changes(now, job_id),
        }
    }

    /// Writes the changes that were made while the last write was in flight: a cancellation, a
    /// completion or a raised started high-water mark at once, other done tasks with the next
    /// batch.
    fn write_pending_changes(&mut self, now: Instant, job_id: &JobId) {
        let Some(job) = self.jobs.get(job_id) else { return };
        let is_urgent = job.cancellation.is_requested
            || job.record.all_tasks_done()
            || job.record.started_high_water > job.stored.started_high_water;
        if is_urgent {
            self.write_record(now, job_id);
        } else if job.record.done.len() > job.stored.done.len() {
            self.mark_dirty(now, job_id);
        }
    }

    /// Handles the commit of a job's terminal state: answers the users who requested a
    /// cancellation, makes its dependents ready or cancels them, stops its remaining tasks, and
    /// archives its row once it may.
    fn handle_job_terminated(&mut self, now: Instant, job_id: &JobId, state: JobState) {
        tracing::debug!(epoch = self.epoch(), job = %job_id, state = state.as_str(), "job terminated");
        self.answer_cancel_waiters(job_id);
        match state {
            JobState::Done => self.mark_dependents_ready(now, job_id),
            _ => self.cancel_dependents(now, job_id),
        }
        self.stop_remaining_tasks(now, job_id);
        self.try_archive(job_id);
    }

    /// Handles a write that the store rejected because it no longer accepts values of that
    /// size: writes the record in a smaller form, or schedules a retry if there is none. Writes
    /// of other records are not delayed.
    fn handle_record_rejected(&mut self, now: Instant, job_id: &JobId, write: &RecordWriteInFlight) {
        let Some(job) = self.jobs.get_mut(job_id) else { return };
        if let WriteScope::Record { blocks } = &write.scope {
            job.stored.dirty_blocks.extend(blocks);
        }
        let kv = &self.config.settings.cluster.kv;
        let has_smaller_form = if write.is_terminal() {
            job.stored.is_too_large = true;
            !matches!(write.scope, WriteScope::Reduced)
        } else {
            make_progress_smaller(job, kv)
        };
        if has_smaller_form {
            return self.write_record(now, job_id);
        }
        tracing::error!(job = %job_id, "job record rejected in every size; retried later");
        job.stored.is_rejected = true;
        self.record_writes.push_rejected(now, job_id.clone());
    }
}

/// Makes what is written of a live job smaller after a rejection: the progress is kept apart from a
/// description that is too large, or the done tasks move to smaller blocks. Returns whether that is
/// possible.
fn make_progress_smaller(job: &mut Job, kv: &KvSettings) -> bool {
    let is_apart = job.stored.progress_version.is_some();
    if !is_apart && job.record.description_exceeds(kv.strictest().value_bytes()) {
        tracing::info!(job = %job.id(), "job record too large; its progress is kept apart");
        job.stored.progress_version = Some(0);
        return true;
    }
    let layout_block_tasks = job.record.layout(kv.value_kb).block_tasks().unwrap_or(job.spec().task_count);
    let current_block_tasks =
        job.stored.conversion.take().map_or(layout_block_tasks, |conversion| conversion.block_tasks);
    let new_block_tasks = block_size(kv.strictest().value_kb).min(current_block_tasks / 2);
    if new_block_tasks < MIN_BLOCK_TASKS {
        return false;
    }
    tracing::info!(job = %job.id(), tasks = new_block_tasks, "job record too large; done tasks move to blocks");
    job.stored.conversion = Some(BlockConversion::new(new_block_tasks, job.record.done.clone()));
    true
}
