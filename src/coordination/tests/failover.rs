//! Tests of failovers: what a new leader may conclude about tasks that its predecessors started,
//! and when.

use super::*;

#[test]
fn after_a_failover_only_older_jobs_wait_for_an_unreconciled_machine() {
    let older_job = loaded_job(sample("job-1", "red", 2, 1.0));
    let mut harness = Harness::new(
        vec![older_job],
        vec![
            single_machine_pool("vm-1", true),
            single_machine_pool("vm-2", true),
            single_machine_pool("vm-3", false),
        ],
    );
    // The first heartbeat carries an older fencing token: nothing in it is trusted.
    assert_eq!(harness.heartbeat("vm-1", 5, EPOCH - 1, vec![]), vec![]);
    assert_eq!(harness.heartbeat("vm-1", 6, EPOCH, vec![]), vec![], "vm-2 may hold both tasks");
    harness.accept(sample("job-2", "red", 1, 1.0));
    let commands = harness.heartbeat("vm-1", 7, EPOCH, vec![]);
    assert_eq!(job_ids(&starts(&commands)), [id("job-2")]);
    // vm-3 never had a start, so the job waits only for vm-2. It waits for the whole failover
    // lease timeout, since an earlier leader may also have replied to vm-2 in its post-lease
    // grace period.
    let timeout_s = harness.config.failover_lease_timeout().as_secs_f64();
    let running = task_status(&starts(&commands)[0], TaskState::Running);
    let mut sequence = 8;
    while harness.now + Duration::from_secs(3)
        < harness.leader.snapshot_at() + Duration::from_secs_f64(timeout_s)
    {
        harness.advance(2.0);
        assert_eq!(harness.heartbeat("vm-1", sequence, EPOCH, vec![running.clone()]), vec![]);
        sequence += 1;
    }
    harness.advance(3.1);
    assert_eq!(starts(&harness.heartbeat("vm-1", sequence, EPOCH, vec![running])).len(), 2);
}

#[test]
fn a_new_leader_adopts_reported_tasks_and_starts_only_the_others() {
    let older_job = loaded_job(sample("job-1", "red", 3, 1.0));
    let mut harness = Harness::new(vec![older_job], vec![single_machine_pool("vm-1", true)]);
    let task = |index| TaskId { job: id("job-1"), index };
    let reported = vec![
        TaskStatus { task: task(0), attempt: 7, state: TaskState::Running },
        TaskStatus { task: task(2), attempt: 9, state: DONE },
    ];
    assert_eq!(harness.heartbeat("vm-1", 5, EPOCH - 1, reported.clone()), vec![]);
    let commands = harness.heartbeat("vm-1", 6, EPOCH, reported);
    let started = starts(&commands);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].task, task(1));
    assert!(started[0].attempt > EPOCH, "attempt numbers of an epoch exceed all earlier ones");
    assert!(
        !commands.iter().any(|command| matches!(command, Command::Reap { .. })),
        "the end of task 2 is not recorded yet"
    );
}

#[test]
fn unreconciled_machines_count_against_quotas_at_full_size() {
    let mut harness = Harness::new(
        Vec::new(),
        vec![
            single_machine_pool("vm-1", true),
            single_machine_pool("vm-2", true),
            single_machine_pool("vm-3", true),
        ],
    );
    harness.heartbeat("vm-1", 1, EPOCH, vec![]);
    harness.accept(sample("job-1", "red", 1, 1.0));
    // The team may use all 16 CPUs of the two unreconciled machines.
    assert_eq!(starts(&harness.heartbeat("vm-1", 2, EPOCH, vec![])), vec![]);
    assert_eq!(starts(&harness.heartbeat("vm-2", 1, EPOCH, vec![])).len(), 1);
}

