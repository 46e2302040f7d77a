//! Handling of the results of calls to the cloud.

use tokio::time::Instant;

use crate::coordination::fleet::cloud::{CloudError, CloudReply, CloudResult};
use crate::coordination::leader::Leader;
use crate::coordination::leader::effects::PendingOperation;
use crate::protocol::cloud::{MachineType, encode_catalog};
use crate::storage::records::CATALOG;

impl Leader {
    /// Applies the result of a call to the cloud.
    pub(crate) fn apply_cloud_result(
        &mut self,
        now: Instant,
        operation: PendingOperation,
        result: CloudResult,
    ) {
        if result == Err(CloudError::Failed) {
            self.cloud_health.record_failure(now);
        }
        match (operation, result) {
            (PendingOperation::ReadCatalog, Ok(CloudReply::Catalog(types))) => {
                self.update_catalog(now, types);
            }
            (PendingOperation::ReadCatalog, _) => self.catalog.record_failed_read(now),
            (PendingOperation::ListMachines, Ok(CloudReply::MachinesListed(page))) => {
                self.handle_inventory_page(now, &page);
            }
            (PendingOperation::ListMachines, _) => self.inventory.abort(),
            (PendingOperation::ProvisionNodePool(name), result) => {
                self.handle_node_pool_provisioned(now, &name, result);
            }
            (PendingOperation::DeleteMachines(machines), Ok(_)) => {
                self.handle_machines_deleted(now, &machines);
            }
            (PendingOperation::DeleteMachines(machines), Err(_)) => self.handle_deletion_failed(&machines),
            _ => {}
        }
    }

    /// Updates the catalog with the cloud's machine types. A changed catalog is also stored, so that
    /// after a failover the new leader knows the types of its machines while the cloud is down.
    pub(crate) fn update_catalog(&mut self, now: Instant, types: Vec<MachineType>) {
        let change = self.catalog.update(now, types);
        if change.has_changed {
            self.write_singleton(CATALOG, encode_catalog(self.catalog.types()));
        }
        if change.is_first {
            self.register_all_machines(now);
        }
    }
}
