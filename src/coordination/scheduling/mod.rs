//! Scheduling: the order of the queue, placement, preemption, and moving replicas.

pub mod descheduler;
pub mod placement;
pub mod preemption;
pub mod slack;
