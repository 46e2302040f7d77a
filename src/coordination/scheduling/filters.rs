//! Filters: which machines a task may be placed on at all.

use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::Leader;
use crate::protocol::jobs::JobSpec;

impl Leader {
    /// What the rules demand of a machine for the job's next task.
    pub(crate) fn passes_filters(&self, job: &Job, machine: &Machine) -> bool {
        let spec = job.spec();
        if !machine.is_schedulable()
            || !Resources::of(spec).fits(&machine.free)
            || !self.allows_machine(spec, machine)
            || machine
                .slots
                .keys()
                .any(|task| &task.job == job.id() && !job.tasks.assigned.contains_key(&task.index))
        {
            return false;
        }
        if !spec.one_zone && !spec.spread {
            return true;
        }
        // Every task that may be on a machine counts, wherever it is in its
        // life; so do those that should not be there.
        let zones = || {
            self.machines
                .values()
                .flat_map(|m| m.slots.keys().filter(|task| task.job == spec.id).map(|_| m.zone.as_str()))
        };
        if spec.one_zone && zones().any(|zone| zone != machine.zone) {
            return false;
        }
        if spec.spread {
            let here = zones().filter(|zone| *zone == machine.zone).count() as u32;
            return here < spec.tasks.div_ceil(2);
        }
        true
    }

    /// Whether the job allows the machine: its type, its zone, spot or not.
    pub(crate) fn allows_machine(&self, spec: &JobSpec, machine: &Machine) -> bool {
        (spec.spot || !machine.spot)
            && spec.zone.as_ref().is_none_or(|zone| *zone == machine.zone)
            && self.catalog.is_allowed_by(spec, machine.machine_type)
    }

    pub(crate) fn is_within_quota(&self, job: &Job) -> bool {
        let Some(team) = job.team.map(|team| self.quotas.get(team)) else { return false };
        let mut used = team.used;
        // What is on unheard machines, or is of unknown jobs, may all be this team's.
        used.add(self.queue.unreconciled_capacity());
        used.add(&Resources::of(job.spec()));
        used.fits(&team.limit)
    }

    /// Whether a task of a new job could start now.
    pub(crate) fn could_start_now(&self, spec: &JobSpec) -> bool {
        let need = Resources::of(spec);
        self.machines
            .values()
            .any(|m| m.has_usable_capacity() && need.fits(&m.free) && self.allows_machine(spec, m))
    }
}
