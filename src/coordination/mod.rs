//! Leader election, and the decisions of the leader. Both are state machines whose inputs are
//! the time and events; [`controller`] is the actor that drives the leader's state machine.

pub mod authority;
pub mod config;
pub mod controller;
pub mod election;
pub mod fleet;
pub mod jobs;
pub mod leader;
pub mod recovery;
pub mod scheduling;
pub mod workers;

#[cfg(test)]
mod tests;