/// The machines are registered only once their types are known, after the queue was ordered.
/// Until then the queue counts no usage on unreconciled machines; from then on it must count it.
#[test]
fn machines_registered_late_count_against_quotas_at_once() {
    let mut harness = Harness::new(Vec::new(), Vec::new());
    let node_pools = ["vm-1", "vm-2", "vm-3"].map(|name| single_machine_pool(name, true)).to_vec();
    let jobs = vec![JobSnapshot {
        record: JobRecord::new(sample("job-1", "red", 1, 1.0), NOW_MS),
        record_version: 5,
        progress_version: None,
        live_row_version: 5,
        block_versions: Vec::new(),
    }];
    let snapshot = Snapshot { jobs, node_pools, ..Snapshot::default() };
    harness.replace_leader(snapshot);
    harness.cloud_calls.clear();
    harness.advance(0.1);
    let (operation, _) =
        harness.cloud_calls.iter().find(|(_, c)| *c == CloudCall::Catalog).cloned().expect("requested");
    harness.leader.handle_cloud_result(harness.now, operation, Ok(CloudReply::Catalog(catalog())));
    harness.collect_effects();
    for sequence in 1..4 {
        assert_eq!(starts(&harness.heartbeat("vm-1", sequence, EPOCH, vec![])), vec![]);
        harness.commit_all();
    }
    assert_eq!(starts(&harness.heartbeat("vm-2", 1, EPOCH, vec![])).len(), 1);
}

#[test]
fn a_one_way_partitioned_machine_delays_older_jobs_only_for_the_failover_lease_timeout() {
    let older_job = loaded_job(sample("job-1", "red", 1, 1.0));
    let mut harness = Harness::new(
        vec![older_job],
        vec![single_machine_pool("vm-1", true), single_machine_pool("vm-2b", true)],
    );
    harness.heartbeat("vm-2b", 1, EPOCH, vec![]);
    // vm-1 keeps sending heartbeats without the fencing token of any reply.
    let interval = harness.config.settings.cluster.workers.heartbeat_interval_s;
    let latest = harness.config.failover_lease_timeout().as_secs_f64() + 4.0 * interval;
    let begin = harness.now;
    let (mut sequence, mut started_after) = (1, None);
    while started_after.is_none() && (harness.now - begin).as_secs_f64() < 2.0 * latest {
        harness.advance(interval);
        sequence += 1;
        harness.send_heartbeat("vm-1", 1 + sequence / 8, sequence, EPOCH - 1, vec![]);
        if !starts(&harness.heartbeat("vm-2b", sequence, EPOCH, vec![])).is_empty() {
            started_after = Some((harness.now - begin).as_secs_f64());
        }
    }
    assert!(started_after.is_some_and(|after| after <= latest), "{started_after:?} of {latest}");
    // Its first heartbeat with the current fencing token shows that the one-way partition is
    // over.
    assert!(!matches!(harness.send_heartbeat("vm-1", 99, 1, EPOCH, vec![]), HeartbeatReply::Redirect));
}

#[test]
fn duplicate_heartbeats_after_a_failover_prove_nothing() {
    let older_job = loaded_job(sample("job-1", "red", 2, 1.0));
    let mut harness = Harness::new(
        vec![older_job],
        vec![single_machine_pool("vm-1", true), single_machine_pool("vm-2b", true)],
    );
    harness.heartbeat("vm-2b", 1, EPOCH, vec![]);
    let task = TaskId { job: id("job-1"), index: 0 };
    let copied_tasks = vec![TaskStatus { task, attempt: 7, state: TaskState::Running }];
    // Copies from a machine that an earlier leader deleted: it is not registered, and no job
    // waits for it.
    harness.send_heartbeat("vm-9", 4, 70, EPOCH - 1, copied_tasks.clone());
    harness.send_heartbeat("vm-9", 4, 71, EPOCH - 1, copied_tasks.clone());
    assert!(!harness.leader.machines.contains(&machine("vm-9")));
    // Copies from a machine that has failed meanwhile: it does not count as alive, its tasks are
    // not adopted, and the same copy extends the failover lease timeout only once.
    let first = harness.send_heartbeat("vm-1", 1, 50, EPOCH - 1, copied_tasks.clone());
    assert_eq!(first, HeartbeatReply::Commands { fencing_token: EPOCH, commands: vec![] });
    let replied_at = harness.registered_machine("vm-1").worker.replied_at;
    harness.advance(3.0);
    assert_eq!(
        harness.send_heartbeat("vm-1", 1, 50, EPOCH - 1, copied_tasks.clone()),
        HeartbeatReply::Redirect
    );
    assert_eq!(
        harness.send_heartbeat("vm-1", 1, 49, EPOCH - 1, copied_tasks.clone()),
        HeartbeatReply::Redirect
    );
    let vm = harness.registered_machine("vm-1");
    assert_eq!((vm.worker.replied_at, vm.worker.heartbeat_at, vm.slots.len()), (replied_at, None, 0));
    assert_eq!(harness.job_state("job-1"), Some(JobState::Queued));
    // Once the machine has sent the current fencing token, copies with older ones change
    // nothing.
    harness.heartbeat("vm-1", 51, EPOCH, copied_tasks.clone());
    harness.accept(sample("job-2", "blue", 1, 1.0));
    let held = harness.registered_machine("vm-1").slots.len();
    assert_eq!(harness.send_heartbeat("vm-1", 1, 60, EPOCH - 1, vec![]), HeartbeatReply::Redirect);
    assert_eq!(harness.registered_machine("vm-1").slots.len(), held);
}

