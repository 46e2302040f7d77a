//! Where a job's done tasks are stored: in its record, or in blocks beside it.

use crate::numeric::whole_u32;
use crate::protocol::jobs::JobId;

/// Bytes in one KiB.
const BYTES_PER_KIB: f64 = 1024.0;
/// The bitmap of one block takes at most this fraction of the maximum value size. The rest of
/// the value is left for the job's description.
const BITMAP_FRACTION: f64 = 0.5;
/// Tasks in each character of a bitmap.
const TASKS_PER_CHARACTER: u32 = 6;

/// Tasks in one block of done tasks if no value may exceed `value_kb` KiB: as many as a bitmap,
/// the largest encoding of a block, holds in half that size.
pub fn block_size(value_kb: f64) -> u32 {
    let bitmap_bytes = whole_u32(value_kb * BYTES_PER_KIB * BITMAP_FRACTION);
    bitmap_bytes.saturating_mul(TASKS_PER_CHARACTER).max(TASKS_PER_CHARACTER)
}

/// How a job's done tasks are stored.
///
/// A record does not say whether its layout is `Inline` or `Blocks`; every build derives that
/// from the store's initial limits (`KvSettings::initial`). A record with `NamedBlocks` states
/// its block size. Earlier builds, which do not know `NamedBlocks`, misread such a record. It
/// is therefore written only after the store has refused a value that the initial limits
/// allow, which happens only after the last of those builds has been replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Layout {
    /// Within the job's record.
    Inline,
    /// In blocks of this many tasks, derived from the store's initial limits.
    Blocks(u32),
    /// In blocks of this many tasks, as the job's record says.
    NamedBlocks(u32),
}

impl Layout {
    /// The layout of a record that names no block size, for a job of `tasks` tasks if no value
    /// may exceed `value_kb` KiB.
    pub fn derived(tasks: u32, value_kb: f64) -> Self {
        let size = block_size(value_kb);
        if tasks <= size { Layout::Inline } else { Layout::Blocks(size) }
    }

    /// Tasks in one block; `None` if done tasks are stored in the record.
    pub fn block_tasks(self) -> Option<u32> {
        match self {
            Layout::Inline => None,
            Layout::Blocks(size) | Layout::NamedBlocks(size) => Some(size),
        }
    }

    /// Number of blocks beside the record of a job of `tasks` tasks.
    pub fn blocks(self, tasks: u32) -> u32 {
        self.block_tasks().map_or(0, |size| tasks.div_ceil(size))
    }

    /// First task of a block, and the task after its last one.
    pub fn range(self, block: u32) -> (u32, u32) {
        let size = self.block_tasks().unwrap_or(u32::MAX);
        let start = block.saturating_mul(size);
        (start, start.saturating_add(size))
    }

    /// Key of a block. The keys of named blocks contain the block size, so these blocks never
    /// overwrite the job's blocks of another size.
    pub fn block_key(self, job: &JobId, block: u32) -> String {
        match self {
            Layout::Inline | Layout::Blocks(_) => format!("set/{job}/{block}"),
            Layout::NamedBlocks(size) => format!("set/{job}/{size}-{block}"),
        }
    }
}
