//! What follows from the cloud's inventory. What it shows or leaves out is a reason to look
//! closer, never a proof.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::inventory::InventoryScan;
use crate::coordination::fleet::machine::Phase;
use crate::coordination::leader::Leader;
use crate::coordination::leader::effects::CloudQuery;
use crate::protocol::cloud::{InventoryPage, ListedState};

impl Leader {
    /// How old the machine list usually is.
    pub(crate) fn inventory_lag(&self) -> Duration {
        Duration::from_secs_f64(self.config.settings.cluster.cloud.list_lag_s.max(1.0))
    }

    pub(crate) fn handle_inventory_page(&mut self, now: Instant, page: InventoryPage) {
        let Some(mut round) = self.inventory.take_scan() else { return };
        let mut failed = Vec::new();
        // A list as old as the takeover may still show what an earlier leader
        // has deleted.
        let young = round.started_at >= self.failover.snapshot_at() + self.inventory_lag() * 2;
        for listed in &page.machines {
            round.seen.insert(listed.machine.clone());
            match self.machines.get_mut(&listed.machine) {
                Some(m) => {
                    m.listing.was_listed = true;
                    m.listing.missed = 0;
                    if m.agent.address.is_empty() {
                        m.agent.address.clone_from(&listed.address);
                    }
                    if listed.state == ListedState::Failed && m.phase != Phase::Deleting {
                        failed.push(m.id.clone());
                    }
                }
                None if !young => {}
                None => {
                    self.record_unregistered(
                        now,
                        &listed.machine,
                        &listed.machine_type,
                        &listed.zone,
                        listed.spot,
                    );
                }
            }
        }
        if !failed.is_empty() {
            tracing::info!(count = failed.len(), "machines have stopped on their own");
            self.delete_machines(now, failed);
        }
        match page.machines.last() {
            Some(last) if page.more => {
                let from = last.machine.as_str().to_owned();
                self.inventory.resume(round);
                self.outbox.read_cloud(CloudQuery::Machines { from });
            }
            _ => {
                self.inventory.complete(now);
                self.delete_unlisted(now, &round);
            }
        }
    }

    /// A machine that was listed and is no more is gone, unless the list is
    /// older than an earlier one. Its deletion proves it, and costs nothing.
    pub(crate) fn delete_unlisted(&mut self, now: Instant, round: &InventoryScan) {
        let cluster = &self.config.settings.cluster;
        let lag = Duration::from_secs_f64(cluster.cloud.list_lag_s);
        let quiet = cluster.workers.report().mul_f64(1.5);
        let loaded_at = self.failover.snapshot_at();
        let mut lost = Vec::new();
        for m in self.machines.values_mut() {
            if round.seen.contains(&m.id) || m.phase == Phase::Deleting {
                continue;
            }
            let old_enough = m.listing.was_listed || m.requested_at + lag * 4 < round.started_at;
            let silent = m.agent.heartbeat_at.unwrap_or(loaded_at) + quiet < now;
            if old_enough && silent {
                m.listing.missed += 1;
                if m.listing.missed >= 2 {
                    lost.push(m.id.clone());
                }
            }
        }
        if !lost.is_empty() {
            tracing::info!(count = lost.len(), "machines are not listed any more");
            self.delete_machines(now, lost);
        }
    }
}