#[test]
fn an_inventory_page_as_old_as_the_failover_registers_no_deleted_machine() {
    let mut harness = Harness::new(Vec::new(), Vec::new());
    let lag = harness.config.settings.cluster.cloud.list_lag_s;
    for (pause, registered) in [(0.1, false), (lag * 1.05, false), (lag * 1.05, true)] {
        harness.cloud_calls.clear();
        harness.advance(pause);
        let list_call =
            harness.cloud_calls.iter().find(|(_, c)| matches!(c, CloudCall::ListMachines { .. })).cloned();
        let machines = vec![inventory_entry("vm-9", ListedState::Running)];
        let page = Ok(CloudReply::MachinesListed(InventoryPage { machines, more: false }));
        harness.leader.handle_cloud_result(
            harness.now,
            list_call.expect("the inventory is read repeatedly").0,
            page,
        );
        harness.collect_effects();
        harness.advance(1.0);
        // Once every page must be newer than the failover, a machine that is still listed exists.
        assert_eq!(harness.leader.machines.contains(&machine("vm-9")), registered);
    }
}

#[test]
fn a_machine_with_a_new_incarnation_learns_the_fencing_token_and_gets_work() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    harness.accept(sample("job-1", "red", 1, 1.0));
    let start = starts(&harness.heartbeat("vm-1", 500, EPOCH, vec![])).remove(0);
    harness.heartbeat("vm-1", 501, EPOCH, vec![task_status(&start, TaskState::Running)]);
    assert_eq!(
        harness.send_heartbeat("vm-1", 2, 1, 0, vec![]),
        HeartbeatReply::Commands { fencing_token: EPOCH, commands: vec![] }
    );
    assert_eq!(harness.registered_machine("vm-1").slots.len(), 1, "the slot is still reserved");
    let again = harness.send_heartbeat("vm-1", 2, 2, EPOCH, vec![]);
    assert!(
        matches!(&again, HeartbeatReply::Commands { commands, .. } if starts(commands).len() == 1),
        "{again:?}"
    );
}

#[test]
fn with_an_unreconciled_machine_only_tasks_that_may_have_started_wait() {
    let mut partly_started = loaded_job(sample("job-1", "red", 6, 1.0));
    partly_started.record.started_high_water = 2;
    let mut one_zone = loaded_job(sample("job-2", "blue", 2, 1.0));
    one_zone.record.spec.one_zone = true;
    one_zone.record.started_high_water = 1;
    let mut harness = Harness::new(
        vec![partly_started, one_zone],
        vec![single_machine_pool("vm-1", true), single_machine_pool("vm-2b", true)],
    );
    harness.heartbeat("vm-1", 5, EPOCH, vec![]);
    assert_eq!(
        starts(&harness.heartbeat("vm-1", 6, EPOCH, vec![])),
        vec![],
        "not marked started in the record"
    );
    harness.commit_all();
    let started = starts(&harness.heartbeat("vm-1", 7, EPOCH, vec![]));
    let tasks: Vec<u32> = started.iter().map(|s| s.task.index).collect();
    assert_eq!(
        tasks,
        [2, 3, 4, 5],
        "0 and 1 may run on vm-2b; so may job-2's first task, which binds the other to its zone"
    );
    assert!(started.iter().all(|s| s.task.job == id("job-1")));
    // vm-2b sends a heartbeat without these tasks, so they run nowhere.
    assert_eq!(starts(&harness.heartbeat("vm-2b", 1, EPOCH, vec![])).len(), 3);
}

