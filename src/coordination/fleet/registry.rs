//! The registry: enters machines into the machine table, from node pools' records and as they
//! show up without one.

use tokio::time::Instant;

use crate::coordination::fleet::machine::{Machine, UseRecord};
use crate::coordination::fleet::node_pool::NodePool;
use crate::coordination::fleet::scale_in::MIN_BILLED;
use crate::coordination::fleet::unregistered::PoolShape;
use crate::coordination::leader::Leader;
use crate::numeric::count_u32;
use crate::protocol::cloud::{MAX_MACHINES_PER_REQUEST, NodePoolRequest};
use crate::protocol::workers::MachineId;
use crate::storage::records::NodePoolRecord;

/// Bytes that a stored list adds to each name.
const BYTES_AROUND_NAME: usize = 3;
/// Bytes of a node pool's record beside its two lists of names, at most.
const BYTES_BESIDE_LISTS: usize = 512;
/// The length assumed of a machine's name before any machine is registered, in bytes: longer
/// than any name so far.
const UNKNOWN_NAME_BYTES: usize = 16;
/// A record names each machine twice: as belonging to the pool, and as used.
const LISTS_PER_RECORD: usize = 2;

impl Leader {
    /// Registers the machines of all node pools, once the machine types are known.
    pub(crate) fn register_all_machines(&mut self, now: Instant) {
        for name in self.node_pools.names() {
            self.register_pool_machines(now, &name);
        }
        self.check_failover_complete();
    }

    /// Registers the machines that a node pool's record names and that are not registered yet.
    pub(crate) fn register_pool_machines(&mut self, now: Instant, name: &str) {
        let Some(pool) = self.node_pools.get(name) else { return };
        let request = pool.record.request.clone();
        let used = pool.record.machines_used.clone();
        let ids = pool.record.machines.clone().unwrap_or_default();
        let machine_type = self.catalog.id_of(&request.machine_type);
        let capacity = self.catalog.resources(machine_type);
        // A machine that has had tasks has booted and worked before this epoch: the least time
        // that is billed has passed. Counted anew from each failover, it kept hundreds of idle
        // machines where leaders followed one another.
        let billed_since = now.checked_sub(MIN_BILLED).unwrap_or(now);
        for id in ids {
            if self.machines.contains(&id) || self.machines.is_deleted(&id) {
                continue;
            }
            let was_used = used.contains(&id);
            let mut machine = Machine::new(id, &request, machine_type, capacity, now);
            if was_used {
                machine.mark_used_before(billed_since);
            }
            self.machines.insert(machine);
            if was_used {
                // The queue counts the capacity of unreconciled machines when it is ordered.
                self.queue.invalidate();
            }
        }
    }

    /// Notes a machine that no node pool's record names, to be registered first and then used
    /// or deleted. Machines that show up together are registered together, see
    /// [`Leader::register_unregistered`].
    pub(crate) fn record_unregistered(
        &mut self,
        now: Instant,
        id: &MachineId,
        machine_type: &str,
        zone: &str,
        spot: bool,
    ) {
        if self.catalog.is_empty() || self.machines.is_deleted(id) || self.unregistered.contains(id) {
            return;
        }
        let shape = PoolShape { machine_type: machine_type.to_owned(), zone: zone.to_owned(), spot };
        // It may belong to a node pool whose request the cloud has not answered yet.
        if self.node_pools.values().any(|pool| pool.is_pending() && shape.matches(&pool.record.request)) {
            return;
        }
        self.unregistered.add(now, id.clone(), shape);
    }

    /// Registers the machines that no node pool's record names, those of one shape in one pool
    /// with one write; there are many where machines were up before the first controller was.
    ///
    /// As no record has named them, no task was ever started on them. The first record already
    /// says that they are used, which saves the write before their first start.
    pub(crate) fn register_unregistered(&mut self, now: Instant) {
        let delay = self.config.settings.cluster.workers.heartbeat_interval() / 4;
        for (shape, mut ids) in self.unregistered.take_due(now, delay) {
            ids.retain(|id| !self.machines.contains(id) && !self.machines.is_deleted(id));
            let longest_name = ids.iter().map(|id| id.as_str().len()).max();
            let max_per_pool = self.max_machines_per_pool(longest_name);
            for ids in ids.chunks(usize::try_from(max_per_pool).unwrap_or(usize::MAX)) {
                self.register_in_new_pool(now, &shape, ids);
            }
        }
    }

    /// Registers machines of one shape in a new node pool.
    fn register_in_new_pool(&mut self, now: Instant, shape: &PoolShape, ids: &[MachineId]) {
        let name = self.node_pools.next_unregistered_name(self.epoch());
        let PoolShape { machine_type, zone, spot } = shape;
        tracing::info!(count = ids.len(), %machine_type, %zone, spot, "unregistered machines found");
        let request = NodePoolRequest {
            name: name.clone(),
            machine_type: machine_type.clone(),
            zone: zone.clone(),
            spot: *spot,
            // At most `MAX_MACHINES_PER_REQUEST`.
            machine_count: count_u32(ids.len()),
        };
        let record =
            NodePoolRecord { request, machines: Some(ids.to_vec()), machines_used: Default::default() };
        self.node_pools.insert(NodePool::new(record, 0, now));
        // Registered before the record says that they are used: as machines without tasks of
        // earlier epochs.
        self.register_pool_machines(now, &name);
        for id in ids {
            if let Some(machine) = self.machines.get_mut(id) {
                machine.use_record = UseRecord::InFlight;
            }
        }
        if let Some(pool) = self.node_pools.get_mut(&name) {
            pool.record.machines_used = ids.iter().cloned().collect();
        }
        self.write_node_pool(&name);
    }

    /// The most machines in one node pool, such that its record fits into a value under the
    /// present and the announced limits of the store. `longest_name`: bytes of the longest
    /// machine name, if it is known.
    pub(crate) fn max_machines_per_pool(&self, longest_name: Option<usize>) -> u32 {
        let value_bytes = self.config.settings.cluster.kv.strictest().value_bytes();
        let last_name = || self.machines.last_name().map(|id| id.as_str().len());
        let name_bytes = longest_name.or_else(last_name).unwrap_or(UNKNOWN_NAME_BYTES);
        let bytes_per_machine = LISTS_PER_RECORD * (name_bytes + BYTES_AROUND_NAME);
        let max = value_bytes.saturating_sub(BYTES_BESIDE_LISTS) / bytes_per_machine;
        u32::try_from(max).unwrap_or(MAX_MACHINES_PER_REQUEST).clamp(1, MAX_MACHINES_PER_REQUEST)
    }
}
