//! Scheduling: which tasks start on which machines, and which running tasks are preempted.
//!
//! Only the reply to a machine's heartbeat can carry starts, so a placement decides which tasks
//! to start on one machine, in these stages:
//!
//! 1. [`ordering`] orders the [`queue`] of jobs that have tasks to start: starved jobs, then
//!    those within their team's guarantee, then by priority, then by the latest start at which
//!    an objective is still met ([`slack`], from run times in [`run_estimates`]).
//! 2. [`placement`] goes through the queue for the machine and calls `start_decision` for each
//!    job's next task.
//! 3. [`filters`] decide whether the task may run on the machine at all.
//! 4. [`sampling`] draws a random sample of the other machines that had free capacity.
//! 5. [`score`] compares the machine with the sample: the machine gets the task unless clearly
//!    better machines have capacity for all waiting tasks of the job.
//! 6. [`reservation`] reserves a machine for a starved job that fits nowhere.
//!
//! Two mechanisms work independently of heartbeats: [`preemption`] stops tasks to free capacity
//! for more urgent work, and the [`descheduler`] moves replicas off machines that are not
//! needed. [`latency`] covers work that has to start within less than a heartbeat interval.

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
