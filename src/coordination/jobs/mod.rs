//! Jobs: what users submit, how it is recorded, and which jobs wait for which.

pub mod admission;
pub mod dag;
pub mod dependency_graph;
pub mod job;
pub mod record_writes;
