//! Scheduling: the order of the queue, placement, preemption, and moving replicas.

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
