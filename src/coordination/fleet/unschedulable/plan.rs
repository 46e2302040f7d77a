//! Plans waiting tasks on the machines of the fleet, first fit.

use crate::coordination::fleet::demand::DemandGroup;
use crate::coordination::fleet::instance_offers::InstanceOffer;
use crate::coordination::fleet::machine::Machine;
use crate::coordination::fleet::scale_out::ScaleOutRequest;
use crate::coordination::fleet::zone_limits::ZoneLimits;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::resources::Resources;
use crate::coordination::scheduling::ordering::MIN_FREE_CPUS;
use crate::maps::HashSet;
use crate::protocol::jobs::JobId;
use crate::protocol::workers::MachineId;

/// What waiting tasks require. Tasks with equal requirements are checked together.
///
/// The resources are compared by their bits, since they come from the users unchanged.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Requirements<'a> {
    /// The CPUs, GPUs and memory of one task.
    pub(super) resources: [u64; 3],
    /// The allowed machine types; `None` if all are allowed.
    pub(super) machine_types: Option<&'a [String]>,
    /// The only allowed zone, if any.
    pub(super) zone: Option<&'a str>,
    /// Whether spot machines are allowed.
    pub(super) spot: bool,
    /// Whether the tasks are replicas of a service.
    pub(super) is_service: bool,
    /// The job, if its tasks are checked apart from those of other jobs: it is starved, or the
    /// zones of its other tasks limit where these may start.
    pub(super) job: Option<&'a JobId>,
}

/// Waiting tasks with equal requirements.
#[derive(Debug)]
pub(super) struct WaitingShape<'a> {
    /// One of the jobs.
    pub(super) job: &'a Job,
    /// The resources of one task.
    pub(super) task: Resources,
    /// The number of tasks that could start now if machines had room for them.
    pub(super) count: u32,
    /// Whether the job is starved. It then no longer waits for the tasks of others to end.
    pub(super) is_starved: bool,
}

/// Room for tasks on a machine that exists or was requested.
#[derive(Debug)]
pub(super) struct Room<'a> {
    /// The machine; `None` if the cloud has not named it yet.
    pub(super) machine: Option<&'a Machine>,
    /// Its type and zone, and whether it is a spot machine.
    pub(super) offer: InstanceOffer,
    /// The capacity that no task takes and that is not planned for a waiting one.
    pub(super) free: Resources,
    /// The starved job that it is reserved for, if any.
    pub(super) reserved_for: Option<&'a JobId>,
    /// The capacity of its tasks that are expected to end soon, once it was determined.
    pub(super) ending: Option<Resources>,
}

/// The rooms of the fleet, and the machines that waiting tasks rely on.
#[derive(Debug, Default)]
pub(super) struct Plan<'a> {
    /// Room on machines that exist or were requested.
    pub(super) rooms: Vec<Room<'a>>,
    /// The machines on which waiting tasks are planned.
    pub(super) relied_on: HashSet<MachineId>,
    /// The requests for machines for tasks that no machine can take.
    pub(super) requests: Vec<ScaleOutRequest>,
}

impl Room<'_> {
    /// Whether tasks of the shape may start here, as far as the machine alone decides.
    pub(super) fn allows(&self, shape: &WaitingShape<'_>, group: &DemandGroup) -> bool {
        let is_reserved_for_another = self.reserved_for.is_some_and(|job| job != shape.job.id());
        !is_reserved_for_another && group.allows(&self.offer)
    }
}

/// How many tasks with these resources could start in the free capacity. Placement skips a machine
/// without free CPUs, even for a task that needs none.
pub(super) fn startable_tasks(task: &Resources, free: &Resources) -> u32 {
    if free.cpus < MIN_FREE_CPUS { 0 } else { task.times_in(free) }
}

impl<'a> Plan<'a> {
    /// Plans up to `count` tasks of the shape on machines that have room; returns how many are left.
    pub(super) fn place(
        &mut self,
        shape: &WaitingShape<'_>,
        group: &DemandGroup,
        zones: &mut ZoneLimits,
        count: u32,
    ) -> u32 {
        let mut remaining = count;
        for room in &mut self.rooms {
            if remaining == 0 {
                break;
            }
            if !room.allows(shape, group) {
                continue;
            }
            let placed = remaining
                .min(startable_tasks(&shape.task, &room.free))
                .min(zones.allowed_in(&room.offer.zone));
            if placed == 0 {
                continue;
            }
            remaining -= placed;
            room.free.sub(&shape.task.times(placed));
            zones.add(&room.offer.zone, placed);
            self.relied_on.extend(room.machine.map(|machine| machine.id.clone()));
        }
        remaining
    }

    /// Adds the machines of a request, which have not been named yet.
    pub(super) fn add_requested(&mut self, offer: &InstanceOffer, capacity: Resources, count: u32) {
        let room =
            || Room { machine: None, offer: offer.clone(), free: capacity, reserved_for: None, ending: None };
        self.rooms.extend((0..count).map(|_| room()));
    }
}
