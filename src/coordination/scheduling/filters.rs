//! Filters: which machines a task may be placed on at all, and whether its team's quota
//! allows it.

use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::Leader;
use crate::protocol::jobs::JobSpec;

impl Leader {
    /// Whether the machine passes all filters for the job's next task.
    pub(crate) fn passes_filters(&self, job: &Job, machine: &Machine) -> bool {
        let spec = job.spec();
        machine.is_schedulable()
            && Resources::of(spec).fits(&machine.free)
            && self.allows_machine(spec, machine)
            && !has_unassigned_task(job, machine)
            && !lists_waiting_task(job, machine)
            && (!spec.one_zone || self.is_in_zone_of_job(spec, machine))
            && (!spec.spread || self.keeps_job_spread(spec, machine))
    }

    /// Whether the job allows the machine's type and zone, and allows spot if it is a spot machine.
    pub(crate) fn allows_machine(&self, spec: &JobSpec, machine: &Machine) -> bool {
        (spec.spot || !machine.spot)
            && spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
            && self.catalog.is_allowed_by(spec, machine.machine_type)
    }

    /// Whether all tasks of the job that may be on machines are in this machine's zone.
    fn is_in_zone_of_job(&self, spec: &JobSpec, machine: &Machine) -> bool {
        self.zones_of_tasks(spec).all(|zone| zone == machine.zone)
    }

    /// Whether at most half of the job's tasks, rounded up, are in the machine's zone after one
    /// more task is placed there.
    fn keeps_job_spread(&self, spec: &JobSpec, machine: &Machine) -> bool {
        let in_zone = self.zones_of_tasks(spec).filter(|zone| *zone == machine.zone).count();
        in_zone < spec.task_count.div_ceil(2) as usize
    }

    /// The zone of each task of the job that may be on a machine, in any state, including tasks
    /// that should not be there.
    fn zones_of_tasks<'a>(&'a self, spec: &'a JobSpec) -> impl Iterator<Item = &'a str> + 'a {
        self.machines.values().flat_map(|machine| {
            let of_job = machine.slots.keys().filter(|task| task.job == spec.id);
            of_job.map(|_| machine.zone.as_str())
        })
    }

    /// Whether the quota of the job's team has capacity for one more task. False if the settings
    /// do not name the team.
    pub(crate) fn is_within_quota(&self, job: &Job) -> bool {
        let Some(quota) = job.team.map(|team| self.quotas.get(team)) else { return false };
        let mut used = quota.used;
        // All capacity of unreconciled machines and of machines with orphan tasks may be in use
        // by this team.
        used.add(self.queue.unreconciled_capacity());
        used.add(&Resources::of(job.spec()));
        used.fits(&quota.limit)
    }

    /// Whether any machine has free capacity for a task of a new job now.
    pub(crate) fn could_start_now(&self, spec: &JobSpec) -> bool {
        let task = Resources::of(spec);
        self.machines.values().any(|machine| {
            machine.has_usable_capacity() && task.fits(&machine.free) && self.allows_machine(spec, machine)
        })
    }
}

/// Whether a slot on the machine holds a task of the job that is not assigned to any machine.
/// Such a task should not be there, and is being stopped.
fn has_unassigned_task(job: &Job, machine: &Machine) -> bool {
    machine.slots.keys().any(|task| &task.job == job.id() && !job.tasks.assigned.contains_key(&task.index))
}

/// Whether the worker goes on listing an exited attempt of a task of the job that waits to be started
/// again. It might refuse another attempt of that task.
fn lists_waiting_task(job: &Job, machine: &Machine) -> bool {
    machine.recent_starts.kept_listed().any(|task| &task.job == job.id() && job.is_task_pending(task.index))
}
