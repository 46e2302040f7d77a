use super::*;
use crate::protocol::jobs::tests::sample;

fn id(job: &str) -> JobId {
    JobId::parse(job).expect("valid")
}

/// A queued job that depends on these.
fn recorded(job: &str, dependencies: &[&str]) -> RecordedJob {
    let mut spec = sample(job, "red", 1, 1.0);
    spec.dependencies = dependencies.iter().map(|dependency| id(dependency)).collect();
    RecordedJob::of(&JobRecord::new(spec, 0))
}

fn state(jobs: &mut RecordedJobs, job: &str) -> Option<JobState> {
    jobs.status(&id(job)).map(|status| status.state)
}

#[test]
fn a_job_is_known_once_its_record_has_been_read() {
    let mut jobs = RecordedJobs::default();
    assert_eq!(state(&mut jobs, "job-1"), None);
    jobs.insert(recorded("job-1", &[]));
    assert_eq!(state(&mut jobs, "job-1"), Some(JobState::Queued));
    let mut cancelled = JobRecord::new(sample("job-2", "red", 1, 1.0), 0);
    cancelled.cancelled = true;
    jobs.insert(RecordedJob::of(&cancelled));
    assert_eq!(state(&mut jobs, "job-2"), Some(JobState::Cancelled));
}

#[test]
fn a_job_is_not_called_queued_before_all_its_dependencies_are_known() {
    let mut jobs = RecordedJobs::default();
    jobs.insert(recorded("job-1", &["job-2", "job-3"]));
    jobs.insert(recorded("job-2", &["job-4"]));
    assert_eq!(state(&mut jobs, "job-1"), None);
    jobs.insert_dependency(id("job-3"), DependencyState::Done { at_ms: None });
    assert_eq!(state(&mut jobs, "job-1"), None, "an indirect dependency is not known");
    jobs.insert_dependency(id("job-4"), DependencyState::Unreadable);
    assert_eq!(state(&mut jobs, "job-1"), None, "a record that cannot be read may say anything");
    jobs.insert_dependency(id("job-4"), DependencyState::Done { at_ms: None });
    assert_eq!(state(&mut jobs, "job-1"), Some(JobState::Queued));
}

#[test]
fn a_job_is_cancelled_by_an_indirect_dependency_whatever_else_is_unknown() {
    let mut jobs = RecordedJobs::default();
    jobs.insert(recorded("job-1", &["job-2", "job-9"]));
    jobs.insert(recorded("job-2", &["job-3"]));
    jobs.insert_dependency(id("job-3"), DependencyState::Cancelled);
    assert_eq!(state(&mut jobs, "job-1"), Some(JobState::Cancelled));
    assert_eq!(state(&mut jobs, "job-2"), Some(JobState::Cancelled));
}

#[test]
fn dependencies_in_a_circle_or_a_long_chain_end() {
    const LENGTH: usize = 20_000;
    let mut jobs = RecordedJobs::default();
    jobs.insert(recorded("job-1", &["job-2"]));
    jobs.insert(recorded("job-2", &["job-1"]));
    assert_eq!(state(&mut jobs, "job-1"), Some(JobState::Queued));
    for number in 10..10 + LENGTH {
        jobs.insert(recorded(&format!("job-{number}"), &[&format!("job-{}", number + 1)]));
    }
    let last = format!("job-{}", 10 + LENGTH);
    jobs.insert_dependency(id(&last), DependencyState::Cancelled);
    assert_eq!(state(&mut jobs, "job-10"), Some(JobState::Cancelled));
}

#[test]
fn a_state_that_a_read_for_a_user_has_decided_is_kept() {
    let mut jobs = RecordedJobs::default();
    let status = JobStatus { id: id("job-1"), state: JobState::Queued, done_tasks: 2, running_tasks: 0 };
    jobs.insert(RecordedJob::decided(status.clone()));
    assert_eq!(jobs.status(&id("job-1")), Some(status));
}

/// Guards against polls during a failover that each walk through all dependencies of a pipeline,
/// while one of them is not known yet.
#[test]
fn polls_do_not_follow_the_dependencies_of_a_pipeline_again() {
    const LENGTH: u64 = 200;
    const POLLS_PER_JOB: u64 = 5;
    let name = |number: u64| format!("job-{number}");
    let mut jobs = RecordedJobs::default();
    for number in 1..=LENGTH {
        jobs.insert(recorded(&name(number), &[&name(number - 1)]));
    }
    let poll_all = |jobs: &mut RecordedJobs, expected: Option<JobState>| {
        for number in (1..=LENGTH).rev().flat_map(|number| vec![number; POLLS_PER_JOB as usize]) {
            assert_eq!(state(jobs, &name(number)), expected);
        }
    };
    poll_all(&mut jobs, None);
    jobs.insert_dependency(id(&name(0)), DependencyState::Done { at_ms: None });
    poll_all(&mut jobs, Some(JobState::Queued));
    // One look at each dependency when its dependent is read, and one when it is decided.
    assert!(jobs.steps() <= 2 * LENGTH, "{} steps", jobs.steps());
}

#[test]
fn a_job_waits_for_a_dependency_that_it_names_twice() {
    let mut jobs = RecordedJobs::default();
    jobs.insert(recorded("job-1", &["job-2", "job-2", "job-3"]));
    jobs.insert(recorded("job-2", &[]));
    assert_eq!(state(&mut jobs, "job-1"), None);
    jobs.insert(recorded("job-3", &[]));
    assert_eq!(state(&mut jobs, "job-1"), Some(JobState::Queued));
}
