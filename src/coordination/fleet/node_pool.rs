//! Node pools: requests for machines, and the machines that they brought.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::storage::records::NodePoolRecord;

/// A node pool's record and the state of its writing and of its request.
#[derive(Debug)]
pub(crate) struct NodePool {
    /// The record as it should be.
    pub(crate) record: NodePoolRecord,
    /// The version of the record in the store; 0 before its first write.
    pub(crate) version: u64,
    /// A write of the record is under way.
    pub(crate) write_in_flight: bool,
    /// The record has changed since that write was sent.
    pub(crate) rewrite_needed: bool,
    /// The cloud is being asked for its machines.
    pub(crate) request_in_flight: bool,
    /// When the cloud was last asked, or has last answered.
    pub(crate) requested_at: Instant,
}

impl NodePool {
    /// A pool with this record at this version.
    pub(crate) fn new(record: NodePoolRecord, version: u64, now: Instant) -> Self {
        NodePool {
            record,
            version,
            write_in_flight: false,
            rewrite_needed: false,
            request_in_flight: false,
            requested_at: now,
        }
    }

    /// The pool's name, which is never used twice.
    pub(crate) fn name(&self) -> &str {
        &self.record.request.name
    }

    /// Whether the cloud has not said yet which machines it has.
    pub(crate) fn is_pending(&self) -> bool {
        self.record.machines.is_none()
    }

    /// Whether all its machines are gone.
    pub(crate) fn is_empty(&self) -> bool {
        self.record.machines.as_ref().is_some_and(Vec::is_empty)
    }
}

/// All node pools, by name.
#[derive(Debug, Default)]
pub(crate) struct NodePools {
    pools: BTreeMap<String, NodePool>,
    /// The number in the last name given out in this epoch.
    last_number: u32,
}

impl NodePools {
    /// A pool, if there is one of that name.
    pub(crate) fn get(&self, name: &str) -> Option<&NodePool> {
        self.pools.get(name)
    }

    /// A pool to be changed, if there is one of that name.
    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut NodePool> {
        self.pools.get_mut(name)
    }

    /// All pools, by name.
    pub(crate) fn values(&self) -> impl Iterator<Item = &NodePool> {
        self.pools.values()
    }

    /// The names of all pools.
    pub(crate) fn names(&self) -> Vec<String> {
        self.pools.keys().cloned().collect()
    }

    /// Enters a pool under the name in its record.
    pub(crate) fn insert(&mut self, pool: NodePool) {
        self.pools.insert(pool.name().to_owned(), pool);
    }

    /// Forgets a pool.
    pub(crate) fn remove(&mut self, name: &str) {
        self.pools.remove(name);
    }

    /// A name for a pool to be asked of the cloud. Epoch and number: never used twice, by
    /// whichever controller.
    pub(crate) fn next_name(&mut self, epoch: u64) -> String {
        self.last_number += 1;
        format!("{epoch}-{}", self.last_number)
    }

    /// A name for a pool of machines that exist already.
    pub(crate) fn next_unregistered_name(&mut self, epoch: u64) -> String {
        format!("x-{}", self.next_name(epoch))
    }
}
