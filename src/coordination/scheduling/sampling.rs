//! Sampling: a few other machines stand for all of them, so that a placement costs the same
//! on a fleet of any size.

use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::job::Job;
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::Leader;
use crate::protocol::workers::MachineId;

impl Leader {
    /// A few other machines that last reported room for a task, and about how
    /// many such there are. Drawn from what the last ordering of the queue found,
    /// so that a placement costs the same on a fleet of any size.
    pub(crate) fn sample_candidates(
        &mut self,
        machine: &MachineId,
        need: &Resources,
    ) -> (Vec<MachineId>, f64) {
        let most = self.config.tuning.sample.saturating_sub(1);
        let tries = (most * 4).min(self.queue.candidates().len());
        let mut found = Vec::with_capacity(most);
        let mut tried: u32 = 0;
        for at in self.queue.draw_candidates(tries) {
            if found.len() >= most {
                break;
            }
            tried += 1;
            let id = &self.queue.candidates()[at];
            if id != machine
                && self.machines.get(id).is_some_and(|m| m.has_usable_capacity() && need.fits(&m.free))
            {
                found.push(id.clone());
            }
        }
        let share = found.len() as f64 / f64::from(tried.max(1));
        (found, share * self.queue.candidates().len() as f64)
    }

    /// Whether all that waits of the job fits on machines that demand counts on.
    pub(crate) fn fits_on_needed_machines(&self, job: &Job) -> bool {
        self.fits_on_machines_where(job, |m| m.need.is_needed)
    }

    /// Whether all that waits of the job fits on machines that have its image.
    pub(crate) fn fits_on_machines_with_image(&self, job: &Job) -> bool {
        self.fits_on_machines_where(job, |m| m.images.contains(&job.spec().image))
    }

    /// Whether all that waits of the job fits on such machines, of those that had room
    /// when the queue was last ordered.
    fn fits_on_machines_where(&self, job: &Job, suits: impl Fn(&Machine) -> bool) -> bool {
        let need = Resources::of(job.spec());
        let mut left = job.pending();
        for m in self.queue.candidates().iter().filter_map(|id| self.machines.get(id)) {
            if suits(m) && need.fits(&m.free) && !m.agent.one_way_partitioned && self.passes_filters(job, m) {
                left = left.saturating_sub(need.times_in(&m.free));
                if left == 0 {
                    return true;
                }
            }
        }
        false
    }
}
