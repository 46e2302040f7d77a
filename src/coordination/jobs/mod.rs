//! Jobs: admission, records in the store, dependencies between jobs, cancellation, archiving
//! and quotas.

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
pub mod write_queue;
