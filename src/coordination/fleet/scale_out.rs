//! Scaling out: demand is covered with the machines that exist, the cheapest first, and machines
//! for the rest are requested from the cloud in new node pools.

use std::cmp::Reverse;

use tokio::time::Instant;

use crate::coordination::fleet::catalog::MachineTypeId;
use crate::coordination::fleet::demand::{Demand, DemandGroup};
use crate::coordination::fleet::instance_offers::InstanceOffer;
use crate::coordination::fleet::machine::{Machine, Phase};
use crate::coordination::leader::Leader;
use crate::maps::HashSet;
use crate::numeric::{count_u32, whole_u32};
use crate::protocol::workers::MachineId;

/// A number of machines to be requested from the cloud.
#[derive(Debug)]
pub(crate) struct ScaleOutRequest {
    /// What is requested.
    pub(crate) offer: InstanceOffer,
    /// How many machines.
    pub(crate) count: u32,
}

/// Machines of one offer that demand can count on.
#[derive(Debug)]
struct Supply {
    /// Their type and zone, and whether they are spot machines.
    offer: InstanceOffer,
    /// How many of them no group has claimed yet; a group may claim a part of a machine.
    unclaimed: f64,
}

/// A machine that exists, as a supply of one.
#[derive(Debug)]
struct PresentMachine {
    /// The machine's name.
    id: MachineId,
    /// What of it is not claimed yet.
    supply: Supply,
}

/// What a group still needs, in units (CPUs or GPUs).
pub(super) struct UnmetNeed<'a> {
    /// The group.
    pub(super) group: &'a DemandGroup,
    /// The group's demand as measured.
    pub(super) demand: &'a Demand,
    /// Units that no machine covers yet; zero or less once all are covered.
    pub(super) units: f64,
    /// Units that on-demand machines cover, which spot machines might.
    pub(super) on_demand_units: f64,
}

/// The part of a machine below which the rest of a group's need does not keep a machine.
const MIN_USEFUL_SHARE: f64 = 0.2;
/// Up to this number of machines is a minority, however few there are in all.
const ALWAYS_MINORITY: usize = 2;

/// Whether so few of all machines are affected that the fault is more likely theirs than the
/// leader's.
fn is_minority(count: usize, all: usize) -> bool {
    count * 2 <= all.max(1) || count <= ALWAYS_MINORITY
}

impl UnmetNeed<'_> {
    /// Claims up to `units` of the supply, of which each machine takes `units_per_machine`.
    /// Returns the part of the supply that was claimed, in machines.
    fn claim(&mut self, supply: &mut Supply, units: f64, units_per_machine: f64) -> f64 {
        let machines = (units / units_per_machine).min(supply.unclaimed);
        supply.unclaimed -= machines;
        self.units -= machines * units_per_machine;
        machines
    }
}

impl Leader {
    /// Covers every group's need with machines, the cheapest first, and creates node pools for
    /// the rest. Returns the machines that are needed.
    pub(crate) fn scale_out(&mut self, now: Instant) -> HashSet<MachineId> {
        let demand = self.autoscaler.demand.iter();
        let mut groups: Vec<(DemandGroup, Demand)> =
            demand.map(|(group, demand)| (group.clone(), demand.clone())).collect();
        // Those with the fewest choices first.
        groups.sort_by_key(|(group, _)| {
            (group.machine_types.len(), group.zone.is_none(), group.spot, group.clone())
        });
        let mut present = self.present_machines(now);
        let mut pending = self.pending_supply();
        let mut needed = HashSet::default();
        let mut requests: Vec<ScaleOutRequest> = Vec::new();
        for (group, demand) in &groups {
            let units = self.target_capacity(now, group, demand);
            let mut need = UnmetNeed { group, demand, units, on_demand_units: 0.0 };
            self.claim_present(&mut need, &mut present, &mut needed);
            self.claim_pending(&mut need, &mut pending);
            self.request_missing(now, need, &mut requests);
        }
        for request in requests {
            self.create_node_pool(now, request);
        }
        needed
    }

    /// The machines that exist and may be counted on, the cheapest first.
    ///
    /// A machine that our replies do not reach (a one-way partition) does no work, and is scaled
    /// in once it is empty; unless most machines are like that, when the fault is more likely on
    /// this side.
    fn present_machines(&self, now: Instant) -> Vec<PresentMachine> {
        let detector = self.liveness.detector(now, &self.config, &self.machines);
        let partitioned = self.machines.values().filter(|machine| machine.agent.one_way_partitioned).count();
        let excludes_partitioned = is_minority(partitioned, self.machines.len());
        let is_usable = |machine: &&Machine| {
            let is_up_or_booting = machine.phase != Phase::Deleting;
            let is_healthy = !machine.cordoned && machine.preempted_at.is_none();
            let is_excluded = machine.agent.one_way_partitioned && excludes_partitioned;
            is_up_or_booting && is_healthy && !detector.is_suspected(machine) && !is_excluded
        };
        let mut present: Vec<PresentMachine> =
            self.machines.values().filter(is_usable).map(PresentMachine::of).collect();
        // At one price those with the most tasks, so that the others run empty.
        // Prices are not negative, so their bits are in the same order as the prices.
        present.sort_by_cached_key(|present| {
            let offer = &present.supply.offer;
            let price = self.price_per_cpu(offer.machine_type, offer.spot).to_bits();
            let tasks = self.machines.get(&present.id).map_or(0, |machine| machine.slots.len());
            (price, Reverse(tasks), present.id.clone())
        });
        present
    }

