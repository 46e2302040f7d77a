//! For each rule a small history that breaks it, and one that just does not.

use std::time::Duration;

use super::checker::{Rule, Terms, check};
use super::history::{At, Entry, Event, JobState, Question, TaskOn};
use super::jobs::Job;

fn s(seconds: f64) -> At {
    Duration::from_secs_f64(seconds)
}

fn terms() -> Terms {
    Terms {
        limit: 8.0,
        cancel: s(16.0),
        start_on_its_way: s(4.0),
        calm_at: s(60.0),
        end: s(100.0),
        settled_before_end: s(30.0),
        lag: s(0.4),
    }
}

fn job(n: usize, awaits: &[usize]) -> Job {
    Job {
        id: format!("job-{n:06}"),
        team: "red",
        tasks: 2,
        cpus: 4.0,
        run: s(1.0),
        is_service: false,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        awaits: awaits.to_vec(),
        at: s(0.0),
        cancel_after: None,
    }
}

/// A chain of three.
fn chain() -> Vec<Job> {
    vec![job(0, &[]), job(1, &[0]), job(2, &[1])]
}

/// Histories say when, and what.
type Told = (f64, Event);

fn broken(jobs: &[Job], history: &[Told]) -> Vec<Rule> {
    let entries: Vec<Entry> =
        history.iter().map(|(at, event)| Entry { at: s(*at), event: event.clone() }).collect();
    check(jobs, &terms(), &entries).into_iter().map(|finding| finding.rule).collect()
}

fn breaks(rule: Rule, jobs: &[Job], history: &[Told]) {
    let found = broken(jobs, history);
    assert!(found.contains(&rule), "{rule:?} is not found: {found:?}");
}

fn keeps(rule: Rule, jobs: &[Job], history: &[Told]) {
    let found = broken(jobs, history);
    assert!(!found.contains(&rule), "{rule:?} is found wrongly: {found:?}");
}

fn on(job: usize, index: u32, machine: &str) -> TaskOn {
    TaskOn { job, index, machine: machine.into() }
}

fn began_in(zone: &'static str, spot: bool, task: TaskOn) -> Event {
    Event::Began { task, zone, spot }
}

fn began(job: usize, index: u32, machine: &str) -> Event {
    began_in("z1", false, on(job, index, machine))
}

fn left(job: usize, index: u32, machine: &str) -> Event {
    Event::Left { task: on(job, index, machine) }
}

fn completed(job: usize, index: u32) -> Event {
    Event::Completed { job, index }
}

fn answered(job: usize, question: Question, asked: f64, status: u16, standing: Option<JobState>) -> Event {
    Event::Answered { job, question, asked: s(asked), controller: 0, status, standing }
}

fn polled(job: usize, asked: f64, standing: JobState) -> Event {
    answered(job, Question::Poll, asked, 200, Some(standing))
}

fn accepted(job: usize) -> Told {
    (1.0, answered(job, Question::Submit, 0.9, 201, Some(JobState::Queued)))
}

/// The first of a chain is called off and told cancelled at 10 s.
fn cancelled_at_10() -> Vec<Told> {
    vec![
        accepted(0),
        accepted(1),
        accepted(2),
        (9.0, Event::CallsOff { job: 0 }),
        (10.0, answered(0, Question::Withdraw, 9.0, 200, Some(JobState::Cancelled))),
    ]
}

fn with(mut history: Vec<Told>, more: &[Told]) -> Vec<Told> {
    history.extend_from_slice(more);
    history
}

#[test]
fn ran_twice() {
    breaks(Rule::RanTwice, &chain(), &[(2.0, began(0, 0, "a")), (3.0, began(0, 0, "b"))]);
    let moved = [(2.0, began(0, 0, "a")), (2.5, left(0, 0, "a")), (3.0, began(0, 0, "b"))];
    keeps(Rule::RanTwice, &chain(), &moved);
    keeps(Rule::RanTwice, &chain(), &[(2.0, began(0, 0, "a")), (3.0, began(0, 1, "b"))]);
}

#[test]
fn quota() {
    let three = [(2.0, began(0, 0, "a")), (2.1, began(0, 1, "b")), (2.2, began(1, 0, "c"))];
    breaks(Rule::Quota, &chain(), &three);
    keeps(Rule::Quota, &chain(), &three[..2]);
    let mut other = chain();
    other[1].team = "blue";
    keeps(Rule::Quota, &other, &three);
}

