//! Who leads, and what the leader decides. Decisions are state machines that
//! take time and events as input; [`controller`] is the actor that feeds them.

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
