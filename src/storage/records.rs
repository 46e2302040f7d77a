//! The records that controllers keep in the key-value store: keys and encodings.
//!
//! * `leader`: the current leader; the version of this key is the leader's epoch.
//! * `rec/ID`: a job's record ([`JobRecord`]): its description, whether it was cancelled or
//!   completed and, for jobs of moderate size, its done tasks.
//! * `set/ID/N`: the N-th block of done tasks of a larger job, where the block size follows
//!   from the store's limits in force ([`Layout::Blocks`]).
//! * `set/ID/SIZE-N`: the same, where the job's record names the block size
//!   ([`Layout::NamedBlocks`]).
//! * `prog/ID`: the progress of a live job whose description no longer fits into a value beside
//!   it; it replaces what the job's record says about the same fields.
//! * `live/ID`, `over/ID`: a job's summary row. A new leader scans `live/` at failover;
//!   `over/` is the archive of terminal jobs.
//! * `catalog`: the machine types that the cloud listed last.
//! * `experience`: what leaders have learned about demand and run times
//!   ([`LearnedStatistics`]).
//! * `hire/NAME`: a node pool request and, once the cloud has answered, its machines
//!   ([`NodePoolRecord`]).
//!
//! Different builds read each other's records, so the encoded bytes must not change.
//! `production_tests` compares them with bytes that an earlier build wrote.

mod job_record;
mod keys;
mod layout;
mod learned_statistics;
mod node_pool;
mod oversized;
mod rows;

pub use job_record::{JobRecord, RecordError};
pub use keys::{
    ARCHIVED_ROWS, CATALOG, JOB_PROGRESS, JOB_RECORDS, LEADER, LEARNED_STATISTICS, LIVE_ROWS, NODE_POOLS,
    archived_row_key, job_progress_key, job_record_key, live_row_key, node_pool_key,
};
pub use layout::{Layout, block_size};
pub use learned_statistics::{DemandStatistics, LearnedStatistics};
pub use node_pool::NodePoolRecord;
pub use rows::{decode_row, encode_row};

#[cfg(test)]
mod tests;

#[cfg(test)]
pub mod production_tests;
