//! Reads of jobs' records on behalf of users, with a concurrency limit and timeouts.

use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::coordination::controller::concurrency_limit::ConcurrencyLimit;
use crate::coordination::controller::events::{InternalEvent, JobLookup, RecordRead};
use crate::coordination::controller::{POLL_TIMEOUT, REQUEST_TIMEOUT};
use crate::coordination::leader::effects::UncheckedSubmission;
use crate::coordination::recovery::job_reads::{self, FAILOVER_CLASS};
use crate::protocol::jobs::{JobId, JobState, JobStatus};
use crate::storage::kv::{KvClient, KvError, RequestClass};

/// Maximum number of dependencies' records that are read for one answer. If more are needed, the
/// user is told to retry.
const MAX_DEPENDENCIES_READ: usize = 64;

/// Reads for users are accepted as far as they can be served in this time, half of that for which
/// their users wait: what is queued beyond would be read too late.
const LOOKUP_QUEUE_TIME: Duration = POLL_TIMEOUT.checked_div(2).expect("not zero");
/// Lower bound on the concurrent reads for users.
const MIN_LOOKUPS: usize = 4;
/// While this controller reads its snapshot, as many reads for users are in flight at a time as reads
/// of the snapshot, divided by this: the others would only make the failover longer.
const SNAPSHOT_READS_PER_LOOKUP: usize = 4;

/// In which situation a record is read for a user.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LookupSituation {
    /// No snapshot is being read.
    Ordinary,
    /// This controller is the new leader and reads its snapshot.
    BesideSnapshot,
}

impl LookupSituation {
    fn request_class(self) -> RequestClass {
        match self {
            LookupSituation::Ordinary => RequestClass::Completion,
            LookupSituation::BesideSnapshot => FAILOVER_CLASS,
        }
    }
}

/// Reads records in spawned tasks, which send the results as [`InternalEvent`]s.
pub(super) struct RecordReads {
    kv: KvClient,
    events: mpsc::Sender<InternalEvent>,
    limit: ConcurrencyLimit,
}

impl RecordReads {
    /// Allows `limit` concurrent reads.
    pub(super) fn new(kv: KvClient, events: mpsc::Sender<InternalEvent>, limit: usize) -> Self {
        RecordReads { kv, events, limit: ConcurrencyLimit::new(limit) }
    }

    /// Reserves one read and returns true, unless the limit is reached. A reserved read is
    /// started by [`Self::look_up`] or [`Self::read_dependencies`].
    #[must_use]
    pub(super) fn try_acquire(&mut self, situation: LookupSituation) -> bool {
        let limit = match situation {
            LookupSituation::Ordinary => self.kv.reads_served_within(LOOKUP_QUEUE_TIME).max(MIN_LOOKUPS),
            LookupSituation::BesideSnapshot => self.kv.concurrent_reads() / SNAPSHOT_READS_PER_LOOKUP,
        };
        self.limit.try_acquire_within(limit)
    }

    /// Records that a read has ended.
    pub(super) fn release(&mut self) {
        self.limit.release();
    }

    /// Returns the number of reads in flight.
    #[cfg(test)]
    pub(super) fn in_flight(&self) -> usize {
        self.limit.in_flight()
    }

    /// Starts a reserved read of one job's record.
    pub(super) fn look_up(&self, lookup: JobLookup, situation: LookupSituation) {
        let (kv, events) = (self.kv.clone(), self.events.clone());
        tokio::spawn(async move {
            let started = Instant::now();
            let read = read_status(&kv, situation.request_class(), &lookup).await;
            let _ = events.send(InternalEvent::JobLookedUp { lookup, started, read }).await;
        });
    }

    /// Starts a reserved read of the records of the jobs that a submission depends on.
    pub(super) fn read_dependencies(&self, epoch: u64, submission: Box<UncheckedSubmission>) {
        let (kv, events) = (self.kv.clone(), self.events.clone());
        tokio::spawn(async move {
            let read = job_reads::read_dependency_states(&kv, submission.unread_dependencies.clone());
            let read = tokio::time::timeout(REQUEST_TIMEOUT, read).await;
            let states = read.ok().and_then(Result::ok);
            let _ = events.send(InternalEvent::DependenciesRead { epoch, submission, states }).await;
        });
    }
}

/// Reads a job's state from its record, until the deadline.
async fn read_status(kv: &KvClient, class: RequestClass, lookup: &JobLookup) -> RecordRead {
    let read = tokio::time::timeout_at(lookup.deadline, status_from_records(kv, class, &lookup.job)).await;
    match read {
        Ok(Ok(Some(status))) => RecordRead::Found(status),
        Ok(Ok(None)) => RecordRead::Absent,
        Ok(Err(KvError::Rejected)) => RecordRead::Unreadable,
        _ => RecordRead::Unavailable,
    }
}

/// Determines a job's state from its record and, while the job waits for dependencies, from
/// their records: a job with a cancelled dependency is cancelled too, even if no leader has
/// written that yet. Otherwise the leader would answer "cancelled" and this controller "queued".
async fn status_from_records(
    kv: &KvClient,
    class: RequestClass,
    job: &JobId,
) -> Result<Option<JobStatus>, KvError> {
    let Some(record) = job_reads::read_record(kv, class, job).await? else { return Ok(None) };
    let mut status = record.status();
    if !status.state.is_terminal()
        && job_reads::is_cancelled_by_dependencies(kv, class, &record, MAX_DEPENDENCIES_READ).await?
    {
        status.state = JobState::Cancelled;
    }
    Ok(Some(status))
}
