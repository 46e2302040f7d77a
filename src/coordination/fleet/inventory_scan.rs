//! Handling of the cloud's inventory. Whether it lists a machine is only a hint: it does not prove
//! that the machine exists or is gone.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::inventory::InventoryScan;
use crate::coordination::fleet::machine::Phase;
use crate::coordination::leader::Leader;
use crate::coordination::leader::effects::CloudQuery;
use crate::protocol::cloud::{InventoryPage, ListedMachine, ListedState};

/// The minimum lag assumed for the inventory, in seconds.
const MIN_INVENTORY_LAG_S: f64 = 1.0;
/// Unregistered machines are registered only from scans that start at least this long after the
/// failover's snapshot, in multiples of the inventory's lag. An earlier scan may still list
/// machines that a previous leader deleted.
const MIN_SCAN_DELAY_LAGS: u32 = 2;
/// The time after its request within which a machine should appear in the inventory, in multiples
/// of the inventory's lag.
const LAGS_UNTIL_LISTED: u32 = 4;
/// The time without a heartbeat after which a machine counts as silent, in heartbeat intervals.
const SILENT_INTERVALS: f64 = 1.5;
/// The number of consecutive scans that do not list a silent machine after which it is deleted.
const MAX_MISSED_SCANS: u32 = 2;

impl Leader {
    /// The expected lag of the cloud's inventory; at least a second.
    pub(crate) fn inventory_lag(&self) -> Duration {
        Duration::from_secs_f64(self.config.settings.cluster.cloud.list_lag_s.max(MIN_INVENTORY_LAG_S))
    }

    /// Handles a page of the current scan: registers and updates the machines that it lists,
    /// deletes those that have failed, and requests the next page or completes the scan.
    pub(crate) fn handle_inventory_page(&mut self, now: Instant, page: &InventoryPage) {
        let Some(mut scan) = self.inventory.take_scan() else { return };
        let mut failed = Vec::new();
        let lists_no_deleted_machines =
            scan.started_at >= self.failover.snapshot_at() + self.inventory_lag() * MIN_SCAN_DELAY_LAGS;
        for listed in &page.machines {
            scan.seen.insert(listed.machine.clone());
            if let Some(machine) = self.machines.get_mut(&listed.machine) {
                machine.record_listed(&listed.address);
                if listed.state == ListedState::Failed && machine.phase != Phase::Deleting {
                    failed.push(machine.id.clone());
                }
            } else if lists_no_deleted_machines {
                let ListedMachine { machine, machine_type, zone, spot, .. } = listed;
                self.record_unregistered(now, machine, machine_type, zone, *spot);
            }
        }
        if !failed.is_empty() {
            tracing::info!(count = failed.len(), "machines failed in the cloud; deletion requested");
            self.delete_machines(now, &failed);
        }
        match page.machines.last() {
            Some(last) if page.more => {
                let from = last.machine.as_str().to_owned();
                self.inventory.resume(scan);
                self.outbox.read_cloud(CloudQuery::Machines { from });
            }
            _ => {
                self.inventory.complete(now);
                self.delete_unlisted(now, &scan);
            }
        }
    }

    /// Deletes silent machines that several consecutive scans did not list.
    ///
    /// A machine that is no longer listed is probably gone, but the scan may also show an older
    /// state than an earlier scan. Deleting the machine proves that it is gone, and costs nothing.
    fn delete_unlisted(&mut self, now: Instant, scan: &InventoryScan) {
        let cluster = &self.config.settings.cluster;
        let time_until_listed = Duration::from_secs_f64(cluster.cloud.list_lag_s) * LAGS_UNTIL_LISTED;
        let silence = cluster.workers.heartbeat_interval().mul_f64(SILENT_INTERVALS);
        let snapshot_at = self.failover.snapshot_at();
        let mut unlisted = Vec::new();
        for machine in self.machines.values_mut() {
            if scan.seen.contains(&machine.id) || machine.phase == Phase::Deleting {
                continue;
            }
            let should_be_listed =
                machine.listing.was_listed || machine.requested_at + time_until_listed < scan.started_at;
            let is_silent = machine.worker.heartbeat_at.unwrap_or(snapshot_at) + silence < now;
            if should_be_listed && is_silent {
                machine.listing.missed_scans += 1;
                if machine.listing.missed_scans >= MAX_MISSED_SCANS {
                    unlisted.push(machine.id.clone());
                }
            }
        }
        if !unlisted.is_empty() {
            tracing::info!(
                count = unlisted.len(),
                "machines no longer listed by the cloud; deletion requested"
            );
            self.delete_machines(now, &unlisted);
        }
    }
}
