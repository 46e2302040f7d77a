//! The reconciler: compares the rows of jobs with their records.
//!
//! Two kinds of difference can be repaired safely from the record: a row that lags behind
//! it, and an archived row of a job whose record is live. Any other difference is reported and
//! not repaired.

use std::collections::BTreeSet;

use crate::protocol::jobs::{JobId, JobState};
use crate::protocol::kv::{Change, Compare, Entry};
use crate::storage::kv::{KvClient, KvError, RequestClass, Transaction};
use crate::storage::records::{
    ARCHIVED_ROWS, JOB_RECORDS, JobRecord, LIVE_ROWS, NODE_POOLS, NodePoolRecord, archived_row_key,
    decode_row, encode_row, job_record_key, live_row_key,
};

/// Keys that one request of [`all_jobs`] reads.
const KEYS_PER_PAGE: usize = 200;

/// The stored state of one job, as far as the reconciler compares it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoredJob {
    /// The terminal state in the record: `None` if there is no record, `Some(None)` if the
    /// record is not terminal.
    pub record: Option<Option<JobState>>,
    /// Whether there is a live row.
    pub live_row: bool,
    /// The terminal state in the archived row, if there is one.
    pub archived_row: Option<JobState>,
}

/// The result of comparing a job's rows with its record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    /// Record and rows agree.
    Consistent,
    /// The record is in this terminal state and the rows do not say so: the repair changes the
    /// rows to match the record.
    RowBehind(JobState),
    /// A row says that the job is terminal, the record says that it is live: the repair makes
    /// the row live again.
    Stranded,
    /// The correct state cannot be derived from the record, for this reason.
    Suspect(&'static str),
}

impl Finding {
    /// Whether the finding can be repaired from the record alone.
    pub fn is_repairable(self) -> bool {
        matches!(self, Finding::RowBehind(_) | Finding::Stranded)
    }
}

/// Compares the rows of one job with its record.
pub fn classify(stored: StoredJob) -> Finding {
    let StoredJob { record, live_row, archived_row } = stored;
    match (record, live_row, archived_row) {
        (None, false, None) => Finding::Consistent,
        (None, _, _) => Finding::Suspect("a row without a record"),
        (Some(_), false, None) => Finding::Suspect("a record without a row"),
        (Some(None), true, None) => Finding::Consistent,
        (Some(None), _, Some(_)) => Finding::Stranded,
        (Some(Some(terminal)), false, Some(row)) if terminal == row => Finding::Consistent,
        // This includes the case that both rows exist. A row is moved in one transaction,
        // so that is damage, but the record determines the correct state.
        (Some(Some(terminal)), _, _) => Finding::RowBehind(terminal),
    }
}

/// The finding on one job, with the versions on which a repair is conditional (0: no such
/// key).
#[derive(Debug, Clone, PartialEq)]
pub struct Examined {
    /// The job.
    pub job: JobId,
    /// The result of the comparison.
    pub finding: Finding,
    /// Whether its tasks wait for other jobs.
    pub waits_for_dependencies: bool,
    /// Whether its record names the size of its blocks of done tasks.
    pub names_blocks: bool,
    /// The version of the record.
    record_version: u64,
    /// The version of the live row.
    live_version: u64,
    /// The version of the archived row.
    archived_version: u64,
}

impl Examined {
    /// The repair under `epoch`, if the finding is repairable. It is only committed while record
    /// and rows are as they were read.
    pub fn repair(&self, epoch: u64) -> Option<Transaction> {
        let compares = vec![
            Compare { key: job_record_key(&self.job), version: self.record_version },
            Compare { key: live_row_key(&self.job), version: self.live_version },
            Compare { key: archived_row_key(&self.job), version: self.archived_version },
        ];
        let put_row = |key: String, state| Change::Put { key, value: encode_row(state), lease: None };
        let mut changes = Vec::new();
        match self.finding {
            Finding::RowBehind(terminal) => {
                changes.push(put_row(archived_row_key(&self.job), terminal));
                if self.live_version > 0 {
                    changes.push(Change::Delete { key: live_row_key(&self.job) });
                }
            }
            Finding::Stranded => {
                if self.live_version == 0 {
                    changes.push(put_row(live_row_key(&self.job), JobState::Queued));
                }
                changes.push(Change::Delete { key: archived_row_key(&self.job) });
            }
            Finding::Consistent | Finding::Suspect(_) => return None,
        }
        Some(Transaction { class: RequestClass::Background, epoch, compares, changes })
    }
}

