//! What reports prove, and machines that do not do as they should.

use super::*;

#[test]
fn old_repeated_and_foreign_reports_change_nothing() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    let start = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    // Held back and older than the one that was answered with a start.
    for seq in [4, 5] {
        assert_eq!(rig.report("vm-1", 1, seq, EPOCH, vec![]), HeartbeatReply::Redirect);
    }
    assert_eq!(rig.beat("vm-1", 6, EPOCH, vec![listed(&start, TaskState::Running)]), vec![]);
    assert_eq!(rig.standing("job-1"), Some(JobState::Running));
    // A higher token than ours: another leads, and a 200 would be dropped.
    assert_eq!(rig.report("vm-1", 1, 7, EPOCH + 1, vec![]), HeartbeatReply::Redirect);
}

#[test]
fn a_task_is_not_started_again_while_it_may_be_somewhere() {
    let mut rig = Rig::with_machines(&["vm-1", "vm-2b"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    let first = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    // vm-1 falls silent: the start may have arrived, so vm-2b gets nothing
    // before vm-1's whole lease is over.
    let proof = rig.config.worker_lease_timeout().as_secs_f64();
    let mut seq = 5;
    let begin = rig.now;
    while (rig.now - begin).as_secs_f64() + 2.0 < proof {
        rig.pass(2.0);
        seq += 1;
        assert_eq!(starts(&rig.beat("vm-2b", seq, EPOCH, vec![])), vec![]);
    }
    rig.pass(2.1);
    let second = starts(&rig.beat("vm-2b", seq + 1, EPOCH, vec![])).remove(0);
    assert_eq!(second.0, first.0);
    assert_ne!(second.1, first.1, "an attempt number is never used twice");
    // A report held back from the ended session changes nothing.
    rig.report("vm-1", 1, 6, EPOCH, vec![listed(&first, TaskState::Running)]);
    assert_eq!(starts(&rig.beat("vm-2b", seq + 2, EPOCH, vec![listed(&second, TaskState::Running)])), vec![]);
}

#[test]
fn a_start_whose_answer_was_lost_is_sent_again_under_a_new_attempt() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    let first = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    // The next report does not list it: the worker dropped the answer.
    let second = starts(&rig.beat("vm-1", 6, EPOCH, vec![])).remove(0);
    assert_eq!(first.0, second.0);
    assert_ne!(first.1, second.1);
    // A new session begins without tasks.
    let reply = rig.report("vm-1", 2, 1, EPOCH, vec![]);
    assert!(matches!(reply, HeartbeatReply::Commands { commands, .. } if starts(&commands).len() == 1));
}

#[test]
fn limits_count_tasks_that_cannot_be_reached() {
    // Team red may use 16 CPUs; two tasks of 6 fit, a third does not, whether
    // or not the machine that has them answers.
    let mut rig = Rig::with_machines(&["vm-1", "vm-2b", "vm-3"]);
    rig.accept(sample("job-1", "red", 3, 6.0));
    assert_eq!(starts(&rig.beat("vm-1", 5, EPOCH, vec![])).len(), 1);
    assert_eq!(starts(&rig.beat("vm-2b", 5, EPOCH, vec![])).len(), 1);
    for seq in 5..9 {
        rig.pass(2.0);
        assert_eq!(starts(&rig.beat("vm-3", seq, EPOCH, vec![])), vec![]);
    }
    let usage = rig.used_by("red").cpus;
    assert!((usage - 12.0).abs() < 1e-9);
}

#[test]
fn a_machine_that_fails_every_task_is_condemned_but_a_bad_job_condemns_none() {
    let mut rig = Rig::with_machines(&["vm-1", "vm-2b", "vm-3", "vm-4b"]);
    rig.accept(sample("job-1", "red", 4, 1.0));
    let failed = |s: &(TaskId, u64)| listed(s, TaskState::Exited(ExitCause::Error));
    let started = starts(&rig.beat("vm-1", 5, EPOCH, vec![]));
    assert_eq!(started.len(), 4);
    let again = rig.beat("vm-1", 6, EPOCH, started.iter().map(failed).collect());
    assert_eq!(starts(&again), vec![], "nothing more is placed on a sick machine");
    // The tasks go elsewhere, and fail there too: then it is the job.
    for name in ["vm-2b", "vm-3"] {
        let started = starts(&rig.beat(name, 5, EPOCH, vec![]));
        rig.beat(name, 6, EPOCH, started.iter().take(2).map(failed).collect());
    }
    rig.accept(sample("job-2", "blue", 1, 1.0));
    rig.pass(1.0);
    let placed: usize =
        ["vm-2b", "vm-3", "vm-4b"].map(|name| starts(&rig.beat(name, 7, EPOCH, vec![])).len()).iter().sum();
    assert!(placed > 0, "only vm-1 is sick");
    assert_eq!(starts(&rig.beat("vm-1", 7, EPOCH, vec![])), vec![]);
    assert!(rig.standing("job-1").is_some_and(|s| !s.is_terminal()), "a failing job is never given up");
}

/// A task that cannot save and cannot end before its machine is taken is lost
/// either way: stopped at the notice, it starts elsewhere half a minute sooner
/// than once the loss is noticed. One that can still end is left alone.
#[test]
fn at_a_notice_only_what_cannot_end_in_time_is_stopped() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    for (job, estimate_s) in [("job-1", 100.0), ("job-2", 12.0)] {
        let mut spec = sample(job, "blue", 1, 2.0);
        (spec.estimated_run_s, spec.checkpoint_interval_s) = (estimate_s, 0.0);
        rig.accept(spec);
    }
    let held = starts(&rig.beat("vm-1", 2, EPOCH, vec![]));
    assert_eq!(held.len(), 2);
    let running = || held.iter().map(|s| listed(s, TaskState::Running)).collect::<Vec<_>>();
    rig.beat("vm-1", 3, EPOCH, running());
    rig.pass(5.0);
    rig.report_with("vm-1", 1, 4, EPOCH, Some(15.0), running());
    let stopped: Vec<_> = rig
        .direct
        .iter()
        .map(|o| matches!(o, Command::Stop { task, grace_s, .. } if task.job == id("job-1") && *grace_s == 0.0))
        .collect();
    assert_eq!(stopped, [true], "{:?}", rig.direct);
}

