//! Recovery: the snapshot that a new leader reads, the failover that follows, records that
//! cannot be read, and the reconciliation of rows with records.
//!
//! Two things are reconciled: a machine, once the leader knows which tasks are on it
//! ([`failover`]), and a job's rows with its record ([`reconciler`]).

pub mod failover;
pub mod job_reads;
pub mod progress;
pub mod reconciler;
pub mod recorded_jobs;
pub mod snapshot;
pub mod snapshot_progress;
pub mod unreadable;
