//! What outlives a process: the state service, and the shape of what is kept
//! there.

pub mod done_set;
pub mod pacing;
pub mod records;
pub mod service;

#[cfg(test)]
pub mod stand_in;
