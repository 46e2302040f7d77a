//! Tests of cancellations, from the request until the last task of the job has ended.

use super::*;

#[test]
fn a_cancellation_stops_a_start_that_is_in_flight() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    harness.accept(sample("job-1", "red", 2, 8.0));
    let start = starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![])).remove(0);
    let reply = harness.cancel("job-1");
    assert_eq!(harness.answer(reply), None, "not answered before the cancellation is recorded");
    let written = harness.commit_all();
    assert_eq!(answered_state(&harness.answer(reply).expect("answered")), "cancelled");
    // The start may still be in flight, so the row is not archived yet.
    assert!(!written.iter().any(|t| t.changes.iter().any(|c| c.key() == archived_row_key(&id("job-1")))));
    let commands = harness.heartbeat("vm-1", 6, EPOCH, vec![task_status(&start, TaskState::Fetching)]);
    assert_eq!(commands, [stop(&start)]);
    let stopped = TaskState::Exited(ExitCause::Stopped { saved: false });
    let commands = harness.heartbeat("vm-1", 7, EPOCH, vec![task_status(&start, stopped)]);
    assert_eq!(commands, [], "not reaped while a copy of its start may arrive, and nothing starts again");
    let archived = harness.commit_all();
    assert_eq!(archived[0].changes[0].key(), archived_row_key(&id("job-1")));
    harness.now += harness.config.heartbeat_reply_validity();
    let commands = harness.heartbeat("vm-1", 8, EPOCH, vec![task_status(&start, stopped)]);
    assert_eq!(
        commands,
        [Command::Reap { task: start.task, attempt: start.attempt }],
        "and no task of the job starts again"
    );
}

#[test]
fn a_cancelled_task_on_a_one_way_partitioned_machine_ends_with_its_worker_lease() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    harness.accept(sample("job-1", "red", 1, 1.0));
    let start = starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![])).remove(0);
    harness.heartbeat("vm-1", 6, EPOCH, vec![task_status(&start, TaskState::Running)]);
    let reply = harness.cancel("job-1");
    harness.commit_all();
    assert_eq!(answered_state(&harness.answer(reply).expect("answered")), "cancelled");
    // Every heartbeat reply repeats the stop command and contains no other command.
    let stop = stop(&start);
    for sequence in 7..10 {
        harness.advance(3.0);
        assert_eq!(
            harness.heartbeat("vm-1", sequence, EPOCH, vec![task_status(&start, TaskState::Running)]),
            std::slice::from_ref(&stop)
        );
    }
    let archives_row = |transactions: Vec<Transaction>| {
        transactions.iter().flat_map(|t| &t.changes).any(|c| c.key() == archived_row_key(&id("job-1")))
    };
    assert!(!archives_row(harness.commit_all()), "the task may still run");
    // The machine receives no replies, so its worker lease expires and it starts a new
    // incarnation: from now on the row may be archived.
    harness.send_heartbeat("vm-1", 2, 1, EPOCH, vec![]);
    assert!(archives_row(harness.commit_all()));
}

/// The state service refuses the leader's requests, another controller confirms a cancellation,
/// and then the state service is down for every controller. The former leader does not know of
/// the cancellation and must not keep the job's tasks alive beyond the cancellation limit: under
/// any settings, its last reply and a whole worker lease after it must fit within the limit.
#[test]
fn the_post_lease_grace_ends_a_worker_lease_before_the_cancellation_limit() {
    let mut settings = settings::tests::sample();
    let mut graces = Vec::new();
    for cancel_s in [1.0, 10.0, 20.0, 30.0, 35.0, 40.0, 52.0, 600.0] {
        settings.cluster.workers.cancel_s = cancel_s;
        let config = Config { settings: settings.clone(), tuning: policy::tests::tuning() };
        let workers = &config.settings.cluster.workers;
        let latest_lease_end =
            config.post_lease_grace() + config.worker_lease_timeout() + HEARTBEAT_REPLY_TIMEOUT;
        assert!(
            config.post_lease_grace().is_zero() || latest_lease_end <= workers.cancellation(),
            "{cancel_s}"
        );
        assert!(config.post_lease_grace() <= workers.lease() / 2);
        assert_eq!(
            config.failover_lease_timeout(),
            config.worker_lease_timeout() + config.post_lease_grace(),
            "a new leader waits for the post-lease grace period, too"
        );
        graces.push(config.post_lease_grace());
    }
    assert!(graces.is_sorted() && graces[0].is_zero() && graces[7] == settings.cluster.workers.lease() / 2);
}

/// The state service fails right after the cancellation. Every reply in the post-lease grace
/// period renews the worker's lease, so every reply must carry the stop.
#[test]
fn heartbeat_replies_in_the_post_lease_grace_stop_only_cancelled_tasks() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    harness.accept(sample("job-1", "red", 1, 1.0));
    harness.accept(sample("job-2", "red", 1, 1.0));
    let held = starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![]));
    let running: Vec<_> = running_statuses(&held);
    harness.heartbeat("vm-1", 6, EPOCH, running.clone());
    let reply = harness.cancel("job-1");
    harness.commit_all();
    assert_eq!(answered_state(&harness.answer(reply).expect("answered")), "cancelled");
    let cancelled = held.iter().find(|s| s.task.job == id("job-1")).expect("started");
    harness.leader.extend_lease(harness.now, harness.now + Duration::from_millis(10));
    for sequence in 7..9 {
        harness.advance(1.0);
        assert!(!harness.leader.holds_lease(harness.now));
        assert_eq!(harness.heartbeat("vm-1", sequence, EPOCH, running.clone()), [stop(cancelled)]);
    }
    assert!(harness.commits.is_empty());
}

