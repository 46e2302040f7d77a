//! Tests of heartbeats: what they prove, and how the leader treats machines that fail, are
//! partitioned or are preempted.

use super::*;

#[test]
fn stale_duplicate_and_newer_epoch_heartbeats_change_nothing() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    harness.accept(sample("job-1", "red", 1, 1.0));
    let start = starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![])).remove(0);
    // Delayed copies, older than the heartbeat whose reply carried the start.
    for sequence in [4, 5] {
        assert_eq!(harness.send_heartbeat("vm-1", 1, sequence, EPOCH, vec![]), HeartbeatReply::Redirect);
    }
    assert_eq!(harness.heartbeat("vm-1", 6, EPOCH, vec![task_status(&start, TaskState::Running)]), vec![]);
    assert_eq!(harness.job_state("job-1"), Some(JobState::Running));
    // A fencing token higher than the leader's: another controller leads, and the worker would
    // reject this leader's 200 reply.
    assert_eq!(harness.send_heartbeat("vm-1", 1, 7, EPOCH + 1, vec![]), HeartbeatReply::Redirect);
}

#[test]
fn a_task_is_not_started_again_while_its_first_attempt_may_run() {
    let mut harness = Harness::with_machines(&["vm-1", "vm-2b"]);
    harness.accept(sample("job-1", "red", 1, 1.0));
    let first = starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![])).remove(0);
    // vm-1 sends no more heartbeats: the start may have arrived, so vm-2b gets nothing before
    // vm-1's whole lease has expired.
    let timeout_s = harness.config.worker_lease_timeout().as_secs_f64();
    let mut sequence = 5;
    let begin = harness.now;
    while (harness.now - begin).as_secs_f64() + 2.0 < timeout_s {
        harness.advance(2.0);
        sequence += 1;
        assert_eq!(starts(&harness.heartbeat("vm-2b", sequence, EPOCH, vec![])), vec![]);
    }
    harness.advance(2.1);
    let second = starts(&harness.heartbeat("vm-2b", sequence + 1, EPOCH, vec![])).remove(0);
    assert_eq!(second.task, first.task);
    assert_ne!(second.attempt, first.attempt, "an attempt number is never used twice");
    // A delayed heartbeat of the ended incarnation changes nothing.
    harness.send_heartbeat("vm-1", 1, 6, EPOCH, vec![task_status(&first, TaskState::Running)]);
    assert_eq!(
        starts(&harness.heartbeat(
            "vm-2b",
            sequence + 2,
            EPOCH,
            vec![task_status(&second, TaskState::Running)]
        )),
        vec![]
    );
}

#[test]
fn a_start_whose_reply_was_lost_is_repeated_as_a_new_attempt() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    harness.accept(sample("job-1", "red", 1, 1.0));
    let first = starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![])).remove(0);
    // The next heartbeat does not list the task: the worker never received the reply.
    let second = starts(&harness.heartbeat("vm-1", 6, EPOCH, vec![])).remove(0);
    assert_eq!(first.task, second.task);
    assert_ne!(first.attempt, second.attempt);
    // A new incarnation begins without tasks.
    let reply = harness.send_heartbeat("vm-1", 2, 1, EPOCH, vec![]);
    assert!(matches!(reply, HeartbeatReply::Commands { commands, .. } if starts(&commands).len() == 1));
}

#[test]
fn quotas_count_tasks_on_unreachable_machines() {
    // Team red may use 16 CPUs; two tasks of 6 fit, a third does not, whether or not the
    // machine that holds them can be reached.
    let mut harness = Harness::with_machines(&["vm-1", "vm-2b", "vm-3"]);
    harness.accept(sample("job-1", "red", 3, 6.0));
    assert_eq!(starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![])).len(), 1);
    assert_eq!(starts(&harness.heartbeat("vm-2b", 5, EPOCH, vec![])).len(), 1);
    for sequence in 5..9 {
        harness.advance(2.0);
        assert_eq!(starts(&harness.heartbeat("vm-3", sequence, EPOCH, vec![])), vec![]);
    }
    let usage = harness.quota_used("red").cpus;
    assert!((usage - 12.0).abs() < 1e-9);
}

