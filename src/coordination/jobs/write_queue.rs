//! Which job records wait to be written, and which rows wait to be archived.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::numeric::whole_usize;
use crate::protocol::jobs::JobId;
use crate::settings::KvLimits;

/// The part of the store's write rate that is for done tasks.
const PROGRESS_WRITE_SHARE: f64 = 0.4;
/// A record that the store rejects in every size is tried again after this long.
const REJECTED_RETRY_PAUSE: Duration = Duration::from_secs(30);

/// A job whose done tasks are to be written.
#[derive(Debug, Clone)]
pub(crate) struct DirtyJob {
    /// When the first of them was done.
    pub(crate) since: Instant,
    /// The job.
    pub(crate) job: JobId,
}

/// Job records and rows to be written, at the rate that the store allows.
#[derive(Debug)]
pub(crate) struct RecordWriteQueue {
    /// The store's limits as far as is known.
    limits: KvLimits,
    /// The job that has waited longest first.
    dirty: VecDeque<DirtyJob>,
    /// Records that the store rejects in every size, and when to try them again.
    rejected: Vec<(Instant, JobId)>,
    flushed_at: Instant,
    /// Terminal jobs whose rows are to be archived.
    archive: VecDeque<JobId>,
    archives_in_flight: usize,
}

impl RecordWriteQueue {
    /// Nothing waits; `limits`: those of the store now.
    pub(crate) fn new(now: Instant, limits: KvLimits) -> Self {
        RecordWriteQueue {
            limits,
            dirty: VecDeque::new(),
            rejected: Vec::new(),
            flushed_at: now,
            archive: VecDeque::new(),
            archives_in_flight: 0,
        }
    }

    /// The store's limits as far as is known.
    pub(crate) fn limits(&self) -> &KvLimits {
        &self.limits
    }

    /// The store's limits have changed.
    pub(crate) fn set_limits(&mut self, limits: KvLimits) {
        self.limits = limits;
    }

    /// A job has done tasks that are not written.
    pub(crate) fn push_dirty(&mut self, since: Instant, job: JobId) {
        self.dirty.push_back(DirtyJob { since, job });
    }

    /// How many jobs have done tasks that are not written.
    pub(crate) fn dirty_len(&self) -> usize {
        self.dirty.len()
    }

    /// Takes the job that has waited longest, if that is for at least `delay`.
    pub(crate) fn pop_due_dirty(&mut self, now: Instant, delay: Duration) -> Option<DirtyJob> {
        let is_due = self.dirty.front().is_some_and(|dirty| now >= dirty.since + delay);
        if is_due { self.dirty.pop_front() } else { None }
    }

    /// A round of writes begins: how many records it may write.
    pub(crate) fn begin_flush(&mut self, now: Instant) -> usize {
        let passed = now.saturating_duration_since(self.flushed_at).as_secs_f64().min(1.0);
        self.flushed_at = now;
        whole_usize((self.limits.write_rps * PROGRESS_WRITE_SHARE * passed).ceil().max(1.0))
    }

    /// The store rejects a job's record in every size.
    pub(crate) fn push_rejected(&mut self, now: Instant, job: JobId) {
        self.rejected.push((now + REJECTED_RETRY_PAUSE, job));
    }

    /// Takes the rejected records that are to be tried again.
    pub(crate) fn take_due_rejected(&mut self, now: Instant) -> Vec<JobId> {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.rejected).into_iter().partition(|(at, _)| now >= *at);
        self.rejected = later;
        due.into_iter().map(|(_, job)| job).collect()
    }

    /// A terminal job's row is to be archived.
    pub(crate) fn push_archive(&mut self, job: JobId) {
        self.archive.push_back(job);
    }

    /// Takes the next row to be archived, unless so many are in flight. Nobody waits for
    /// rows: with few of their moves in flight the queue to the store stays short for others.
    pub(crate) fn pop_archive(&mut self, max_in_flight: usize) -> Option<JobId> {
        if self.archives_in_flight < max_in_flight { self.archive.pop_front() } else { None }
    }

    /// The move of a row was sent.
    pub(crate) fn archive_started(&mut self) {
        self.archives_in_flight += 1;
    }

    /// The move of a row has ended.
    pub(crate) fn archive_ended(&mut self) {
        self.archives_in_flight = self.archives_in_flight.saturating_sub(1);
    }
}
