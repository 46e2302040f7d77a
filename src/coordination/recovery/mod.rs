//! Recovery: the snapshot that a new leader reads, the failover that follows, records that
//! cannot be read, and the reconciliation of rows with records.

pub mod failover;
pub mod progress;
pub mod reconciler;
pub mod snapshot;
pub mod unreadable;