#[test]
fn a_machine_that_fails_every_task_is_cordoned_but_a_failing_job_cordons_none() {
    let mut harness = Harness::with_machines(&["vm-1", "vm-2b", "vm-3", "vm-4b"]);
    harness.accept(sample("job-1", "red", 4, 1.0));
    let failed = |s: &StartedTask| task_status(s, TaskState::Exited(ExitCause::Error));
    let started = starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![]));
    assert_eq!(started.len(), 4);
    let again = harness.heartbeat("vm-1", 6, EPOCH, started.iter().map(failed).collect());
    assert_eq!(starts(&again), vec![], "nothing starts on a cordoned machine");
    // The tasks start elsewhere and fail there, too: the fault is the job's.
    for name in ["vm-2b", "vm-3"] {
        let started = starts(&harness.heartbeat(name, 5, EPOCH, vec![]));
        harness.heartbeat(name, 6, EPOCH, started.iter().take(2).map(failed).collect());
    }
    harness.accept(sample("job-2", "blue", 1, 1.0));
    harness.advance(1.0);
    let placed: usize = ["vm-2b", "vm-3", "vm-4b"]
        .map(|name| starts(&harness.heartbeat(name, 7, EPOCH, vec![])).len())
        .iter()
        .sum();
    assert!(placed > 0, "only vm-1 is cordoned");
    assert_eq!(starts(&harness.heartbeat("vm-1", 7, EPOCH, vec![])), vec![]);
    assert!(
        harness.job_state("job-1").is_some_and(|s| !s.is_terminal()),
        "a failing job is never made terminal"
    );
}

/// A task that can neither save a checkpoint nor end before its machine is preempted is lost in
/// any case. If it is stopped at the notice, it starts elsewhere half a minute sooner than if the
/// leader waited until it detects the loss. A task that can still end in time is not stopped.
#[test]
fn a_preemption_notice_stops_only_tasks_that_cannot_end_in_time() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    for (job, estimate_s) in [("job-1", 100.0), ("job-2", 12.0)] {
        let mut spec = sample(job, "blue", 1, 2.0);
        (spec.estimated_run_s, spec.checkpoint_interval_s) = (estimate_s, 0.0);
        harness.accept(spec);
    }
    let started = starts(&harness.heartbeat("vm-1", 2, EPOCH, vec![]));
    assert_eq!(started.len(), 2);
    let running = || running_statuses(&started);
    harness.heartbeat("vm-1", 3, EPOCH, running());
    harness.advance(5.0);
    harness.send_heartbeat_with_notice("vm-1", 1, 4, EPOCH, Some(15.0), running());
    let stopped: Vec<_> = harness
        .pushed_commands
        .iter()
        .map(|c| matches!(c, Command::Stop { task, grace_s, .. } if task.job == id("job-1") && *grace_s == 0.0))
        .collect();
    assert_eq!(stopped, [true], "{:?}", harness.pushed_commands);
}

#[test]
fn a_one_way_partitioned_machine_gets_few_starts_and_one_lost_reply_is_retried() {
    let node_pools = ["vm-1", "vm-2b"].map(|name| single_machine_pool(name, true)).to_vec();
    let mut harness = Harness::with_tuning(Vec::new(), node_pools, policy::tests::tuning());
    for name in ["vm-1", "vm-2b"] {
        harness.heartbeat(name, 1, EPOCH, vec![]);
    }
    harness.accept(sample("job-9", "blue", 1, 8.0));
    let other_start = starts(&harness.heartbeat("vm-2b", 4, EPOCH, vec![])).remove(0);
    harness.accept(sample("job-1", "red", 1, 1.0));
    // One reply is lost: the start is repeated at once, and is acknowledged.
    assert_eq!(starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![])).len(), 1);
    harness.advance(7.0);
    harness.heartbeat("vm-2b", 5, EPOCH, vec![task_status(&other_start, TaskState::Running)]);
    assert_eq!(starts(&harness.heartbeat("vm-1", 6, EPOCH, vec![])).len(), 1);
    harness.advance(7.0);
    harness.heartbeat("vm-2b", 6, EPOCH, vec![task_status(&other_start, TaskState::Running)]);
    let start = starts(&harness.heartbeat("vm-1", 7, EPOCH, vec![])).remove(0);
    harness.heartbeat("vm-1", 8, EPOCH, vec![task_status(&start, DONE)]);
    harness.commit_all();
    harness.heartbeat("vm-1", 9, EPOCH, vec![]);
    // From now on no reply reaches the machine. It keeps sending heartbeats, and its incarnation
    // increases each time its lease expires.
    harness.accept(sample("job-2", "red", 8, 1.0));
    let lease = harness.config.settings.cluster.workers.lease_s;
    let begin = harness.now;
    let (mut starts_sent, mut sequence) = (0, 9);
    while (harness.now - begin).as_secs_f64() < 3.0 * lease {
        harness.advance(5.0);
        sequence += 1;
        harness.heartbeat("vm-2b", sequence, EPOCH, vec![task_status(&other_start, TaskState::Running)]);
        let incarnation = 1 + ((harness.now - begin).as_secs_f64() / lease) as u64;
        if let HeartbeatReply::Commands { commands, .. } =
            harness.send_heartbeat("vm-1", incarnation, sequence, EPOCH, vec![])
        {
            starts_sent += starts(&commands).len();
        }
    }
    assert!(
        (8..=40).contains(&starts_sent),
        "{starts_sent} starts in replies that the machine does not receive"
    );
    // The machine's capacity does not count while it is one-way partitioned: the other machine
    // gets the tasks.
    harness.send_heartbeat("vm-1", 8, sequence, EPOCH, vec![]);
    let started =
        starts(&harness.heartbeat("vm-2b", sequence + 1, EPOCH, vec![task_status(&other_start, DONE)]));
    assert_eq!(started.len(), 8);
    // No demand is planned on the machine, so it is deleted.
    assert!(harness.cloud_calls.iter().any(|(_, c)| *c == CloudCall::Delete(vec![machine("vm-1")])));
}

