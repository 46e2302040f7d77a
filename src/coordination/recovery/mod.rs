//! Recovery: what a new leader reads, when it knows what runs, and rows that lag behind records.

pub mod failover;
pub mod progress;
pub mod reconciler;
pub mod snapshot;
pub mod unreadable;
