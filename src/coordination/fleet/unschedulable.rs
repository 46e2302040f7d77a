//! Waiting tasks that no machine can take, and the machines that are requested for them.
//!
//! Scale out sizes the fleet by an estimate: the demand of each group in CPUs or GPUs, covered by
//! fractions of machines. The estimate decides how many machines to request ahead of the work. It
//! does not prove that a waiting task fits on any single machine. This check does: for each task
//! that has waited for longer than a machine with room would have needed to take it, it looks for a
//! machine that can take it now, that is booting or requested, or whose running tasks end soon. If
//! there is none, a machine that can hold the task is requested.
//!
//! Tasks with the same requirements are checked together, first fit, so that the cost of a check
//! depends on the number of different requirements and not on the number of tasks.

mod plan;

use std::collections::BTreeMap;

use tokio::time::Instant;

use self::plan::{Plan, Requirements, Room, WaitingShape, startable_tasks};

use crate::coordination::fleet::demand::DemandGroup;
use crate::coordination::fleet::instance_offers::InstanceOffer;
use crate::coordination::fleet::machine::Machine;
use crate::coordination::fleet::offer_selection::OfferNeed;
use crate::coordination::fleet::scale_out::ScaleOutRequest;
use crate::coordination::fleet::zone_limits::ZoneLimits;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::quota::QuotaId;
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::Leader;
use crate::maps::{HashMap, HashSet};
use crate::numeric::whole_usize;
use crate::protocol::jobs::JobId;
use crate::protocol::workers::MachineId;

/// A task is checked once it has waited for this many heartbeat intervals: every machine that was
/// up has then sent a heartbeat and could have taken it.
const MIN_WAIT_INTERVALS: u32 = 2;
/// The maximum number of different requirements that are checked in one tick. The others are
/// checked in the following ticks.
const MAX_SHAPES_PER_TICK: usize = 64;

impl Leader {
    /// Requests machines for waiting tasks that no machine can take. Returns the machines that
    /// waiting tasks rely on, which must not be scaled in.
    ///
    /// To be called once a second after the machines for the estimated demand were requested.
    pub(crate) fn provision_for_unschedulable(&mut self, now: Instant) -> HashSet<MachineId> {
        let first_shape = self.autoscaler.next_checked_shape;
        let shapes = self.waiting_shapes(now);
        let all = shapes.len();
        if all == 0 {
            return HashSet::default();
        }
        let mut checked: Vec<(Requirements<'_>, WaitingShape<'_>)> = Vec::new();
        for (index, shape) in shapes.into_iter().enumerate() {
            if (index + all - first_shape % all) % all < MAX_SHAPES_PER_TICK {
                checked.push(shape);
            }
        }
        // Tasks with the fewest choices come first, and larger tasks before smaller ones, which
        // find room more easily.
        checked.sort_by_cached_key(|(requirements, shape)| {
            let is_bound = requirements.machine_types.is_some() || requirements.zone.is_some();
            (!is_bound, requirements.spot, std::cmp::Reverse(shape.task.cpus.to_bits()))
        });
        let mut plan = Plan { rooms: self.rooms(now), ..Plan::default() };
        for (_, shape) in &checked {
            self.plan_shape(now, shape, &mut plan);
        }
        let Plan { relied_on, requests, .. } = plan;
        self.autoscaler.next_checked_shape = first_shape.wrapping_add(MAX_SHAPES_PER_TICK);
        for request in requests {
            self.create_node_pool(now, request);
        }
        relied_on
    }

