//! The leader's writes of job records and summary rows: done tasks in batches, one write
//! of a record at a time, rows after records.
//!
//! A value that was allowed when it was written may be too large for limits that hold
//! later. Such a job's done tasks are then copied into smaller blocks under keys of their
//! own, over as many transactions as it takes, and one last transaction makes the record
//! name them: until that one is carried out the old blocks hold, and from then on the new.

use tokio::time::Instant;

use crate::coordination::authority::Violation;
use crate::coordination::authority::answers::Answer;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::record_state::{BlockConversion, RecordWriteInFlight, RowState, WriteScope};
use crate::coordination::jobs::write_queue::DirtyJob;
use crate::coordination::leader::Leader;
use crate::coordination::leader::effects::{Effect, PendingOperation};
use crate::protocol::jobs::{JobId, JobState};
use crate::protocol::kv::{Change, Compare};
use crate::settings::State;
use crate::storage::kv::{KvError, RequestClass};
use crate::storage::records::{
    JobRecord, Layout, archived_row_key, block_size, encode_row, job_record_key, live_row_key,
};

/// Fewest tasks in a block: as many as one digit of a bitmap tells of.
const MIN_BLOCK_TASKS: u32 = 6;

/// One write of a job's record, to be committed.
struct RecordWrite {
    class: RequestClass,
    conditions: Vec<Compare>,
    changes: Vec<Change>,
    in_flight: RecordWriteInFlight,
}

fn put(key: String, value: ciborium::value::Value) -> Change {
    Change::Put { key, value, lease: None }
}

/// The record as it should be once the write is carried out.
fn target_record(job: &mut Job, now_ms: u64) -> JobRecord {
    let settled = job.record.all_tasks_done() && !job.cancellation.is_requested;
    if settled {
        job.record.completed_ms.get_or_insert(now_ms);
    }
    JobRecord { cancelled: job.cancellation.is_requested, completed: settled, ..job.record.clone() }
}

/// A record with as many of its changed blocks as one transaction takes.
fn record_with_blocks_write(job: &mut Job, record: JobRecord, state: &State) -> RecordWrite {
    let value_kb = state.value_kb;
    let layout = record.layout(value_kb);
    let id = record.spec.id.clone();
    let most = state.within_both().txn_ops.saturating_sub(1).max(1);
    let blocks: Vec<u32> = job.stored.dirty_blocks.iter().copied().take(most).collect();
    job.stored.dirty_blocks.retain(|block| !blocks.contains(block));
    let mut conditions = vec![Compare { key: job_record_key(&id), version: job.stored.version }];
    let mut changes = vec![put(job_record_key(&id), record.encode(value_kb))];
    for &block in &blocks {
        let key = layout.block_key(&id, block);
        let version = job.stored.block_versions.get(block as usize).copied().unwrap_or(0);
        conditions.push(Compare { key: key.clone(), version });
        changes.push(put(key, record.encode_block(block, value_kb)));
    }
    let class = match (record.cancelled, record.completed) {
        // What follows from another's cancellation is told already: users wait for the
        // write of the one, not for those of the others.
        (true, _) if job.cancellation.by_dependency => RequestClass::Completion,
        (true, _) => RequestClass::Cancellation,
        (_, true) => RequestClass::Completion,
        // Its tasks wait for nothing but this.
        _ if record.started_high_water > job.stored.started_high_water => RequestClass::Completion,
        _ => RequestClass::Progress,
    };
    let done = if job.stored.dirty_blocks.is_empty() || record.completed {
        record.done.clone()
    } else {
        let mut done = job.stored.done.clone();
        for &block in &blocks {
            let (start, end) = layout.range(block);
            done.insert_range(&record.done, start, end);
        }
        done
    };
    let written = RecordWriteInFlight::new(&record, done, WriteScope::Record { blocks });
    RecordWrite { class, conditions, changes, in_flight: written }
}

/// A final record without its done tasks, which nobody needs any more.
fn terminal_write(job: &Job, record: JobRecord) -> RecordWrite {
    let key = job_record_key(&record.spec.id);
    let conditions = vec![Compare { key: key.clone(), version: job.stored.version }];
    let changes = vec![put(key, record.encode_without_done_tasks())];
    let done = record.done.clone();
    let written = RecordWriteInFlight::new(&record, done, WriteScope::WithoutDoneTasks);
    RecordWrite { class: RequestClass::Cancellation, conditions, changes, in_flight: written }
}