#[test]
fn wrong_place() {
    let changed = |change: fn(&mut Job)| {
        let mut jobs = chain();
        change(&mut jobs[0]);
        jobs
    };
    let in_z2 = [(2.0, began_in("z2", false, on(0, 0, "a")))];
    breaks(Rule::WrongPlace, &changed(|job| job.zone = Some("z1")), &in_z2);
    keeps(Rule::WrongPlace, &changed(|job| job.zone = Some("z2")), &in_z2);
    let on_spot = [(2.0, began_in("z1", true, on(0, 0, "a")))];
    breaks(Rule::WrongPlace, &chain(), &on_spot);
    keeps(Rule::WrongPlace, &changed(|job| job.spot = true), &on_spot);
    let apart = [(2.0, began(0, 0, "a")), (2.1, began_in("z2", false, on(0, 1, "b")))];
    breaks(Rule::WrongPlace, &changed(|job| job.one_zone = true), &apart);
    keeps(Rule::WrongPlace, &changed(|job| job.spread = true), &apart);
    let together = [(2.0, began(0, 0, "a")), (2.1, began(0, 1, "b"))];
    breaks(Rule::WrongPlace, &changed(|job| job.spread = true), &together);
    keeps(Rule::WrongPlace, &changed(|job| job.one_zone = true), &together);
}

#[test]
fn ran_cancelled() {
    let stays = |until: f64| with(cancelled_at_10(), &[(until, left(0, 0, "a"))]);
    let running = |history: Vec<Told>| with(vec![(2.0, began(0, 0, "a"))], &history);
    breaks(Rule::RanCancelled, &chain(), &running(stays(26.5)));
    keeps(Rule::RanCancelled, &chain(), &running(stays(26.3)));
    // To the end, and begun after the time; so with a job that needs the cancelled one.
    breaks(Rule::RanCancelled, &chain(), &running(cancelled_at_10()));
    breaks(Rule::RanCancelled, &chain(), &with(cancelled_at_10(), &[(27.0, began(2, 0, "a"))]));
}

#[test]
fn started_cancelled() {
    let start = |at| with(cancelled_at_10(), &[(at, Event::StartTaken { task: on(1, 0, "a"), attempt: 1 })]);
    breaks(Rule::StartedCancelled, &chain(), &start(14.5));
    keeps(Rule::StartedCancelled, &chain(), &start(14.3));
}

#[test]
fn forgotten() {
    let answer = |question, asked, status| {
        vec![accepted(0), (asked + 0.1, answered(0, question, asked, status, None))]
    };
    breaks(Rule::Forgotten, &chain(), &answer(Question::Poll, 2.0, 404));
    breaks(Rule::Forgotten, &chain(), &answer(Question::Submit, 2.0, 422));
    let lately = [(95.0, polled(0, 94.9, JobState::Running))];
    keeps(Rule::Forgotten, &chain(), &with(answer(Question::Poll, 0.5, 404), &lately));
    keeps(Rule::Forgotten, &chain(), &with(answer(Question::Poll, 2.0, 503), &lately));
    // Asked, and not answered any more.
    breaks(Rule::Forgotten, &chain(), &[accepted(0), (69.0, polled(0, 68.9, JobState::Running))]);
    keeps(Rule::Forgotten, &chain(), &[accepted(0), (71.0, polled(0, 70.9, JobState::Running))]);
}

#[test]
fn invented_and_accepted_odd() {
    let odd = |expected, status| [(2.0, Event::Odd { expected, status })];
    breaks(Rule::Invented, &chain(), &odd(404, 200));
    keeps(Rule::Invented, &chain(), &odd(404, 503));
    breaks(Rule::Invented, &chain(), &[(2.0, Event::UnknownStart { machine: "a".into() })]);
    breaks(Rule::AcceptedOdd, &chain(), &odd(422, 201));
    breaks(Rule::AcceptedOdd, &chain(), &odd(400, 422));
    keeps(Rule::AcceptedOdd, &chain(), &odd(400, 400));
}

