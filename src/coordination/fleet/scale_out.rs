//! Scaling out: covers demand with the machines that exist, the cheapest first, and requests
//! machines for the rest from the cloud in new node pools.

use std::cmp::Reverse;

use tokio::time::Instant;

use crate::coordination::fleet::catalog::MachineTypeId;
use crate::coordination::fleet::demand::{Demand, DemandGroup};
use crate::coordination::fleet::instance_offers::InstanceOffer;
use crate::coordination::fleet::machine::{Machine, Phase};
use crate::coordination::fleet::offer_selection::OfferNeed;
use crate::coordination::leader::Leader;
use crate::maps::HashSet;
use crate::numeric::{count_u32, whole_u32};
use crate::protocol::workers::MachineId;

/// Machines to be requested from the cloud.
#[derive(Debug)]
pub(crate) struct ScaleOutRequest {
    /// The requested offer.
    pub(crate) offer: InstanceOffer,
    /// The number of machines.
    pub(crate) count: u32,
}

/// Machines of one offer that can cover demand.
#[derive(Debug)]
struct Supply {
    /// Their type and zone, and whether they are spot machines.
    offer: InstanceOffer,
    /// The number of them that no group has claimed yet; a group may claim a fraction of a machine.
    unclaimed: f64,
}

/// A machine that exists, as a supply of one machine.
#[derive(Debug)]
struct ExistingMachine {
    /// The machine's name.
    id: MachineId,
    /// The part of it that is not claimed yet.
    supply: Supply,
}

/// The need of a group that is not covered yet, in units (CPUs or GPUs).
struct UnmetNeed<'a> {
    /// The group.
    group: &'a DemandGroup,
    /// The group's demand as measured.
    demand: &'a Demand,
    /// Units that no machine covers yet; zero or less once all are covered.
    units: f64,
    /// Units that on-demand machines cover and that spot machines might cover instead.
    on_demand_units: f64,
}

/// The fraction of a machine that may be missing without another machine being requested.
const TOLERATED_SHORTFALL: f64 = 0.05;
/// A machine counts as needed if a group claims more than this fraction of it.
const MIN_NEEDED_FRACTION: f64 = 0.2;
/// Up to this number of machines is a minority, however small the total.
const MAX_ALWAYS_MINORITY: usize = 2;

/// Whether the affected machines (`count` of `all`) are so few, at most half, that the fault is more
/// likely on their side than on the leader's.
fn is_minority(count: usize, all: usize) -> bool {
    count * 2 <= all.max(1) || count <= MAX_ALWAYS_MINORITY
}

impl UnmetNeed<'_> {
    /// Claims up to `units` of the supply, of which each machine takes `units_per_machine`.
    /// Returns the number of machines claimed, which may be a fraction.
    fn claim(&mut self, supply: &mut Supply, units: f64, units_per_machine: f64) -> f64 {
        let machines = (units / units_per_machine).min(supply.unclaimed);
        supply.unclaimed -= machines;
        self.units -= machines * units_per_machine;
        machines
    }
}

impl Leader {
    /// Covers every group's need with existing machines, the cheapest first, and creates node pools
    /// for the rest. Returns the machines that are needed.
    pub(crate) fn scale_out(&mut self, now: Instant) -> HashSet<MachineId> {
        let demand = self.autoscaler.demand.iter();
        let mut groups: Vec<(DemandGroup, Demand)> =
            demand.map(|(group, demand)| (group.clone(), demand.clone())).collect();
        // Groups with the fewest choices come first.
        groups.sort_by_key(|(group, _)| {
            (group.machine_types.len(), group.zone.is_none(), group.spot, group.clone())
        });
        let mut existing = self.existing_machines(now);
        let mut pending = self.pending_supply();
        let mut needed = HashSet::default();
        let mut requests: Vec<ScaleOutRequest> = Vec::new();
        for (group, demand) in &groups {
            let units = self.target_capacity(now, group, demand);
            let mut need = UnmetNeed { group, demand, units, on_demand_units: 0.0 };
            self.claim_existing(&mut need, &mut existing, &mut needed);
            self.claim_pending(&mut need, &mut pending);
            self.request_missing(now, need, &mut requests);
        }
        for request in requests {
            self.create_node_pool(now, request);
        }
        needed
    }

