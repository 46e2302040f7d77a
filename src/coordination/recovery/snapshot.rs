//! Reads of the key-value store for recovery: the snapshot at failover (all unfinished jobs
//! and the node pools), and afterwards, page by page, rows of terminal jobs and records that
//! could not be read before.

use ciborium::value::Value;
use tokio::task::JoinSet;

use crate::coordination::jobs::dependency_state::{DependencyState, DependencyStates};
use crate::coordination::recovery::reconciler::{self, Finding, JobPage};
use crate::coordination::recovery::recorded_jobs::RecordedJob;
use crate::coordination::recovery::unreadable::UnreadableRecords;
use crate::maps::HashSet;
use crate::protocol::cloud::{MachineType, decode_catalog};
use crate::protocol::jobs::{JobId, JobState};
use crate::storage::kv::{KvClient, KvError, RequestClass};
use crate::storage::records::{
    ARCHIVED_ROWS, CATALOG, JobRecord, LEARNED_STATISTICS, LIVE_ROWS, LearnedStatistics, NODE_POOLS,
    NodePoolRecord, RecordError, job_record_key, live_row_key,
};

/// The class of all reads of a failover. Users' reads at a leader that reads its snapshot have it too,
/// so that neither kind is starved by the other.
pub const FAILOVER_CLASS: RequestClass = RequestClass::Admission;

/// Data that a leader has read from the store: at failover everything that it needs, later
/// the part that was repaired or read again. Each number paired with a value is the version
/// of its key in the store.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// Unfinished jobs: those with a live row.
    pub jobs: Vec<JobSnapshot>,
    /// The states of dependencies of these jobs that are not among the jobs themselves.
    pub dependency_states: DependencyStates,
    /// The node pools' records, each with its version.
    pub node_pools: Vec<(NodePoolRecord, u64)>,
    /// The stored catalog of machine types with its version; `None` if there is none that
    /// can be decoded.
    pub catalog: Option<(Vec<MachineType>, u64)>,
    /// The learned statistics with their version; `None` if there are none.
    pub statistics: Option<(LearnedStatistics, u64)>,
    /// Records that exist and cannot be used.
    pub unreadable: UnreadableRecords,
    /// Keys of records that could not be used earlier and are no longer needed: the node pool's
    /// record, or the job's live row, no longer exists.
    pub deleted_keys: Vec<String>,
}

/// A step of reading the snapshot for a failover.
#[derive(Debug)]
pub enum SnapshotProgress {
    /// The live rows have been read; there are this many unfinished jobs.
    RowsRead {
        /// Number of unfinished jobs.
        jobs: usize,
    },
    /// The record of an unfinished job has been read.
    JobRead(RecordedJob),
    /// The record of a job on which unfinished jobs depend has been read.
    DependencyRead(JobId, DependencyState),
}

/// Learns of the progress of a snapshot that is being read.
pub trait SnapshotObserver: Clone + Send + Sync + 'static {
    /// Called for each step. The reads wait until it returns.
    fn observe(&self, progress: SnapshotProgress) -> impl Future<Output = ()> + Send;
}

/// Ignores the progress.
impl SnapshotObserver for () {
    async fn observe(&self, _progress: SnapshotProgress) {}
}

/// An unfinished job as it is stored.
#[derive(Debug)]
pub struct JobSnapshot {
    /// Its record, with the done tasks of all its blocks.
    pub record: JobRecord,
    /// The version of the record's key.
    pub record_version: u64,
    /// The version of the live row's key; never 0, because only jobs with a live row are read.
    pub live_row_version: u64,
    /// The versions of the blocks of done tasks, by block number; 0 for a block that was
    /// never written.
    pub block_versions: Vec<u64>,
}

impl Snapshot {
    /// Adds a job, or records why it cannot be used.
    fn add_job(&mut self, job: &JobId, outcome: JobReadOutcome) {
        match outcome {
            Ok(snapshot) => self.jobs.push(*snapshot),
            Err(reason) => self.unreadable.add_job(job, reason.to_string()),
        }
    }

    /// Adds a node pool's record, or records why it cannot be decoded.
    fn add_node_pool(&mut self, key: &str, value: &Value, version: u64) {
        match NodePoolRecord::decode(value) {
            Ok(record) => self.node_pools.push((record, version)),
            Err(error) => self.unreadable.add_node_pool(key, error.to_string()),
        }
    }
}

/// Maximum number of archived rows that one round of the reconciler compares with their
/// records, and of unreadable keys that one round reads again.
pub const ROWS_PER_ROUND: usize = 8;

/// The result of one round of the reconciler.
#[derive(Debug)]
pub struct ReconciledPage {
    /// The key after which the next round continues; empty to start again with the first.
    pub next: String,
    /// Jobs that a repair has made live again.
    pub restored: Snapshot,
}

