//! Tests each rule with a short history that breaks it and a similar one that only just does not.

use std::time::Duration;

use super::checker::{CheckParameters, Rule, check};
use super::history::{Elapsed, Entry, Event, JobState, TaskOnMachine, UserRequest};
use super::jobs::Job;

fn seconds(seconds: f64) -> Elapsed {
    Duration::from_secs_f64(seconds)
}

fn parameters() -> CheckParameters {
    CheckParameters {
        controllers: 1,
        team_cpu_limit: 8.0,
        cancel_within: seconds(16.0),
        start_in_flight: seconds(4.0),
        faults_end_at: seconds(60.0),
        all_faults_end_at: seconds(65.0),
        answer_within: seconds(75.0),
        end: seconds(100.0),
        settle_time: seconds(30.0),
        max_lag: seconds(0.4),
    }
}

/// A job with two tasks and these dependencies.
fn job(n: usize, dependencies: &[usize]) -> Job {
    Job {
        id: format!("job-{n:06}"),
        team: "red",
        tasks: 2,
        cpus: 4.0,
        run: seconds(1.0),
        is_service: false,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        dependencies: dependencies.to_vec(),
        submit_at: seconds(0.0),
        cancel_after: None,
        is_in_backlog: false,
    }
}

/// Three jobs, each of which depends on the previous one.
fn chain() -> Vec<Job> {
    vec![job(0, &[]), job(1, &[0]), job(2, &[1])]
}

/// An event, and its time in seconds since the beginning of the run.
type TimedEvent = (f64, Event);

fn found_rules(jobs: &[Job], history: &[TimedEvent]) -> Vec<Rule> {
    let entries: Vec<Entry> =
        history.iter().map(|(at, event)| Entry { at: seconds(*at), event: event.clone() }).collect();
    check(jobs, &parameters(), &entries).into_iter().map(|finding| finding.rule).collect()
}

fn assert_finds(rule: Rule, jobs: &[Job], history: &[TimedEvent]) {
    let found = found_rules(jobs, history);
    assert!(found.contains(&rule), "{rule:?} was not reported: {found:?}");
}

fn assert_does_not_find(rule: Rule, jobs: &[Job], history: &[TimedEvent]) {
    let found = found_rules(jobs, history);
    assert!(!found.contains(&rule), "{rule:?} was reported by mistake: {found:?}");
}

fn task_on(job: usize, index: u32, machine: &str) -> TaskOnMachine {
    TaskOnMachine { job, index, machine: machine.into() }
}

fn started_in(zone: &'static str, spot: bool, task: TaskOnMachine) -> Event {
    Event::TaskStarted { task, zone, spot }
}

fn started(job: usize, index: u32, machine: &str) -> Event {
    started_in("z1", false, task_on(job, index, machine))
}

fn removed(job: usize, index: u32, machine: &str) -> Event {
    Event::TaskRemoved { task: task_on(job, index, machine) }
}

fn completed(job: usize, index: u32) -> Event {
    Event::TaskCompleted { job, index }
}

fn response(job: usize, request: UserRequest, sent_at: f64, status: u16, state: Option<JobState>) -> Event {
    Event::ResponseReceived { job, request, sent_at: seconds(sent_at), controller: 0, status, state }
}

fn polled(job: usize, sent_at: f64, state: JobState) -> Event {
    response(job, UserRequest::Poll, sent_at, 200, Some(state))
}

fn accepted(job: usize) -> TimedEvent {
    (1.0, response(job, UserRequest::Submit, 0.9, 201, Some(JobState::Queued)))
}

/// The first job of a chain is cancelled; a user gets the confirmation at 10 s.
fn cancelled_at_10() -> Vec<TimedEvent> {
    vec![
        accepted(0),
        accepted(1),
        accepted(2),
        (9.0, Event::CancelRequested { job: 0 }),
        (10.0, response(0, UserRequest::Cancel, 9.0, 200, Some(JobState::Cancelled))),
    ]
}

/// Appends events to a history.
fn followed_by(mut history: Vec<TimedEvent>, more: &[TimedEvent]) -> Vec<TimedEvent> {
    history.extend_from_slice(more);
    history
}

#[test]
fn a_task_on_two_machines_at_once_is_found() {
    assert_finds(Rule::RanTwice, &chain(), &[(2.0, started(0, 0, "a")), (3.0, started(0, 0, "b"))]);
    let moved = [(2.0, started(0, 0, "a")), (2.5, removed(0, 0, "a")), (3.0, started(0, 0, "b"))];
    assert_does_not_find(Rule::RanTwice, &chain(), &moved);
    assert_does_not_find(Rule::RanTwice, &chain(), &[(2.0, started(0, 0, "a")), (3.0, started(0, 1, "b"))]);
}

