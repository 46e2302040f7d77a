//! The tick of the autoscaler, which compares demand with the fleet once a second.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::fleet::cloud_health::CLOUD_RETRY_PAUSE;
use crate::coordination::fleet::machine::Phase;
use crate::coordination::fleet::node_pool::NodePool;
use crate::coordination::leader::Leader;
use crate::coordination::leader::effects::CloudQuery;
use crate::maps::HashSet;
use crate::protocol::workers::MachineId;

/// The age at which the catalog is read again, in multiples of the inventory's lag.
const CATALOG_AGE_LAGS: u32 = 10;
/// The interval between reads while there is no catalog.
const CATALOG_RETRY: Duration = Duration::from_secs(1);
/// How many times the learned statistics are stored within the longest boot time.
const STATISTICS_WRITES_PER_BOOT: u32 = 5;

impl Leader {
    /// The tick of the autoscaler, to be called once a second: reads what is due from the cloud,
    /// measures demand, scales out, drains a machine if possible, and scales in. Nothing is scaled
    /// before there is a catalog.
    pub(crate) fn autoscale(&mut self, now: Instant) {
        self.read_due_catalog(now);
        if self.catalog.is_empty() {
            return;
        }
        self.begin_due_inventory_scan(now);
        self.retry_pending_node_pools(now);
        self.record_spot_use();
        self.measure_demand(now);
        self.save_due_statistics(now);
        self.liveness.record(now, &self.config, &self.machines);
        let mut needed = self.scale_out(now);
        needed.extend(self.provision_for_unschedulable(now));
        self.record_needed_machines(now, &needed);
        self.run_descheduler(now);
        self.scale_in(now);
    }

    /// Reads the catalog from the cloud if it is old.
    fn read_due_catalog(&mut self, now: Instant) {
        let max_age =
            if self.catalog.is_empty() { CATALOG_RETRY } else { self.inventory_lag() * CATALOG_AGE_LAGS };
        if !self.outbox.is_reading_catalog() && self.catalog.is_older_than(now, max_age) {
            self.outbox.read_cloud(CloudQuery::Catalog);
        }
    }

    /// Begins a scan of the cloud's inventory if the last one is old.
    fn begin_due_inventory_scan(&mut self, now: Instant) {
        if self.inventory.is_due(now, self.inventory_lag()) {
            self.inventory.begin(now);
            self.outbox.read_cloud(CloudQuery::Machines { from: String::new() });
        }
    }

    /// Repeats the requests of node pools that the cloud has not answered, including those of an
    /// earlier leader.
    fn retry_pending_node_pools(&mut self, now: Instant) {
        let is_due = |pool: &&NodePool| {
            let is_idle = !pool.write_in_flight && !pool.request_in_flight;
            pool.is_pending() && is_idle && pool.version > 0 && now >= pool.requested_at + CLOUD_RETRY_PAUSE
        };
        let due: Vec<String> =
            self.node_pools.values().filter(is_due).map(|pool| pool.name().to_owned()).collect();
        for name in due {
            self.provision_node_pool(now, &name);
        }
    }

    /// Records in the loss statistics that the spot machines that are up were in use for a second.
    fn record_spot_use(&mut self) {
        let up = self.machines.values().filter(|machine| machine.phase == Phase::Up);
        let spot_machines = up.filter(|machine| machine.spot).count();
        self.autoscaler.spot_losses.record_second_of_use(spot_machines);
    }

    /// Stores the learned statistics for the next leader if that is due.
    fn save_due_statistics(&mut self, now: Instant) {
        let interval = self.catalog.longest_boot() / STATISTICS_WRITES_PER_BOOT;
        if now > self.autoscaler.statistics_saved_at + interval {
            self.autoscaler.statistics_saved_at = now;
            self.save_statistics(now);
        }
    }

    /// Records on each machine whether demand relies on it, and if not, since when.
    fn record_needed_machines(&mut self, now: Instant, needed: &HashSet<MachineId>) {
        for machine in self.machines.values_mut() {
            let is_needed = needed.contains(&machine.id);
            machine.need.is_needed = is_needed;
            machine.need.unneeded_since =
                if is_needed { None } else { machine.need.unneeded_since.or(Some(now)) };
        }
    }
}
