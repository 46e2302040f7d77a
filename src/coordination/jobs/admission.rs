//! Admission: checks submissions and writes the records of new jobs.

use tokio::time::Instant;

use crate::coordination::authority::answers::Answer;
use crate::coordination::fleet::machine::Machine;
use crate::coordination::jobs::admissions::PendingAdmission;
use crate::coordination::jobs::dependencies::{DependencyCheck, KnownDependencies};
use crate::coordination::jobs::dependency_graph::Cancellation;
use crate::coordination::jobs::dependency_state::DependencyStates;
use crate::coordination::jobs::job::{Job, ReplyId};
use crate::coordination::jobs::record_write::put;
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::Leader;
use crate::coordination::leader::effects::{Effect, PendingOperation, UncheckedSubmission};
use crate::numeric::whole_usize;
use crate::protocol::cbor::max_json_size;
use crate::protocol::jobs::{JobId, JobKind, JobSpec, JobState};
use crate::protocol::kv::Compare;
use crate::settings::KvSettings;
use crate::storage::kv::{KvError, RequestClass};
use crate::storage::records::{JobRecord, block_size, encode_row, job_record_key, live_row_key};

/// Margin, in bytes, for the parts of a value that the size check does not encode.
const VALUE_OVERHEAD_BYTES: usize = 128;
/// Changes to the store per admission: the record and its row.
const CHANGES_PER_ADMISSION: f64 = 2.0;
/// Lower bound on the number of pending admissions allowed, for any write rate.
const MIN_ADMISSIONS: f64 = 4.0;
/// Maximum number of jobs in memory per MB of the memory limit.
const JOBS_PER_MB: f64 = 32.0;

/// Whether the record fits into one value under the present and the announced limits, together
/// with a bitmap of its done tasks. If the tasks do not fit into one block, the bitmap of one
/// block is counted.
fn fits_a_value(record: &JobRecord, kv: &KvSettings) -> bool {
    let limits = kv.strictest();
    let bitmap = (record.spec.task_count.min(block_size(limits.value_kb)) / 6) as usize;
    max_json_size(&record.encode_without_done_tasks()) + bitmap + VALUE_OVERHEAD_BYTES <= limits.value_bytes()
}

impl Leader {
    /// Handles a user's submission of a job.
    pub fn submit(&mut self, now: Instant, now_ms: u64, reply: ReplyId, spec: JobSpec) {
        self.submit_with_dependency_states(now, now_ms, reply, spec, DependencyStates::default());
    }

    /// Handles a submission. `dependency_states`: states of jobs that it depends on, as read
    /// from the store.
    pub fn submit_with_dependency_states(
        &mut self,
        now: Instant,
        now_ms: u64,
        reply: ReplyId,
        spec: JobSpec,
        dependency_states: DependencyStates,
    ) {
        if !self.holds_lease(now) {
            return self.reply(reply, Answer::retry_later(503, "not leading now", 1));
        }
        if self.jobs.contains_key(&spec.id) {
            return self.answer_repeated_submission(now, reply, spec.id);
        }
        if let Some(admission) = self.admissions.get_mut(&spec.id) {
            return admission.waiters.push(reply);
        }
        if self.catalog.is_empty() {
            return self.reply(reply, Answer::retry_later(503, "machine types not known yet", 1));
        }
        let dependencies = match self.check_dependencies(&spec, &dependency_states) {
            DependencyCheck::Known(dependencies) => dependencies,
            DependencyCheck::Unread(unread) => {
                let submission = UncheckedSubmission {
                    reply,
                    spec,
                    unread_dependencies: unread,
                    read_states: dependency_states,
                };
                return self.outbox.push(Effect::ReadDependencies(Box::new(submission)));
            }
            DependencyCheck::Undetermined(reason) => {
                return self.reply(reply, Answer::retry_later(503, reason, 1));
            }
            DependencyCheck::Infeasible(reason) => {
                return self.reject_unless_admitted(reply, spec.id, reason);
            }
        };
        if let Some(reason) = self.infeasibility_reason(&spec) {
            return self.reject_unless_admitted(reply, spec.id, reason);
        }
        if !self.has_room_for_admission() {
            self.admissions.record_refused();
            return self.reply(reply, Answer::retry_later(429, "too many submissions at once", 2));
        }
        self.write_admission(now, now_ms, reply, spec, dependencies);
    }

