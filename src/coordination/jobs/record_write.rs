//! One write of a job's record: which keys it changes, under which conditions.
//!
//! A record or block that was allowed when it was written may be too large for limits that
//! take effect later. The job's done tasks are then copied into smaller blocks under new keys,
//! in as many transactions as needed. One last transaction makes the record name the new
//! blocks: the old blocks are valid until it is committed, and the new ones from then on.
//!
//! If the description alone is too large, the job's progress is written under a key of its own
//! while the job is live. A terminal record that the store rejects is written in its reduced form.

use ciborium::value::Value;

use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::record_state::{BlockConversion, RecordWriteInFlight, WriteScope};
use crate::numeric::count_u32;
use crate::protocol::kv::{Change, Compare};
use crate::settings::KvSettings;
use crate::storage::done_set::DoneSet;
use crate::storage::kv::RequestClass;
use crate::storage::records::{JobRecord, Layout, job_progress_key, job_record_key};

/// A write of a job's record that is to be committed.
pub(crate) struct RecordWrite {
    /// The priority of the request.
    pub(crate) class: RequestClass,
    /// The versions on which it is conditional.
    pub(crate) compares: Vec<Compare>,
    /// The changes to commit.
    pub(crate) changes: Vec<Change>,
    /// The state of the record once the write is committed.
    pub(crate) in_flight: RecordWriteInFlight,
}

/// A change that puts a value without a lease.
pub(crate) fn put(key: String, value: Value) -> Change {
    Change::Put { key, value, lease: None }
}

impl RecordWrite {
    /// The next write of a job's record, in a form that the store accepts.
    pub(crate) fn next(job: &mut Job, now_ms: u64, kv: &KvSettings) -> RecordWrite {
        let record = target_record(job, now_ms);
        let is_terminal = record.terminal_state().is_some();
        let conversion = job.stored.conversion.take();
        let is_reduced = job.stored.is_too_large || job.stored.progress_version.is_some();
        let write = match &conversion {
            Some(conversion) if !is_terminal => RecordWrite::block_conversion(job, conversion, record, kv),
            None if !is_terminal || !is_reduced => RecordWrite::with_blocks(job, &record, kv),
            _ => RecordWrite::reduced(job, &record),
        };
        job.stored.conversion = conversion.filter(|_| !is_terminal);
        write
    }

    /// The record with as many of its changed blocks as one transaction may contain.
    fn with_blocks(job: &mut Job, record: &JobRecord, kv: &KvSettings) -> RecordWrite {
        let value_kb = kv.value_kb;
        let layout = record.layout(value_kb);
        let id = record.spec.id.clone();
        let max_blocks = kv.strictest().txn_ops.saturating_sub(1).max(1);
        let blocks: Vec<u32> = job.stored.dirty_blocks.iter().copied().take(max_blocks).collect();
        job.stored.dirty_blocks.retain(|block| !blocks.contains(block));
        let mut compares = stored_compares(job);
        let mut changes = vec![put_progress(job, record, value_kb)];
        for &block in &blocks {
            let key = layout.block_key(&id, block);
            let version = job.stored.block_versions.get(block as usize).copied().unwrap_or(0);
            compares.push(Compare { key: key.clone(), version });
            changes.push(put(key, record.encode_block(block, value_kb)));
        }
        let class = class_of(job, record);
        let done = done_once_committed(job, record, layout, &blocks);
        let in_flight = RecordWriteInFlight::new(record, done, WriteScope::Record { blocks });
        RecordWrite { class, compares, changes, in_flight }
    }

    /// A terminal record in its reduced form. Progress that is kept apart is deleted with it.
    fn reduced(job: &Job, record: &JobRecord) -> RecordWrite {
        let id = &record.spec.id;
        let mut changes = vec![put(job_record_key(id), record.encode_reduced())];
        if job.stored.progress_version.is_some_and(|version| version > 0) {
            changes.push(Change::Delete { key: job_progress_key(id) });
        }
        let in_flight = RecordWriteInFlight::new(record, record.done.clone(), WriteScope::Reduced);
        let class = RequestClass::Cancellation;
        RecordWrite { class, compares: stored_compares(job), changes, in_flight }
    }

