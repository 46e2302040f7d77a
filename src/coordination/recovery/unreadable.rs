//! What a leader could not read of the store.
//!
//! A record that is there and does not decode says nothing: neither that the job is over
//! nor that a machine holds no tasks. Its key is kept, what depends on it is held back, and
//! it is read again at a bounded pace.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use crate::protocol::jobs::JobId;
use crate::storage::records::{JOB_RECORDS, NODE_POOLS, job_record_key};

/// Keys of records that are there and cannot be used, and why.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UnreadableRecords {
    keys: BTreeMap<String, String>,
}

impl UnreadableRecords {
    /// A job's record, or a block of its done tasks, cannot be used.
    pub fn add_job(&mut self, job: &JobId, reason: String) {
        self.keys.insert(job_record_key(job), reason);
    }

    /// The fleet record of that key cannot be used.
    pub fn add_node_pool(&mut self, key: &str, reason: String) {
        self.keys.insert(key.to_owned(), reason);
    }

    /// The record was read since, or is gone.
    pub fn remove(&mut self, key: &str) {
        self.keys.remove(key);
    }

    /// Takes over what another reading found; what is new is logged.
    pub fn extend(&mut self, other: UnreadableRecords) {
        for (key, reason) in other.keys {
            if let Entry::Vacant(entry) = self.keys.entry(key) {
                tracing::error!(key = %entry.key(), reason, "cannot be read; what depends on it is held back");
                entry.insert(reason);
            }
        }
    }

    pub fn len(&self) -> usize {
        self.keys.len()
    }

    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// Whether a job is among them: nothing is known of what became of it.
    pub fn contains_job(&self, job: &JobId) -> bool {
        // Mostly nothing is, and then no key need be made for each look.
        !self.keys.is_empty() && self.keys.contains_key(&job_record_key(job))
    }

    /// Whether machines may be rented that no readable record names.
    pub fn may_hide_machines(&self) -> bool {
        self.keys.keys().any(|key| key.starts_with(NODE_POOLS))
    }

    /// The next keys after the given one, to be read again; from the first where none
    /// follows.
    pub fn next_keys(&self, after: &str, most: usize) -> Vec<String> {
        let following = self.keys.keys().filter(|key| key.as_str() > after);
        let found: Vec<String> = following.take(most).cloned().collect();
        if found.is_empty() { self.keys.keys().take(most).cloned().collect() } else { found }
    }

    /// The job whose record has this key.
    pub fn job_of(key: &str) -> Option<JobId> {
        key.strip_prefix(JOB_RECORDS).and_then(JobId::parse)
    }
}

#[cfg(test)]
mod tests;