/// The next blocks of a conversion, or the record that names them once all are written.
/// Each part holds only while the record is the one that was read: a part that is carried
/// out late, after the last one, fails.
fn block_conversion_write(
    job: &Job,
    conversion: &BlockConversion,
    mut record: JobRecord,
    state: &State,
) -> RecordWrite {
    let id = record.spec.id.clone();
    record.done = conversion.done.clone();
    record.block_tasks = Some(conversion.block_tasks);
    let layout = Layout::NamedBlocks(conversion.block_tasks);
    let conditions = vec![Compare { key: job_record_key(&id), version: job.stored.version }];
    let from = conversion.versions.len() as u32;
    let most = state.within_both().txn_ops as u32;
    let until = layout.blocks(record.spec.tasks).min(from.saturating_add(most));
    let done = conversion.done.clone();
    if from == until {
        let changes = vec![put(job_record_key(&id), record.encode(state.value_kb))];
        let written = RecordWriteInFlight::new(&record, done, WriteScope::SwitchLayout);
        return RecordWrite { class: RequestClass::Progress, conditions, changes, in_flight: written };
    }
    let block = |n| put(layout.block_key(&id, n), record.encode_block(n, state.value_kb));
    let changes = (from..until).map(block).collect();
    let written = RecordWriteInFlight::new(&record, done, WriteScope::NewBlocks { count: until - from });
    RecordWrite { class: RequestClass::Progress, conditions, changes, in_flight: written }
}

impl Leader {
    /// A task has ended well: noted, and written with the next batch.
    pub(crate) fn mark_task_done(&mut self, now: Instant, job: &JobId, task: u32) {
        let value_kb = self.config.settings.cluster.state.value_kb;
        let Some(j) = self.jobs.get_mut(job) else { return };
        if j.record.terminal_state().is_some() || j.is_service() || !j.record.done.insert(task) {
            return;
        }
        j.tasks.requeued.remove(&task);
        j.failures.machines.clear();
        j.failures.backoff_until = None;
        if let Some(size) = j.record.layout(value_kb).block_tasks() {
            j.stored.dirty_blocks.insert(task / size);
        }
        self.mark_dirty(now, job);
        // A settle is what the user waits for; it does not wait for a batch.
        if self.jobs.get(job).is_some_and(|j| j.record.all_tasks_done()) {
            self.write_record(now, job);
        }
    }

    fn mark_dirty(&mut self, now: Instant, job: &JobId) {
        let Some(j) = self.jobs.get_mut(job) else { return };
        if j.stored.dirty_since.is_none() {
            j.stored.dirty_since = Some(now);
            self.record_writes.push_dirty(now, job.clone());
        }
    }

    /// Writes what has gathered long enough, at the rate that the store leaves for it. What
    /// users wait for, admissions and completions, is never to queue behind done tasks: with
    /// more to write than may be, those gather for longer, and go out in fewer, larger
    /// batches.
    pub(crate) fn flush_dirty_records(&mut self, now: Instant) {
        let max_writes = self.record_writes.begin_flush(now);
        let delay = self.config.tuning.batch;
        let mut writes = 0;
        for _ in 0..self.record_writes.dirty_len() {
            if writes >= max_writes {
                break;
            }
            let Some(DirtyJob { since, job }) = self.record_writes.pop_due_dirty(now, delay) else { break };
            // Another write may have taken its done tasks along.
            let Some(entry) = self.jobs.get(&job).filter(|entry| entry.stored.dirty_since == Some(since))
            else {
                continue;
            };
            if entry.stored.write_in_flight.is_some() {
                self.record_writes.push_dirty(since, job);
                continue;
            }
            writes += 1;
            self.write_record(now, &job);
        }
        self.retry_rejected_records(now);
        self.archive_queued_rows();
    }

    fn retry_rejected_records(&mut self, now: Instant) {
        for job in self.record_writes.take_due_rejected(now) {
            if let Some(entry) = self.jobs.get_mut(&job) {
                entry.stored.is_rejected = false;
            }
            self.write_record(now, &job);
        }
    }

    /// Has the record say that all the job's tasks may have begun, or of a very
    /// large one the next few thousand, before the first of them starts.
    pub(crate) fn raise_started_high_water(&mut self, now: Instant, job: &JobId) {
        const AT_ONCE: u32 = 4096;
        let Some(j) = self.jobs.get_mut(job) else { return };
        // That one has begun says that its needs are done.
        if j.is_startable()
            && !j.waits_for_dependencies()
            && j.record.started_high_water == j.stored.started_high_water
            && j.stored.started_high_water < j.spec().tasks
        {
            j.record.started_high_water =
                j.spec().tasks.min(j.stored.started_high_water.saturating_add(AT_ONCE));
            self.write_record(now, job);
        }
    }

