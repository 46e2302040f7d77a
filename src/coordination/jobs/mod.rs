//! Jobs: what users submit, how it is recorded, and which jobs wait for which.

pub mod admission;
pub mod admissions;
pub mod archive;
pub mod cancellation;
pub mod dag;
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
