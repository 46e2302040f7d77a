//! Sampling: a machine is compared with a small random sample of the others (power-of-k
//! sampling), so that the cost of this comparison does not depend on the size of the fleet.
//!
//! The sample bounds only the scores that are computed. Whether a job fits on the machines that
//! demand needs, or on those that have its image, is checked on all candidates, until enough of
//! them are found.

use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::Leader;
use crate::protocol::workers::MachineId;

/// Maximum number of candidates drawn per machine wanted in a sample, since not every candidate
/// has free capacity for the task.
const DRAWS_PER_MACHINE: usize = 4;

/// Random sample of the machines that have free capacity for a task.
pub(crate) struct CandidateSample {
    /// The machines in the sample.
    pub(crate) machines: Vec<MachineId>,
    /// Estimated number of machines that the sample represents.
    pub(crate) population: f64,
}

impl Leader {
    /// Draws a few machines other than this one that have free capacity for a task, from the
    /// candidates found when the queue was last ordered.
    pub(crate) fn sample_candidates(&mut self, machine: &MachineId, task: &Resources) -> CandidateSample {
        let max_machines = self.config.tuning.sampled_machines.saturating_sub(1);
        let max_draws = (max_machines * DRAWS_PER_MACHINE).min(self.queue.candidates().len());
        let mut machines = Vec::with_capacity(max_machines);
        let mut drawn: u32 = 0;
        for position in self.queue.draw_candidates(max_draws) {
            if machines.len() >= max_machines {
                break;
            }
            drawn += 1;
            let id = &self.queue.candidates()[position];
            let has_free_capacity = |other: &Machine| other.has_usable_capacity() && task.fits(&other.free);
            if id != machine && self.machines.get(id).is_some_and(has_free_capacity) {
                machines.push(id.clone());
            }
        }
        let share = machines.len() as f64 / f64::from(drawn.max(1));
        let population = share * self.queue.candidates().len() as f64;
        CandidateSample { machines, population }
    }

    /// Whether all waiting tasks of the job fit on machines that demand needs.
    pub(crate) fn fits_on_needed_machines(&self, job: &Job) -> bool {
        self.fits_on_machines_where(job, |machine| machine.need.is_needed)
    }

    /// Whether all waiting tasks of the job fit on machines that have its image.
    pub(crate) fn fits_on_machines_with_image(&self, job: &Job) -> bool {
        self.fits_on_machines_where(job, |machine| machine.images.contains(&job.spec().image))
    }

    /// Whether all waiting tasks of the job fit on the machines for which `is_suitable` holds,
    /// among those that had free capacity when the queue was last ordered.
    fn fits_on_machines_where(&self, job: &Job, is_suitable: impl Fn(&Machine) -> bool) -> bool {
        let task = Resources::of(job.spec());
        let mut remaining = job.pending();
        for machine in self.queue.candidates().iter().filter_map(|id| self.machines.get(id)) {
            if is_suitable(machine)
                && task.fits(&machine.free)
                && !machine.worker.one_way_partitioned
                && self.passes_filters(job, machine)
            {
                remaining = remaining.saturating_sub(task.times_in(&machine.free));
                if remaining == 0 {
                    return true;
                }
            }
        }
        false
    }
}
