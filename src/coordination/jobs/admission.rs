//! What users ask of the leader.

use std::collections::BTreeSet;

use tokio::time::Instant;

use crate::coordination::authority::answers::Answer;
use crate::coordination::jobs::admissions::PendingAdmission;
use crate::coordination::jobs::dag::DependencyCheck;
use crate::coordination::jobs::dependency_graph::Cancellation;
use crate::coordination::jobs::dependency_state::DependencyStates;
use crate::coordination::jobs::job::{Job, ReplyId};
use crate::coordination::jobs::resources::Resources;
use crate::coordination::leader::Leader;
use crate::coordination::leader::effects::{Effect, PendingOperation, UncheckedSubmission};
use crate::protocol::cbor::json_size;
use crate::protocol::jobs::{JobId, JobKind, JobSpec, JobState};
use crate::protocol::kv::{Change, Compare};
use crate::settings::State;
use crate::storage::kv::{KvError, RequestClass};
use crate::storage::records::{JobRecord, block_size, encode_row, job_record_key, live_row_key};

/// Bytes that a value has beside what is encoded here.
const VALUE_OVERHEAD_BYTES: usize = 128;

/// Whether the record fits into one value, before and after the limits change, with its
/// done tasks in the way that leaves the most room for the description.
fn fits_a_value(record: &JobRecord, state: &State) -> bool {
    let limits = state.within_both();
    let bitmap = (record.spec.tasks.min(block_size(limits.value_kb)) / 6) as usize;
    json_size(&record.encode_without_done_tasks()) + bitmap + VALUE_OVERHEAD_BYTES <= limits.value_bytes()
}

impl Leader {
    /// A user submits a job.
    pub fn submit(&mut self, now: Instant, now_ms: u64, to: ReplyId, spec: JobSpec) {
        self.submit_with_dependency_states(now, now_ms, to, spec, DependencyStates::default());
    }

    /// The same, with what was read of the jobs that it names.
    pub fn submit_with_dependency_states(
        &mut self,
        now: Instant,
        now_ms: u64,
        to: ReplyId,
        spec: JobSpec,
        read: DependencyStates,
    ) {
        if !self.holds_lease(now) {
            return self.reply(to, Answer::retry_later(503, "not leading now", 1));
        }
        if self.jobs.contains_key(&spec.id) {
            let Some(answer) = self.poll(now, &spec.id) else {
                let otherwise = Answer::retry_later(503, "try again", 1);
                return self.outbox.push(Effect::LookUpJob { reply: to, job: spec.id, if_absent: otherwise });
            };
            return self.reply(to, answer);
        }
        if let Some(admission) = self.admissions.get_mut(&spec.id) {
            return admission.waiters.push(to);
        }
        if self.catalog.is_empty() {
            return self.reply(to, Answer::retry_later(503, "machine types not known yet", 1));
        }
        let (awaited, fate) = match self.check_dependencies(&spec, &read) {
            DependencyCheck::Known { unmet: awaited, cancellation: fate } => (awaited, fate),
            DependencyCheck::Unread(unread) => {
                let submission = UncheckedSubmission { reply: to, spec, unread, known: read };
                return self.outbox.push(Effect::ReadDependencies(Box::new(submission)));
            }
            DependencyCheck::Undetermined(reason) => {
                return self.reply(to, Answer::retry_later(503, reason, 1));
            }
            DependencyCheck::Infeasible(reason) => return self.reject_unless_admitted(to, spec.id, reason),
        };
        if let Some(reason) = self.infeasibility(&spec) {
            return self.reject_unless_admitted(to, spec.id, reason);
        }
        // Acceptances take two changes each. What could not be written within
        // a second or two is refused now rather than kept waiting.
        let room = (self.record_writes.limits().write_rps / 2.0).max(4.0) as usize;
        let most_jobs = (self.config.settings.cluster.limits.memory_mb * 32.0) as usize;
        if self.admissions.len() >= room || self.jobs.len() >= most_jobs {
            self.admissions.record_refused();
            return self.reply(to, Answer::retry_later(429, "too many submissions at once", 2));
        }
        self.write_admission(now, now_ms, to, spec, awaited, fate);
    }