/// Runs one round of the reconciler: compares a page of archived rows, after the key `from`,
/// with their records, and repairs the differences that can be repaired safely.
///
/// # Errors
///
/// If the store cannot be read or a repair is not committed; the round is then to be run
/// again from the same key.
pub async fn reconcile_page(
    kv: &KvClient,
    epoch: u64,
    from: &str,
    value_kb: f64,
) -> Result<ReconciledPage, KvError> {
    let JobPage { jobs, next } = reconciler::page_of_jobs(kv, ARCHIVED_ROWS, from, ROWS_PER_ROUND).await?;
    let mut restored = Snapshot::default();
    for job in &jobs {
        let examined = reconciler::examine(kv, job).await?;
        if let Finding::Suspect(reason) = examined.finding {
            tracing::error!(%job, reason, "inconsistent job not repaired; run `audit` for details");
        }
        if let Some(repair) = examined.repair(epoch) {
            tracing::error!(%job, finding = ?examined.finding, "row differs from its record; repair started");
            let live_row_version = kv.compare_and_swap(repair).await?;
            if examined.finding == Finding::Stranded {
                restored.add_job(job, read_job(kv, job, live_row_version, value_kb).await?);
            }
        }
    }
    restored.dependency_states = read_dependencies_of(kv, &restored.jobs, &()).await?;
    Ok(ReconciledPage { next: next.unwrap_or_default(), restored })
}

/// Reads the keys of unusable records again. The result holds the jobs and node pools that
/// can be read now, and in [`Snapshot::deleted_keys`] the keys that need not be read any more.
///
/// # Errors
///
/// If the store cannot be read.
pub async fn reread_unreadable(kv: &KvClient, keys: Vec<String>, value_kb: f64) -> Result<Snapshot, KvError> {
    let mut reread = Snapshot::default();
    for key in keys {
        if key.starts_with(NODE_POOLS) {
            match kv.get(RequestClass::Background, &key).await? {
                Some(entry) => reread.add_node_pool(&key, &entry.value, entry.version),
                None => reread.deleted_keys.push(key),
            }
        } else if let Some(job) = UnreadableRecords::job_of(&key) {
            match kv.get(RequestClass::Background, &live_row_key(&job)).await? {
                Some(row) => reread.add_job(&job, read_job(kv, &job, row.version, value_kb).await?),
                None => reread.deleted_keys.push(key),
            }
        }
    }
    reread.dependency_states = read_dependencies_of(kv, &reread.jobs, &()).await?;
    Ok(reread)
}

/// Reads the snapshot for a failover: all unfinished jobs, the node pools, the catalog and
/// the learned statistics. The records of jobs come before the blocks of their done tasks, since
/// users can be answered from the records.
///
/// # Errors
///
/// If the store cannot be read. A record that cannot be used is no error: it is listed in
/// [`Snapshot::unreadable`].
pub async fn read_snapshot(
    kv: &KvClient,
    value_kb: f64,
    observer: &impl SnapshotObserver,
) -> Result<Snapshot, KvError> {
    let mut snapshot = Snapshot::default();
    let live_jobs = scan_live_jobs(kv).await?;
    observer.observe(SnapshotProgress::RowsRead { jobs: live_jobs.len() }).await;
    let jobs = read_live_records(kv, live_jobs, observer, &mut snapshot).await?;
    snapshot.dependency_states = read_dependencies_of(kv, &jobs, observer).await?;
    let all_readable = read_blocks_of(kv, value_kb, jobs, &mut snapshot).await?;
    if !all_readable {
        // A job whose blocks cannot be used is no longer among the jobs, but others may depend on it.
        snapshot.dependency_states = read_dependencies_of(kv, &snapshot.jobs, &()).await?;
    }
    read_fleet(kv, &mut snapshot).await?;
    Ok(snapshot)
}

/// Reads the node pools, the catalog and the learned statistics.
async fn read_fleet(kv: &KvClient, snapshot: &mut Snapshot) -> Result<(), KvError> {
    for entry in kv.scan(FAILOVER_CLASS, NODE_POOLS).await? {
        snapshot.add_node_pool(&entry.key, &entry.value, entry.version);
    }
    if let Some(entry) = kv.get(FAILOVER_CLASS, CATALOG).await?
        && let Ok(types) = decode_catalog(&entry.value)
    {
        snapshot.catalog = Some((types, entry.version));
    }
    if let Some(entry) = kv.get(FAILOVER_CLASS, LEARNED_STATISTICS).await? {
        // Statistics that cannot be decoded are replaced by the next write, which needs the
        // version of the key.
        let statistics = LearnedStatistics::decode(&entry.value).unwrap_or_default();
        snapshot.statistics = Some((statistics, entry.version));
    }
    Ok(())
}

/// A job with a live row, and the version of that row's key.
type LiveJob = (JobId, u64);

/// Reads which jobs are unfinished.
async fn scan_live_jobs(kv: &KvClient) -> Result<Vec<LiveJob>, KvError> {
    let mut live_jobs = Vec::new();
    for row in kv.scan(FAILOVER_CLASS, LIVE_ROWS).await? {
        match row.key.strip_prefix(LIVE_ROWS).and_then(JobId::parse) {
            Some(job) => live_jobs.push((job, row.version)),
            None => tracing::error!(key = %row.key, "live row without a valid job id ignored"),
        }
    }
    Ok(live_jobs)
}