#[test]
fn a_machine_after_a_one_way_partition_is_probed_with_a_single_start() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    harness.accept(sample("job-1", "red", 3, 1.0));
    let starts_of =
        |harness: &mut Harness, sequence, tasks| starts(&harness.heartbeat("vm-1", sequence, EPOCH, tasks));
    for sequence in 5..9 {
        starts_of(&mut harness, sequence, vec![]);
        harness.advance(3.0);
    }
    let vm = harness.registered_machine("vm-1");
    assert!(vm.worker.one_way_partitioned && !vm.need.is_needed, "its capacity does not count");
    let (mut probe, mut sequence) = (starts_of(&mut harness, 9, vec![]), 9);
    assert!(probe.is_empty(), "no start while it is one-way partitioned");
    while probe.is_empty() && sequence < 20 {
        harness.advance(3.0);
        sequence += 1;
        probe = starts_of(&mut harness, sequence, vec![]);
    }
    assert_eq!(probe.len(), 1);
    let rest = starts_of(&mut harness, sequence + 1, vec![task_status(&probe[0], TaskState::Running)]);
    assert_eq!(rest.len(), 2, "the partition is over, so all waiting tasks start");
}

#[test]
fn duplicate_heartbeats_of_an_ended_incarnation_change_nothing() {
    let mut harness = Harness::with_machines(&["vm-1", "vm-2b"]);
    harness.accept(sample("job-1", "red", 1, 1.0));
    let start = starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![])).remove(0);
    harness.heartbeat("vm-1", 6, EPOCH, vec![task_status(&start, TaskState::Running)]);
    let mut sequence = 6;
    for _ in 0..20 {
        harness.advance(2.0);
        sequence += 1;
        if !starts(&harness.heartbeat("vm-2b", sequence, EPOCH, vec![])).is_empty() {
            break;
        }
    }
    // The task is confirmed as ended and has started elsewhere. An earlier heartbeat arrives,
    // delayed by well over a lease.
    let late = harness.send_heartbeat("vm-1", 1, 9, EPOCH, vec![task_status(&start, TaskState::Running)]);
    assert_eq!(late, HeartbeatReply::Redirect);
    assert!(harness.leader.machines.get(&machine("vm-1")).is_none_or(|m| m.slots.is_empty()));
}

#[test]
fn a_machine_restarted_with_lower_sequences_is_replaced() {
    let mut harness = Harness::with_machines(&["vm-1", "vm-2"]);
    harness.accept(sample("job-1", "red", 1, 1.0));
    let start = starts(&harness.heartbeat("vm-1", 500, EPOCH, vec![])).remove(0);
    harness.heartbeat("vm-1", 501, EPOCH, vec![task_status(&start, TaskState::Running)]);
    // After a restart the machine sends an empty task list and lower sequences. Such a heartbeat
    // may also be a delayed copy, so it frees no slots, and the redirect prevents the machine
    // from renewing its lease with this leader.
    for (incarnation, sequence) in [(1, 1), (1, 501)] {
        for token in [0, EPOCH] {
            assert_eq!(
                harness.send_heartbeat("vm-1", incarnation, sequence, token, vec![]),
                HeartbeatReply::Redirect
            );
        }
    }
    assert_eq!(harness.registered_machine("vm-1").slots.len(), 1);
    // Such heartbeats do not count as signs of life either: the machine is replaced like one that
    // sends no heartbeats, and the confirmed deletion proves that its task has ended.
    harness.cloud_calls.clear();
    let suspicion_timeout_s = harness.config.tuning.suspicion_timeout.as_secs_f64();
    let mut sequence = 1;
    for _ in 0..(suspicion_timeout_s / 2.0) as u64 + 2 {
        harness.advance(2.0);
        sequence += 1;
        assert_eq!(harness.send_heartbeat("vm-1", 1, sequence, 0, vec![]), HeartbeatReply::Redirect);
        assert_eq!(starts(&harness.heartbeat("vm-2", sequence, EPOCH, vec![])), vec![]);
    }
    let delete = CloudCall::Delete(vec![machine("vm-1")]);
    let (operation, _) = harness.cloud_calls.iter().find(|(_, c)| *c == delete).cloned().expect("replaced");
    harness.leader.handle_cloud_result(harness.now, operation, Ok(CloudReply::Deleted));
    assert_eq!(starts(&harness.heartbeat("vm-2", sequence + 1, EPOCH, vec![])).len(), 1);
}