#[test]
fn a_team_over_its_quota_is_found() {
    let three = [(2.0, started(0, 0, "a")), (2.1, started(0, 1, "b")), (2.2, started(1, 0, "c"))];
    assert_finds(Rule::Quota, &chain(), &three);
    assert_does_not_find(Rule::Quota, &chain(), &three[..2]);
    let mut other = chain();
    other[1].team = "blue";
    assert_does_not_find(Rule::Quota, &other, &three);
}

#[test]
fn a_task_that_violates_placement_constraints_is_found() {
    let changed = |change: fn(&mut Job)| {
        let mut jobs = chain();
        change(&mut jobs[0]);
        jobs
    };
    let in_z2 = [(2.0, started_in("z2", false, task_on(0, 0, "a")))];
    assert_finds(Rule::WrongPlace, &changed(|job| job.zone = Some("z1")), &in_z2);
    assert_does_not_find(Rule::WrongPlace, &changed(|job| job.zone = Some("z2")), &in_z2);
    let on_spot = [(2.0, started_in("z1", true, task_on(0, 0, "a")))];
    assert_finds(Rule::WrongPlace, &chain(), &on_spot);
    assert_does_not_find(Rule::WrongPlace, &changed(|job| job.spot = true), &on_spot);
    let apart = [(2.0, started(0, 0, "a")), (2.1, started_in("z2", false, task_on(0, 1, "b")))];
    assert_finds(Rule::WrongPlace, &changed(|job| job.one_zone = true), &apart);
    assert_does_not_find(Rule::WrongPlace, &changed(|job| job.spread = true), &apart);
    let together = [(2.0, started(0, 0, "a")), (2.1, started(0, 1, "b"))];
    assert_finds(Rule::WrongPlace, &changed(|job| job.spread = true), &together);
    assert_does_not_find(Rule::WrongPlace, &changed(|job| job.one_zone = true), &together);
}

#[test]
fn a_task_that_outlives_its_cancelled_job_is_found() {
    let stays = |until: f64| followed_by(cancelled_at_10(), &[(until, removed(0, 0, "a"))]);
    let running = |history: Vec<TimedEvent>| followed_by(vec![(2.0, started(0, 0, "a"))], &history);
    assert_finds(Rule::RanCancelled, &chain(), &running(stays(26.5)));
    assert_does_not_find(Rule::RanCancelled, &chain(), &running(stays(26.3)));
    // A task that runs until the end of the run, and a task of a dependent job that starts too late.
    assert_finds(Rule::RanCancelled, &chain(), &running(cancelled_at_10()));
    assert_finds(
        Rule::RanCancelled,
        &chain(),
        &followed_by(cancelled_at_10(), &[(27.0, started(2, 0, "a"))]),
    );
}

#[test]
fn a_start_long_after_the_cancellation_is_found() {
    let start = |at| {
        followed_by(cancelled_at_10(), &[(at, Event::StartReceived { task: task_on(1, 0, "a"), attempt: 1 })])
    };
    assert_finds(Rule::StartedCancelled, &chain(), &start(14.5));
    assert_does_not_find(Rule::StartedCancelled, &chain(), &start(14.3));
}

#[test]
fn an_accepted_job_that_is_unknown_later_is_found() {
    let accepted_then = |request, sent_at, status| {
        vec![accepted(0), (sent_at + 0.1, response(0, request, sent_at, status, None))]
    };
    assert_finds(Rule::Forgotten, &chain(), &accepted_then(UserRequest::Poll, 2.0, 404));
    assert_finds(Rule::Forgotten, &chain(), &accepted_then(UserRequest::Submit, 2.0, 422));
    let recent_poll = [(95.0, polled(0, 94.9, JobState::Running))];
    assert_does_not_find(
        Rule::Forgotten,
        &chain(),
        &followed_by(accepted_then(UserRequest::Poll, 0.5, 404), &recent_poll),
    );
    assert_does_not_find(
        Rule::Forgotten,
        &chain(),
        &followed_by(accepted_then(UserRequest::Poll, 2.0, 503), &recent_poll),
    );
    // Requests about the job stop getting responses.
    assert_finds(Rule::Forgotten, &chain(), &[accepted(0), (69.0, polled(0, 68.9, JobState::Running))]);
    assert_does_not_find(
        Rule::Forgotten,
        &chain(),
        &[accepted(0), (71.0, polled(0, 70.9, JobState::Running))],
    );
}

