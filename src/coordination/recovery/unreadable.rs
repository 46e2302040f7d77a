//! Records that a leader could not read from the store.
//!
//! Nothing may be concluded from a record that exists but cannot be decoded: neither that a
//! job is terminal nor that a machine holds no tasks. The key of such a record is kept,
//! everything that depends on it is delayed, and it is read again at a bounded rate.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use crate::protocol::jobs::JobId;
use crate::storage::records::{JOB_RECORDS, NODE_POOLS, job_record_key};

/// The keys of records that exist and cannot be used, each with the reason.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct UnreadableRecords {
    /// The reason by key.
    reasons: BTreeMap<String, String>,
}

impl UnreadableRecords {
    /// Adds a job: its record, or a block of its done tasks, cannot be used.
    pub fn add_job(&mut self, job: &JobId, reason: String) {
        self.reasons.insert(job_record_key(job), reason);
    }

    /// Adds the key of a node pool's record that cannot be used.
    pub fn add_node_pool(&mut self, key: &str, reason: String) {
        self.reasons.insert(key.to_owned(), reason);
    }

    /// Removes a key whose record was read in the meantime, or no longer exists.
    pub fn remove(&mut self, key: &str) {
        self.reasons.remove(key);
    }

    /// Adds the keys that another read has found, and logs each new key.
    pub fn extend(&mut self, other: UnreadableRecords) {
        for (key, reason) in other.reasons {
            if let Entry::Vacant(entry) = self.reasons.entry(key) {
                tracing::error!(key = %entry.key(), reason, "record unreadable; what depends on it is delayed");
                entry.insert(reason);
            }
        }
    }

    /// The number of keys.
    pub fn len(&self) -> usize {
        self.reasons.len()
    }

    /// Whether every record could be read.
    pub fn is_empty(&self) -> bool {
        self.reasons.is_empty()
    }

    /// Whether the job's record is unreadable, so that the job's state is unknown.
    pub fn contains_job(&self, job: &JobId) -> bool {
        // The map is usually empty; checking that first saves allocating the key.
        !self.reasons.is_empty() && self.reasons.contains_key(&job_record_key(job))
    }

    /// Whether there may be machines that no readable node pool record names.
    pub fn may_hide_machines(&self) -> bool {
        self.reasons.keys().any(|key| key.starts_with(NODE_POOLS))
    }

    /// Up to `max` keys that follow `after`, to be read again; the first ones if none follows.
    pub fn next_keys(&self, after: &str, max: usize) -> Vec<String> {
        let following = self.reasons.keys().filter(|key| key.as_str() > after);
        let next: Vec<String> = following.take(max).cloned().collect();
        if next.is_empty() { self.reasons.keys().take(max).cloned().collect() } else { next }
    }

    /// The job whose record has this key; `None` if this is not the key of a job record.
    pub fn job_of(key: &str) -> Option<JobId> {
        key.strip_prefix(JOB_RECORDS).and_then(JobId::parse)
    }
}

#[cfg(test)]
mod tests;