    fn answer_repeated_submission(&mut self, now: Instant, reply: ReplyId, job: JobId) {
        match self.poll(now, &job) {
            Some(answer) => self.reply(reply, answer),
            None => self.answer_from_record(reply, job),
        }
    }

    /// Answers from the record of a job that was admitted earlier.
    fn answer_from_record(&mut self, reply: ReplyId, job: JobId) {
        let if_absent = Answer::retry_later(503, "try again", 1);
        self.outbox.push(Effect::LookUpJob { reply, job, if_absent });
    }

    /// Whether another admission can be written soon and its job fits into memory. A submission
    /// that could not be written within a second or two is refused at once instead of being kept
    /// waiting.
    fn has_room_for_admission(&self) -> bool {
        let write_rps = self.record_writes.limits().write_rps;
        let max_admissions = whole_usize((write_rps / CHANGES_PER_ADMISSION).max(MIN_ADMISSIONS));
        let max_jobs = whole_usize(self.config.settings.cluster.limits.memory_mb * JOBS_PER_MB);
        self.admissions.len() < max_admissions && self.jobs.len() < max_jobs
    }

    /// Writes the record and the row of a new job; its user is answered once they are committed.
    fn write_admission(
        &mut self,
        now: Instant,
        now_ms: u64,
        reply: ReplyId,
        spec: JobSpec,
        dependencies: KnownDependencies,
    ) {
        let kv = &self.config.settings.cluster.kv;
        let job = spec.id.clone();
        let mut record = JobRecord::new(spec, now_ms);
        record.cancelled = dependencies.cancellation == Cancellation::Cancelled;
        if !record.spec.dependencies.is_empty() && !fits_a_value(&record, kv) {
            return self.reject_unless_admitted(reply, job, "awaits more jobs than a record holds");
        }
        let is_ready = dependencies.unmet.is_empty() && !record.cancelled;
        if is_ready && self.may_mark_all_started(&record.spec) {
            record.started_high_water = record.spec.task_count;
        }
        let (record_key, row_key) = (job_record_key(&job), live_row_key(&job));
        let compares = vec![
            Compare { key: record_key.clone(), version: 0 },
            Compare { key: row_key.clone(), version: 0 },
        ];
        let changes =
            vec![put(record_key, record.encode(kv.value_kb)), put(row_key, encode_row(JobState::Queued))];
        self.add_to_dependency_graph(&record.spec, now, dependencies);
        self.admissions.begin(job.clone(), PendingAdmission { record, waiters: vec![reply] });
        self.commit(PendingOperation::AdmitJob(job), RequestClass::Admission, compares, changes);
    }

    /// Whether the first write of the record already says that all tasks may have started, so
    /// that the first start need not wait for a second write. True if there is room for some of
    /// the tasks, or if no machine may hold tasks yet: the machines that come up next then serve
    /// the jobs that are submitted now.
    fn may_mark_all_started(&self, spec: &JobSpec) -> bool {
        self.could_start_now(spec) || !self.machines.values().any(Machine::may_hold_tasks)
    }

    /// Rejects a job that can never run, unless it was admitted earlier: a repeated submission
    /// is not checked again.
    fn reject_unless_admitted(&mut self, reply: ReplyId, job: JobId, reason: &str) {
        let if_absent = Answer::error(422, reason);
        self.outbox.push(Effect::LookUpJob { reply, job, if_absent });
    }