    /// Writes a job's record, one write at a time: what changes meanwhile is
    /// written when this one has ended.
    pub(crate) fn write_record(&mut self, now: Instant, job: &JobId) {
        let now_ms = self.clock.at_ms(now);
        let config = self.config.clone();
        let state = &config.settings.cluster.state;
        let Some(j) = self.jobs.get_mut(job) else { return };
        if j.stored.write_in_flight.is_some() || j.stored.is_rejected || j.record.terminal_state().is_some() {
            return;
        }
        let record = target_record(j, now_ms);
        let is_final = record.terminal_state().is_some();
        let conversion = j.stored.conversion.take();
        let write = match &conversion {
            Some(_) if is_final => terminal_write(j, record),
            Some(conversion) => block_conversion_write(j, conversion, record, state),
            None if is_final && j.stored.is_too_large => terminal_write(j, record),
            None => record_with_blocks_write(j, record, state),
        };
        j.stored.conversion = conversion.filter(|_| !is_final);
        j.stored.dirty_since = None;
        j.stored.write_in_flight = Some(write.in_flight);
        self.commit(
            PendingOperation::WriteJobRecord(job.clone()),
            write.class,
            write.conditions,
            write.changes,
        );
    }

    /// A write of a job's record has ended.
    pub(crate) fn handle_record_written(&mut self, now: Instant, job: JobId, result: Result<u64, KvError>) {
        let Some(j) = self.jobs.get_mut(&job) else { return };
        let Some(written) = j.stored.write_in_flight.take() else { return };
        match result {
            Ok(version) => self.apply_committed_write(now, &job, written, version),
            Err(KvError::Fenced) => {}
            Err(KvError::Rejected) => self.handle_record_rejected(now, &job, written),
            Err(error) => {
                // Somebody else wrote under our epoch: it cannot be mended by going on.
                tracing::error!(%job, ?error, "a job's record cannot be written; giving up the epoch");
                self.term.fence();
            }
        }
    }

    fn apply_committed_write(
        &mut self,
        now: Instant,
        job: &JobId,
        written: RecordWriteInFlight,
        version: u64,
    ) {
        let value_kb = self.config.settings.cluster.state.value_kb;
        let Some(j) = self.jobs.get_mut(job) else { return };
        if let WriteScope::NewBlocks { count } = written.scope {
            if let Some(conversion) = &mut j.stored.conversion {
                conversion.versions.extend((0..count).map(|_| version));
            }
            return self.write_record(now, job);
        }
        j.stored.version = version;
        j.stored.done = written.done;
        if written.started_high_water > j.stored.started_high_water {
            self.latency_classes.announce_work();
        }
        j.stored.started_high_water = written.started_high_water;
        j.record.cancelled = written.cancelled;
        j.cancellation.committed_at = written.cancelled.then_some(now);
        j.record.completed = written.completed;
        match written.scope {
            WriteScope::Record { blocks } => {
                for block in blocks {
                    if let Some(known) = j.stored.block_versions.get_mut(block as usize) {
                        *known = version;
                    }
                }
            }
            WriteScope::SwitchLayout => {
                if let Some(conversion) = j.stored.conversion.take() {
                    j.adopt_blocks(conversion, value_kb);
                    tracing::info!(%job, blocks = j.stored.block_versions.len(), "done tasks moved to smaller blocks");
                }
            }
            WriteScope::WithoutDoneTasks | WriteScope::NewBlocks { .. } => {}
        }
        let more = j.record.done.len() > j.stored.done.len();
        match j.record.terminal_state() {
            Some(standing) => self.handle_job_terminated(now, job, standing),
            None => {
                // A cancellation, the last task or a first start came while this
                // was written.
                if j.cancellation.is_requested
                    || j.record.all_tasks_done()
                    || j.record.started_high_water > j.stored.started_high_water
                {
                    self.write_record(now, job);
                } else if more {
                    self.mark_dirty(now, job);
                }
            }
        }
    }

    /// A job's final state is committed: it is told, and those that need the job follow.
    fn handle_job_terminated(&mut self, now: Instant, job: &JobId, standing: JobState) {
        tracing::debug!(epoch = self.term.epoch(), %job, standing = standing.as_str(), "job is over");
        self.answer_cancel_waiters(job);
        match standing {
            JobState::Done => self.mark_dependents_ready(now, job),
            _ => self.cancel_dependents(now, job),
        }
        self.stop_remaining_tasks(now, job);
        self.try_archive(job);
    }

    /// Tells a job's final state to those who have asked to cancel it.
    pub(crate) fn answer_cancel_waiters(&mut self, job: &JobId) {
        let Some(j) = self.jobs.get_mut(job) else { return };
        let waiting = std::mem::take(&mut j.cancellation.waiters);
        let status = j.status();
        for to in waiting {
            self.reply(to, Answer::terminal_state(status.clone()));
        }
    }

