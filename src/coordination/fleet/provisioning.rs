//! The lifecycle of a node pool. Its record is written before the cloud is called, and the request
//! is repeated under the pool's name until the cloud answers. The name makes the request idempotent.

use tokio::time::Instant;

use crate::coordination::fleet::cloud::{CloudCall, CloudError, CloudReply, CloudResult};
use crate::coordination::fleet::instance_offers::InstanceOffer;
use crate::coordination::fleet::machine::UseRecord;
use crate::coordination::fleet::node_pool::NodePool;
use crate::coordination::fleet::scale_out::ScaleOutRequest;
use crate::coordination::leader::Leader;
use crate::coordination::leader::effects::PendingOperation;
use crate::protocol::cloud::NodePoolRequest;
use crate::protocol::kv::{Change, Compare};
use crate::storage::kv::{KvError, RequestClass};
use crate::storage::records::{NodePoolRecord, node_pool_key};

impl Leader {
    /// Writes a node pool's record, or deletes it if no machine is left. Only one write at a time is
    /// in flight; a change during a write causes another write after it.
    pub(crate) fn write_node_pool(&mut self, name: &str) {
        let Some(pool) = self.node_pools.get_mut(name) else { return };
        if pool.write_in_flight {
            pool.rewrite_needed = true;
            return;
        }
        pool.write_in_flight = true;
        pool.rewrite_needed = false;
        let key = node_pool_key(name);
        let compares = vec![Compare { key: key.clone(), version: pool.version }];
        let change = if pool.is_empty() {
            Change::Delete { key }
        } else {
            Change::Put { key, value: pool.record.encode(), lease: None }
        };
        // No task starts on a machine before its use is recorded. The first jobs wait for the
        // machines that were up before any were requested. The first write of their records is
        // therefore sent with the priority of admissions; otherwise it would be sent after all
        // waiting ones.
        let has_existing_machines = pool.version == 0 && !pool.is_pending();
        let class = if has_existing_machines { RequestClass::Admission } else { RequestClass::Completion };
        self.commit(PendingOperation::WriteNodePool(name.to_owned()), class, compares, vec![change]);
    }

    /// The offer that a pool's machines are requested from.
    pub(super) fn offer_of(&self, request: &NodePoolRequest) -> InstanceOffer {
        let machine_type = self.catalog.id_of(&request.machine_type);
        InstanceOffer { machine_type, zone: request.zone.clone(), spot: request.spot }
    }

    /// Creates a node pool. Its machines are requested from the cloud once its record is written.
    pub(crate) fn create_node_pool(&mut self, now: Instant, request: ScaleOutRequest) {
        let ScaleOutRequest { offer: InstanceOffer { machine_type, zone, spot }, count } = request;
        let Some(machine_type) = self.catalog.get(machine_type).map(|listed| listed.name.clone()) else {
            return;
        };
        let name = self.node_pools.next_name(self.epoch());
        tracing::info!(node_pool = %name, %machine_type, %zone, spot, count, "node pool created");
        let request = NodePoolRequest { name: name.clone(), machine_type, zone, spot, machine_count: count };
        let record = NodePoolRecord { request, machines: None, machines_used: Default::default() };
        self.node_pools.insert(NodePool::new(record, 0, now));
        self.write_node_pool(&name);
    }

    /// Handles the result of a write of a node pool's record. After a success the machines whose
    /// use is recorded may get tasks, and a new pool's machines are requested from the cloud.
    pub(crate) fn handle_node_pool_written(
        &mut self,
        now: Instant,
        name: &str,
        result: Result<u64, KvError>,
    ) {
        let Some(pool) = self.node_pools.get_mut(name) else { return };
        pool.write_in_flight = false;
        match result {
            Ok(version) => pool.version = version,
            Err(KvError::Fenced) => return,
            Err(error) => {
                tracing::error!(node_pool = %name, ?error, "write of node pool record failed");
                // The write stays marked as in flight, so that the record is not written again in
                // this epoch.
                pool.write_in_flight = true;
                return;
            }
        }
        if pool.rewrite_needed {
            // Changes since the write was sent are not stored yet; the next write includes them.
            return self.write_node_pool(name);
        }
        if pool.is_empty() {
            self.node_pools.remove(name);
            return;
        }
        for id in pool.record.machines_used.clone() {
            if let Some(machine) = self.machines.get_mut(&id) {
                machine.use_record = UseRecord::Recorded;
            }
        }
        if self.node_pools.get(name).is_some_and(NodePool::is_pending) {
            self.provision_node_pool(now, name);
        }
    }

    /// Requests a pool's machines from the cloud, unless its record is not stored yet, the request
    /// is in flight, or this controller may no longer act as the leader.
    pub(crate) fn provision_node_pool(&mut self, now: Instant, name: &str) {
        let Ok(permit) = self.term.leader_permit(now) else { return };
        let Some(pool) = self.node_pools.get_mut(name) else { return };
        if pool.request_in_flight || pool.version == 0 {
            return;
        }
        pool.request_in_flight = true;
        pool.requested_at = now;
        let request = pool.record.request.clone();
        self.outbox.change_cloud(
            permit,
            PendingOperation::ProvisionNodePool(name.to_owned()),
            CloudCall::Provision(request),
        );
    }

    /// Handles the result of a pool's request to the cloud: registers the machines, and backs off from
    /// the offer if there were fewer machines than requested.
    pub(crate) fn handle_node_pool_provisioned(&mut self, now: Instant, name: &str, result: CloudResult) {
        let Some(pool) = self.node_pools.get_mut(name) else { return };
        pool.request_in_flight = false;
        pool.requested_at = now;
        let request = pool.record.request.clone();
        let is_short = match result {
            Ok(CloudReply::Provisioned(machines)) => {
                let is_short = u32::try_from(machines.len()).is_ok_and(|count| count < request.machine_count);
                pool.record.machines = Some(machines);
                is_short
            }
            Err(CloudError::NoCapacity | CloudError::Rejected) => {
                pool.record.machines = Some(Vec::new());
                true
            }
            // The outcome is unknown. The same request is repeated, and the response to it lists the
            // machines that the first request obtained.
            _ => return,
        };
        let offer = self.offer_of(&request);
        self.write_node_pool(name);
        self.register_pool_machines(now, name);
        if is_short {
            let boot_s = self.catalog.boot_s(offer.machine_type);
            self.autoscaler.backoffs.record_shortage(now, offer, boot_s);
        } else {
            self.autoscaler.backoffs.clear(&offer);
        }
    }
}