#[test]
fn unsubmitted_jobs_and_accepted_invalid_submissions_are_found() {
    let response = |expected, status| [(2.0, Event::InvalidRequest { expected, status })];
    assert_finds(Rule::Invented, &chain(), &response(404, 200));
    assert_does_not_find(Rule::Invented, &chain(), &response(404, 503));
    assert_finds(Rule::Invented, &chain(), &[(2.0, Event::UnknownStartReceived { machine: "a".into() })]);
    assert_finds(Rule::AcceptedOdd, &chain(), &response(422, 201));
    assert_finds(Rule::AcceptedOdd, &chain(), &response(400, 422));
    assert_does_not_find(Rule::AcceptedOdd, &chain(), &response(400, 400));
}

#[test]
fn a_job_reported_done_before_its_tasks_is_found() {
    let reported = (4.0, polled(0, 3.9, JobState::Done));
    assert_finds(Rule::NotDone, &chain(), &[accepted(0), (2.0, completed(0, 0)), reported.clone()]);
    let both = [accepted(0), (2.0, completed(0, 0)), (3.0, completed(0, 1)), reported];
    assert_does_not_find(Rule::NotDone, &chain(), &both);
}

#[test]
fn a_terminal_state_that_changes_is_found() {
    let done =
        [accepted(0), (2.0, completed(0, 0)), (2.0, completed(0, 1)), (3.0, polled(0, 2.9, JobState::Done))];
    let again = |sent_at, state| followed_by(done.to_vec(), &[(sent_at + 0.5, polled(0, sent_at, state))]);
    assert_finds(Rule::WentBack, &chain(), &again(3.1, JobState::Running));
    assert_does_not_find(Rule::WentBack, &chain(), &again(3.1, JobState::Done));
    // Sent before the terminal state was reported: another controller may not know it yet.
    assert_does_not_find(Rule::WentBack, &chain(), &again(2.8, JobState::Running));
    // Reported cancelled, although neither the job nor a dependency was cancelled.
    assert_finds(Rule::WentBack, &chain(), &[accepted(2), (3.0, polled(2, 2.9, JobState::Cancelled))]);
    assert_does_not_find(
        Rule::WentBack,
        &chain(),
        &followed_by(cancelled_at_10(), &[(11.0, polled(2, 10.9, JobState::Cancelled))]),
    );
    let ineffective_cancel = response(0, UserRequest::Cancel, 9.0, 200, Some(JobState::Running));
    assert_finds(Rule::WentBack, &chain(), &[accepted(0), (10.0, ineffective_cancel)]);
}

#[test]
fn a_run_without_any_start_is_found() {
    assert_finds(Rule::NothingRan, &chain(), &[accepted(0)]);
    assert_does_not_find(Rule::NothingRan, &chain(), &[accepted(0), (2.0, started(0, 0, "a"))]);
}

#[test]
fn a_start_before_the_dependencies_are_done_is_found() {
    let early_start = [(2.0, completed(0, 0)), (4.0, started(1, 0, "a"))];
    assert_finds(Rule::TooEarly, &chain(), &early_start);
    assert_does_not_find(Rule::TooEarly, &chain(), &followed_by(vec![(1.0, completed(0, 1))], &early_start));
}

#[test]
fn a_dependent_that_outlives_its_cancelled_dependency_is_found() {
    let reported =
        |sent_at, state| followed_by(cancelled_at_10(), &[(sent_at + 0.1, polled(2, sent_at, state))]);
    assert_finds(Rule::OrphanedJob, &chain(), &reported(26.5, JobState::Queued));
    assert_does_not_find(Rule::OrphanedJob, &chain(), &reported(26.3, JobState::Queued));
    assert_does_not_find(Rule::OrphanedJob, &chain(), &reported(40.0, JobState::Cancelled));
}

#[test]
fn a_task_that_outlives_its_done_job_is_found() {
    let done =
        [accepted(0), (2.0, completed(0, 0)), (2.0, completed(0, 1)), (3.0, polled(0, 2.9, JobState::Done))];
    let copy = |until| followed_by(done.to_vec(), &[(2.5, started(0, 0, "b")), (until, removed(0, 0, "b"))]);
    assert_finds(Rule::OrphanedTask, &chain(), &copy(19.5));
    assert_does_not_find(Rule::OrphanedTask, &chain(), &copy(19.3));
    assert_finds(Rule::OrphanedTask, &chain(), &followed_by(done.to_vec(), &[(2.5, started(0, 0, "b"))]));
}

