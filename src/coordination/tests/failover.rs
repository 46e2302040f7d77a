//! What a new leader may conclude, and when.

use super::*;

#[test]
fn after_a_takeover_old_jobs_wait_for_a_silent_machine_and_new_ones_do_not() {
    let old = loaded_job(sample("job-1", "red", 2, 1.0));
    let mut rig =
        Rig::new(vec![old], vec![rented("vm-1", true), rented("vm-2", true), rented("vm-3", false)]);
    // The first report does not carry the epoch: nothing in it is trusted.
    assert_eq!(rig.beat("vm-1", 5, EPOCH - 1, vec![]), vec![]);
    assert_eq!(rig.beat("vm-1", 6, EPOCH, vec![]), vec![], "vm-2 may hold both tasks");
    rig.accept(sample("job-2", "red", 1, 1.0));
    let orders = rig.beat("vm-1", 7, EPOCH, vec![]);
    assert_eq!(starts(&orders).iter().map(|s| s.0.job.clone()).collect::<Vec<_>>(), [id("job-2")]);
    // vm-3 never had a start, so only vm-2 is waited for: its whole lease.
    // An earlier leader may have answered it in its lapse window, too.
    let proof = rig.config.failover_lease_timeout().as_secs_f64();
    let running = listed(&starts(&orders)[0], TaskState::Running);
    let mut seq = 8;
    while rig.now + Duration::from_secs(3) < rig.leader.snapshot_at() + Duration::from_secs_f64(proof) {
        rig.pass(2.0);
        assert_eq!(rig.beat("vm-1", seq, EPOCH, vec![running.clone()]), vec![]);
        seq += 1;
    }
    rig.pass(3.1);
    assert_eq!(starts(&rig.beat("vm-1", seq, EPOCH, vec![running])).len(), 2);
}

#[test]
fn a_new_leader_adopts_what_it_finds_and_starts_only_the_rest() {
    let old = loaded_job(sample("job-1", "red", 3, 1.0));
    let mut rig = Rig::new(vec![old], vec![rented("vm-1", true)]);
    let task = |index| TaskId { job: id("job-1"), index };
    let found = vec![
        TaskStatus { task: task(0), attempt: 7, state: TaskState::Running },
        TaskStatus { task: task(2), attempt: 9, state: DONE },
    ];
    assert_eq!(rig.beat("vm-1", 5, EPOCH - 1, found.clone()), vec![]);
    let orders = rig.beat("vm-1", 6, EPOCH, found);
    let started = starts(&orders);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].0, task(1));
    assert!(started[0].1 > EPOCH, "attempts of an epoch are above all earlier ones");
    assert!(!orders.iter().any(|o| matches!(o, Command::Reap { .. })), "done is not recorded yet");
}

#[test]
fn unheard_machines_count_against_limits_at_the_worst() {
    let mut rig =
        Rig::new(Vec::new(), vec![rented("vm-1", true), rented("vm-2", true), rented("vm-3", true)]);
    rig.beat("vm-1", 1, EPOCH, vec![]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    // 16 CPUs on the two unheard machines may all be the team's.
    assert_eq!(starts(&rig.beat("vm-1", 2, EPOCH, vec![])), vec![]);
    assert_eq!(starts(&rig.beat("vm-2", 1, EPOCH, vec![])).len(), 1);
}

/// The same where the machines are entered only once their types are known, after
/// the queue was ordered: what it counted on unheard machines then was nothing.
#[test]
fn machines_entered_late_count_against_limits_at_once() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    let rentals = ["vm-1", "vm-2", "vm-3"].map(|name| rented(name, true)).to_vec();
    let jobs = vec![JobSnapshot {
        record: JobRecord::new(sample("job-1", "red", 1, 1.0), MS),
        record_version: 5,
        live_row_version: 5,
        block_versions: Vec::new(),
    }];
    let loaded = Snapshot { jobs, node_pools: rentals, ..Snapshot::default() };
    rig.leader = Leader::new(rig.config.clone(), EPOCH, rig.now, MS, loaded);
    rig.leader.extend_lease(rig.now, rig.now + Duration::from_secs(3600));
    rig.cloud.clear();
    rig.pass(0.1);
    let (ticket, _) = rig.cloud.iter().find(|(_, c)| *c == CloudCall::Catalog).cloned().expect("asked for");
    rig.leader.handle_cloud_result(rig.now, ticket, Ok(CloudReply::Catalog(catalog())));
    rig.collect();
    for seq in 1..4 {
        assert_eq!(starts(&rig.beat("vm-1", seq, EPOCH, vec![])), vec![]);
        rig.commit_all();
    }
    assert_eq!(starts(&rig.beat("vm-2", 1, EPOCH, vec![])).len(), 1);
}