/// Reads the records of these jobs concurrently, without their blocks of done tasks. Records that
/// cannot be used are added to the snapshot.
async fn read_live_records(
    kv: &KvClient,
    live_jobs: Vec<LiveJob>,
    observer: &impl SnapshotObserver,
    snapshot: &mut Snapshot,
) -> Result<Vec<JobSnapshot>, KvError> {
    let reads = live_jobs.into_iter().map(|(job, live_row_version)| {
        let (kv, observer) = (kv.clone(), observer.clone());
        async move {
            let outcome = read_job_record(&kv, &job, live_row_version).await?;
            if let Ok(read) = &outcome {
                observer.observe(SnapshotProgress::JobRead(RecordedJob::of(&read.record))).await;
            }
            Ok((job, outcome))
        }
    });
    let mut jobs = Vec::new();
    for (job, outcome) in read_concurrently(kv, reads).await? {
        match outcome {
            Ok(read) => jobs.push(*read),
            Err(reason) => snapshot.unreadable.add_job(&job, reason.to_string()),
        }
    }
    Ok(jobs)
}

/// Reads the blocks of done tasks of these jobs concurrently, and adds the jobs to the snapshot.
/// Returns whether all of them can be used.
async fn read_blocks_of(
    kv: &KvClient,
    value_kb: f64,
    jobs: Vec<JobSnapshot>,
    snapshot: &mut Snapshot,
) -> Result<bool, KvError> {
    let (with_blocks, complete): (Vec<_>, Vec<_>) =
        jobs.into_iter().partition(|job| job.record.block_count(value_kb) > 0);
    snapshot.jobs = complete;
    let reads = with_blocks.into_iter().map(|job| {
        let kv = kv.clone();
        async move { Ok((job.record.spec.id.clone(), read_blocks(&kv, Box::new(job), value_kb).await?)) }
    });
    let mut all_readable = true;
    for (job, outcome) in read_concurrently(kv, reads).await? {
        all_readable &= outcome.is_ok();
        snapshot.add_job(&job, outcome);
    }
    Ok(all_readable)
}

/// Runs reads concurrently, as many at a time as the request rate can serve without a long queue.
/// The first error ends all of them.
async fn read_concurrently<T, R>(kv: &KvClient, reads: impl Iterator<Item = R>) -> Result<Vec<T>, KvError>
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
async fn read_dependencies_of(
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
                Err(KvError::Rejected) => DependencyState::Unreadable,
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
enum UnusableJob {
    /// There is no record beside the live row.
    #[error("a row without a record")]
    NoRecord,
    /// The record under the job's key belongs to this other job.
    #[error("a record of another job, {0}")]
    OtherJob(JobId),
    /// The record cannot be decoded.
    #[error(transparent)]
    Record(#[from] RecordError),
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
type JobReadOutcome = Result<Box<JobSnapshot>, UnusableJob>;

/// Reads one unfinished job: its record and the blocks of its done tasks.
async fn read_job(
    kv: &KvClient,
    job: &JobId,
    live_row_version: u64,
    value_kb: f64,
) -> Result<JobReadOutcome, KvError> {
    match read_job_record(kv, job, live_row_version).await? {
        Ok(read) => read_blocks(kv, read, value_kb).await,
        unusable => Ok(unusable),
    }
}

/// Reads the record of an unfinished job, without the blocks of its done tasks.
async fn read_job_record(
    kv: &KvClient,
    job: &JobId,
    live_row_version: u64,
) -> Result<JobReadOutcome, KvError> {
    let Some(entry) = kv.get(FAILOVER_CLASS, &job_record_key(job)).await? else {
        return Ok(Err(UnusableJob::NoRecord));
    };
    Ok(decode_record(job, &entry.value).map(|record| {
        let block_versions = Vec::new();
        Box::new(JobSnapshot { record, record_version: entry.version, live_row_version, block_versions })
    }))
}

/// Adds the blocks of its done tasks to a job whose record has been read.
async fn read_blocks(
    kv: &KvClient,
    mut job: Box<JobSnapshot>,
    value_kb: f64,
) -> Result<JobReadOutcome, KvError> {
    let layout = job.record.layout(value_kb);
    for block in 0..job.record.block_count(value_kb) {
        let stored = kv.get(FAILOVER_CLASS, &layout.block_key(&job.record.spec.id, block)).await?;
        job.block_versions.push(stored.as_ref().map_or(0, |entry| entry.version));
        if let Some(Err(source)) = stored.map(|entry| job.record.add_block(&entry.value)) {
            // It is unknown which of its tasks are done, and a done task must not start
            // again: the job as a whole cannot be used.
            return Ok(Err(UnusableJob::DoneBlock { block, source }));
        }
    }
    Ok(Ok(job))
}