/// Reads the record and the rows of one job and compares them.
///
/// The rows are read before the record: a row is never written before the record state that it
/// reflects, so a row that is ahead of a record read later is damage and not a write in flight.
///
/// # Errors
///
/// If the store cannot be read. A record or row that cannot be decoded is no error but a
/// [`Finding::Suspect`].
pub async fn examine(kv: &KvClient, job: &JobId) -> Result<Examined, KvError> {
    let archived = kv.get(RequestClass::Background, &archived_row_key(job)).await?;
    let live = kv.get(RequestClass::Background, &live_row_key(job)).await?;
    let record = kv.get(RequestClass::Background, &job_record_key(job)).await?;
    let archived_row = archived.as_ref().map(|entry| decode_row(&entry.value)).transpose();
    let decoded = record.as_ref().map(|entry| JobRecord::decode(&entry.value)).transpose();
    let readable = decoded.as_ref().ok().and_then(Option::as_ref);
    let waiting = readable.filter(|record| record.may_wait_for_dependencies());
    let waits_for_dependencies = waiting.is_some();
    let names_blocks = readable.is_some_and(|record| record.block_tasks.is_some());
    let has_missing_dependency = match waiting {
        Some(record) => has_missing_dependency(kv, record).await?,
        None => false,
    };
    let finding = match (archived_row, decoded) {
        _ if has_missing_dependency => Finding::Suspect("it awaits a job without a record"),
        (Ok(archived_row), Ok(record)) => classify(StoredJob {
            record: record.map(|record| record.terminal_state()),
            live_row: live.is_some(),
            archived_row,
        }),
        _ => Finding::Suspect("an unreadable record or row"),
    };
    let version = |entry: &Option<Entry>| entry.as_ref().map_or(0, |entry| entry.version);
    Ok(Examined {
        job: job.clone(),
        finding,
        waits_for_dependencies,
        names_blocks,
        record_version: version(&record),
        live_version: version(&live),
        archived_version: version(&archived),
    })
}

/// Whether a job depends on a job without a record, and so would wait forever.
async fn has_missing_dependency(kv: &KvClient, record: &JobRecord) -> Result<bool, KvError> {
    for dependency in &record.spec.dependencies {
        if kv.get(RequestClass::Background, &job_record_key(dependency)).await?.is_none() {
            return Ok(true);
        }
    }
    Ok(false)
}

/// The jobs that one page of keys names.
#[derive(Debug)]
pub struct JobPage {
    /// The jobs, in the order of their keys. Keys that name no job are left out.
    pub jobs: Vec<JobId>,
    /// The key after which the next page begins; `None` after the last page.
    pub next: Option<String>,
}

/// Reads a page of at most `max_keys` keys with this prefix, after the key `from`.
///
/// # Errors
///
/// If the store cannot be read.
pub async fn page_of_jobs(
    kv: &KvClient,
    prefix: &str,
    from: &str,
    max_keys: usize,
) -> Result<JobPage, KvError> {
    let page = kv.read_page(RequestClass::Background, prefix, from, max_keys).await?;
    let next = page.more.then(|| page.entries.last().map(|entry| entry.key.clone())).flatten();
    let job_of = |entry: &Entry| JobId::parse(entry.key.strip_prefix(prefix)?);
    let jobs = page.entries.iter().filter_map(job_of).collect();
    Ok(JobPage { jobs, next })
}

/// The keys of node pool records that cannot be decoded: whether their machines hold tasks is
/// unknown, and a failover waits for them.
///
/// # Errors
///
/// If the store cannot be read.
pub async fn unreadable_node_pools(kv: &KvClient) -> Result<Vec<String>, KvError> {
    let entries = kv.scan(RequestClass::Background, NODE_POOLS).await?;
    let unreadable = entries.into_iter().filter(|entry| NodePoolRecord::decode(&entry.value).is_err());
    Ok(unreadable.map(|entry| entry.key).collect())
}

/// Every job that a record or a row names.
///
/// # Errors
///
/// If the store cannot be read.
pub async fn all_jobs(kv: &KvClient) -> Result<BTreeSet<JobId>, KvError> {
    let mut all = BTreeSet::new();
    for prefix in [JOB_RECORDS, LIVE_ROWS, ARCHIVED_ROWS] {
        let mut from = String::new();
        loop {
            let page = page_of_jobs(kv, prefix, &from, KEYS_PER_PAGE).await?;
            all.extend(page.jobs);
            match page.next {
                Some(next) => from = next,
                None => break,
            }
        }
    }
    Ok(all)
}

#[cfg(test)]
mod tests;
