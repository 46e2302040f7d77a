//! Keys of the stored records.

use crate::protocol::jobs::JobId;

/// Key of the election: its value names the leader, its version is the leader's epoch.
pub const LEADER: &str = "leader";
/// Key of the machine types that the cloud listed last.
pub const CATALOG: &str = "catalog";
/// Key of the statistics that leaders have learned. They improve scheduling, but correctness
/// does not depend on them.
pub const LEARNED_STATISTICS: &str = "experience";
/// Prefix of the summary rows of jobs that are not terminal; a new leader scans it.
pub const LIVE_ROWS: &str = "live/";
/// Prefix of the summary rows of terminal jobs.
pub const ARCHIVED_ROWS: &str = "over/";
/// Prefix of the node pool records.
pub const NODE_POOLS: &str = "hire/";
/// Prefix of the job records.
pub const JOB_RECORDS: &str = "rec/";

/// Prefix of the progress of jobs whose description no longer fits into a value beside it.
pub const JOB_PROGRESS: &str = "prog/";

/// Key of a job's progress, if it is kept apart from the job's record.
pub fn job_progress_key(job: &JobId) -> String {
    format!("{JOB_PROGRESS}{job}")
}

/// Key of a job's record.
pub fn job_record_key(job: &JobId) -> String {
    format!("{JOB_RECORDS}{job}")
}

/// Key of a job's summary row while the job is not terminal.
pub fn live_row_key(job: &JobId) -> String {
    format!("{LIVE_ROWS}{job}")
}

/// Key of a job's summary row once the job is terminal.
pub fn archived_row_key(job: &JobId) -> String {
    format!("{ARCHIVED_ROWS}{job}")
}

/// Key of the record of the node pool with this name.
pub fn node_pool_key(name: &str) -> String {
    format!("{NODE_POOLS}{name}")
}
