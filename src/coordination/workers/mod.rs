//! Workers: their heartbeats, the commands in the replies, the slots that their tasks occupy,
//! and failure detection.
//!
//! A worker is the process that runs tasks on a machine and sends the machine's heartbeats. The
//! replies renew its lease. If the lease expires, the worker kills its tasks and begins a new
//! incarnation.
//!
//! A heartbeat passes through [`heartbeats`], which decides whether it is accepted, then
//! through `task_reconciliation`, which reconciles the tasks that it lists with the leader's
//! slots, then through `reply_commands`, which collects the stops and reaps of the reply.
//! Starts are added to the reply by [`crate::coordination::scheduling`].

pub mod deferred_replies;
pub mod failure_detector;
pub mod heartbeats;
mod machine_use;
pub mod recent_starts;
mod reply_commands;
mod reply_deferral;
pub mod slot;
pub mod slots;
mod stops;
mod task_failures;
mod task_reconciliation;
