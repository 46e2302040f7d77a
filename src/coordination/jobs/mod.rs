//! Jobs: admission, records in the store, dependencies between jobs, cancellation, archiving
//! and quotas.
//!
//! A submission is admitted once its record and row are committed; a user sees it as accepted
//! once an answer says so. A job is terminal once its completion or cancellation is
//! committed, and unfinished until then. A task is waiting, or pending, while it is neither done
//! nor assigned to a machine.
//!
//! Dependencies are in four modules: [`dependency_graph`] holds the edges between jobs,
//! [`dependency_state`] is what a record says of a job that others depend on,
//! [`dependencies`] are the leader's operations on both, and [`topological_order`] is the order in
//! which a new leader inserts the jobs that it has read into the graph.

pub mod admission;
pub mod admissions;
pub mod archive;
pub mod cancellation;
pub mod dependencies;
pub mod dependency_graph;
pub mod dependency_state;
pub mod job;
pub mod quota;
pub mod record_state;
pub mod record_write;
pub mod record_writes;
pub mod resources;
pub mod task_placements;
pub mod topological_order;
pub mod write_queue;
