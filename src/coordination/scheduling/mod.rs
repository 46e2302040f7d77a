//! Scheduling: which task starts where, and which running task gives way.
//!
//! Only the reply to a machine's heartbeat can carry starts, so a placement asks which tasks
//! to start on one machine, in these stages:
//!
//! 1. [`ordering`] orders the [`queue`] of jobs that have tasks to start: starved jobs, then
//!    those within their team's guarantee, then by priority, then by the latest start at which
//!    an objective is still met ([`slack`], from run times in [`run_estimates`]).
//! 2. [`placement`] goes through the queue for the machine and asks `start_decision` about
//!    each job's next task.
//! 3. [`filters`] tell whether the task may run on the machine at all.
//! 4. [`sampling`] draws a few other machines that had free capacity, which stand for all.
//! 5. [`score`] compares the machine with them: it gets the task unless clearly better places
//!    take all that waits.
//! 6. [`reservation`] keeps a machine clear for a starved job that fits nowhere.
//!
//! Beside the heartbeats run [`preemption`], which stops tasks for more urgent work, and the
//! [`descheduler`], which moves replicas off machines that are not needed. Work that is to
//! start within less than a heartbeat interval is described in [`latency`].

pub mod descheduler;
pub mod filters;
pub mod latency;
pub mod ordering;
pub mod placement;
pub mod preemption;
pub mod queue;
pub mod reservation;
pub mod run_estimates;
pub mod sampling;
pub mod score;
pub mod slack;
mod start_decision;
