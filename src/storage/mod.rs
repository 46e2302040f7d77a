//! What outlives a process: the state service, and the shape of what is kept
//! there.

pub mod done_set;
pub mod kv;
pub mod rate_limit;
pub mod records;

#[cfg(test)]
pub mod in_memory_kv;