#[test]
fn without_a_post_lease_grace_older_jobs_wait_for_a_worker_lease_only() {
    let older_job = loaded_job(sample("job-1", "red", 1, 1.0));
    let mut harness = Harness::new(
        vec![older_job],
        vec![single_machine_pool("vm-1", true), single_machine_pool("vm-2", true)],
    );
    harness.heartbeat("vm-1", 5, EPOCH, vec![]);
    assert!(harness.leader.awaits_post_lease_graces());
    harness.advance(1.0);
    let (graces_over_at, mut sequence) = (harness.now, 5);
    harness.leader.record_post_lease_graces_over(graces_over_at);
    harness.leader.record_post_lease_graces_over(graces_over_at + Duration::from_secs(9));
    assert!(!harness.leader.awaits_post_lease_graces(), "one proof that the graces are over is enough");
    while harness.now + Duration::from_secs(2) < graces_over_at + harness.config.worker_lease_timeout() {
        harness.advance(2.0);
        sequence += 1;
        assert_eq!(
            harness.heartbeat("vm-1", sequence, EPOCH, vec![]),
            vec![],
            "vm-2 may still hold its lease"
        );
    }
    harness.advance(2.1);
    assert!(harness.now < harness.leader.snapshot_at() + harness.config.failover_lease_timeout());
    assert_eq!(starts(&harness.heartbeat("vm-1", sequence + 1, EPOCH, vec![])).len(), 1);
}

/// A sent reply is not proof that the worker received it: the worker may have gone back to the
/// former leader, which still replies in its post-lease grace period.
#[test]
fn an_unacknowledged_reply_does_not_shorten_the_failover_lease_timeout() {
    let older_job = loaded_job(sample("job-1", "red", 1, 1.0));
    let mut harness = Harness::new(
        vec![older_job],
        vec![single_machine_pool("vm-1", true), single_machine_pool("vm-2", true)],
    );
    harness.heartbeat("vm-2", 5, EPOCH, vec![]);
    assert_eq!(
        harness.send_heartbeat("vm-1", 1, 5, EPOCH - 1, vec![]),
        HeartbeatReply::Commands { fencing_token: EPOCH, commands: vec![] }
    );
    let mut sequence = 5;
    while harness.now + Duration::from_secs(2)
        < harness.leader.snapshot_at() + harness.config.failover_lease_timeout()
    {
        harness.advance(2.0);
        sequence += 1;
        assert_eq!(starts(&harness.heartbeat("vm-2", sequence, EPOCH, vec![])), vec![]);
    }
    harness.advance(2.1);
    assert_eq!(starts(&harness.heartbeat("vm-2", sequence + 1, EPOCH, vec![])).len(), 1);
}

/// If machines report to a new leader tasks that are already done or run elsewhere, the reply to
/// the first heartbeat under the new fencing token stops them. They count against the quota until
/// they have ended.
#[test]
fn tasks_reported_twice_or_already_done_are_stopped_after_a_failover() {
    let mut older_job = loaded_job(sample("job-1", "red", 2, 1.0));
    older_job.record.done.insert(0);
    let mut harness = Harness::new(
        vec![older_job],
        vec![single_machine_pool("vm-1", true), single_machine_pool("vm-2b", true)],
    );
    let running = |index| TaskStatus {
        task: TaskId { job: id("job-1"), index },
        attempt: 7,
        state: TaskState::Running,
    };
    let stop = |index| Command::Stop { task: TaskId { job: id("job-1"), index }, attempt: 7, grace_s: 0.0 };
    assert_eq!(harness.heartbeat("vm-1", 5, EPOCH, vec![running(0), running(1)]), [stop(0)]);
    assert_eq!(harness.heartbeat("vm-2b", 5, EPOCH, vec![running(1)]), [stop(1)]);
    assert_eq!(harness.quota_used("red").cpus, 3.0);
}
