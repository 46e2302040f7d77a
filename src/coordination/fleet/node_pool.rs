//! Node pools: requests to the cloud for machines, and the machines that were provided.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::protocol::workers::MachineId;
use crate::storage::records::NodePoolRecord;

/// A node pool's record, and the state of its write and of its request to the cloud.
#[derive(Debug)]
pub(crate) struct NodePool {
    /// The current record; the stored one may lag behind it.
    pub(crate) record: NodePoolRecord,
    /// The version of the record in the store; 0 before its first write.
    pub(crate) version: u64,
    /// Whether a write of the record is in flight.
    pub(crate) write_in_flight: bool,
    /// Whether the record has changed since that write was sent.
    pub(crate) rewrite_needed: bool,
    /// Whether the request for its machines is in flight.
    pub(crate) request_in_flight: bool,
    /// When the request was last sent, or its last result arrived.
    pub(crate) requested_at: Instant,
}

impl NodePool {
    /// Creates a pool with this record, stored at this version.
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

    /// Whether the cloud has not answered the request yet, so that its machines are unknown.
    pub(crate) fn is_pending(&self) -> bool {
        self.record.machines.is_none()
    }

    /// Whether the request was answered and no machine is left.
    pub(crate) fn is_empty(&self) -> bool {
        self.record.machines.as_ref().is_some_and(Vec::is_empty)
    }

    /// Removes a deleted machine from the record.
    pub(crate) fn remove_machine(&mut self, machine: &MachineId) {
        if let Some(machines) = &mut self.record.machines {
            machines.retain(|other| other != machine);
        }
        self.record.machines_used.remove(machine);
    }
}

/// All node pools, ordered by name.
#[derive(Debug, Default)]
pub(crate) struct NodePools {
    /// Each pool under the name in its record.
    pools: BTreeMap<String, NodePool>,
    /// The number in the last name assigned in this epoch.
    last_number: u32,
}

impl NodePools {
    /// A pool, if there is one of that name.
    pub(crate) fn get(&self, name: &str) -> Option<&NodePool> {
        self.pools.get(name)
    }

    /// Mutable access to a pool, if there is one of that name.
    pub(crate) fn get_mut(&mut self, name: &str) -> Option<&mut NodePool> {
        self.pools.get_mut(name)
    }

    /// All pools, ordered by name.
    pub(crate) fn values(&self) -> impl Iterator<Item = &NodePool> {
        self.pools.values()
    }

    /// The names of all pools.
    pub(crate) fn names(&self) -> Vec<String> {
        self.pools.keys().cloned().collect()
    }

    /// Inserts a pool under the name in its record.
    pub(crate) fn insert(&mut self, pool: NodePool) {
        self.pools.insert(pool.name().to_owned(), pool);
    }

    /// Removes a pool.
    pub(crate) fn remove(&mut self, name: &str) {
        self.pools.remove(name);
    }

    /// A name for a new pool that is to be requested from the cloud. It consists of the epoch and a
    /// number, so that no controller ever uses a name twice.
    pub(crate) fn next_name(&mut self, epoch: u64) -> String {
        self.last_number += 1;
        format!("{epoch}-{}", self.last_number)
    }

    /// A name for a new pool of machines that exist already.
    pub(crate) fn next_unregistered_name(&mut self, epoch: u64) -> String {
        format!("x-{}", self.next_name(epoch))
    }
}
