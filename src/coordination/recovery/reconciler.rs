//! Compares summary rows with records.
//!
//! Two classes can be repaired soundly from the record: a row that lags behind
//! it, and a row that calls live work over. Everything else is reported and
//! left alone.

use std::collections::BTreeSet;

use crate::protocol::jobs::{JobId, JobState};
use crate::protocol::kv::{Change, Compare};
use crate::storage::kv::{KvClient, KvError, RequestClass, Transaction};
use crate::storage::records::{
    ARCHIVED_ROWS, JOB_RECORDS, JobRecord, LIVE_ROWS, NODE_POOLS, NodePoolRecord, archived_row_key,
    decode_row, encode_row, job_record_key, live_row_key,
};

/// What the store holds of one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// `None`: no record. Inside: the final standing that it supports, if any.
    pub record: Option<Option<JobState>>,
    pub live_row: bool,
    pub archived_row: Option<JobState>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    Consistent,
    /// The record is final, the row not yet: the row follows the record.
    RowBehind(JobState),
    /// A row says over where the record says live: back among the live.
    Stranded,
    /// Cannot be derived soundly.
    Suspect(&'static str),
}

impl Finding {
    pub fn is_sound(self) -> bool {
        matches!(self, Finding::RowBehind(_) | Finding::Stranded)
    }
}

pub fn judge(evidence: Evidence) -> Finding {
    let Evidence { record, live_row, archived_row: over_row } = evidence;
    match (record, live_row, over_row) {
        (None, false, None) => Finding::Consistent,
        (None, _, _) => Finding::Suspect("a row without a record"),
        (Some(_), false, None) => Finding::Suspect("a record without a row"),
        (Some(None), true, None) => Finding::Consistent,
        (Some(None), _, Some(_)) => Finding::Stranded,
        (Some(Some(settled)), false, Some(row)) if settled == row => Finding::Consistent,
        // Also with both rows: the move from one to the other is one
        // transaction, so this is damage, but the record decides it.
        (Some(Some(settled)), _, _) => Finding::RowBehind(settled),
    }
}

/// What was found of one job, with what a repair is conditional on.
#[derive(Debug, Clone, PartialEq)]
pub struct Examined {
    pub job: JobId,
    pub finding: Finding,
    /// Its tasks wait for other jobs.
    pub waits_for_dependencies: bool,
    /// Its record names the size of its blocks of done tasks.
    pub names_blocks: bool,
    record_version: u64,
    live_version: u64,
    archived_version: u64,
}

impl Examined {
    /// The repair, for the sound classes. It holds only while record and rows
    /// are as they were read.
    pub fn repair(&self, epoch: u64) -> Option<Transaction> {
        let conditions = vec![
            Compare { key: job_record_key(&self.job), version: self.record_version },
            Compare { key: live_row_key(&self.job), version: self.live_version },
            Compare { key: archived_row_key(&self.job), version: self.archived_version },
        ];
        let put = |key: String, standing| Change::Put { key, value: encode_row(standing), lease: None };
        let mut changes = Vec::new();
        match self.finding {
            Finding::RowBehind(standing) => {
                changes.push(put(archived_row_key(&self.job), standing));
                if self.live_version > 0 {
                    changes.push(Change::Delete { key: live_row_key(&self.job) });
                }
            }
            Finding::Stranded => {
                if self.live_version == 0 {
                    changes.push(put(live_row_key(&self.job), JobState::Queued));
                }
                changes.push(Change::Delete { key: archived_row_key(&self.job) });
            }
            Finding::Consistent | Finding::Suspect(_) => return None,
        }
        Some(Transaction { class: RequestClass::Background, epoch, compares: conditions, changes })
    }
}

/// Reads and judges what the store holds of one job.
///
/// The rows are read before the record: a row is only ever written after the
/// record that it follows, so a row that is ahead of a record read later is
/// damage and not a write under way.
pub async fn examine(store: &KvClient, job: &JobId) -> Result<Examined, KvError> {
    let over = store.get(RequestClass::Background, &archived_row_key(job)).await?;
    let live = store.get(RequestClass::Background, &live_row_key(job)).await?;
    let record = store.get(RequestClass::Background, &job_record_key(job)).await?;
    let version = |entry: &Option<crate::protocol::kv::Entry>| entry.as_ref().map_or(0, |e| e.version);
    let unreadable = Finding::Suspect("an unreadable record or row");
    let over_row = over.as_ref().map(|e| decode_row(&e.value));
    let decoded = record.as_ref().map(|e| JobRecord::decode(&e.value));
    let decoded = decoded.transpose();
    let known = decoded.as_ref().ok().and_then(Option::as_ref);
    let waiting = known.filter(|record| record.may_wait_for_dependencies());
    let waits = waiting.is_some();
    let names_blocks = known.is_some_and(|record| record.block_tasks.is_some());
    let lost_need = match waiting {
        Some(record) => has_missing_dependency(store, record).await?,
        None => false,
    };
    let finding = match (over_row.transpose(), decoded) {
        _ if lost_need => Finding::Suspect("it awaits a job without a record"),
        (Ok(over_row), Ok(decoded)) => judge(Evidence {
            record: decoded.map(|r| r.terminal_state()),
            live_row: live.is_some(),
            archived_row: over_row,
        }),
        _ => unreadable,
    };
    Ok(Examined {
        job: job.clone(),
        finding,
        waits_for_dependencies: waits,
        names_blocks,
        record_version: version(&record),
        live_version: version(&live),
        archived_version: version(&over),
    })
}

/// Whether a job waits for one that has no record, and so for ever.
async fn has_missing_dependency(store: &KvClient, record: &JobRecord) -> Result<bool, KvError> {
    for need in &record.spec.dependencies {
        if store.get(RequestClass::Background, &job_record_key(need)).await?.is_none() {
            return Ok(true);
        }
    }
    Ok(false)
}

/// The jobs named by one page of keys with a prefix, and where to go on.
pub async fn page_of_jobs(
    store: &KvClient,
    prefix: &str,
    from: &str,
    most: usize,
) -> Result<(Vec<JobId>, Option<String>), KvError> {
    let page = store.read_page(prefix, from, most).await?;
    let next = page.more.then(|| page.entries.last().map(|e| e.key.clone())).flatten();
    let jobs = page.entries.iter().filter_map(|e| JobId::parse(e.key.strip_prefix(prefix)?)).collect();
    Ok((jobs, next))
}

/// The keys of fleet records that cannot be used: whether their machines hold tasks is not
/// known, and a takeover waits for them.
pub async fn unreadable_node_pools(store: &KvClient) -> Result<Vec<String>, KvError> {
    let entries = store.scan(NODE_POOLS).await?;
    let unreadable = entries.into_iter().filter(|entry| NodePoolRecord::decode(&entry.value).is_err());
    Ok(unreadable.map(|entry| entry.key).collect())
}

/// Every job that a record or a row names.
pub async fn all_jobs(store: &KvClient) -> Result<BTreeSet<JobId>, KvError> {
    let mut found = BTreeSet::new();
    for prefix in [JOB_RECORDS, LIVE_ROWS, ARCHIVED_ROWS] {
        let mut from = String::new();
        loop {
            let (jobs, next) = page_of_jobs(store, prefix, &from, 200).await?;
            found.extend(jobs);
            match next {
                Some(next) => from = next,
                None => break,
            }
        }
    }
    Ok(found)
}

#[cfg(test)]
mod tests;
