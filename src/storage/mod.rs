//! Persistent state: the client of the key-value store, and the records kept there.

pub mod done_set;
pub mod kv;
pub mod rate_limit;
pub mod records;

#[cfg(test)]
pub mod in_memory_kv;