    /// The machines that exist and may be relied on, in no particular order.
    ///
    /// A machine that the leader's replies do not reach (a one-way partition) does no work. It is
    /// excluded, and scaled in once it is empty, unless most machines are affected: then the fault
    /// is more likely on the leader's side.
    pub(super) fn reliable_machines(&self, now: Instant) -> Vec<&Machine> {
        let detector = self.liveness.detector(now, &self.config, &self.machines);
        let partitioned = self.machines.values().filter(|machine| machine.worker.one_way_partitioned).count();
        let excludes_partitioned = is_minority(partitioned, self.machines.len());
        let is_usable = |machine: &&Machine| {
            let is_up_or_booting = machine.phase != Phase::Deleting;
            let is_healthy = !machine.cordoned && machine.preempted_at.is_none();
            let is_excluded = machine.worker.one_way_partitioned && excludes_partitioned;
            is_up_or_booting && is_healthy && !detector.is_suspected(machine) && !is_excluded
        };
        self.machines.values().filter(is_usable).collect()
    }

    /// The machines that may be relied on, the cheapest first.
    fn existing_machines(&self, now: Instant) -> Vec<ExistingMachine> {
        let mut existing: Vec<ExistingMachine> =
            self.reliable_machines(now).into_iter().map(ExistingMachine::of).collect();
        // At the same price, machines with the most tasks come first, so that the others become
        // empty. Prices are not negative, so their bit patterns are in the same order.
        existing.sort_by_cached_key(|existing| {
            let offer = &existing.supply.offer;
            let price = self.price_per_cpu(offer.machine_type, offer.spot).to_bits();
            let tasks = self.machines.get(&existing.id).map_or(0, |machine| machine.slots.len());
            (price, Reverse(tasks), existing.id.clone())
        });
        existing
    }

    /// The machines of pending node pools, which count as if they existed.
    fn pending_supply(&self) -> Vec<Supply> {
        self.node_pools
            .values()
            .filter(|pool| pool.is_pending())
            .map(|pool| {
                let request = &pool.record.request;
                Supply { offer: self.offer_of(request), unclaimed: f64::from(request.machine_count) }
            })
            .collect()
    }

    /// The number of units that a group's machines should be able to run at the same time.
    fn target_capacity(&self, now: Instant, group: &DemandGroup, demand: &Demand) -> f64 {
        let tuning = &self.config.tuning;
        // Work that may wait is queued for a while, so no headroom is kept ready for it.
        let steady_target = if group.delay_tolerant {
            demand.mean * tuning.delay_tolerant_ratio
        } else {
            demand.mean * tuning.mean_ratio + demand.standard_deviation() * tuning.headroom
        };
        let backlog_target = demand.mean + demand.backlog_rate;
        let unfinished = demand.active + demand.pending;
        // After a boot time without work, keeping machines ready costs more than it saves.
        let is_long_idle = demand.idle_since.is_some_and(|since| now > since + self.catalog.longest_boot());
        let target = if is_long_idle { 0.0 } else { steady_target.max(backlog_target.min(unfinished)) };
        tracing::debug!(
            spot = group.spot,
            mean = demand.mean,
            standard_deviation = demand.standard_deviation(),
            active = demand.active,
            pending = demand.pending,
            target,
            "demand of group measured"
        );
        target
    }

