//! The handling of the cloud's inventory. That it lists a machine or does not is a reason to
//! look closer, never a proof.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::inventory::InventoryScan;
use crate::coordination::fleet::machine::Phase;
use crate::coordination::leader::Leader;
use crate::coordination::leader::effects::CloudQuery;
use crate::protocol::cloud::{InventoryPage, ListedMachine, ListedState};

/// The least lag that is assumed of the inventory, in seconds.
const MIN_LAG_S: f64 = 1.0;
/// How long after the snapshot a scan must begin for unregistered machines to be noticed in it, in
/// lags of the inventory: an earlier one may still list machines that an earlier leader has deleted.
const LAGS_AFTER_SNAPSHOT: u32 = 2;
/// The time after its request in which a machine appears in the inventory, in lags of the inventory.
const LAGS_UNTIL_LISTED: u32 = 4;
/// The time without a heartbeat after which a machine counts as silent, in heartbeat intervals.
const SILENT_INTERVALS: f64 = 1.5;
/// The number of scans in a row that do not list a silent machine after which it is deleted.
const MAX_MISSED_SCANS: u32 = 2;

impl Leader {
    /// How old the cloud's inventory usually is; at least a second.
    pub(crate) fn inventory_lag(&self) -> Duration {
        Duration::from_secs_f64(self.config.settings.cluster.cloud.list_lag_s.max(MIN_LAG_S))
    }

    /// Handles a page of the current scan: registers and updates the machines that it lists,
    /// deletes those that have failed, and reads the next page or completes the scan.
    pub(crate) fn handle_inventory_page(&mut self, now: Instant, page: &InventoryPage) {
        let Some(mut scan) = self.inventory.take_scan() else { return };
        let mut failed = Vec::new();
        let lists_no_deleted_machines =
            scan.started_at >= self.failover.snapshot_at() + self.inventory_lag() * LAGS_AFTER_SNAPSHOT;
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

    /// Deletes silent machines that several scans in a row did not list.
    ///
    /// A machine that was listed and is not any more is gone, unless the scan shows an older
    /// state than an earlier one. Its deletion proves that it is gone, and costs nothing.
    fn delete_unlisted(&mut self, now: Instant, scan: &InventoryScan) {
        let cluster = &self.config.settings.cluster;
        let time_until_listed = Duration::from_secs_f64(cluster.cloud.list_lag_s) * LAGS_UNTIL_LISTED;
        let silence = cluster.workers.heartbeat_interval().mul_f64(SILENT_INTERVALS);
        let snapshot_at = self.failover.snapshot_at();
        let mut gone = Vec::new();
        for machine in self.machines.values_mut() {
            if scan.seen.contains(&machine.id) || machine.phase == Phase::Deleting {
                continue;
            }
            let should_be_listed =
                machine.listing.was_listed || machine.requested_at + time_until_listed < scan.started_at;
            let is_silent = machine.agent.heartbeat_at.unwrap_or(snapshot_at) + silence < now;
            if should_be_listed && is_silent {
                machine.listing.missed += 1;
                if machine.listing.missed >= MAX_MISSED_SCANS {
                    gone.push(machine.id.clone());
                }
            }
        }
        if !gone.is_empty() {
            tracing::info!(count = gone.len(), "machines no longer listed by the cloud; deletion requested");
            self.delete_machines(now, &gone);
        }
    }
}
