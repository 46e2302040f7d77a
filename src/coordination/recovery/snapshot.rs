//! Reads of the key-value store for recovery: the snapshot at failover (all unfinished jobs
//! and the node pools), and afterwards, page by page, rows of terminal jobs and records that
//! could not be read before.

use ciborium::value::Value;

use crate::coordination::jobs::dependency_state::DependencyStates;
use crate::coordination::recovery::job_reads::{
    FAILOVER_CLASS, JobReadOutcome, JobSnapshot, read_blocks, read_concurrently, read_dependencies_of,
    read_job, read_job_record,
};
use crate::coordination::recovery::reconciler::{self, Finding, JobPage};
use crate::coordination::recovery::recorded_jobs::RecordedJob;
use crate::coordination::recovery::snapshot_progress::{SnapshotObserver, SnapshotProgress};
use crate::coordination::recovery::unreadable::UnreadableRecords;
use crate::maps::HashMap;
use crate::protocol::cloud::{MachineType, decode_catalog};
use crate::protocol::jobs::JobId;
use crate::protocol::kv::Entry;
use crate::storage::kv::{KvClient, KvError, RequestClass};
use crate::storage::records::{
    ARCHIVED_ROWS, CATALOG, JOB_PROGRESS, LEARNED_STATISTICS, LIVE_ROWS, LearnedStatistics, NODE_POOLS,
    NodePoolRecord, live_row_key,
};

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
    // Each request may wait behind the reads of many users, so the two scans wait together.
    let (live_jobs, progress) = tokio::try_join!(scan_live_jobs(kv), scan_progress(kv))?;
    observer.observe(SnapshotProgress::RowsRead { jobs: live_jobs.len() }).await;
    let jobs = read_live_records(kv, live_jobs, progress, observer, &mut snapshot).await?;
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
    if let Some(entry) = get_unless_malformed(kv, CATALOG).await?
        && let Ok(types) = decode_catalog(&entry.value)
    {
        snapshot.catalog = Some((types, entry.version));
    }
    if let Some(entry) = get_unless_malformed(kv, LEARNED_STATISTICS).await? {
        // Statistics that cannot be decoded are replaced by the next write, which needs the
        // version of the key.
        let statistics = LearnedStatistics::decode(&entry.value).unwrap_or_default();
        snapshot.statistics = Some((statistics, entry.version));
    }
    Ok(())
}

/// Reads a key without which a leader can start; `None` if it does not exist or is malformed.
async fn get_unless_malformed(kv: &KvClient, key: &str) -> Result<Option<Entry>, KvError> {
    match kv.get(FAILOVER_CLASS, key).await {
        Err(KvError::Malformed) => Ok(None),
        read => read,
    }
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

/// Reads the progress of the jobs whose progress is kept apart from their records.
async fn scan_progress(kv: &KvClient) -> Result<HashMap<JobId, Entry>, KvError> {
    let entries = kv.scan(FAILOVER_CLASS, JOB_PROGRESS).await?;
    let of_job = |entry: Entry| Some((JobId::parse(entry.key.strip_prefix(JOB_PROGRESS)?)?, entry));
    Ok(entries.into_iter().filter_map(of_job).collect())
}

/// Reads the records of these jobs concurrently, without their blocks of done tasks. Records that
/// cannot be used are added to the snapshot. `progress`: the progress of the jobs for which it is
/// kept apart.
async fn read_live_records(
    kv: &KvClient,
    live_jobs: Vec<LiveJob>,
    mut progress: HashMap<JobId, Entry>,
    observer: &impl SnapshotObserver,
    snapshot: &mut Snapshot,
) -> Result<Vec<JobSnapshot>, KvError> {
    let reads = live_jobs.into_iter().map(|(job, live_row_version)| {
        let (kv, observer, progress) = (kv.clone(), observer.clone(), progress.remove(&job));
        async move {
            let outcome = read_job_record(&kv, &job, live_row_version, progress.as_ref()).await?;
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