#[test]
fn a_machine_deaf_through_a_takeover_holds_old_jobs_back_only_for_its_proof() {
    let old = loaded_job(sample("job-1", "red", 1, 1.0));
    let mut rig = Rig::new(vec![old], vec![rented("vm-1", true), rented("vm-2b", true)]);
    rig.beat("vm-2b", 1, EPOCH, vec![]);
    // vm-1 reports on and on, never showing the token of any answer.
    let report = rig.config.settings.cluster.workers.report_s;
    let most = rig.config.failover_lease_timeout().as_secs_f64() + 4.0 * report;
    let begin = rig.now;
    let (mut seq, mut started_after) = (1, None);
    while started_after.is_none() && (rig.now - begin).as_secs_f64() < 2.0 * most {
        rig.pass(report);
        seq += 1;
        rig.report("vm-1", 1 + seq / 8, seq, EPOCH - 1, vec![]);
        if !starts(&rig.beat("vm-2b", seq, EPOCH, vec![])).is_empty() {
            started_after = Some((rig.now - begin).as_secs_f64());
        }
    }
    assert!(started_after.is_some_and(|after| after <= most), "{started_after:?} of {most}");
    // Its first sign of our token ends the doubt.
    assert!(!matches!(rig.report("vm-1", 99, 1, EPOCH, vec![]), HeartbeatReply::Redirect));
}

#[test]
fn late_copies_after_a_takeover_are_no_more_than_hints() {
    let old = loaded_job(sample("job-1", "red", 2, 1.0));
    let mut rig = Rig::new(vec![old], vec![rented("vm-1", true), rented("vm-2b", true)]);
    rig.beat("vm-2b", 1, EPOCH, vec![]);
    let task = TaskId { job: id("job-1"), index: 0 };
    let copied = vec![TaskStatus { task, attempt: 7, state: TaskState::Running }];
    // Of a machine that an earlier leader deleted: it is not brought back, and
    // nobody waits for it.
    rig.report("vm-9", 4, 70, EPOCH - 1, copied.clone());
    rig.report("vm-9", 4, 71, EPOCH - 1, copied.clone());
    assert!(!rig.leader.machines.contains(&machine("vm-9")));
    // Of a machine that has died meanwhile: no sign of life, nothing taken,
    // and the same copy puts its proof off only once.
    let first = rig.report("vm-1", 1, 50, EPOCH - 1, copied.clone());
    assert_eq!(first, HeartbeatReply::Commands { fencing_token: EPOCH, commands: vec![] });
    let answered = rig.known_machine("vm-1").agent.replied_at;
    rig.pass(3.0);
    assert_eq!(rig.report("vm-1", 1, 50, EPOCH - 1, copied.clone()), HeartbeatReply::Redirect);
    assert_eq!(rig.report("vm-1", 1, 49, EPOCH - 1, copied.clone()), HeartbeatReply::Redirect);
    let m = rig.known_machine("vm-1");
    assert_eq!((m.agent.replied_at, m.agent.heartbeat_at, m.slots.len()), (answered, None, 0));
    assert_eq!(rig.standing("job-1"), Some(JobState::Queued));
    // Once it has shown the token, copies from before it change nothing.
    rig.beat("vm-1", 51, EPOCH, copied.clone());
    rig.accept(sample("job-2", "blue", 1, 1.0));
    let held = rig.known_machine("vm-1").slots.len();
    assert_eq!(rig.report("vm-1", 1, 60, EPOCH - 1, vec![]), HeartbeatReply::Redirect);
    assert_eq!(rig.known_machine("vm-1").slots.len(), held);
}

#[test]
fn a_list_as_old_as_the_takeover_brings_no_deleted_machine_back() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    let lag = rig.config.settings.cluster.cloud.list_lag_s;
    for (pause, entered) in [(0.1, false), (lag * 1.05, false), (lag * 1.05, true)] {
        rig.cloud.clear();
        rig.pass(pause);
        let list = rig.cloud.iter().find(|(_, c)| matches!(c, CloudCall::List { .. })).cloned();
        let machines = vec![in_list("vm-9", ListedState::Running)];
        let answer = Ok(CloudReply::List(InventoryPage { machines, more: false }));
        rig.leader.handle_cloud_result(rig.now, list.expect("read again and again").0, answer);
        rig.collect();
        rig.pass(1.0);
        // Still listed when every list must be younger, it is there.
        assert_eq!(rig.leader.machines.contains(&machine("vm-9")), entered);
    }
}

#[test]
fn a_machine_back_with_a_new_session_learns_the_token_and_works_again() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    let start = starts(&rig.beat("vm-1", 500, EPOCH, vec![])).remove(0);
    rig.beat("vm-1", 501, EPOCH, vec![listed(&start, TaskState::Running)]);
    assert_eq!(
        rig.report("vm-1", 2, 1, 0, vec![]),
        HeartbeatReply::Commands { fencing_token: EPOCH, commands: vec![] }
    );
    assert_eq!(rig.known_machine("vm-1").slots.len(), 1, "still only a hint");
    let again = rig.report("vm-1", 2, 2, EPOCH, vec![]);
    assert!(
        matches!(&again, HeartbeatReply::Commands { commands, .. } if starts(commands).len() == 1),
        "{again:?}"
    );
}

