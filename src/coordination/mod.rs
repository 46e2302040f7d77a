//! Who leads, and what the leader decides. Decisions are state machines that
//! take time and events as input; [`node`] is the actor that feeds them.

pub mod agents;
mod answers;
mod authority;
pub mod cloud;
pub mod config;
mod consolidation;
mod demand;
mod dependencies;
pub mod election;
mod figures;
pub mod fleet;
mod held_reports;
pub mod intake;
pub mod leader;
mod loading;
mod machine_list;
pub mod machines;
pub mod model;
pub mod node;
pub mod peers;
mod pipelines;
mod preemption;
pub mod reconciler;
mod record_writing;
mod renting;
pub mod scheduler;
mod silence;
mod sizes;
mod slots;
mod statistics;
mod stopping;
pub mod takeover;
mod unreadable;
mod urgency;

#[cfg(test)]
mod tests;