    /// The machines of pending node pools, which count as if they existed.
    fn pending_supply(&self) -> Vec<Supply> {
        self.node_pools
            .values()
            .filter(|pool| pool.is_pending())
            .map(|pool| {
                let request = &pool.record.request;
                let machine_type = self.catalog.id_of(&request.machine_type);
                let offer = InstanceOffer { machine_type, zone: request.zone.clone(), spot: request.spot };
                Supply { offer, unclaimed: f64::from(request.machine_count) }
            })
            .collect()
    }

    /// The units that a group's machines should be able to run at once.
    fn target_capacity(&self, now: Instant, group: &DemandGroup, demand: &Demand) -> f64 {
        let tuning = &self.config.tuning;
        // Work that may wait queues for a while instead of finding machines ready.
        let usual = if group.delay_tolerant {
            demand.mean * tuning.delay_tolerant_ratio
        } else {
            demand.mean * tuning.mean_ratio + demand.standard_deviation() * tuning.headroom
        };
        let backlog = demand.mean + demand.backlog_rate;
        let at_once = demand.active + demand.pending;
        // There was no work for as long as a machine takes to boot: keeping machines ready
        // costs more than it saves.
        let is_quiet = demand.idle_since.is_some_and(|since| now > since + self.catalog.longest_boot());
        let target = if is_quiet { 0.0 } else { usual.max(backlog.min(at_once)) };
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

    /// Claims what a group needs from the machines that exist, and adds those to the needed ones.
    fn claim_present(
        &self,
        need: &mut UnmetNeed<'_>,
        present: &mut [PresentMachine],
        needed: &mut HashSet<MachineId>,
    ) {
        for PresentMachine { id, supply } in present {
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
            if claimed > MIN_USEFUL_SHARE || needed.is_empty() {
                needed.insert(id.clone());
            }
        }
    }

    /// Claims what is still needed, or covered by on-demand machines, from the pending ones.
    fn claim_pending(&self, need: &mut UnmetNeed<'_>, pending: &mut [Supply]) {
        for supply in pending {
            let units_per_machine = self.units_per_machine(supply.offer.machine_type, need);
            let units = need.units + need.on_demand_units;
            if units > 0.0 && units_per_machine > 0.0 && need.group.allows(&supply.offer) {
                need.claim(supply, units, units_per_machine);
            }
        }
    }

    /// Requests machines for what no machine covers.
    ///
    /// Many are missing at once after a burst of submissions: then as many requests are made in
    /// one tick as the cloud accepts in a second, but at least one.
    fn request_missing(&self, now: Instant, mut need: UnmetNeed<'_>, requests: &mut Vec<ScaleOutRequest>) {
        if need.units > 0.0 {
            let per_second = whole_u32(self.config.settings.cluster.cloud.rps.max(1.0));
            let already = count_u32(requests.len());
            for _ in 0..per_second.saturating_sub(already).max(1) {
                let Some(request) = self.choose_offer(now, &need, need.units, requests) else { break };
                let units_per_machine = self.units_per_machine(request.offer.machine_type, &need);
                need.units -= f64::from(request.count) * units_per_machine;
                requests.push(request);
            }
        } else if need.group.spot && need.units + need.on_demand_units > 0.0 {
            // On-demand machines run what spot machines could: these are requested where they
            // are available; the others then run empty and are scaled in.
            let request = self.choose_offer(now, &need, need.units + need.on_demand_units, requests);
            requests.extend(request.filter(|request| request.offer.spot));
        }
    }

    /// Units of a group's work that a machine of the type takes; none if the type is unknown.
    pub(super) fn units_per_machine(&self, id: MachineTypeId, need: &UnmetNeed<'_>) -> f64 {
        self.catalog.get(id).map_or(0.0, |machine_type| need.demand.units_on(machine_type, need.group.gpus))
    }
}

impl PresentMachine {
    /// The machine, of which no group has claimed any part yet.
    fn of(machine: &Machine) -> Self {
        let offer = InstanceOffer {
            machine_type: machine.machine_type,
            zone: machine.zone.clone(),
            spot: machine.spot,
        };
        PresentMachine { id: machine.id.clone(), supply: Supply { offer, unclaimed: 1.0 } }
    }
}