#[test]
fn beside_a_silent_machine_only_tasks_that_may_have_begun_wait() {
    let mut part = loaded_job(sample("job-1", "red", 6, 1.0));
    part.record.started_high_water = 2;
    let mut tied = loaded_job(sample("job-2", "blue", 2, 1.0));
    tied.record.spec.one_zone = true;
    tied.record.started_high_water = 1;
    let mut rig = Rig::new(vec![part, tied], vec![rented("vm-1", true), rented("vm-2b", true)]);
    rig.beat("vm-1", 5, EPOCH, vec![]);
    assert_eq!(starts(&rig.beat("vm-1", 6, EPOCH, vec![])), vec![], "not begun by the record");
    rig.commit_all();
    let started = starts(&rig.beat("vm-1", 7, EPOCH, vec![]));
    let tasks: Vec<u32> = started.iter().map(|s| s.0.index).collect();
    assert_eq!(tasks, [2, 3, 4, 5], "0 and 1 may be on vm-2b; so may job-2's first, which ties the other");
    assert!(started.iter().all(|s| s.0.job == id("job-1")));
    // It reports, without them: they were nowhere.
    assert_eq!(starts(&rig.beat("vm-2b", 1, EPOCH, vec![])).len(), 3);
}

#[test]
fn without_a_grace_to_cover_old_jobs_wait_for_a_lease_only() {
    let old = loaded_job(sample("job-1", "red", 1, 1.0));
    let mut rig = Rig::new(vec![old], vec![rented("vm-1", true), rented("vm-2", true)]);
    rig.beat("vm-1", 5, EPOCH, vec![]);
    assert!(rig.leader.awaits_post_lease_graces());
    rig.pass(1.0);
    let (over, mut seq) = (rig.now, 5);
    rig.leader.record_post_lease_graces_over(over);
    rig.leader.record_post_lease_graces_over(over + Duration::from_secs(9));
    assert!(!rig.leader.awaits_post_lease_graces(), "the first proof is enough");
    while rig.now + Duration::from_secs(2) < over + rig.config.worker_lease_timeout() {
        rig.pass(2.0);
        seq += 1;
        assert_eq!(rig.beat("vm-1", seq, EPOCH, vec![]), vec![], "vm-2 may be in its lease");
    }
    rig.pass(2.1);
    assert!(rig.now < rig.leader.snapshot_at() + rig.config.failover_lease_timeout());
    assert_eq!(starts(&rig.beat("vm-1", seq + 1, EPOCH, vec![])).len(), 1);
}

/// An answer sent is no proof that it was received: the worker may have gone
/// back to the former leader, which answers on in its lapse window.
#[test]
fn an_answer_that_was_never_heeded_shortens_no_proof() {
    let old = loaded_job(sample("job-1", "red", 1, 1.0));
    let mut rig = Rig::new(vec![old], vec![rented("vm-1", true), rented("vm-2", true)]);
    rig.beat("vm-2", 5, EPOCH, vec![]);
    assert_eq!(
        rig.report("vm-1", 1, 5, EPOCH - 1, vec![]),
        HeartbeatReply::Commands { fencing_token: EPOCH, commands: vec![] }
    );
    let mut seq = 5;
    while rig.now + Duration::from_secs(2) < rig.leader.snapshot_at() + rig.config.failover_lease_timeout() {
        rig.pass(2.0);
        seq += 1;
        assert_eq!(starts(&rig.beat("vm-2", seq, EPOCH, vec![])), vec![]);
    }
    rig.pass(2.1);
    assert_eq!(starts(&rig.beat("vm-2", seq + 1, EPOCH, vec![])).len(), 1);
}

/// What a new leader finds of work that is done, or that runs elsewhere already, is
/// stopped with its first report under the new token, and counts until it is gone.
#[test]
fn what_is_found_twice_or_done_is_stopped() {
    let mut old = loaded_job(sample("job-1", "red", 2, 1.0));
    old.record.done.insert(0);
    let mut rig = Rig::new(vec![old], vec![rented("vm-1", true), rented("vm-2b", true)]);
    let running = |index| TaskStatus {
        task: TaskId { job: id("job-1"), index },
        attempt: 7,
        state: TaskState::Running,
    };
    let stop = |index| Command::Stop { task: TaskId { job: id("job-1"), index }, attempt: 7, grace_s: 0.0 };
    assert_eq!(rig.beat("vm-1", 5, EPOCH, vec![running(0), running(1)]), [stop(0)]);
    assert_eq!(rig.beat("vm-2b", 5, EPOCH, vec![running(1)]), [stop(1)]);
    assert_eq!(rig.used_by("red").cpus, 3.0);
}