    /// Writes the record and the row of a new job; its user is answered once they are there.
    fn write_admission(
        &mut self,
        now: Instant,
        now_ms: u64,
        to: ReplyId,
        spec: JobSpec,
        awaited: BTreeSet<JobId>,
        fate: Cancellation,
    ) {
        let state = &self.config.settings.cluster.state;
        let job = spec.id.clone();
        let mut record = JobRecord::new(spec, now_ms);
        record.cancelled = fate == Cancellation::Cancelled;
        let may_begin = awaited.is_empty() && !record.cancelled;
        if !record.spec.dependencies.is_empty() && !fits_a_value(&record, state) {
            return self.reject_unless_admitted(to, job, "awaits more jobs than a record holds");
        }
        // With room for some of it, its first start should not wait for a
        // second write; nor where nothing has been started on any machine yet,
        // since then whatever comes up will be for the jobs that come now.
        if may_begin
            && (self.could_start_now(&record.spec) || !self.machines.values().any(|m| m.may_hold_tasks()))
        {
            record.started_high_water = record.spec.tasks;
        }
        let conditions = vec![
            Compare { key: job_record_key(&job), version: 0 },
            Compare { key: live_row_key(&job), version: 0 },
        ];
        let changes = vec![
            Change::Put { key: job_record_key(&job), value: record.encode(state.value_kb), lease: None },
            Change::Put { key: live_row_key(&job), value: encode_row(JobState::Queued), lease: None },
        ];
        self.add_to_dependency_graph(&record.spec, now, awaited, fate);
        self.admissions.begin(job.clone(), PendingAdmission { record, waiters: vec![to] });
        self.commit(PendingOperation::AdmitJob(job), RequestClass::Admission, conditions, changes);
    }

    /// Refuses a job that can never run, unless it was accepted earlier: a retry is never
    /// judged anew.
    fn reject_unless_admitted(&mut self, to: ReplyId, job: JobId, reason: &str) {
        let otherwise = Answer::error(422, reason);
        self.outbox.push(Effect::LookUpJob { reply: to, job, if_absent: otherwise });
    }