#[test]
fn a_ready_job_that_never_starts_is_found() {
    let recent_poll = |job| (95.0, polled(job, 94.9, JobState::Queued));
    assert_finds(Rule::Starved, &chain(), &[accepted(0), recent_poll(0)]);
    assert_does_not_find(Rule::Starved, &chain(), &[accepted(0), (90.0, started(0, 0, "a")), recent_poll(0)]);
    // The job waits for a dependency that is not done, or was accepted too late to have started.
    assert_does_not_find(Rule::Starved, &chain(), &[accepted(1), recent_poll(1)]);
    assert_does_not_find(
        Rule::Starved,
        &chain(),
        &[(75.0, polled(0, 74.9, JobState::Queued)), recent_poll(0)],
    );
}

#[test]
fn exited_processes_and_violated_invariants_are_found() {
    let ended = Event::ProcessExited { controller: 1, status: "exit status: 1".into() };
    assert_finds(Rule::ProcessEnded, &chain(), &[(5.0, ended)]);
    let violated = Event::InvariantViolated { controller: 1, metric: "invariantsViolated" };
    assert_finds(Rule::InvariantViolated, &chain(), &[(5.0, violated)]);
    let harmless = [(5.0, Event::Fault { description: "kill".into() })];
    assert_does_not_find(Rule::ProcessEnded, &chain(), &harmless);
    assert_does_not_find(Rule::InvariantViolated, &chain(), &harmless);
}

/// A history in which a controller answers polls of a job at these times and no others.
fn answered_at(times: &[f64]) -> Vec<TimedEvent> {
    let queued = |at: &f64| (*at, response(0, UserRequest::Poll, at - 0.1, 200, Some(JobState::Queued)));
    let mut history: Vec<TimedEvent> = times.iter().map(queued).collect();
    history.push((2.0, started(0, 0, "vm-1")));
    history.sort_by(|a, b| a.0.total_cmp(&b.0));
    history
}

#[test]
fn a_job_without_an_answer_for_too_long_after_all_faults_is_reported() {
    let jobs = vec![job(0, &[])];
    // All faults end at 65 s; 75 s and the allowed lag later is 140.4 s.
    assert_finds(Rule::Unanswered, &jobs, &answered_at(&[1.0, 140.6]));
    assert_does_not_find(Rule::Unanswered, &jobs, &answered_at(&[1.0, 140.2]));
    assert_finds(Rule::Unanswered, &jobs, &answered_at(&[1.0, 70.0, 145.6]));
    assert_does_not_find(Rule::Unanswered, &jobs, &answered_at(&[1.0, 70.0, 145.2]));
}

#[test]
fn a_submission_that_is_not_accepted_for_too_long_after_all_faults_is_reported() {
    let jobs = vec![job(0, &[])];
    let accepted_at = |begun_at: f64, at: f64| {
        let submitted = response(0, UserRequest::Submit, at - 0.1, 201, Some(JobState::Queued));
        vec![(begun_at, Event::SubmissionBegun { job: 0 }), (at, submitted)]
    };
    // All faults end at 65 s; 75 s and the allowed lag later is 140.4 s.
    assert_finds(Rule::NotAccepted, &jobs, &accepted_at(1.0, 140.6));
    assert_does_not_find(Rule::NotAccepted, &jobs, &accepted_at(1.0, 140.2));
    assert_finds(Rule::NotAccepted, &jobs, &accepted_at(80.0, 155.6));
    assert_does_not_find(Rule::NotAccepted, &jobs, &accepted_at(80.0, 155.2));
    let never = |end: f64| {
        let history = [Entry { at: seconds(1.0), event: Event::SubmissionBegun { job: 0 } }];
        let parameters = CheckParameters { end: seconds(end), ..parameters() };
        check(&jobs, &parameters, &history).into_iter().any(|finding| finding.rule == Rule::NotAccepted)
    };
    assert!(never(140.6) && !never(140.2));
}

#[test]
fn a_controller_that_never_answers_about_a_job_is_reported_although_others_do() {
    let from = |controller, at: f64, status, state| {
        let request = UserRequest::Poll;
        (at, Event::ResponseReceived { job: 0, request, sent_at: seconds(at), controller, status, state })
    };
    let answer_of_0 = |at| from(0, at, 200, Some(JobState::Queued));
    let refusal_of_1 = |at| from(1, at, 503, None);
    let jobs = vec![job(0, &[])];
    let until = |end: f64| {
        let history = [answer_of_0(1.0), refusal_of_1(70.0), answer_of_0(90.0), answer_of_0(end - 0.1)];
        let entries: Vec<Entry> =
            history.into_iter().map(|(at, event)| Entry { at: seconds(at), event }).collect();
        let parameters = CheckParameters { controllers: 2, end: seconds(end), ..parameters() };
        check(&jobs, &parameters, &entries).into_iter().map(|finding| finding.rule).collect::<Vec<_>>()
    };
    assert!(until(140.6).contains(&Rule::Unanswered));
    assert!(!until(140.2).contains(&Rule::Unanswered));
}
