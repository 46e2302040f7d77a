//! Workers: their heartbeats, the commands they get, the slots their tasks take, and which of them are alive.

pub mod commands;
pub mod deferred_replies;
pub mod failure_detector;
pub mod heartbeats;
pub mod slot;
pub mod slots;