    /// The service takes no value of that size any more. The write is not lost: it is made
    /// again in a smaller form, and holds nothing else up.
    fn handle_record_rejected(&mut self, now: Instant, job: &JobId, written: RecordWriteInFlight) {
        let announced = block_size(self.config.settings.cluster.state.within_both().value_kb);
        let value_kb = self.config.settings.cluster.state.value_kb;
        let Some(j) = self.jobs.get_mut(job) else { return };
        if let WriteScope::Record { blocks } = &written.scope {
            j.stored.dirty_blocks.extend(blocks);
        }
        let is_final = written.cancelled || written.completed;
        if is_final && !matches!(written.scope, WriteScope::WithoutDoneTasks) {
            j.stored.is_too_large = true;
            return self.write_record(now, job);
        }
        let whole = j.record.layout(value_kb).block_tasks().unwrap_or(j.spec().tasks);
        let present = j.stored.conversion.take().map_or(whole, |conversion| conversion.block_tasks);
        let smaller = announced.min(present / 2);
        if is_final || smaller < MIN_BLOCK_TASKS {
            tracing::error!(%job, "the state service refuses a job's record in every size; trying again later");
            j.stored.is_rejected = true;
            self.record_writes.push_rejected(now, job.clone());
            return;
        }
        tracing::info!(%job, tasks = smaller, "a job's record is too large now; its done tasks move to blocks");
        j.stored.conversion = Some(BlockConversion::new(smaller, j.record.done.clone()));
        self.write_record(now, job);
    }

    /// Once a job is over and nothing of it is on a machine, its row follows
    /// the record. Until then it stays among the live, so that a new leader
    /// knows what its tasks take.
    pub(crate) fn try_archive(&mut self, job: &JobId) {
        let Some(j) = self.jobs.get_mut(job) else { return };
        if j.record.terminal_state().is_none() || j.tasks.slot_count > 0 || j.stored.write_in_flight.is_some()
        {
            return;
        }
        if j.stored.row == RowState::Archived {
            return self.evict_job(job);
        }
        if j.stored.row == RowState::Archiving {
            return;
        }
        // While some machine has not been heard, a task may still be there.
        if j.tasks.unreconciled_below > 0 && !self.failover.is_complete() {
            return;
        }
        j.stored.row = RowState::Archiving;
        self.record_writes.push_archive(job.clone());
        self.archive_queued_rows();
    }

    /// Archives rows as long as few of their moves are in flight.
    fn archive_queued_rows(&mut self) {
        let max_in_flight = self.config.settings.cluster.state.within_both().txn_ops;
        while let Some(job) = self.record_writes.pop_archive(max_in_flight) {
            self.archive_row(&job);
        }
    }

    fn archive_row(&mut self, job: &JobId) {
        let Some(j) = self.jobs.get_mut(job) else { return };
        let Some(standing) = j.record.terminal_state() else { return };
        if j.tasks.slot_count > 0 {
            // A machine has shown one more task of it since: once that is gone.
            j.stored.row = RowState::Live;
            return;
        }
        self.record_writes.archive_started();
        let conditions = vec![
            Compare { key: live_row_key(job), version: j.stored.live_row_version },
            Compare { key: archived_row_key(job), version: 0 },
        ];
        let changes =
            vec![put(archived_row_key(job), encode_row(standing)), Change::Delete { key: live_row_key(job) }];
        self.commit(PendingOperation::ArchiveRow(job.clone()), RequestClass::Background, conditions, changes);
    }

    /// A row has followed its record: the job leaves memory.
    pub(crate) fn handle_row_archived(&mut self, job: JobId, result: Result<u64, KvError>) {
        self.record_writes.archive_ended();
        match result {
            Ok(_) => {}
            Err(KvError::Fenced) => return,
            Err(error) => {
                tracing::error!(%job, ?error, "a row differs from what was read; `audit` tells more")
            }
        }
        match self.jobs.get_mut(&job).filter(|j| j.tasks.slot_count > 0) {
            // A machine has shown a task of it since. Out of memory, nobody would stop it.
            Some(j) => {
                j.stored.row = RowState::Archived;
                self.record_violation(Violation::JobEvictedWithTasks, &job);
            }
            None => self.evict_job(&job),
        }
        self.archive_queued_rows();
    }

    /// A job that is over, with nothing on any machine, leaves memory.
    fn evict_job(&mut self, job: &JobId) {
        self.queue.release_reservation(job);
        self.dependencies.remove(job);
        if let Some(j) = self.jobs.remove(job) {
            self.outbox.push(Effect::JobEvicted(j.status()));
        }
    }
}
