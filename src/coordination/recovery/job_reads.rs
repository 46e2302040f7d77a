//! Reads of single jobs' records and blocks, and of the states of jobs on which others depend.

use ciborium::value::Value;
use tokio::task::JoinSet;

use crate::coordination::jobs::dependency_state::{DependencyState, DependencyStates};
use crate::coordination::recovery::snapshot_progress::{SnapshotObserver, SnapshotProgress};
use crate::maps::HashSet;
use crate::protocol::jobs::{JobId, JobState};
use crate::protocol::kv::Entry;
use crate::storage::kv::{KvClient, KvError, RequestClass};
use crate::storage::records::{JobRecord, RecordError, job_progress_key, job_record_key};

/// The class of all reads of a failover. Users' reads at a leader that reads its snapshot have it too,
/// so that neither kind is starved by the other.
pub const FAILOVER_CLASS: RequestClass = RequestClass::Admission;

/// An unfinished job as it is stored.
#[derive(Debug)]
pub struct JobSnapshot {
    /// Its record, with the done tasks of all its blocks.
    pub record: JobRecord,
    /// The version of the record's key.
    pub record_version: u64,
    /// The version of the key of the job's progress; `None` if the record holds the progress.
    pub progress_version: Option<u64>,
    /// The version of the live row's key; never 0, because only jobs with a live row are read.
    pub live_row_version: u64,
    /// The versions of the blocks of done tasks, by block number; 0 for a block that was
    /// never written.
    pub block_versions: Vec<u64>,
}

/// Runs reads concurrently, as many at a time as the request rate can serve without a long queue.
/// The first error ends all of them.
pub(super) async fn read_concurrently<T, R>(
    kv: &KvClient,
    reads: impl Iterator<Item = R>,
) -> Result<Vec<T>, KvError>
where
    T: Send + 'static,
    R: Future<Output = Result<T, KvError>> + Send + 'static,
{
    let limit = kv.concurrent_reads();
    let mut in_flight = JoinSet::new();
    let mut results = Vec::new();
    for read in reads {
        if in_flight.len() >= limit {
            collect_next(&mut in_flight, &mut results).await?;
        }
        in_flight.spawn(read);
    }
    while !in_flight.is_empty() {
        collect_next(&mut in_flight, &mut results).await?;
    }
    Ok(results)
}

/// Waits for the next read to end and adds its result.
async fn collect_next<T: 'static>(
    in_flight: &mut JoinSet<Result<T, KvError>>,
    results: &mut Vec<T>,
) -> Result<(), KvError> {
    if let Some(read) = in_flight.join_next().await {
        results.push(read.map_err(|_| KvError::Unavailable)??);
    }
    Ok(())
}

/// Reads the states of the dependencies of these jobs that are not among the jobs themselves.
pub(super) async fn read_dependencies_of(
    kv: &KvClient,
    jobs: &[JobSnapshot],
    observer: &impl SnapshotObserver,
) -> Result<DependencyStates, KvError> {
    let own_ids: HashSet<&JobId> = jobs.iter().map(|job| &job.record.spec.id).collect();
    let waiting = jobs.iter().map(|job| &job.record).filter(|record| record.may_wait_for_dependencies());
    let dependencies: HashSet<JobId> = waiting
        .flat_map(|record| &record.spec.dependencies)
        .filter(|dependency| !own_ids.contains(dependency))
        .cloned()
        .collect();
    read_observed_dependencies(kv, dependencies.into_iter().collect(), observer).await
}

/// Reads the states of jobs on which others depend. An unusable record gives
/// [`DependencyState::Unreadable`] and does not keep the other states from being read.
///
/// # Errors
///
/// If the store cannot be read.
pub async fn read_dependency_states(kv: &KvClient, jobs: Vec<JobId>) -> Result<DependencyStates, KvError> {
    read_observed_dependencies(kv, jobs, &()).await
}

async fn read_observed_dependencies(
    kv: &KvClient,
    jobs: Vec<JobId>,
    observer: &impl SnapshotObserver,
) -> Result<DependencyStates, KvError> {
    let reads = jobs.into_iter().map(|job| {
        let (kv, observer) = (kv.clone(), observer.clone());
        async move {
            let state = match read_record(&kv, FAILOVER_CLASS, &job).await {
                Ok(record) => DependencyState::of(record.as_ref()),
                Err(KvError::Rejected | KvError::Malformed) => DependencyState::Unreadable,
                Err(error) => return Err(error),
            };
            observer.observe(SnapshotProgress::DependencyRead(job.clone(), state)).await;
            Ok((job, state))
        }
    });
    Ok(read_concurrently(kv, reads).await?.into_iter().collect())
}

/// Reads a job's record; `None` if the job was never admitted.
///
/// # Errors
///
/// [`KvError::Rejected`] if the record cannot be used: then nothing may be concluded from
/// it. It is only logged at debug level here, because the leader logs each such record once.
/// Any other error if the store cannot be read.
pub async fn read_record(
    kv: &KvClient,
    class: RequestClass,
    job: &JobId,
) -> Result<Option<JobRecord>, KvError> {
    let Some(entry) = kv.get(class, &job_record_key(job)).await? else { return Ok(None) };
    decode_record(job, &entry.value).map(Some).map_err(|reason| {
        tracing::debug!(%job, reason = reason.to_string(), "job record unreadable");
        KvError::Rejected
    })
}

