//! Forms of a job's record for a description that no longer fits into a value of the store.
//!
//! The description was allowed when the job was admitted and never changes. If the store accepts
//! only smaller values later, the record as a whole cannot be written any more. It stays as it is,
//! and what changes while the job is live, its *progress*, is kept under a key of its own
//! ([`job_progress_key`](super::job_progress_key)). Once the job is terminal its record is replaced
//! by a *reduced* one, whose description has only what is still needed, and the progress is deleted.
//!
//! Earlier builds do not read the progress. Like [`Layout::NamedBlocks`], it is written only after
//! the store has refused a value that the initial limits allow.

use ciborium::value::Value;

use super::job_record::{JobRecord, RecordError, decode_block_tasks, decode_started_high_water};
use super::layout::Layout;
use crate::protocol::cbor::{Fields, MapBuilder, max_json_size};
use crate::protocol::jobs::JobSpec;

/// Margin, in bytes, for the fields of a record that are added to it later, such as its times.
const ADDED_FIELDS_BYTES: usize = 128;
/// The name in a reduced description in place of those that a terminal job no longer needs.
const OMITTED_NAME: &str = "-";

impl JobRecord {
    /// Whether the description alone may be too large for a value of `value_bytes` bytes.
    pub fn description_exceeds(&self, value_bytes: usize) -> bool {
        max_json_size(&self.encode_without_done_tasks()) + ADDED_FIELDS_BYTES > value_bytes
    }

    /// Encodes the progress of a live job for a store whose values are at most `value_kb` KiB. Done
    /// tasks are included if the layout keeps them in the record.
    pub fn encode_progress(&self, value_kb: f64) -> Value {
        let inline = self.layout(value_kb) == Layout::Inline;
        let done = inline.then(|| self.done.encode(0, self.spec.task_count));
        MapBuilder::new()
            .set("begun", self.started_high_water)
            .set_some("block", self.block_tasks)
            .set_some("releasedAt", self.ready_ms)
            .set_some("done", done)
            .build()
    }

    /// Replaces what the record says about the job's progress by the stored progress. Done tasks that
    /// are stored in blocks must be added with [`JobRecord::add_block`].
    ///
    /// # Errors
    ///
    /// [`RecordError`] if a field is missing or invalid, or the done tasks cannot be decoded.
    pub fn apply_progress(&mut self, progress: &Value) -> Result<(), RecordError> {
        let fields = Fields::of(progress)?;
        self.started_high_water = decode_started_high_water(&fields, &self.spec)?;
        self.block_tasks = decode_block_tasks(&fields)?;
        self.ready_ms = fields.opt_count("releasedAt")?;
        if let Some(text) = fields.opt_text("done")? {
            self.done.decode_into(0, text)?;
        }
        Ok(())
    }

    /// Encodes the record of a terminal job in its reduced form: the job's state, and what its tasks
    /// take while some are still on machines. The done tasks are left out, and the description has
    /// placeholders. The size does not depend on what the user submitted, apart from the name of the
    /// team, which the settings contain.
    pub fn encode_reduced(&self) -> Value {
        let spec = JobSpec {
            class: OMITTED_NAME.into(),
            image: OMITTED_NAME.into(),
            machine_types: None,
            zone: None,
            dependencies: Vec::new(),
            ..self.spec.clone()
        };
        JobRecord { spec, block_tasks: None, ..self.clone() }.encode_without_done_tasks()
    }
}