/// If failovers follow in quick succession, workers receive little more than the first reply of
/// each leader. These replies must not keep a task alive whose job was cancelled under an earlier
/// leader.
#[test]
fn the_first_heartbeat_reply_after_a_failover_stops_cancelled_tasks() {
    let mut cancelled = loaded_job(sample("job-1", "red", 1, 1.0));
    cancelled.record.cancelled = true;
    let live = loaded_job(sample("job-2", "red", 1, 1.0));
    let mut harness = Harness::new(vec![cancelled, live], vec![single_machine_pool("vm-1", true)]);
    let task = |job: &str| StartedTask { task: TaskId { job: id(job), index: 0 }, attempt: 7 };
    let statuses = ["job-1", "job-2", "job-3"].map(|job| task_status(&task(job), TaskState::Running));
    // The third job is not in memory: it is terminal, and its row is archived.
    let stops = [stop(&task("job-1")), stop(&task("job-3"))];
    assert_eq!(harness.heartbeat("vm-1", 50, EPOCH - 1, statuses.to_vec()), stops);
    // A machine that no node pool record names may hold tasks, too.
    assert_eq!(harness.heartbeat("vm-9", 50, EPOCH - 1, statuses.to_vec()), stops);
}

/// If a worker ignores stop commands, its heartbeats are redirected early enough that its lease
/// expires within the cancellation limit. The limit is measured from the cancellation and does not
/// depend on the number of ignored commands.
#[test]
fn heartbeats_of_a_machine_that_ignores_stops_are_redirected_in_time() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    harness.accept(sample("job-1", "red", 1, 1.0));
    let start = starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![])).remove(0);
    let running = vec![task_status(&start, TaskState::Running)];
    harness.heartbeat("vm-1", 6, EPOCH, running.clone());
    harness.cancel("job-1");
    harness.commit_all();
    let cancelled_at = harness.now;
    let workers = harness.config.settings.cluster.workers.clone();
    let (mut sequence, mut last_reply_at) = (6, harness.now);
    while harness.now < cancelled_at + workers.cancellation() {
        harness.advance(workers.heartbeat_interval_s);
        sequence += 1;
        if harness.send_heartbeat("vm-1", 1, sequence, EPOCH, running.clone()) != HeartbeatReply::Redirect {
            last_reply_at = harness.now;
        }
    }
    assert!(last_reply_at > cancelled_at, "at least one stop is sent first");
    assert!(last_reply_at + harness.config.worker_lease_timeout() <= cancelled_at + workers.cancellation());
    assert!(harness.registered_machine("vm-1").slots.is_empty(), "the task is confirmed as ended");
}

/// A pushed stop can be lost, and a machine that receives it may be unable to reach any
/// controller. The stop is therefore repeated at a limited rate, and a machine without heartbeats
/// is deleted before the cancellation limit expires.
#[test]
fn pushed_stops_are_repeated_and_a_suspected_machine_is_deleted_in_time() {
    let mut harness = Harness::with_machines(&["vm-1", "vm-2b", "vm-3"]);
    harness.accept(sample("job-1", "red", 1, 8.0));
    let start = starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![])).remove(0);
    harness.heartbeat("vm-1", 6, EPOCH, vec![task_status(&start, TaskState::Running)]);
    harness.cancel("job-1");
    assert_eq!(
        harness.pushed_commands,
        [stop(&start)],
        "sent at once: the result of the task is no longer needed"
    );
    harness.commit_all();
    let cancelled_at = harness.now;
    let (workers, mut sequence, mut deleted_at) = (harness.config.settings.cluster.workers.clone(), 6, None);
    while deleted_at.is_none() && harness.now < cancelled_at + workers.cancellation() {
        harness.advance(1.0);
        sequence += 1;
        for other in ["vm-2b", "vm-3"] {
            harness.heartbeat(other, sequence, EPOCH, vec![]);
        }
        let deletion_requested =
            harness.cloud_calls.iter().any(|(_, call)| *call == CloudCall::Delete(vec![machine("vm-1")]));
        deleted_at = deletion_requested.then_some(harness.now);
    }
    let sent = harness.pushed_commands.len() as f64;
    assert!(sent >= 3.0 && harness.pushed_commands.iter().all(|command| *command == stop(&start)));
    assert!(
        sent <= 1.0 + (harness.now - cancelled_at).as_secs_f64() / workers.heartbeat_interval_s,
        "rate limited"
    );
    assert!(deleted_at.is_some_and(|at| at <= cancelled_at + workers.lease()));
}

/// The number of commands in a reply is limited. If a heartbeat lists many ended tasks and a
/// cancelled one, the reaps must not displace the stop.
#[test]
fn stops_come_before_reaps_in_a_heartbeat_reply() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    let ended = |index| TaskStatus { task: TaskId { job: id("job-8"), index }, attempt: 1, state: DONE };
    let mut tasks: Vec<_> = (0..400).map(ended).collect();
    let cancelled = StartedTask { task: TaskId { job: id("job-9"), index: 0 }, attempt: 1 };
    tasks.push(task_status(&cancelled, TaskState::Running));
    assert_eq!(harness.heartbeat("vm-1", 5, EPOCH, tasks)[0], stop(&cancelled));
}