    /// Why no machine will ever take the job.
    fn infeasibility(&self, spec: &JobSpec) -> Option<&'static str> {
        let Some(team) = self.quotas.find(&spec.team) else { return Some("unknown team") };
        if self.catalog.feasible_types(spec).is_empty() {
            return Some("a task fits no allowed machine type");
        }
        let tasks = if spec.kind == JobKind::Service { f64::from(spec.tasks) } else { 1.0 };
        let limit = self.quotas.get(team).limit;
        let total = Resources { cpus: spec.cpus * tasks, gpus: spec.gpus * tasks, memory_gb: 0.0 };
        if total.fits(&limit) { None } else { Some("needs more than the team's limit") }
    }

    pub(crate) fn handle_admission_written(
        &mut self,
        now: Instant,
        job: JobId,
        result: Result<u64, KvError>,
    ) {
        let Some(PendingAdmission { record, waiters: waiting }) = self.admissions.end(&job) else {
            return;
        };
        match result {
            Ok(version) => {
                let waited_ms = self.clock.at_ms(now).saturating_sub(record.submitted_ms);
                tracing::debug!(%job, waited_ms, "accepted");
                self.insert_job(now, record, version);
                if self.dependencies.cancellation(&job) == Cancellation::Cancelled {
                    self.cancel_by_dependency(now, &job);
                    self.try_archive(&job);
                }
                let Some(status) = self.jobs.get(&job).map(Job::status) else { return };
                for to in waiting {
                    self.reply(to, Answer::job_state(201, status.clone(), self.term.validity()));
                }
            }
            // It was accepted earlier and is over: the record tells.
            Err(KvError::Conflict) => {
                self.retract_admission(&job);
                for to in waiting {
                    let otherwise = Answer::retry_later(503, "try again", 1);
                    self.outbox.push(Effect::LookUpJob { reply: to, job: job.clone(), if_absent: otherwise });
                }
            }
            Err(KvError::Rejected) => {
                self.retract_admission(&job);
                for to in waiting {
                    self.reject_unless_admitted(to, job.clone(), "its description is too large for a record");
                }
            }
            Err(_) => {
                self.retract_admission(&job);
                for to in waiting {
                    self.reply(to, Answer::retry_later(503, "could not be recorded", 1));
                }
            }
        }
    }

    /// A new job as the store now has it.
    pub(crate) fn insert_job(&mut self, now: Instant, record: JobRecord, version: u64) {
        let waits = !record.spec.dependencies.is_empty() && !self.dependencies.is_ready(&record.spec.id);
        let layout = record.layout(self.config.settings.cluster.state.value_kb);
        let count = layout.blocks(record.spec.tasks);
        let mut job = Job::new(record, version, version, now, count);
        job.team = self.quotas.find(&job.spec().team);
        job.ready_at = (!waits).then_some(now);
        job.cancellation.committed_at = job.record.cancelled.then_some(now);
        self.record_latency_sensitive_class(job.spec());
        if !waits && self.is_latency_sensitive(job.spec()) {
            self.latency_classes.announce_work();
        }
        self.jobs.insert(job.id().clone(), job);
        self.queue.invalidate();
    }

    /// An acceptance was not carried out now. A job that the reconciler has brought back
    /// meanwhile keeps its place in the graph.
    fn retract_admission(&mut self, job: &JobId) {
        if !self.jobs.contains_key(job) {
            self.dependencies.retract(job);
        }
    }

    /// What the picture says of a job; `None` if the store must be asked.
    pub fn poll(&self, now: Instant, job: &JobId) -> Option<Answer> {
        // Whoever reads the record may know more while a final write is under way.
        let decided = !self.jobs.get(job)?.has_terminal_write_in_flight()
            && self.dependencies.cancellation(job) != Cancellation::Pending;
        if decided { self.status_from_memory(now, job) } else { None }
    }

    /// What the picture says of a job that is decided, or whose record was just read and
    /// is not final: the picture may have become so meanwhile, and knows what runs.
    /// `None` if it may not be told.
    pub fn status_from_memory(&self, now: Instant, job: &JobId) -> Option<Answer> {
        let job = self.jobs.get(job)?;
        // Without the lease another leader may know more; what is final is final in
        // any case.
        let usable = self.holds_lease(now) || job.status().state.is_terminal();
        usable.then(|| Answer::job_state(200, job.status(), self.term.validity()))
    }

    /// False if the job is not in the picture and the store must be asked.
    pub fn cancel(&mut self, now: Instant, to: ReplyId, job: &JobId) -> bool {
        let valid = self.holds_lease(now);
        let Some(j) = self.jobs.get_mut(job) else {
            if self.admissions.contains(job) {
                self.reply(to, Answer::retry_later(503, "being accepted", 1));
                return true;
            }
            return false;
        };
        if j.status().state.is_terminal() {
            let status = j.status();
            self.reply(to, Answer::terminal_state(status));
        } else if !valid {
            self.reply(to, Answer::retry_later(503, "not leading now", 1));
        } else {
            j.cancellation.waiters.push(to);
            // A settle on its way to the store comes first, and stays.
            let settling = j.stored.write_in_flight.as_ref().is_some_and(|w| w.completed);
            if !settling {
                j.cancellation.is_requested = true;
                self.dependencies.mark_cancellation_pending(job);
                self.write_record(now, job);
                // What it runs is of no use from now on, whatever becomes of the
                // write; and an image that arrives meanwhile starts nothing.
                self.stop_remaining_tasks(now, job);
            }
        }
        true
    }
}