#[test]
fn not_done() {
    let told = (4.0, polled(0, 3.9, JobState::Done));
    breaks(Rule::NotDone, &chain(), &[accepted(0), (2.0, completed(0, 0)), told.clone()]);
    let both = [accepted(0), (2.0, completed(0, 0)), (3.0, completed(0, 1)), told];
    keeps(Rule::NotDone, &chain(), &both);
}

#[test]
fn went_back() {
    let done =
        [accepted(0), (2.0, completed(0, 0)), (2.0, completed(0, 1)), (3.0, polled(0, 2.9, JobState::Done))];
    let again = |asked, standing| with(done.to_vec(), &[(asked + 0.5, polled(0, asked, standing))]);
    breaks(Rule::WentBack, &chain(), &again(3.1, JobState::Running));
    keeps(Rule::WentBack, &chain(), &again(3.1, JobState::Done));
    // Asked before the final state was told: no controller can know.
    keeps(Rule::WentBack, &chain(), &again(2.8, JobState::Running));
    // Called cancelled, and nobody has called it off, nor a job before it.
    breaks(Rule::WentBack, &chain(), &[accepted(2), (3.0, polled(2, 2.9, JobState::Cancelled))]);
    keeps(
        Rule::WentBack,
        &chain(),
        &with(cancelled_at_10(), &[(11.0, polled(2, 10.9, JobState::Cancelled))]),
    );
    let nothing = answered(0, Question::Withdraw, 9.0, 200, Some(JobState::Running));
    breaks(Rule::WentBack, &chain(), &[accepted(0), (10.0, nothing)]);
}

#[test]
fn nothing_ran() {
    breaks(Rule::NothingRan, &chain(), &[accepted(0)]);
    keeps(Rule::NothingRan, &chain(), &[accepted(0), (2.0, began(0, 0, "a"))]);
}

#[test]
fn too_early() {
    let need = [(2.0, completed(0, 0)), (4.0, began(1, 0, "a"))];
    breaks(Rule::TooEarly, &chain(), &need);
    keeps(Rule::TooEarly, &chain(), &with(vec![(1.0, completed(0, 1))], &need));
}

#[test]
fn orphaned_job() {
    let told = |asked, standing| with(cancelled_at_10(), &[(asked + 0.1, polled(2, asked, standing))]);
    breaks(Rule::OrphanedJob, &chain(), &told(26.5, JobState::Queued));
    keeps(Rule::OrphanedJob, &chain(), &told(26.3, JobState::Queued));
    keeps(Rule::OrphanedJob, &chain(), &told(40.0, JobState::Cancelled));
}

#[test]
fn orphaned_task() {
    let done =
        [accepted(0), (2.0, completed(0, 0)), (2.0, completed(0, 1)), (3.0, polled(0, 2.9, JobState::Done))];
    let copy = |until| with(done.to_vec(), &[(2.5, began(0, 0, "b")), (until, left(0, 0, "b"))]);
    breaks(Rule::OrphanedTask, &chain(), &copy(19.5));
    keeps(Rule::OrphanedTask, &chain(), &copy(19.3));
    breaks(Rule::OrphanedTask, &chain(), &with(done.to_vec(), &[(2.5, began(0, 0, "b"))]));
}

#[test]
fn starved() {
    let lately = |job| (95.0, polled(job, 94.9, JobState::Queued));
    breaks(Rule::Starved, &chain(), &[accepted(0), lately(0)]);
    keeps(Rule::Starved, &chain(), &[accepted(0), (90.0, began(0, 0, "a")), lately(0)]);
    // It waits for a job that is not done, and comes too late to have begun.
    keeps(Rule::Starved, &chain(), &[accepted(1), lately(1)]);
    keeps(Rule::Starved, &chain(), &[(75.0, polled(0, 74.9, JobState::Queued)), lately(0)]);
}

#[test]
fn processes_and_invariants() {
    let ended = Event::Ended { controller: 1, how: "exit status: 1".into() };
    breaks(Rule::ProcessEnded, &chain(), &[(5.0, ended)]);
    let violated = Event::Violated { controller: 1, figure: "invariantsViolated" };
    breaks(Rule::InvariantViolated, &chain(), &[(5.0, violated)]);
    let sound = [(5.0, Event::Fault { what: "kill".into() })];
    keeps(Rule::ProcessEnded, &chain(), &sound);
    keeps(Rule::InvariantViolated, &chain(), &sound);
}