    /// Why the job can never run, by its team or its resources; `None` if it can.
    fn infeasibility_reason(&self, spec: &JobSpec) -> Option<&'static str> {
        let Some(team) = self.quotas.find(&spec.team) else { return Some("unknown team") };
        if self.catalog.feasible_types(spec).is_empty() {
            return Some("a task fits no allowed machine type");
        }
        let concurrent_tasks = if spec.kind == JobKind::Service { f64::from(spec.task_count) } else { 1.0 };
        let total = Resources {
            cpus: spec.cpus * concurrent_tasks,
            gpus: spec.gpus * concurrent_tasks,
            memory_gb: 0.0,
        };
        let fits = total.fits(&self.quotas.get(team).limit);
        (!fits).then_some("needs more than the team's limit")
    }

    /// Handles the outcome of the first write of a job's record.
    pub(crate) fn handle_admission_written(
        &mut self,
        now: Instant,
        job: &JobId,
        result: Result<u64, KvError>,
    ) {
        let Some(PendingAdmission { record, waiters }) = self.admissions.end(job) else { return };
        match result {
            Ok(version) => self.admit(now, job, record, version, waiters),
            Err(error) => {
                self.retract_admission(job);
                for reply in waiters {
                    self.answer_not_admitted(reply, job.clone(), error);
                }
            }
        }
    }

    /// Answers a submission whose first write was not carried out.
    fn answer_not_admitted(&mut self, reply: ReplyId, job: JobId, error: KvError) {
        match error {
            // The job was admitted earlier and is not in memory, usually because it is terminal:
            // its record has the answer.
            KvError::Conflict => self.answer_from_record(reply, job),
            KvError::Rejected => {
                self.reject_unless_admitted(reply, job, "its description is too large for a record");
            }
            _ => self.reply(reply, Answer::retry_later(503, "could not be recorded", 1)),
        }
    }

    fn admit(
        &mut self,
        now: Instant,
        job_id: &JobId,
        record: JobRecord,
        version: u64,
        waiters: Vec<ReplyId>,
    ) {
        let waited_ms = self.clock.unix_time_ms(now).saturating_sub(record.submitted_ms);
        tracing::debug!(job = %job_id, waited_ms, "job admitted");
        self.insert_job(now, record, version);
        if self.dependencies.cancellation(job_id) == Cancellation::Cancelled {
            self.cancel_by_dependency(now, job_id);
            self.try_archive(job_id);
        }
        let Some(status) = self.jobs.get(job_id).map(Job::status) else { return };
        for reply in waiters {
            self.reply(reply, Answer::job_state(201, status.clone(), self.term.validity()));
        }
    }

    /// Adds a newly admitted job to memory.
    fn insert_job(&mut self, now: Instant, record: JobRecord, version: u64) {
        let spec = &record.spec;
        let is_ready = spec.dependencies.is_empty() || self.dependencies.is_ready(&spec.id);
        let layout = record.layout(self.config.settings.cluster.kv.value_kb);
        let blocks = layout.blocks(spec.task_count);
        let mut job = Job::new(record, version, version, now, blocks);
        job.team = self.quotas.find(&job.spec().team);
        job.ready_at = is_ready.then_some(now);
        job.cancellation.committed_at = job.record.cancelled.then_some(now);
        self.record_latency_sensitive_class(job.spec());
        if is_ready && self.is_latency_sensitive(job.spec()) {
            self.latency_classes.record_new_work();
        }
        self.jobs.insert(job.id().clone(), job);
        self.queue.invalidate();
    }

    /// Removes a job whose admission was not carried out from the dependency graph, unless the
    /// job has been restored from the store in the meantime.
    fn retract_admission(&mut self, job: &JobId) {
        if !self.jobs.contains_key(job) {
            self.dependencies.retract(job);
        }
    }

    /// The answer about a job from memory; `None` if its record must be read.
    pub fn poll(&self, now: Instant, job: &JobId) -> Option<Answer> {
        // While a terminal write is in flight, a reader of the record may already see its result.
        let is_undecided = self.jobs.get(job)?.has_terminal_write_in_flight()
            || self.dependencies.cancellation(job) == Cancellation::Pending;
        if is_undecided { None } else { self.status_from_memory(now, job) }
    }

    /// The answer about a job from its state in memory; `None` if that state may be outdated.
    /// To be called only if the job's outcome is not pending, or after its record was read and
    /// was not terminal: the job may have become terminal since that read, and only the state in
    /// memory shows which tasks run.
    pub fn status_from_memory(&self, now: Instant, job: &JobId) -> Option<Answer> {
        let status = self.jobs.get(job)?.status();
        // Without the lease another leader may have changed the job; a terminal state is final.
        let is_usable = self.holds_lease(now) || status.state.is_terminal();
        is_usable.then(|| Answer::job_state(200, status, self.term.validity()))
    }
}
