//! What a leader reads from the store: all unfinished work and the fleet when
//! it takes over, and later, page by page, what is over.

use tokio::task::JoinSet;

use super::leader::{Loaded, LoadedJob};
use super::reconciler::{self, Finding};
use crate::protocol::cloud::decode_catalog;
use crate::storage::records::{
    CATALOG, EXPERIENCE, Experience, JobRecord, LIVE, OVER, RECORDS, RENTALS, RentalRecord, block_key,
    blocks, record_key,
};
use crate::storage::service::{Class, Store, StoreError};

/// Rows compared with their records in one round.
const ROWS_A_ROUND: usize = 8;

/// One round of the reconciler: where to go on, and the jobs that a repair
/// brought back among the living.
pub async fn walk(
    store: &Store,
    epoch: u64,
    from: &str,
    value_kb: f64,
) -> Result<(String, Vec<LoadedJob>), StoreError> {
    let (jobs, next) = reconciler::page_of_jobs(store, OVER, from, ROWS_A_ROUND).await?;
    let mut restored = Vec::new();
    for job in &jobs {
        let examined = reconciler::examine(store, job).await?;
        if let Finding::Suspect(reason) = examined.finding {
            tracing::error!(%job, reason, "not repaired; `audit` tells more");
        }
        if let Some(repair) = examined.repair(epoch) {
            tracing::error!(%job, finding = ?examined.finding, "a row differs from its record; repairing it");
            let live_version = store.commit(repair).await?;
            if examined.finding == Finding::Stranded {
                restored.extend(load_job(store, &record_key(job), live_version, value_kb).await?);
            }
        }
    }
    // At the end it begins anew.
    Ok((next.unwrap_or_default(), restored))
}

/// Reads all unfinished work and the fleet.
pub async fn load(store: &Store, value_kb: f64) -> Result<Loaded, StoreError> {
    let mut loaded = Loaded::default();
    for entry in store.scan(RENTALS).await? {
        match RentalRecord::decode(&entry.value) {
            Ok(record) => loaded.rentals.push((record, entry.version)),
            Err(error) => tracing::error!(key = %entry.key, %error, "unreadable fleet record"),
        }
    }
    if let Some(entry) = store.get(Class::Rest, CATALOG).await?
        && let Ok(types) = decode_catalog(&entry.value)
    {
        loaded.catalog = Some((types, entry.version));
    }
    if let Some(entry) = store.get(Class::Rest, EXPERIENCE).await? {
        // Unreadable, it is written anew; its version is still needed for that.
        let experience = Experience::decode(&entry.value).unwrap_or_default();
        loaded.experience = Some((experience, entry.version));
    }
    let mut reads = JoinSet::new();
    for row in store.scan(LIVE).await? {
        let store = store.clone();
        reads.spawn(async move {
            let key = format!("{RECORDS}{}", row.key.strip_prefix(LIVE).unwrap_or_default());
            load_job(&store, &key, row.version, value_kb).await
        });
    }
    while let Some(read) = reads.join_next().await {
        if let Some(job) = read.map_err(|_| StoreError::Unavailable)?? {
            loaded.jobs.push(job);
        }
    }
    Ok(loaded)
}

/// Reads one unfinished job; `None` if its record cannot be used.
async fn load_job(
    store: &Store,
    key: &str,
    live_version: u64,
    value_kb: f64,
) -> Result<Option<LoadedJob>, StoreError> {
    let Some(entry) = store.get(Class::Accept, key).await? else {
        tracing::error!(%key, "a row without a record; left alone");
        return Ok(None);
    };
    let mut record = match JobRecord::decode(&entry.value) {
        Ok(record) => record,
        Err(error) => {
            tracing::error!(%key, %error, "unreadable record; left alone");
            return Ok(None);
        }
    };
    let mut block_versions = Vec::new();
    for block in 0..blocks(record.spec.tasks, value_kb) {
        let found = store.get(Class::Accept, &block_key(&record.spec.id, block)).await?;
        block_versions.push(found.as_ref().map_or(0, |b| b.version));
        if let Some(Err(error)) = found.map(|b| record.add_block(&b.value)) {
            tracing::error!(%key, %error, "unreadable block; its tasks run again");
        }
    }
    Ok(Some(LoadedJob { record, version: entry.version, live_version, block_versions }))
}