    /// The next blocks of a conversion, or the record that names them once all are written.
    /// Each transaction is conditional on the record's version, so a delayed one that reaches
    /// the store after the record names the blocks fails.
    fn block_conversion(
        job: &Job,
        conversion: &BlockConversion,
        mut record: JobRecord,
        kv: &KvSettings,
    ) -> RecordWrite {
        let id = record.spec.id.clone();
        record.done = conversion.done.clone();
        record.block_tasks = Some(conversion.block_tasks);
        let layout = Layout::NamedBlocks(conversion.block_tasks);
        let first = count_u32(conversion.versions.len());
        let max_blocks = count_u32(kv.strictest().txn_ops);
        let end = layout.blocks(record.spec.task_count).min(first.saturating_add(max_blocks));
        let (scope, changes) = if first == end {
            (WriteScope::SwitchLayout, vec![put_progress(job, &record, kv.value_kb)])
        } else {
            let put_block =
                |block| put(layout.block_key(&id, block), record.encode_block(block, kv.value_kb));
            (WriteScope::NewBlocks { count: end - first }, (first..end).map(put_block).collect())
        };
        let in_flight = RecordWriteInFlight::new(&record, conversion.done.clone(), scope);
        let class = RequestClass::Progress;
        RecordWrite { class, compares: stored_compares(job), changes, in_flight }
    }
}

/// The record as it is to be stored by the next write. Sets the job's completion time if all
/// its tasks are done.
fn target_record(job: &mut Job, now_ms: u64) -> JobRecord {
    let cancelled = job.cancellation.is_requested;
    let completed = job.record.all_tasks_done() && !cancelled;
    if completed {
        job.record.completed_ms.get_or_insert(now_ms);
    }
    JobRecord { cancelled, completed, ..job.record.clone() }
}

/// Writes what has changed in the record: the record, or the progress if it is kept apart.
fn put_progress(job: &Job, record: &JobRecord, value_kb: f64) -> Change {
    match job.stored.progress_version {
        Some(_) => put(job_progress_key(job.id()), record.encode_progress(value_kb)),
        None => put(job_record_key(job.id()), record.encode(value_kb)),
    }
}

/// The versions of the record, and of the progress if it is kept apart, on which a write is
/// conditional.
fn stored_compares(job: &Job) -> Vec<Compare> {
    let record = Compare { key: job_record_key(job.id()), version: job.stored.version };
    let progress =
        job.stored.progress_version.map(|version| Compare { key: job_progress_key(job.id()), version });
    std::iter::once(record).chain(progress).collect()
}

fn class_of(job: &Job, record: &JobRecord) -> RequestClass {
    match (record.cancelled, record.completed) {
        // Users are answered once the cancellation of the dependency is committed, so they do
        // not wait for the writes of its dependents.
        (true, _) if job.cancellation.by_dependency => RequestClass::Completion,
        (true, _) => RequestClass::Cancellation,
        (_, true) => RequestClass::Completion,
        // Tasks beyond the stored high-water mark wait only for this write before they start.
        _ if record.started_high_water > job.stored.started_high_water => RequestClass::Completion,
        _ => RequestClass::Progress,
    }
}

/// The done tasks that the store holds once the record and these blocks are committed.
fn done_once_committed(job: &Job, record: &JobRecord, layout: Layout, blocks: &[u32]) -> DoneSet {
    if job.stored.dirty_blocks.is_empty() || record.completed {
        return record.done.clone();
    }
    let mut done = job.stored.done.clone();
    for &block in blocks {
        let (start, end) = layout.range(block);
        done.insert_range(&record.done, start, end);
    }
    done
}
