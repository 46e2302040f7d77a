//! What a leader reads from the store: all unfinished work and the fleet when
//! it takes over, and later, page by page, what is over.

use ciborium::value::Value;
use tokio::task::JoinSet;

use crate::coordination::jobs::dependency_state::{DependencyState, DependencyStates};
use crate::coordination::recovery::reconciler::{self, Finding};
use crate::coordination::recovery::unreadable::UnreadableRecords;
use crate::maps::HashSet;
use crate::protocol::cloud::{MachineType, decode_catalog};
use crate::protocol::jobs::{JobId, JobState};
use crate::storage::kv::{KvClient, KvError, RequestClass};
use crate::storage::records::{
    ARCHIVED_ROWS, CATALOG, JobRecord, LEARNED_STATISTICS, LIVE_ROWS, LearnedStatistics, NODE_POOLS,
    NodePoolRecord, job_record_key, live_row_key,
};

/// What a new leader reads from the store.
#[derive(Debug, Default)]
pub struct Snapshot {
    pub jobs: Vec<JobSnapshot>,
    /// What was read of jobs that those await and that are not among them.
    pub dependency_states: DependencyStates,
    pub node_pools: Vec<(NodePoolRecord, u64)>,
    pub catalog: Option<(Vec<MachineType>, u64)>,
    pub statistics: Option<(LearnedStatistics, u64)>,
    /// What is there and cannot be read.
    pub unreadable: UnreadableRecords,
    /// Keys that could not be read before, and are no more.
    pub deleted_keys: Vec<String>,
}

#[derive(Debug)]
pub struct JobSnapshot {
    pub record: JobRecord,
    pub record_version: u64,
    pub live_row_version: u64,
    pub block_versions: Vec<u64>,
}

/// Rows compared with their records in one round.
pub const ROWS_PER_ROUND: usize = 8;

/// One round of the reconciler: where to go on, and the jobs that a repair
/// brought back among the living.
pub async fn reconcile_page(
    store: &KvClient,
    epoch: u64,
    from: &str,
    value_kb: f64,
) -> Result<(String, Snapshot), KvError> {
    let (jobs, next) = reconciler::page_of_jobs(store, ARCHIVED_ROWS, from, ROWS_PER_ROUND).await?;
    let mut restored = Snapshot::default();
    for job in &jobs {
        let examined = reconciler::examine(store, job).await?;
        if let Finding::Suspect(reason) = examined.finding {
            tracing::error!(%job, reason, "not repaired; `audit` tells more");
        }
        if let Some(repair) = examined.repair(epoch) {
            tracing::error!(%job, finding = ?examined.finding, "a row differs from its record; repairing it");
            let live_version = store.compare_and_swap(repair).await?;
            if examined.finding == Finding::Stranded {
                match read_job(store, job, live_version, value_kb).await? {
                    JobReadOutcome::Loaded(loaded) => restored.jobs.push(*loaded),
                    JobReadOutcome::Unreadable(reason) => restored.unreadable.add_job(job, reason),
                }
            }
        }
    }
    restored.dependency_states = read_dependencies_of(store, &restored.jobs).await?;
    // At the end it begins anew.
    Ok((next.unwrap_or_default(), restored))
}

/// Reads once more what could not be read before: records and fleet records that are
/// readable by now, or gone.
pub async fn reread_unreadable(
    store: &KvClient,
    keys: Vec<String>,
    value_kb: f64,
) -> Result<Snapshot, KvError> {
    let mut found = Snapshot::default();
    for key in keys {
        if key.starts_with(NODE_POOLS) {
            match store.get(RequestClass::Background, &key).await? {
                Some(entry) => add_node_pool(&mut found, &key, &entry.value, entry.version),
                None => found.deleted_keys.push(key),
            }
        } else if let Some(job) = UnreadableRecords::job_of(&key) {
            match store.get(RequestClass::Background, &live_row_key(&job)).await? {
                Some(row) => match read_job(store, &job, row.version, value_kb).await? {
                    JobReadOutcome::Loaded(loaded) => found.jobs.push(*loaded),
                    JobReadOutcome::Unreadable(reason) => found.unreadable.add_job(&job, reason),
                },
                None => found.deleted_keys.push(key),
            }
        }
    }
    found.dependency_states = read_dependencies_of(store, &found.jobs).await?;
    Ok(found)
}

/// Takes a fleet record in; one that does not decode is noted as unreadable.
fn add_node_pool(loaded: &mut Snapshot, key: &str, value: &Value, version: u64) {
    match NodePoolRecord::decode(value) {
        Ok(record) => loaded.node_pools.push((record, version)),
        Err(error) => loaded.unreadable.add_node_pool(key, error.to_string()),
    }
}

/// Reads all unfinished work and the fleet.
pub async fn read_snapshot(store: &KvClient, value_kb: f64) -> Result<Snapshot, KvError> {
    let mut loaded = Snapshot::default();
    for entry in store.scan(NODE_POOLS).await? {
        add_node_pool(&mut loaded, &entry.key, &entry.value, entry.version);
    }
    if let Some(entry) = store.get(RequestClass::Background, CATALOG).await?
        && let Ok(types) = decode_catalog(&entry.value)
    {
        loaded.catalog = Some((types, entry.version));
    }
    if let Some(entry) = store.get(RequestClass::Background, LEARNED_STATISTICS).await? {
        // Unreadable, it is written anew; its version is still needed for that.
        let experience = LearnedStatistics::decode(&entry.value).unwrap_or_default();
        loaded.statistics = Some((experience, entry.version));
    }
    let mut reads = JoinSet::new();
    for row in store.scan(LIVE_ROWS).await? {
        let Some(job) = row.key.strip_prefix(LIVE_ROWS).and_then(JobId::parse) else {
            tracing::error!(key = %row.key, "a row of no job; left alone");
            continue;
        };
        let store = store.clone();
        reads.spawn(async move {
            let read = read_job(&store, &job, row.version, value_kb).await?;
            Ok::<_, KvError>((job, read))
        });
    }
    while let Some(read) = reads.join_next().await {
        match read.map_err(|_| KvError::Unavailable)?? {
            (_, JobReadOutcome::Loaded(loaded_job)) => loaded.jobs.push(*loaded_job),
            (job, JobReadOutcome::Unreadable(reason)) => loaded.unreadable.add_job(&job, reason),
        }
    }
    loaded.dependency_states = read_dependencies_of(store, &loaded.jobs).await?;
    Ok(loaded)
}