    /// Claims existing machines for a group's need, and adds them to the needed ones.
    fn claim_existing(
        &self,
        need: &mut UnmetNeed<'_>,
        existing: &mut [ExistingMachine],
        needed: &mut HashSet<MachineId>,
    ) {
        for ExistingMachine { id, supply } in existing {
            if need.units <= 0.0 {
                break;
            }
            let units_per_machine = self.units_per_machine(supply.offer.machine_type, need);
            if supply.unclaimed <= 0.0 || units_per_machine <= 0.0 || !need.group.allows(&supply.offer) {
                continue;
            }
            let claimed = need.claim(supply, need.units, units_per_machine);
            if !supply.offer.spot {
                need.on_demand_units += claimed * units_per_machine;
            }
            // The first machine that is claimed counts as needed, however little of it is claimed.
            if claimed > MIN_NEEDED_FRACTION || needed.is_empty() {
                needed.insert(id.clone());
            }
        }
    }

    /// Claims pending machines for the need that is not covered yet or covered by on-demand machines.
    fn claim_pending(&self, need: &mut UnmetNeed<'_>, pending: &mut [Supply]) {
        for supply in pending {
            let units_per_machine = self.units_per_machine(supply.offer.machine_type, need);
            let units = need.units + need.on_demand_units;
            if units > 0.0 && units_per_machine > 0.0 && need.group.allows(&supply.offer) {
                need.claim(supply, units, units_per_machine);
            }
        }
    }

    /// Requests machines for the need that no machine covers.
    ///
    /// Many machines are missing at once after a burst of submissions. One tick makes up to as many
    /// requests as the cloud accepts in a second, but always allows one for each group.
    fn request_missing(&self, now: Instant, mut need: UnmetNeed<'_>, requests: &mut Vec<ScaleOutRequest>) {
        if need.units > 0.0 {
            let max_requests = whole_u32(self.config.settings.cluster.cloud.rps.max(1.0));
            let request_count = count_u32(requests.len());
            for _ in 0..max_requests.saturating_sub(request_count).max(1) {
                let Some(request) = self.choose_offer_for_units(now, &need, need.units, requests) else {
                    break;
                };
                let units_per_machine = self.units_per_machine(request.offer.machine_type, &need);
                need.units -= f64::from(request.count) * units_per_machine;
                requests.push(request);
            }
        } else if need.group.spot && need.units + need.on_demand_units > 0.0 {
            // On-demand machines run work that spot machines could run. Spot machines are requested
            // if available; the on-demand machines then become empty and are scaled in.
            let units = need.units + need.on_demand_units;
            let request = self.choose_offer_for_units(now, &need, units, requests);
            requests.extend(request.filter(|request| request.offer.spot));
        }
    }

    /// Returns the cheapest request that covers `units` of a group's need, apart from a shortfall
    /// that is tolerated, in addition to the requests in `chosen`.
    fn choose_offer_for_units(
        &self,
        now: Instant,
        need: &UnmetNeed<'_>,
        units: f64,
        chosen: &[ScaleOutRequest],
    ) -> Option<ScaleOutRequest> {
        let machines_needed = |offer: &InstanceOffer| {
            let units_per_machine = self.units_per_machine(offer.machine_type, need);
            if units_per_machine <= 0.0 {
                return 0;
            }
            whole_u32((units / units_per_machine - TOLERATED_SHORTFALL).ceil().max(0.0))
        };
        self.choose_offer(now, &OfferNeed { group: need.group, machines_needed: &machines_needed }, chosen)
    }

    /// The units of a group's work that fit on a machine of the type; none if the type is unknown.
    fn units_per_machine(&self, id: MachineTypeId, need: &UnmetNeed<'_>) -> f64 {
        self.catalog.get(id).map_or(0.0, |machine_type| need.demand.units_on(machine_type, need.group.gpus))
    }
}

impl ExistingMachine {
    /// Creates the supply of a machine of which no group has claimed any part yet.
    fn of(machine: &Machine) -> Self {
        let supply = Supply { offer: InstanceOffer::of(machine), unclaimed: 1.0 };
        ExistingMachine { id: machine.id.clone(), supply }
    }
}
