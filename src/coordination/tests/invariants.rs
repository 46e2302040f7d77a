//! Tests of invariants that hold regardless of earlier decisions: an action that would violate an
//! invariant is refused, counted and logged, and the process keeps running.

use super::*;
use crate::protocol::cbor::MapBuilder;
use crate::protocol::workers::encode_heartbeat_reply;

/// How many violations of invariants the leader has counted.
fn violations(harness: &Harness) -> u64 {
    let metrics = harness.leader.metrics(MapBuilder::new()).build();
    Fields::of(&metrics).and_then(|f| f.count("invariantsViolated")).expect("a metric")
}

/// A machine lists a task of a job whose row is being archived. If the job were evicted from
/// memory, nothing would stop the task.
#[test]
fn a_job_stays_in_memory_while_a_machine_lists_one_of_its_tasks() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    harness.accept(sample("job-1", "red", 1, 1.0));
    harness.cancel("job-1");
    while !harness.commits[0].1.changes.iter().any(|change| change.key() == "over/job-1") {
        let (operation, _) = harness.commits.remove(0);
        harness.version += 1;
        harness.leader.handle_commit_result(harness.now, operation, Ok(harness.version));
        harness.collect_effects();
    }
    let orphan = StartedTask { task: TaskId { job: id("job-1"), index: 0 }, attempt: 9 };
    harness.heartbeat("vm-1", 2, EPOCH, vec![task_status(&orphan, TaskState::Running)]);
    harness.commit_all();
    assert_eq!(violations(&harness), 1);
    assert!(harness.leader.jobs.contains_key(&id("job-1")));
    let commands = harness.heartbeat("vm-1", 3, EPOCH, vec![task_status(&orphan, TaskState::Running)]);
    assert_eq!(commands, [Command::Stop { task: orphan.task, attempt: 9, grace_s: 0.0 }]);
    harness.heartbeat("vm-1", 4, EPOCH, vec![]);
    assert!(!harness.leader.jobs.contains_key(&id("job-1")), "no machine lists its tasks any more");
}

/// No writer marks a job as started before its dependencies are done. If a record has such a mark
/// nevertheless, the mark does not prove that they are done.
#[test]
fn a_dependent_record_marked_started_does_not_make_it_ready() {
    let dependent = JobSpec { dependencies: vec![id("job-1")], ..sample("job-2", "red", 1, 1.0) };
    for (cancelled, state) in [(false, JobState::Queued), (true, JobState::Cancelled)] {
        let mut dependency = unstarted_job(sample("job-1", "red", 1, 8.0));
        dependency.record.cancelled = cancelled;
        let mut harness = Harness::new(
            vec![dependency, loaded_job(dependent.clone())],
            vec![single_machine_pool("vm-1", true)],
        );
        assert_eq!(violations(&harness), 1);
        assert_eq!(harness.job_state("job-2"), Some(state));
        harness.heartbeat("vm-1", 1, EPOCH, vec![]);
        let started = job_ids(&starts(&harness.heartbeat("vm-1", 2, EPOCH, vec![])));
        assert!(!started.contains(&id("job-2")), "{started:?}");
    }
}

/// The evidence for a start is checked again when the command is created.
#[test]
fn a_start_without_evidence_is_refused_and_counted() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    harness.accept(sample("job-1", "red", 1, 1.0));
    // No code path leads to this state: the job depends on a job that is not in the dependency
    // graph.
    harness.leader.jobs.get_mut(&id("job-1")).expect("in memory").record.spec.dependencies =
        vec![id("job-9")];
    harness.advance(1.0);
    assert_eq!(starts(&harness.heartbeat("vm-1", 2, EPOCH, vec![])), vec![]);
    assert_eq!(violations(&harness), 1);
    harness.leader.jobs.get_mut(&id("job-1")).expect("in memory").record.spec.dependencies.clear();
    harness.advance(1.0);
    let started = starts(&harness.heartbeat("vm-1", 3, EPOCH, vec![]));
    assert_eq!(started.len(), 1, "a refused start may be decided again");
    assert_eq!(started[0].attempt, EPOCH << 32 | 1, "the refused start used no attempt number");
}

/// A machine runs more cancelled tasks than one reply can hold stops for. Each reply stops as
/// many tasks as it can hold, and all have ended well within the cancellation limit.
#[test]
fn more_cancelled_tasks_than_one_heartbeat_reply_holds_are_all_stopped() {
    const TASK_COUNT: u32 = 450;
    let record =
        loaded_job(JobSpec { cpus: 0.01, memory_gb: 0.01, ..sample("job-1", "red", TASK_COUNT, 0.01) });
    let mut harness = Harness::new(vec![record], vec![single_machine_pool("vm-1", true)]);
    let mut running: Vec<StartedTask> = (0..TASK_COUNT)
        .map(|index| StartedTask { task: TaskId { job: id("job-1"), index }, attempt: 7 })
        .collect();
    harness.heartbeat("vm-1", 1, EPOCH, running_statuses(&running));
    let reply = harness.cancel("job-1");
    harness.commit_all();
    assert_eq!(harness.answer(reply).map(|answer| answered_state(&answer)), Some("cancelled".into()));
    let cancelled_at = harness.now;
    let mut sequence = 2;
    while !running.is_empty() {
        harness.advance(harness.config.settings.cluster.workers.heartbeat_interval_s);
        let commands = harness.heartbeat("vm-1", sequence, EPOCH, running_statuses(&running));
        assert!(
            crate::protocol::cbor::max_json_size(&encode_heartbeat_reply(EPOCH, &commands))
                <= crate::protocol::BODY_LIMIT
        );
        let stopped: Vec<TaskId> = commands
            .into_iter()
            .filter_map(|command| match command {
                Command::Stop { task, .. } => Some(task),
                _ => None,
            })
            .collect();
        assert!(!stopped.is_empty());
        running.retain(|start| !stopped.contains(&start.task));
        sequence += 1;
    }
    assert!(harness.now < cancelled_at + harness.config.cancelled_task_reply_window());
}