/// What the records say of the jobs that these await and that are not among them.
async fn read_dependencies_of(store: &KvClient, jobs: &[JobSnapshot]) -> Result<DependencyStates, KvError> {
    let among: HashSet<&JobId> = jobs.iter().map(|job| &job.record.spec.id).collect();
    let waiting = jobs.iter().map(|job| &job.record).filter(|record| record.may_wait_for_dependencies());
    let needs: HashSet<JobId> = waiting
        .flat_map(|record| &record.spec.dependencies)
        .filter(|need| !among.contains(need))
        .cloned()
        .collect();
    read_dependency_states(store, needs.into_iter().collect()).await
}

/// Reads what the records say of jobs that others await. One that cannot be used is no
/// reason to know nothing of the others.
pub async fn read_dependency_states(store: &KvClient, jobs: Vec<JobId>) -> Result<DependencyStates, KvError> {
    let mut reads = JoinSet::new();
    for job in jobs {
        let store = store.clone();
        reads.spawn(async move {
            let state = match read_record(&store, RequestClass::Admission, &job).await {
                Ok(record) => DependencyState::of(record.as_ref()),
                Err(KvError::Rejected) => DependencyState::Unreadable,
                Err(error) => return Err(error),
            };
            Ok((state, job))
        });
    }
    let mut states = DependencyStates::default();
    while let Some(read) = reads.join_next().await {
        let (state, job) = read.map_err(|_| KvError::Unavailable)??;
        states.insert(job, state);
    }
    Ok(states)
}

/// A job's record; `None` if it was never accepted. From one that cannot be read nothing
/// follows; the leader logs it once.
pub async fn read_record(
    store: &KvClient,
    class: RequestClass,
    job: &JobId,
) -> Result<Option<JobRecord>, KvError> {
    let Some(entry) = store.get(class, &job_record_key(job)).await? else { return Ok(None) };
    decode_record(job, &entry.value).map(Some).map_err(|reason| {
        tracing::debug!(%job, reason, "unreadable record");
        KvError::Rejected
    })
}

/// A job's record, or why it cannot be used.
fn decode_record(job: &JobId, value: &Value) -> Result<JobRecord, String> {
    match JobRecord::decode(value) {
        Ok(record) if record.spec.id == *job => Ok(record),
        Ok(record) => Err(format!("a record of another job, {}", record.spec.id)),
        Err(error) => Err(error.to_string()),
    }
}

/// Whether a job that has not begun is cancelled with one that it needs, directly or not,
/// by the records alone. At most so many of them are read.
pub async fn is_cancelled_by_dependencies(
    store: &KvClient,
    class: RequestClass,
    record: &JobRecord,
    most: usize,
) -> Result<bool, KvError> {
    let mut seen: HashSet<JobId> = HashSet::default();
    let mut unread: Vec<JobId> =
        if record.may_wait_for_dependencies() { record.spec.dependencies.clone() } else { Vec::new() };
    while let Some(need) = unread.pop() {
        if !seen.insert(need.clone()) {
            continue;
        }
        if seen.len() > most {
            return Err(KvError::Unavailable);
        }
        let Some(record) = read_record(store, class, &need).await? else { continue };
        if record.terminal_state() == Some(JobState::Cancelled) {
            return Ok(true);
        }
        if record.may_wait_for_dependencies() {
            unread.extend(record.spec.dependencies);
        }
    }
    Ok(false)
}

/// What reading an unfinished job came to.
enum JobReadOutcome {
    Loaded(Box<JobSnapshot>),
    /// Its record, or a block of its done tasks, cannot be used, for that reason.
    Unreadable(String),
}

/// Reads one unfinished job.
async fn read_job(
    store: &KvClient,
    job: &JobId,
    live_version: u64,
    value_kb: f64,
) -> Result<JobReadOutcome, KvError> {
    let Some(entry) = store.get(RequestClass::Admission, &job_record_key(job)).await? else {
        return Ok(JobReadOutcome::Unreadable("a row without a record".into()));
    };
    let mut record = match decode_record(job, &entry.value) {
        Ok(record) => record,
        Err(reason) => return Ok(JobReadOutcome::Unreadable(reason)),
    };
    let mut block_versions = Vec::new();
    let layout = record.layout(value_kb);
    for block in 0..layout.blocks(record.spec.tasks) {
        let found = store.get(RequestClass::Admission, &layout.block_key(&record.spec.id, block)).await?;
        block_versions.push(found.as_ref().map_or(0, |b| b.version));
        if let Some(Err(error)) = found.map(|b| record.add_block(&b.value)) {
            // Which of its tasks are done is not known, and no done task may start again.
            return Ok(JobReadOutcome::Unreadable(format!("block {block} of its done tasks: {error}")));
        }
    }
    Ok(JobReadOutcome::Loaded(Box::new(JobSnapshot {
        record,
        record_version: entry.version,
        live_row_version: live_version,
        block_versions,
    })))
}
