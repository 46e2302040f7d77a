//! The life of a node pool: its record is written before the cloud is asked, and asked again
//! under its own name until the cloud answers.

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

/// The boot time assumed of a machine type that is not known, in seconds.
pub(crate) const UNKNOWN_BOOT_S: f64 = 30.0;

impl Leader {
    /// Writes a fleet record, one write at a time.
    pub(crate) fn write_node_pool(&mut self, name: &str) {
        let Some(pool) = self.node_pools.get_mut(name) else { return };
        if pool.write_in_flight {
            pool.rewrite_needed = true;
            return;
        }
        pool.write_in_flight = true;
        pool.rewrite_needed = false;
        let key = node_pool_key(name);
        let conditions = vec![Compare { key: key.clone(), version: pool.version }];
        let change = if pool.is_empty() {
            Change::Delete { key }
        } else {
            Change::Put { key, value: pool.record.encode(), lease: None }
        };
        // Without the mark of a new machine nothing starts on it. Machines that were
        // there before anything was asked for are what the first jobs wait for:
        // their records do not queue behind a crowd of acceptances.
        let found = pool.version == 0 && pool.record.machines.is_some();
        let class = if found { RequestClass::Admission } else { RequestClass::Completion };
        self.commit(PendingOperation::WriteNodePool(name.to_owned()), class, conditions, vec![change]);
    }

    /// Records a rental; it is asked for once the record is written.
    pub(crate) fn create_node_pool(&mut self, now: Instant, request: ScaleOutRequest) {
        let ScaleOutRequest { offer: InstanceOffer { machine_type, zone, spot }, count } = request;
        let Some(machine_type) = self.catalog.get(machine_type).map(|k| k.name.clone()) else { return };
        let name = self.node_pools.next_name(self.epoch());
        tracing::info!(rental = %name, %machine_type, %zone, spot, count, "renting");
        let request = NodePoolRequest { name: name.clone(), machine_type, zone, spot, count };
        let record = NodePoolRecord { request, machines: None, machines_used: Default::default() };
        self.node_pools.insert(NodePool::new(record, 0, now));
        self.write_node_pool(&name);
    }

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
                tracing::error!(rental = %name, ?error, "a fleet record cannot be written");
                pool.write_in_flight = true;
                return;
            }
        }
        if pool.rewrite_needed {
            // What was marked since is not recorded yet; wait for the next.
            return self.write_node_pool(name);
        }
        if pool.is_empty() {
            self.node_pools.remove(name);
            return;
        }
        for id in pool.record.machines_used.clone() {
            if let Some(m) = self.machines.get_mut(&id) {
                m.use_record = UseRecord::Recorded;
            }
        }
        if self.node_pools.get(name).is_some_and(NodePool::is_pending) {
            self.provision_node_pool(now, name);
        }
    }

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

    pub(crate) fn handle_node_pool_provisioned(&mut self, now: Instant, name: &str, result: CloudResult) {
        let Some(pool) = self.node_pools.get_mut(name) else { return };
        pool.request_in_flight = false;
        pool.requested_at = now;
        let request = pool.record.request.clone();
        let is_short = match result {
            Ok(CloudReply::Provisioned(machines)) => {
                let is_short = (machines.len() as u32) < request.count;
                pool.record.machines = Some(machines);
                is_short
            }
            Err(CloudError::NoCapacity | CloudError::Rejected) => {
                pool.record.machines = Some(Vec::new());
                true
            }
            // Unknown: the same request again, which then tells what it got.
            _ => return,
        };
        let machine_type = self.catalog.id_of(&request.machine_type);
        let offer = InstanceOffer { machine_type, zone: request.zone.clone(), spot: request.spot };
        self.write_node_pool(name);
        self.register_pool_machines(now, name);
        if is_short {
            let boot_s = self.catalog.get(offer.machine_type).map_or(UNKNOWN_BOOT_S, |kind| kind.boot_s);
            self.autoscaler.backoffs.record_shortage(now, offer, boot_s.max(1.0));
        } else {
            self.autoscaler.backoffs.clear(&offer);
        }
    }
}
