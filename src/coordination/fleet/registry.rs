//! Registration of machines in the machine table: machines in node pools' records, and machines that
//! are found without a record.

use tokio::time::Instant;

use crate::coordination::fleet::machine::{Machine, UseRecord};
use crate::coordination::fleet::node_pool::NodePool;
use crate::coordination::fleet::scale_in::MIN_BILLING_PERIOD;
use crate::coordination::fleet::unregistered::PoolShape;
use crate::coordination::leader::Leader;
use crate::numeric::count_u32;
use crate::protocol::cloud::{MAX_MACHINES_PER_REQUEST, NodePoolRequest};
use crate::protocol::workers::MachineId;
use crate::storage::records::NodePoolRecord;

/// The encoding overhead of each name in a stored list, in bytes.
const NAME_OVERHEAD_BYTES: usize = 3;
/// The maximum size of a node pool's record without its two lists of names, in bytes.
const RECORD_OVERHEAD_BYTES: usize = 512;
/// The length assumed for a machine's name before any machine is registered, in bytes. It exceeds
/// the length of every name seen so far.
const UNKNOWN_NAME_BYTES: usize = 16;
/// How often a record contains a machine's name: in the list of the pool's machines, and in that of
/// the used ones.
const LISTS_PER_RECORD: usize = 2;

impl Leader {
    /// Registers the machines of all node pools, once the machine types are known.
    pub(crate) fn register_all_machines(&mut self, now: Instant) {
        for name in self.node_pools.names() {
            self.register_pool_machines(now, &name);
        }
        self.check_failover_complete();
    }

    /// Registers the machines in a node pool's record that are not registered yet.
    pub(crate) fn register_pool_machines(&mut self, now: Instant, name: &str) {
        let Some(pool) = self.node_pools.get(name) else { return };
        let request = pool.record.request.clone();
        let used = pool.record.machines_used.clone();
        let ids = pool.record.machines.clone().unwrap_or_default();
        let machine_type = self.catalog.id_of(&request.machine_type);
        let capacity = self.catalog.resources(machine_type);
        // A machine that may hold tasks booted before this epoch, so its minimum billing period
        // counts as over. Restarting the period at each failover kept hundreds of idle machines
        // when leaders changed in quick succession.
        let billed_since = now.checked_sub(MIN_BILLING_PERIOD).unwrap_or(now);
        for id in ids {
            if self.machines.contains(&id) || self.machines.is_deleted(&id) {
                continue;
            }
            let was_used = used.contains(&id);
            let mut machine = Machine::new(id, &request, machine_type, capacity, now);
            if was_used {
                machine.mark_used_in_earlier_epoch(billed_since);
            }
            self.machines.insert(machine);
            if was_used {
                // The order of the queue depends on the capacity of unreconciled machines.
                self.queue.invalidate();
            }
        }
    }

    /// Records a machine that is not in any node pool's record, to be registered before it is used
    /// or deleted. Machines that are found together are registered together by
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

    /// Registers the machines that are not in any node pool's record. Those of one shape share a
    /// pool and its write, since there are many of them if machines were up before the first
    /// controller.
    ///
    /// As they are in no record, no task was ever started on them. Their first record already says
    /// that they are used, which saves another write before their first task starts.
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
        // Register them before the record says that they are used, so that they count as machines
        // without tasks of earlier epochs.
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

    /// The maximum number of machines in one node pool, such that its record fits into a value under
    /// the current and the announced limits of the key-value store. `longest_name`: the length of the
    /// longest machine name in bytes, if it is known.
    pub(crate) fn max_machines_per_pool(&self, longest_name: Option<usize>) -> u32 {
        let value_bytes = self.config.settings.cluster.kv.strictest().value_bytes();
        let last_name = || self.machines.last_name().map(|id| id.as_str().len());
        let name_bytes = longest_name.or_else(last_name).unwrap_or(UNKNOWN_NAME_BYTES);
        let bytes_per_machine = LISTS_PER_RECORD * (name_bytes + NAME_OVERHEAD_BYTES);
        let max = value_bytes.saturating_sub(RECORD_OVERHEAD_BYTES) / bytes_per_machine;
        u32::try_from(max).unwrap_or(MAX_MACHINES_PER_REQUEST).clamp(1, MAX_MACHINES_PER_REQUEST)
    }
}