    /// The waiting tasks that could start now if there were room for them, by their requirements.
    fn waiting_shapes(&self, now: Instant) -> BTreeMap<Requirements<'_>, WaitingShape<'_>> {
        let min_wait = self.config.settings.cluster.workers.heartbeat_interval() * MIN_WAIT_INTERVALS;
        let mut planned: HashMap<QuotaId, Resources> = HashMap::default();
        let mut shapes = BTreeMap::new();
        for job in self.jobs.values() {
            let has_waited = job.pending() > 0 && now >= job.waiting_since(now) + min_wait;
            if !has_waited || !self.could_start_with_capacity(now, job) {
                continue;
            }
            let count = self.plan_within_quota(job, &mut planned);
            if count > 0 {
                self.add_waiting(now, job, count, &mut shapes);
            }
        }
        shapes
    }

    /// Whether only a lack of capacity can keep the job's tasks from starting, apart from the limit
    /// of its team.
    fn could_start_with_capacity(&self, now: Instant, job: &Job) -> bool {
        let is_reconciled = self.failover.is_complete() || job.tasks.unreconciled_below == 0;
        let may_hold_orphan_tasks = job.not_before.is_some_and(|not_before| now < not_before);
        is_reconciled && !may_hold_orphan_tasks && !job.must_back_off(now)
    }

    /// How many of the job's waiting tasks its team's limit allows, beside those in `planned`; adds
    /// them there.
    fn plan_within_quota(&self, job: &Job, planned: &mut HashMap<QuotaId, Resources>) -> u32 {
        let Some(team) = job.team else { return 0 };
        let task = Resources::of(job.spec());
        let quota = self.quotas.get(team);
        let planned = planned.entry(team).or_default();
        let mut left = quota.limit;
        left.sub(&quota.used);
        left.sub(self.queue.unreconciled_capacity());
        left.sub(planned);
        let count = job.pending().min(task.times_in(&left));
        planned.add(&task.times(count));
        count
    }

