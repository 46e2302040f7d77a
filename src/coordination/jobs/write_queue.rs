//! Queue of the job records that are to be written and of the rows that are to be archived.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::numeric::whole_usize;
use crate::protocol::jobs::JobId;
use crate::settings::KvLimits;

/// Share of the store's write rate that is for done tasks.
const PROGRESS_WRITE_SHARE: f64 = 0.4;
/// Delay before a record that the store rejected in every size is written again.
const REJECTED_RETRY_PAUSE: Duration = Duration::from_secs(30);

/// A job whose done tasks are to be written.
#[derive(Debug, Clone)]
pub(crate) struct DirtyJob {
    /// When the first of its done tasks that are not written yet was done.
    pub(crate) since: Instant,
    /// The job.
    pub(crate) job: JobId,
}

/// Job records and rows to be written, at the rate that the store allows.
#[derive(Debug)]
pub(crate) struct RecordWriteQueue {
    /// The store's limits as far as they are known.
    limits: KvLimits,
    /// Jobs with unwritten done tasks, in the order in which they were queued.
    dirty: VecDeque<DirtyJob>,
    /// Records that the store rejected in every size, each with the time of its next try.
    rejected: Vec<(Instant, JobId)>,
    /// When the last round of writes began.
    flushed_at: Instant,
    /// Terminal jobs whose rows are to be archived.
    archive: VecDeque<JobId>,
    /// Row moves that were sent and have not ended.
    archives_in_flight: usize,
}

impl RecordWriteQueue {
    /// An empty queue under the store's present limits.
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

    /// The store's limits as far as they are known.
    pub(crate) fn limits(&self) -> &KvLimits {
        &self.limits
    }

    /// Replaces the store's limits after a change.
    pub(crate) fn set_limits(&mut self, limits: KvLimits) {
        self.limits = limits;
    }

    /// Adds a job with unwritten done tasks, the first of which was done at `since`.
    pub(crate) fn push_dirty(&mut self, since: Instant, job: JobId) {
        self.dirty.push_back(DirtyJob { since, job });
    }

    /// The number of queued jobs with unwritten done tasks.
    pub(crate) fn dirty_len(&self) -> usize {
        self.dirty.len()
    }

    /// Takes the first queued job if its done tasks have waited for at least `delay`.
    pub(crate) fn pop_due_dirty(&mut self, now: Instant, delay: Duration) -> Option<DirtyJob> {
        let is_due = self.dirty.front().is_some_and(|dirty| now >= dirty.since + delay);
        if is_due { self.dirty.pop_front() } else { None }
    }

    /// Begins a round of writes, and returns the number of records that it may write.
    pub(crate) fn begin_flush(&mut self, now: Instant) -> usize {
        let passed = now.saturating_duration_since(self.flushed_at).as_secs_f64().min(1.0);
        self.flushed_at = now;
        whole_usize((self.limits.write_rps * PROGRESS_WRITE_SHARE * passed).ceil().max(1.0))
    }

    /// Schedules a retry for a job's record that the store rejected in every size.
    pub(crate) fn push_rejected(&mut self, now: Instant, job: JobId) {
        self.rejected.push((now + REJECTED_RETRY_PAUSE, job));
    }

    /// Takes the rejected records that are to be written again now.
    pub(crate) fn take_due_rejected(&mut self, now: Instant) -> Vec<JobId> {
        let (due, later): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.rejected).into_iter().partition(|(at, _)| now >= *at);
        self.rejected = later;
        due.into_iter().map(|(_, job)| job).collect()
    }

    /// Adds a terminal job whose row is to be archived.
    pub(crate) fn push_archive(&mut self, job: JobId) {
        self.archive.push_back(job);
    }

    /// Takes the next row to be archived, unless `max_in_flight` row moves are in flight. No
    /// user waits for a row move: the limit keeps the store's request queue short for requests
    /// that users do wait for.
    pub(crate) fn pop_archive(&mut self, max_in_flight: usize) -> Option<JobId> {
        if self.archives_in_flight < max_in_flight { self.archive.pop_front() } else { None }
    }

    /// Counts a row move that was sent.
    pub(crate) fn archive_started(&mut self) {
        self.archives_in_flight += 1;
    }

    /// Counts a row move that has ended.
    pub(crate) fn archive_ended(&mut self) {
        self.archives_in_flight = self.archives_in_flight.saturating_sub(1);
    }
}
