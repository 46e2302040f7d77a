//! What must hold whatever was decided before: the act is refused, counted and logged, and
//! no process ends.

use super::*;
use crate::protocol::cbor::MapBuilder;
use crate::protocol::workers::encode_heartbeat_reply;

fn violations(rig: &Rig) -> u64 {
    let figures = rig.leader.metrics(MapBuilder::new()).build();
    Fields::of(&figures).and_then(|f| f.count("invariantsViolated")).expect("a figure")
}

fn unbegun(spec: JobSpec) -> JobSnapshot {
    JobSnapshot { record: JobRecord::new(spec, MS), ..loaded_job(sample("job-0", "red", 1, 1.0)) }
}

/// A machine shows a task of a job whose row is being moved: out of memory, its stop would
/// be nobody's business.
#[test]
fn a_job_stays_in_memory_while_a_task_of_it_is_on_a_machine() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    rig.withdraw("job-1");
    while !rig.commits[0].1.changes.iter().any(|change| change.key() == "over/job-1") {
        let (ticket, _) = rig.commits.remove(0);
        rig.version += 1;
        rig.leader.handle_commit_result(rig.now, ticket, Ok(rig.version));
        rig.collect();
    }
    let stray = (TaskId { job: id("job-1"), index: 0 }, 9);
    rig.beat("vm-1", 2, EPOCH, vec![listed(&stray, TaskState::Running)]);
    rig.commit_all();
    assert_eq!(violations(&rig), 1);
    assert!(rig.leader.jobs.contains_key(&id("job-1")));
    let orders = rig.beat("vm-1", 3, EPOCH, vec![listed(&stray, TaskState::Running)]);
    assert_eq!(orders, [Command::Stop { task: stray.0, attempt: 9, grace_s: 0.0 }]);
    rig.beat("vm-1", 4, EPOCH, vec![]);
    assert!(!rig.leader.jobs.contains_key(&id("job-1")), "nothing holds it any more");
}

/// No writer says that a job has begun before its needs are done; were it there, it would
/// be no evidence of their end.
#[test]
fn a_record_that_has_begun_too_early_is_no_release() {
    let dependent = JobSpec { dependencies: vec![id("job-1")], ..sample("job-2", "red", 1, 1.0) };
    for (cancelled, standing) in [(false, JobState::Queued), (true, JobState::Cancelled)] {
        let mut need = unbegun(sample("job-1", "red", 1, 8.0));
        need.record.cancelled = cancelled;
        let mut rig = Rig::new(vec![need, loaded_job(dependent.clone())], vec![rented("vm-1", true)]);
        assert_eq!(violations(&rig), 1);
        assert_eq!(rig.standing("job-2"), Some(standing));
        rig.beat("vm-1", 1, EPOCH, vec![]);
        let started: Vec<JobId> =
            starts(&rig.beat("vm-1", 2, EPOCH, vec![])).into_iter().map(|(task, _)| task.job).collect();
        assert!(!started.contains(&id("job-2")), "{started:?}");
    }
}

/// Each start is decided by evidence that is looked at once more where the order is made.
#[test]
fn a_start_without_its_evidence_is_refused_and_counted() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    // What no path does: the job awaits a job that the graph does not hold.
    rig.leader.jobs.get_mut(&id("job-1")).expect("there").record.spec.dependencies = vec![id("job-9")];
    rig.pass(1.0);
    assert_eq!(starts(&rig.beat("vm-1", 2, EPOCH, vec![])), vec![]);
    assert_eq!(violations(&rig), 1);
    rig.leader.jobs.get_mut(&id("job-1")).expect("there").record.spec.dependencies.clear();
    rig.pass(1.0);
    let started = starts(&rig.beat("vm-1", 3, EPOCH, vec![]));
    assert_eq!(started.len(), 1, "it is no reason to start it never");
    assert_eq!(started[0].1, EPOCH << 32 | 1, "and no attempt number was spent");
}

/// More cancelled tasks on one machine than an answer holds orders for: each answer stops
/// as many as it holds, and all are gone well within the time that a cancellation has.
#[test]
fn more_cancelled_tasks_than_one_answer_holds_are_all_stopped() {
    const TASKS: u32 = 450;
    let record = loaded_job(JobSpec { cpus: 0.01, memory_gb: 0.01, ..sample("job-1", "red", TASKS, 0.01) });
    let mut rig = Rig::new(vec![record], vec![rented("vm-1", true)]);
    let mut running: Vec<(TaskId, u64)> =
        (0..TASKS).map(|index| (TaskId { job: id("job-1"), index }, 7)).collect();
    let shown = |tasks: &[(TaskId, u64)]| tasks.iter().map(|t| listed(t, TaskState::Running)).collect();
    rig.beat("vm-1", 1, EPOCH, shown(&running));
    let to = rig.withdraw("job-1");
    rig.commit_all();
    assert_eq!(rig.answer(to).map(|answer| told(&answer)), Some("cancelled".into()));
    let confirmed = rig.now;
    let mut seq = 2;
    while !running.is_empty() {
        rig.pass(rig.config.settings.cluster.workers.report_s);
        let orders = rig.beat("vm-1", seq, EPOCH, shown(&running));
        assert!(
            crate::protocol::cbor::json_size(&encode_heartbeat_reply(EPOCH, &orders))
                <= crate::protocol::BODY_LIMIT
        );
        let stopped: Vec<TaskId> = orders
            .into_iter()
            .filter_map(|order| match order {
                Command::Stop { task, .. } => Some(task),
                _ => None,
            })
            .collect();
        assert!(!stopped.is_empty());
        running.retain(|(task, _)| !stopped.contains(task));
        seq += 1;
    }
    assert!(rig.now < confirmed + rig.config.cancelled_task_reply_window());
}
