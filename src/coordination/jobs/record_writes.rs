//! The leader's writes of job records: done tasks in batches, one write of a record at a time.

use tokio::time::Instant;

use crate::coordination::jobs::record_state::{BlockConversion, RecordWriteInFlight, WriteScope};
use crate::coordination::jobs::record_write::RecordWrite;
use crate::coordination::jobs::write_queue::DirtyJob;
use crate::coordination::leader::Leader;
use crate::coordination::leader::effects::PendingOperation;
use crate::protocol::jobs::{JobId, JobState};
use crate::storage::kv::KvError;
use crate::storage::records::block_size;

/// Fewest tasks in a block: as many as one digit of a bitmap holds.
const MIN_BLOCK_TASKS: u32 = 6;
/// By so many tasks the started high-water mark of a very large job rises at once.
const HIGH_WATER_STEP: u32 = 4096;

impl Leader {
    /// A task has ended well: it is written with the next batch.
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
        // The user waits for the completion: it does not wait for a batch.
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

    /// Writes what has gathered long enough, at the rate that the store leaves for it. What
    /// users wait for, admissions and completions, is never to queue behind done tasks: with
    /// more to write than may be, those gather for longer, and go out in fewer, larger
    /// batches.
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
                // Another write has taken its done tasks along.
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

    /// Has the record say that all the job's tasks may have started, or of a very large one
    /// the next few thousand, before the first of them does.
    pub(crate) fn raise_started_high_water(&mut self, now: Instant, job_id: &JobId) {
        let Some(job) = self.jobs.get_mut(job_id) else { return };
        let tasks = job.spec().task_count;
        let committed = job.stored.started_high_water;
        // That a job has started says that its dependencies are done.
        let may_start = job.is_startable() && !job.waits_for_dependencies();
        if may_start && job.record.started_high_water == committed && committed < tasks {
            job.record.started_high_water = tasks.min(committed.saturating_add(HIGH_WATER_STEP));
            self.write_record(now, job_id);
        }
    }

    /// Writes a job's record, one write at a time: what changes meanwhile is written when this
    /// one has ended.
    pub(crate) fn write_record(&mut self, now: Instant, job_id: &JobId) {
        let now_ms = self.clock.at_ms(now);
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

    /// A write of a job's record has ended.
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
                // Somebody else has written under our epoch, or the record is not the one that
                // was read: going on could not mend it.
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
            self.latency_classes.announce_work();
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
            None => self.write_what_changed_meanwhile(now, job_id),
        }
    }

    /// A cancellation, the last task or a first start may have come while a write was in
    /// flight; done tasks go with the next batch.
    fn write_what_changed_meanwhile(&mut self, now: Instant, job_id: &JobId) {
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

    /// A job's terminal state is committed: its users are answered, and its dependents follow.
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

    /// The store does not take a value of that size any more. The write is made again in a
    /// smaller form, and holds nothing else up.
    fn handle_record_rejected(&mut self, now: Instant, job_id: &JobId, write: &RecordWriteInFlight) {
        let state = &self.config.settings.cluster.kv;
        let (value_kb, announced) = (state.value_kb, block_size(state.strictest().value_kb));
        let Some(job) = self.jobs.get_mut(job_id) else { return };
        if let WriteScope::Record { blocks } = &write.scope {
            job.stored.dirty_blocks.extend(blocks);
        }
        if write.is_terminal() && !matches!(write.scope, WriteScope::WithoutDoneTasks) {
            job.stored.is_too_large = true;
            return self.write_record(now, job_id);
        }
        let by_layout = job.record.layout(value_kb).block_tasks().unwrap_or(job.spec().task_count);
        let present = job.stored.conversion.take().map_or(by_layout, |conversion| conversion.block_tasks);
        let smaller = announced.min(present / 2);
        if write.is_terminal() || smaller < MIN_BLOCK_TASKS {
            tracing::error!(job = %job_id, "job record rejected in every size; retried later");
            job.stored.is_rejected = true;
            self.record_writes.push_rejected(now, job_id.clone());
            return;
        }
        tracing::info!(job = %job_id, tasks = smaller, "job record too large; done tasks move to blocks");
        job.stored.conversion = Some(BlockConversion::new(smaller, job.record.done.clone()));
        self.write_record(now, job_id);
    }
}