/// Decodes a job's record, and checks that it is the record of this job.
fn decode_record(job: &JobId, value: &Value) -> Result<JobRecord, UnusableJob> {
    let record = JobRecord::decode(value)?;
    if record.spec.id != *job {
        return Err(UnusableJob::OtherJob(record.spec.id));
    }
    Ok(record)
}

/// Whether a job that has not started is cancelled because a job that it depends on, directly
/// or indirectly, is cancelled. Only records are used, no state in memory.
///
/// # Errors
///
/// [`KvError::Unavailable`] if more than `max_reads` records would have to be read, and the
/// errors of [`read_record`].
pub async fn is_cancelled_by_dependencies(
    kv: &KvClient,
    class: RequestClass,
    record: &JobRecord,
    max_reads: usize,
) -> Result<bool, KvError> {
    let mut seen: HashSet<JobId> = HashSet::default();
    let mut unread: Vec<JobId> =
        if record.may_wait_for_dependencies() { record.spec.dependencies.clone() } else { Vec::new() };
    while let Some(dependency) = unread.pop() {
        if !seen.insert(dependency.clone()) {
            continue;
        }
        if seen.len() > max_reads {
            return Err(KvError::Unavailable);
        }
        let Some(record) = read_record(kv, class, &dependency).await? else { continue };
        if record.terminal_state() == Some(JobState::Cancelled) {
            return Ok(true);
        }
        if record.may_wait_for_dependencies() {
            unread.extend(record.spec.dependencies);
        }
    }
    Ok(false)
}

/// Why a job with a live row cannot be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum UnusableJob {
    /// There is no record beside the live row.
    #[error("a row without a record")]
    NoRecord,
    /// The record under the job's key belongs to this other job.
    #[error("a record of another job, {0}")]
    OtherJob(JobId),
    /// The record cannot be decoded.
    #[error(transparent)]
    Record(#[from] RecordError),
    /// The store's responses about this key cannot be decoded.
    #[error("malformed responses about {0}")]
    Malformed(String),
    /// A block of its done tasks cannot be decoded.
    #[error("block {block} of its done tasks: {source}")]
    DoneBlock {
        /// The number of the block.
        block: u32,
        /// Why the block cannot be decoded.
        source: RecordError,
    },
}

/// An unfinished job as read, or why it cannot be used.
pub(super) type JobReadOutcome = Result<Box<JobSnapshot>, UnusableJob>;

/// Reads one unfinished job: its record and the blocks of its done tasks.
pub(super) async fn read_job(
    kv: &KvClient,
    job: &JobId,
    live_row_version: u64,
    value_kb: f64,
) -> Result<JobReadOutcome, KvError> {
    let progress = kv.get(FAILOVER_CLASS, &job_progress_key(job)).await?;
    match read_job_record(kv, job, live_row_version, progress.as_ref()).await? {
        Ok(read) => read_blocks(kv, read, value_kb).await,
        unusable => Ok(unusable),
    }
}

/// Reads the record of an unfinished job, without the blocks of its done tasks. `progress`: its
/// progress, if that is kept apart from the record.
pub(super) async fn read_job_record(
    kv: &KvClient,
    job: &JobId,
    live_row_version: u64,
    progress: Option<&Entry>,
) -> Result<JobReadOutcome, KvError> {
    let key = job_record_key(job);
    let entry = match kv.get(FAILOVER_CLASS, &key).await {
        Ok(Some(entry)) => entry,
        Ok(None) => return Ok(Err(UnusableJob::NoRecord)),
        Err(KvError::Malformed) => return Ok(Err(UnusableJob::Malformed(key))),
        Err(error) => return Err(error),
    };
    Ok(decode_record_with_progress(job, &entry.value, progress).map(|record| {
        Box::new(JobSnapshot {
            record,
            record_version: entry.version,
            progress_version: progress.map(|entry| entry.version),
            live_row_version,
            block_versions: Vec::new(),
        })
    }))
}

/// Decodes a job's record, and applies its progress if that is kept apart and the job is live.
fn decode_record_with_progress(
    job: &JobId,
    record: &Value,
    progress: Option<&Entry>,
) -> Result<JobRecord, UnusableJob> {
    let mut record = decode_record(job, record)?;
    if let Some(progress) = progress.filter(|_| record.terminal_state().is_none()) {
        record.apply_progress(&progress.value)?;
    }
    Ok(record)
}

/// Adds the blocks of its done tasks to a job whose record has been read.
pub(super) async fn read_blocks(
    kv: &KvClient,
    mut job: Box<JobSnapshot>,
    value_kb: f64,
) -> Result<JobReadOutcome, KvError> {
    let layout = job.record.layout(value_kb);
    for block in 0..job.record.block_count(value_kb) {
        let key = layout.block_key(&job.record.spec.id, block);
        let stored = match kv.get(FAILOVER_CLASS, &key).await {
            Err(KvError::Malformed) => return Ok(Err(UnusableJob::Malformed(key))),
            read => read?,
        };
        job.block_versions.push(stored.as_ref().map_or(0, |entry| entry.version));
        if let Some(Err(source)) = stored.map(|entry| job.record.add_block(&entry.value)) {
            // It is unknown which of its tasks are done, and a done task must not start
            // again: the job as a whole cannot be used.
            return Ok(Err(UnusableJob::DoneBlock { block, source }));
        }
    }
    Ok(Ok(job))
}
