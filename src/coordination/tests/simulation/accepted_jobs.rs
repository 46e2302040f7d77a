//! Jobs that were accepted before a simulation begins.

use super::*;

/// A job that was accepted before the simulation began.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceptedJob {
    Queued,
    Done,
    /// Its user does not know that, and repeats the cancellation.
    Cancelled,
    /// Its user was told that, and polls it.
    KnownCancelled,
    /// An unfinished array whose done tasks are stored in several blocks if values are small.
    ManyTasks,
    /// It waits for the job this many places before it.
    DependsOn(usize),
}

impl AcceptedJob {
    fn task_count(self) -> u32 {
        if self == AcceptedJob::ManyTasks { 16 } else { 1 }
    }

    fn dependency_offset(self) -> Option<usize> {
        match self {
            AcceptedJob::DependsOn(offset) => Some(offset),
            _ => None,
        }
    }
}

fn accepted_job_id(number: usize) -> String {
    format!("job-5{number:05}")
}

/// The id of the accepted job this many places before another one.
fn dependency(number: usize, offset: usize) -> JobId {
    JobId::parse(&accepted_job_id(number - offset)).expect("valid")
}

impl Simulation {
    /// Adds jobs that were accepted before the simulation began: their records and rows are in the
    /// state service, and their users poll them. The kinds are repeated in this order; the jobs that
    /// are not terminal are too long to end.
    pub fn add_accepted_jobs(&mut self, count: usize, kinds: &[AcceptedJob]) {
        let now = Instant::now();
        for (number, kind) in (0..count).zip(kinds.iter().cycle()) {
            let mut spec = sample(&accepted_job_id(number), "red", kind.task_count(), 4.0);
            spec.spot = false;
            spec.dependencies =
                kind.dependency_offset().map(|offset| dependency(number, offset)).into_iter().collect();
            let mut job = Job::new(now, spec.clone(), AFTER_THE_END.as_secs_f64(), None);
            let mut record = JobRecord::new(spec, 0);
            match kind {
                AcceptedJob::Done => {
                    record.completed = true;
                    job.done.insert(0);
                }
                AcceptedJob::Cancelled => {
                    record.cancelled = true;
                    job.cancel_from = Some(now);
                }
                AcceptedJob::KnownCancelled => {
                    record.cancelled = true;
                    (job.cancel_from, job.cancelled) = (Some(now), Some(now));
                    let reporters = BTreeMap::new();
                    job.terminal = Some(TerminalState { state: "cancelled", reported_at: now, reporters });
                }
                _ => {}
            }
            self.store_record(&record);
            job.accepted = Some(now);
            job.submitted = true;
            job.next = now + seconds(self.rng.random_range(0.0..3.0));
            self.jobs.insert(job.spec.id.as_str().to_owned(), job);
        }
    }

    /// Stores a job's record and its row.
    fn store_record(&mut self, record: &JobRecord) {
        let id = &record.spec.id;
        let (row_key, state) = match record.terminal_state() {
            Some(state) => (archived_row_key(id), state),
            None => (live_row_key(id), JobState::Queued),
        };
        self.state.seed(&job_record_key(id), record.encode(self.shape.value_kb), 1);
        self.state.seed(&row_key, encode_row(state), 1);
    }
}