#[test]
fn a_deaf_machine_gets_few_starts_and_one_lost_answer_costs_nothing() {
    let rentals = ["vm-1", "vm-2b"].map(|name| rented(name, true)).to_vec();
    let mut rig = Rig::tuned(Vec::new(), rentals, policy::tests::tuning());
    for name in ["vm-1", "vm-2b"] {
        rig.beat(name, 1, EPOCH, vec![]);
    }
    rig.accept(sample("job-9", "blue", 1, 8.0));
    let other = starts(&rig.beat("vm-2b", 4, EPOCH, vec![])).remove(0);
    rig.accept(sample("job-1", "red", 1, 1.0));
    // One answer is lost: the next start goes out at once, and is acknowledged.
    assert_eq!(starts(&rig.beat("vm-1", 5, EPOCH, vec![])).len(), 1);
    rig.pass(7.0);
    rig.beat("vm-2b", 5, EPOCH, vec![listed(&other, TaskState::Running)]);
    assert_eq!(starts(&rig.beat("vm-1", 6, EPOCH, vec![])).len(), 1);
    rig.pass(7.0);
    rig.beat("vm-2b", 6, EPOCH, vec![listed(&other, TaskState::Running)]);
    let start = starts(&rig.beat("vm-1", 7, EPOCH, vec![])).remove(0);
    rig.beat("vm-1", 8, EPOCH, vec![listed(&start, DONE)]);
    rig.commit_all();
    rig.beat("vm-1", 9, EPOCH, vec![]);
    // From now on nothing reaches it. Its reports go on, and at every end of
    // its lease its session rises.
    rig.accept(sample("job-2", "red", 8, 1.0));
    let lease = rig.config.settings.cluster.workers.lease_s;
    let begin = rig.now;
    let (mut sent, mut seq) = (0, 9);
    while (rig.now - begin).as_secs_f64() < 3.0 * lease {
        rig.pass(5.0);
        seq += 1;
        rig.beat("vm-2b", seq, EPOCH, vec![listed(&other, TaskState::Running)]);
        let session = 1 + ((rig.now - begin).as_secs_f64() / lease) as u64;
        if let HeartbeatReply::Commands { commands: orders, .. } =
            rig.report("vm-1", session, seq, EPOCH, vec![])
        {
            sent += starts(&orders).len();
        }
    }
    assert!((8..=40).contains(&sent), "{sent} starts into the void");
    // Doubted, its room counts for nothing: the other one takes the task.
    rig.report("vm-1", 8, seq, EPOCH, vec![]);
    let started = starts(&rig.beat("vm-2b", seq + 1, EPOCH, vec![listed(&other, DONE)]));
    assert_eq!(started.len(), 8);
    // Nothing counts on it, so it has been returned.
    assert!(rig.cloud.iter().any(|(_, c)| *c == CloudCall::Delete(vec![machine("vm-1")])));
}