    /// Adds waiting tasks of a job. The first task of a starved job is checked on its own.
    fn add_waiting<'a>(
        &self,
        now: Instant,
        job: &'a Job,
        count: u32,
        shapes: &mut BTreeMap<Requirements<'a>, WaitingShape<'a>>,
    ) {
        let spec = job.spec();
        let task = Resources::of(spec);
        let is_starved = self.is_starved(job, now);
        let is_checked_apart = is_starved || spec.one_zone || spec.spread;
        let requirements = Requirements {
            resources: [task.cpus, task.gpus, task.memory_gb].map(f64::to_bits),
            machine_types: spec.machine_types.as_deref(),
            zone: spec.zone.as_deref(),
            spot: spec.spot,
            is_service: job.is_service(),
            job: is_checked_apart.then(|| job.id()),
        };
        let count = if is_starved { 1 } else { count };
        let shape = shapes.entry(requirements).or_insert(WaitingShape { job, task, count: 0, is_starved });
        shape.count = shape.count.saturating_add(count);
    }

    /// Room on the machines that may be relied on, and on those that were requested.
    fn rooms(&self, now: Instant) -> Vec<Room<'_>> {
        let reserved: HashMap<&MachineId, &JobId> = self.reserved_machines(now);
        let relied_on = self.reliable_machines(now).into_iter().filter(|machine| {
            // Nothing is placed on these even if they have room.
            !machine.need.is_draining && !machine.has_orphan_tasks
        });
        let rooms = relied_on.map(|machine| Room {
            machine: Some(machine),
            offer: InstanceOffer::of(machine),
            free: machine.free,
            reserved_for: reserved.get(&machine.id).copied(),
            ending: None,
        });
        let mut plan = Plan { rooms: rooms.collect(), ..Plan::default() };
        for pool in self.node_pools.values().filter(|pool| pool.is_pending()) {
            let offer = self.offer_of(&pool.record.request);
            let capacity = self.catalog.resources(offer.machine_type);
            plan.add_requested(&offer, capacity, pool.record.request.machine_count);
        }
        plan.rooms
    }

    /// The machines that are reserved for jobs that are still starved.
    fn reserved_machines(&self, now: Instant) -> HashMap<&MachineId, &JobId> {
        let is_starved = |job: &JobId| self.jobs.get(job).is_some_and(|job| self.is_starved(job, now));
        let reservations = self.queue.reservations().filter(|(job, _)| is_starved(job));
        reservations.map(|(job, machine)| (machine, job)).collect()
    }

    /// Plans the tasks of one shape, and a request for machines for those that none can take.
    fn plan_shape<'a>(&'a self, now: Instant, shape: &WaitingShape<'_>, plan: &mut Plan<'a>) {
        let spec = shape.job.spec();
        let group = DemandGroup {
            machine_types: self.catalog.feasible_types(spec),
            zone: spec.zone.clone(),
            spot: spec.spot,
            gpus: spec.gpus > 0.0,
            delay_tolerant: false,
        };
        let mut zones = self.zone_limits(shape.job);
        let remaining = plan.place(shape, &group, &mut zones, shape.count);
        let max_requests = whole_usize(self.config.settings.cluster.cloud.rps.max(1.0));
        let waits_for_others =
            !shape.is_starved && self.fit_soon(now, shape, &group, &zones, remaining, plan);
        if remaining == 0 || waits_for_others || plan.requests.len() >= max_requests {
            return;
        }
        let machines_needed = |offer: &InstanceOffer| {
            let tasks = remaining.min(zones.allowed_in(&offer.zone));
            let per_machine = shape.task.times_in(&self.catalog.resources(offer.machine_type));
            tasks.checked_div(per_machine).map_or(0, |_| tasks.div_ceil(per_machine))
        };
        let need = OfferNeed { group: &group, machines_needed: &machines_needed };
        let Some(request) = self.choose_offer(now, &need, &plan.requests) else { return };
        let ScaleOutRequest { offer, count } = &request;
        tracing::info!(
            job = %shape.job.id(),
            waiting = remaining,
            starved = shape.is_starved,
            zone = %offer.zone,
            count,
            "no machine can take waiting tasks"
        );
        plan.add_requested(offer, self.catalog.resources(offer.machine_type), *count);
        plan.requests.push(request);
        plan.place(shape, &group, &mut zones, remaining);
    }

    /// Whether enough tasks of the shape fit on machines once the tasks there that end soon have
    /// ended. All replicas of a service are to run at the same time. The tasks of an array may also
    /// follow each other; the estimate of the demand decides how many of them run at once.
    fn fit_soon(
        &self,
        now: Instant,
        shape: &WaitingShape<'_>,
        group: &DemandGroup,
        zones: &ZoneLimits,
        remaining: u32,
        plan: &mut Plan<'_>,
    ) -> bool {
        let wanted = if shape.job.is_service() { remaining } else { remaining.min(1) };
        let mut found: u32 = 0;
        for room in &mut plan.rooms {
            if found >= wanted {
                break;
            }
            let allowed = zones.allowed_in(&room.offer.zone);
            let Some(machine) = room.machine.filter(|_| allowed > 0 && room.allows(shape, group)) else {
                continue;
            };
            let mut free = room.free;
            free.add(room.ending.get_or_insert_with(|| self.ending_soon(now, machine)));
            found = found.saturating_add(startable_tasks(&shape.task, &free).min(allowed));
        }
        found >= wanted
    }

    /// The capacity of the machine's tasks that are expected to end before a new machine would have
    /// booted.
    fn ending_soon(&self, now: Instant, machine: &Machine) -> Resources {
        let boot = self.catalog.longest_boot();
        let mut ending = Resources::default();
        for (task, slot) in &machine.slots {
            if self.time_to_end(now, task, slot).is_some_and(|left| left <= boot) {
                ending.add(&slot.resources);
            }
        }
        ending
    }

    /// The zones in which waiting tasks of the job may start, given its tasks on machines.
    fn zone_limits(&self, job: &Job) -> ZoneLimits {
        let machines = job.tasks.assigned.values().filter_map(|id| self.machines.get(id));
        ZoneLimits::new(job.spec(), machines.map(|machine| machine.zone.as_str()))
    }
}