#[test]
fn a_machine_that_hears_again_is_tried_with_a_single_start() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 3, 1.0));
    let orders_of = |rig: &mut Rig, tick, tasks| starts(&rig.beat("vm-1", tick, EPOCH, tasks));
    for tick in 5..9 {
        orders_of(&mut rig, tick, vec![]);
        rig.pass(3.0);
    }
    let vm = rig.known_machine("vm-1");
    assert!(vm.agent.one_way_partitioned && !vm.need.is_needed, "its room counts for nothing");
    let (mut probe, mut tick) = (orders_of(&mut rig, 9, vec![]), 9);
    assert!(probe.is_empty(), "no start while it is doubted");
    while probe.is_empty() && tick < 20 {
        rig.pass(3.0);
        tick += 1;
        probe = orders_of(&mut rig, tick, vec![]);
    }
    assert_eq!(probe.len(), 1);
    let rest = orders_of(&mut rig, tick + 1, vec![listed(&probe[0], TaskState::Running)]);
    assert_eq!(rest.len(), 2, "the doubt is over: all that waits");
}

#[test]
fn copies_of_an_ended_session_revive_nothing() {
    let mut rig = Rig::with_machines(&["vm-1", "vm-2b"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    let start = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    rig.beat("vm-1", 6, EPOCH, vec![listed(&start, TaskState::Running)]);
    let mut seq = 6;
    for _ in 0..20 {
        rig.pass(2.0);
        seq += 1;
        if !starts(&rig.beat("vm-2b", seq, EPOCH, vec![])).is_empty() {
            break;
        }
    }
    // Proven gone and started elsewhere. A report that was sent before, and
    // never came, comes now, well over a lease late.
    let late = rig.report("vm-1", 1, 9, EPOCH, vec![listed(&start, TaskState::Running)]);
    assert_eq!(late, HeartbeatReply::Redirect);
    assert!(rig.leader.machines.get(&machine("vm-1")).is_none_or(|m| m.slots.is_empty()));
}

#[test]
fn a_machine_back_at_once_with_lower_numbers_holds_nothing_for_ever() {
    let mut rig = Rig::with_machines(&["vm-1", "vm-2"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    let start = starts(&rig.beat("vm-1", 500, EPOCH, vec![])).remove(0);
    rig.beat("vm-1", 501, EPOCH, vec![listed(&start, TaskState::Running)]);
    // Back with an empty list and numbers of a new life: it may as well be a
    // copy, so it frees nothing, and it is not kept here by a 200.
    for (session, seq) in [(1, 1), (1, 501)] {
        for token in [0, EPOCH] {
            assert_eq!(rig.report("vm-1", session, seq, token, vec![]), HeartbeatReply::Redirect);
        }
    }
    assert_eq!(rig.known_machine("vm-1").slots.len(), 1);
    // Nor does it count as heard: like a silent one it is replaced, and the
    // cloud's answer is the proof.
    rig.cloud.clear();
    let silent = rig.config.tuning.silence.as_secs_f64();
    let mut seq = 1;
    for _ in 0..(silent / 2.0) as u64 + 2 {
        rig.pass(2.0);
        seq += 1;
        assert_eq!(rig.report("vm-1", 1, seq, 0, vec![]), HeartbeatReply::Redirect);
        assert_eq!(starts(&rig.beat("vm-2", seq, EPOCH, vec![])), vec![]);
    }
    let delete = CloudCall::Delete(vec![machine("vm-1")]);
    let (ticket, _) = rig.cloud.iter().find(|(_, c)| *c == delete).cloned().expect("replaced");
    rig.leader.handle_cloud_result(rig.now, ticket, Ok(CloudReply::Deleted));
    assert_eq!(starts(&rig.beat("vm-2", seq + 1, EPOCH, vec![])).len(), 1);
}
