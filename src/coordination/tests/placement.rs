//! Tests of placement: which task starts where, and in which order.

use super::*;
use crate::settings::{Objective, Workers};

#[test]
fn one_zone_and_spread_count_tasks_that_may_be_running() {
    let mut harness = Harness::with_machines(&["vm-1", "vm-2b"]);
    let mut one_zone_job = sample("job-1", "red", 2, 8.0);
    one_zone_job.one_zone = true;
    harness.accept(one_zone_job);
    let first = starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![])).remove(0);
    assert_eq!(starts(&harness.heartbeat("vm-2b", 5, EPOCH, vec![])), vec![], "vm-2b is in the other zone");
    harness.cancel("job-1");
    harness.commit_all();
    harness.heartbeat(
        "vm-1",
        6,
        EPOCH,
        vec![task_status(&first, TaskState::Exited(ExitCause::Stopped { saved: false }))],
    );
    harness.commit_all();
    let mut spread_job = sample("job-2", "red", 4, 1.0);
    spread_job.spread = true;
    harness.accept(spread_job);
    assert_eq!(starts(&harness.heartbeat("vm-1", 7, EPOCH, vec![])).len(), 2, "at most half in one zone");
    assert_eq!(starts(&harness.heartbeat("vm-2b", 7, EPOCH, vec![])).len(), 2);
}

#[test]
fn a_team_preempts_borrowers_only_up_to_its_guaranteed_quota() {
    let mut harness = Harness::with_machines(&["vm-1", "vm-2b"]);
    let mut borrower = sample("job-1", "blue", 2, 8.0);
    borrower.priority = Priority::Critical;
    harness.accept(borrower);
    let first_start = starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![])).remove(0);
    let second_start = starts(&harness.heartbeat("vm-2b", 5, EPOCH, vec![])).remove(0);
    harness.heartbeat("vm-1", 6, EPOCH, vec![task_status(&first_start, TaskState::Running)]);
    harness.heartbeat("vm-2b", 6, EPOCH, vec![task_status(&second_start, TaskState::Running)]);
    harness.accept(sample("job-2", "red", 1, 4.0));
    harness.advance(5.0);
    assert_eq!(
        harness.pushed_commands.len(),
        1,
        "only one of team blue's two tasks exceeds blue's guaranteed quota"
    );
    // Beyond its own guarantee of 8 CPUs team red preempts nothing.
    harness.accept(sample("job-3", "red", 4, 4.0));
    harness.advance(2.0);
    assert_eq!(harness.pushed_commands.len(), 1);
}

#[test]
fn no_job_starves_behind_a_stream_of_urgent_work() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    // This job needs a whole machine and has the lowest priority.
    let mut large = sample("job-1", "red", 1, 8.0);
    large.priority = Priority::BestEffort;
    let bound_s = harness.config.tuning.start_within.as_secs_f64();
    let (mut sequence, mut n, mut running) = (5, 2, Vec::new());
    // Two small tasks are always running and end alternately, so the machine is never idle
    // unless it is reserved.
    let begin = harness.now;
    let mut started_after = None;
    harness.accept(sample("job-2", "blue", 2, 4.0));
    running.extend(starts(&harness.heartbeat("vm-1", 4, EPOCH, vec![])));
    harness.accept(large);
    while started_after.is_none() && (harness.now - begin).as_secs_f64() < 2.0 * bound_s {
        harness.advance(2.0);
        n += 1;
        let mut urgent = sample(&format!("job-{n}"), "blue", 1, 4.0);
        urgent.priority = Priority::Critical;
        harness.accept(urgent);
        let mut tasks: Vec<TaskStatus> = running_statuses(&running);
        if !running.is_empty() {
            tasks[0].state = DONE;
            running.remove(0);
        }
        let started = starts(&harness.heartbeat("vm-1", sequence, EPOCH, tasks));
        harness.commit_all();
        sequence += 1;
        if started.iter().any(|s| s.task.job == id("job-1")) {
            started_after = Some((harness.now - begin).as_secs_f64());
        }
        running.extend(started);
    }
    assert!(started_after.is_some_and(|after| after < bound_s), "{started_after:?}");
}

#[test]
fn lower_priority_is_preempted_only_when_a_deadline_is_near() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    harness.accept(sample("job-1", "blue", 1, 8.0));
    let low_priority_start = starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![])).remove(0);
    harness.heartbeat("vm-1", 6, EPOCH, vec![task_status(&low_priority_start, TaskState::Running)]);
    let mut urgent = sample("job-2", "blue", 1, 4.0);
    urgent.priority = Priority::Critical;
    urgent.estimated_run_s = 10.0;
    urgent.deadline_s = Some(30.0);
    harness.accept(urgent);
    // The urgent job must start within 20 s; until then capacity may become free without a
    // preemption.
    let interval = harness.config.settings.cluster.workers.heartbeat_interval_s;
    for sequence in 7..9 {
        harness.advance(interval);
        harness.heartbeat(
            "vm-1",
            sequence,
            EPOCH,
            vec![task_status(&low_priority_start, TaskState::Running)],
        );
    }
    assert_eq!(harness.pushed_commands, vec![]);
    for sequence in 9..14 {
        harness.advance(interval);
        harness.heartbeat(
            "vm-1",
            sequence,
            EPOCH,
            vec![task_status(&low_priority_start, TaskState::Running)],
        );
    }
    assert_eq!(harness.pushed_commands, [stop(&low_priority_start)]);
}

#[test]
fn a_reservation_moves_when_its_machine_is_cordoned() {
    let mut harness = Harness::with_machines(&["vm-1", "vm-3"]);
    harness.accept(sample("job-1", "blue", 4, 4.0));
    let mut running: Vec<_> =
        ["vm-1", "vm-3"].map(|name| starts(&harness.heartbeat(name, 5, EPOCH, vec![]))).into();
    let mut large = sample("job-2", "red", 1, 8.0);
    large.priority = Priority::BestEffort;
    harness.accept(large);
    let starvation_threshold_s = harness.config.tuning.start_within.as_secs_f64() / 2.0;
    let mut sequence = 5;
    let mut heartbeat = |harness: &mut Harness, machine_index: usize, tasks: &[StartedTask]| {
        sequence += 1;
        let tasks = running_statuses(tasks);
        starts(&harness.heartbeat(["vm-1", "vm-3"][machine_index], sequence, EPOCH, tasks))
    };
    for _ in 0..(starvation_threshold_s / 3.0) as u32 + 1 {
        harness.advance(3.0);
        (0..2)
            .for_each(|machine_index| drop(heartbeat(&mut harness, machine_index, &running[machine_index])));
    }
    let mut urgent = sample("job-3", "blue", 4, 4.0);
    urgent.priority = Priority::Critical;
    harness.accept(urgent);
    // Half of each machine becomes free: the first is reserved, the second is not.
    running.iter_mut().for_each(|tasks| drop(tasks.pop()));
    assert_eq!(heartbeat(&mut harness, 0, &running[0]), vec![]);
    let started = heartbeat(&mut harness, 1, &running[1]);
    running[1].extend(started);
    assert_eq!(running[1].len(), 2);
    // The first machine is cordoned; the reservation moves to the second.
    harness.leader.machines.get_mut(&machine("vm-1")).expect("registered").cordoned = true;
    running[1].pop();
    harness.advance(0.5);
    assert_eq!(heartbeat(&mut harness, 1, &running[1]), vec![]);
    assert_eq!(heartbeat(&mut harness, 1, &[])[0].task.job, id("job-2"));
}

/// A job whose team has reached its quota cannot use its reservation, so the reservation must not
/// keep other jobs off the machine.
#[test]
fn no_reservation_holds_for_a_job_whose_team_is_at_its_quota() {
    let mut harness = Harness::with_machines(&["vm-1", "vm-3", "vm-5", "vm-7"]);
    let run_job = |harness: &mut Harness, name: &str, sequence, job: &str, team: &str, cpus| {
        harness.accept(sample(job, team, 1, cpus));
        let start = starts(&harness.heartbeat(name, sequence, EPOCH, vec![])).remove(0);
        task_status(&start, TaskState::Running)
    };
    let mut running: Vec<(&str, Vec<TaskStatus>)> = vec![
        ("vm-1", vec![run_job(&mut harness, "vm-1", 5, "job-1", "blue", 6.0)]),
        ("vm-3", vec![run_job(&mut harness, "vm-3", 5, "job-2", "blue", 6.0)]),
        ("vm-5", vec![run_job(&mut harness, "vm-5", 5, "job-3", "red", 7.0)]),
        ("vm-7", vec![run_job(&mut harness, "vm-7", 5, "job-4", "blue", 6.0)]),
    ];
    let mut large = sample("job-5", "red", 1, 8.0);
    large.priority = Priority::BestEffort;
    harness.accept(large);
    let (mut sequence, mut reserved) = (5, None);
    while reserved.is_none() && sequence < 200 {
        harness.advance(3.0);
        sequence += 1;
        for (name, tasks) in &running {
            harness.heartbeat(name, sequence, EPOCH, tasks.clone());
        }
        reserved = harness.leader.queue.reservation(&id("job-5")).cloned();
    }
    let reserved = reserved.expect("a job that waited this long has a reservation");
    // Its team uses up the rest of its quota elsewhere.
    harness.accept(sample("job-6", "red", 1, 2.0));
    for round in 0..8 {
        harness.advance(1.0);
        sequence += 1;
        let (name, tasks) = &mut running[[0, 1, 3, 2][round % 4]];
        if machine(name) != reserved {
            let started = starts(&harness.heartbeat(name, sequence, EPOCH, tasks.clone()));
            tasks.extend(started.iter().map(|start| task_status(start, TaskState::Running)));
        }
    }
    assert!(running.iter().flat_map(|(_, tasks)| tasks).any(|t| t.task.job == id("job-6")));
    harness.accept(sample("job-7", "blue", 1, 2.0));
    harness.advance(1.0);
    let (name, tasks) =
        running.iter().find(|(name, _)| machine(name) == reserved).expect("one of the four machines");
    let started = starts(&harness.heartbeat(name, sequence + 1, EPOCH, tasks.clone()));
    assert_eq!(job_ids(&started), [id("job-7")]);
}

/// An objective for starts within a third of a heartbeat interval.
pub fn latency_objective(workers: &Workers) -> Objective {
    Objective {
        kind: "wait".into(),
        class: Some("build".into()),
        within_s: Some(workers.heartbeat_interval_s / 3.0),
        share: Some(0.9),
        times: None,
    }
}

/// A configuration with [`latency_objective`].
fn config_with_latency_objective() -> Config {
    let mut settings = settings::tests::sample();
    settings.cluster.objectives.push(latency_objective(&settings.cluster.workers));
    Config { settings, tuning: policy::tests::tuning() }
}

/// A job whose image takes seconds to fetch.
fn job_with_large_image(job: &str, task_count: u32) -> JobSpec {
    JobSpec { image_gb: 5.0, ..sample(job, "blue", task_count, 1.0) }
}

/// Jobs with a latency objective started on machines that had to fetch their image first,
/// although machines with the image had free capacity. The fetch took longer than any heartbeat
/// interval, so these starts missed the objective.
#[test]
fn latency_sensitive_work_goes_to_a_machine_that_has_its_image() {
    let node_pools = ["vm-1", "vm-3"].map(|name| single_machine_pool(name, true)).into();
    let mut harness = Harness::with_config(Vec::new(), node_pools, config_with_latency_objective());
    for name in ["vm-1", "vm-3"] {
        harness.heartbeat(name, 1, EPOCH, vec![]);
    }
    // No machine has the image: the first to send a heartbeat gets the start.
    harness.accept(job_with_large_image("job-1", 1));
    let first = starts(&harness.heartbeat("vm-3", 2, EPOCH, vec![])).remove(0);
    harness.heartbeat("vm-3", 3, EPOCH, vec![task_status(&first, TaskState::Running)]);
    harness.accept(job_with_large_image("job-2", 1));
    harness.advance(0.5);
    assert_eq!(harness.heartbeat("vm-1", 2, EPOCH, vec![]), vec![]);
    let second = starts(&harness.heartbeat("vm-3", 4, EPOCH, vec![task_status(&first, TaskState::Running)]));
    assert_eq!(second[0].task.job, id("job-2"));
}

/// After a failover, running tasks show which images a machine has. Without this, no image
/// counted as cached, and other scores decided where tasks started.
#[test]
fn a_new_leader_learns_cached_images_from_running_tasks() {
    let jobs = vec![loaded_job(job_with_large_image("job-1", 1))];
    let node_pools = ["vm-1", "vm-3"].map(|name| single_machine_pool(name, true)).into();
    let mut harness = Harness::with_config(jobs, node_pools, config_with_latency_objective());
    let running = TaskStatus {
        task: TaskId { job: id("job-1"), index: 0 },
        // An attempt of an earlier epoch: the upper half of an attempt number is the epoch.
        attempt: EPOCH << 31,
        state: TaskState::Running,
    };
    harness.heartbeat("vm-1", 1, EPOCH, vec![]);
    harness.heartbeat("vm-3", 1, EPOCH, vec![running.clone()]);
    harness.accept(job_with_large_image("job-2", 1));
    harness.advance(0.5);
    assert_eq!(harness.heartbeat("vm-1", 2, EPOCH, vec![]), vec![]);
    assert_eq!(starts(&harness.heartbeat("vm-3", 2, EPOCH, vec![running]))[0].task.job, id("job-2"));
}

/// A leader with a latency objective and one idle machine, and that machine's last heartbeat,
/// whose reply may be deferred.
fn harness_with_deferred_reply() -> (Harness, Heartbeat) {
    let mut harness = Harness::with_config(
        Vec::new(),
        vec![single_machine_pool("vm-1", true)],
        config_with_latency_objective(),
    );
    harness.heartbeat("vm-1", 1, EPOCH, vec![]);
    assert!(
        !harness.leader.may_defer_reply(&heartbeat_message("vm-1", 1, vec![])),
        "no latency-sensitive class is known yet"
    );
    // A job of the class was submitted and has ended: others are likely to follow.
    harness.accept(sample("job-1", "blue", 1, 1.0));
    let start = starts(&harness.heartbeat("vm-1", 2, EPOCH, vec![])).remove(0);
    harness.heartbeat("vm-1", 3, EPOCH, vec![task_status(&start, DONE)]);
    harness.commit_all();
    assert_eq!(harness.heartbeat("vm-1", 4, EPOCH, vec![]), vec![]);
    let heartbeat = heartbeat_message("vm-1", 4, vec![]);
    assert!(harness.leader.may_defer_reply(&heartbeat));
    (harness, heartbeat)
}

/// A job submitted while a reply is deferred starts with that reply, not with the reply to the
/// next heartbeat.
#[test]
fn a_deferred_reply_carries_the_start_of_a_job_submitted_meanwhile() {
    let (mut harness, heartbeat) = harness_with_deferred_reply();
    let deferred = [machine("vm-1")];
    // Clears what the setup announced, so that only later changes end the deferral.
    harness.leader.deferred_replies_to_decide(deferred.iter());
    harness.accept(sample("job-2", "blue", 1, 1.0));
    assert_eq!(
        harness.leader.deferred_replies_to_decide(deferred.iter()),
        deferred,
        "vm-1's deferred reply is decided at once"
    );
    let HeartbeatReply::Commands { fencing_token: EPOCH, commands } =
        harness.leader.decide_deferred_reply(harness.now, &heartbeat)
    else {
        panic!("unexpected reply to the deferred heartbeat")
    };
    assert_eq!(starts(&commands)[0].task.job, id("job-2"));
    // The next heartbeat has a higher sequence and does not list the task, which proves that
    // the start was not received.
    assert_eq!(
        starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![])).len(),
        1,
        "the start was not received, so the task starts again"
    );
}

/// The content of a deferred reply is decided when it is sent: it starts no tasks if the
/// leader's lease has expired by then, and is a redirect if a newer heartbeat was handled.
#[test]
fn a_deferred_reply_is_decided_when_it_is_sent() {
    let (mut harness, heartbeat) = harness_with_deferred_reply();
    harness.accept(sample("job-2", "blue", 1, 1.0));
    harness.leader.term.extend(harness.now);
    let after_lease = harness.now + Duration::from_millis(100);
    let no_commands = HeartbeatReply::Commands { fencing_token: EPOCH, commands: vec![] };
    assert_eq!(harness.leader.decide_deferred_reply(after_lease, &heartbeat), no_commands);
    harness.leader.extend_lease(harness.now, harness.now + Duration::from_secs(60));
    harness.heartbeat("vm-1", 5, EPOCH, vec![]);
    assert_eq!(harness.leader.decide_deferred_reply(harness.now, &heartbeat), HeartbeatReply::Redirect);
}

/// A cancellation ends the deferral: the deferred reply is sent at once and carries the stop.
#[test]
fn a_stop_ends_the_deferral_of_a_reply() {
    let mut harness = Harness::with_config(
        Vec::new(),
        vec![single_machine_pool("vm-1", true)],
        config_with_latency_objective(),
    );
    harness.heartbeat("vm-1", 1, EPOCH, vec![]);
    harness.accept(JobSpec { kind: JobKind::Service, ..sample("job-1", "blue", 1, 1.0) });
    let start = starts(&harness.heartbeat("vm-1", 2, EPOCH, vec![])).remove(0);
    let running = vec![task_status(&start, TaskState::Running)];
    assert_eq!(harness.heartbeat("vm-1", 3, EPOCH, running.clone()), vec![]);
    let heartbeat = heartbeat_message("vm-1", 3, running);
    assert!(harness.leader.may_defer_reply(&heartbeat));
    let deferred = [machine("vm-1")];
    // Clears what the setup announced, so that only later changes end the deferral.
    harness.leader.deferred_replies_to_decide(deferred.iter());
    harness.cancel("job-1");
    harness.commit_all();
    assert_eq!(harness.leader.deferred_replies_to_decide(deferred.iter()), deferred);
    let stop_reply = HeartbeatReply::Commands { fencing_token: EPOCH, commands: vec![stop(&start)] };
    assert_eq!(harness.leader.decide_deferred_reply(harness.now, &heartbeat), stop_reply);
}

/// A deferred reply delays the next heartbeat of its machine. If the machine's tasks end by
/// themselves, that heartbeat may report free capacity or results. The first reply under a new
/// fencing token is not deferred, since it makes the worker send another heartbeat.
#[test]
fn replies_to_busy_machines_or_an_earlier_fencing_token_are_not_deferred() {
    let (mut harness, heartbeat) = harness_with_deferred_reply();
    assert!(!harness.leader.may_defer_reply(&Heartbeat { fencing_token: EPOCH - 1, ..heartbeat.clone() }));
    assert!(!harness.leader.may_defer_reply(&Heartbeat { preemption_notice_s: Some(10.0), ..heartbeat }));
    harness.accept(sample("job-2", "blue", 1, 1.0));
    let start = starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![])).remove(0);
    let running = vec![task_status(&start, TaskState::Running)];
    assert!(!harness.leader.may_defer_reply(&heartbeat_message("vm-1", 6, running)));
}

/// Nothing can start within zero seconds, so such an objective defers no reply.
#[test]
fn an_objective_of_zero_seconds_defers_no_reply() {
    let mut config = config_with_latency_objective();
    config.settings.cluster.objectives[0].within_s = Some(0.0);
    let mut harness = Harness::with_config(Vec::new(), vec![single_machine_pool("vm-1", true)], config);
    harness.heartbeat("vm-1", 1, EPOCH, vec![]);
    harness.accept(sample("job-1", "blue", 1, 1.0));
    let start = starts(&harness.heartbeat("vm-1", 2, EPOCH, vec![])).remove(0);
    harness.heartbeat("vm-1", 3, EPOCH, vec![task_status(&start, DONE)]);
    harness.commit_all();
    assert_eq!(harness.heartbeat("vm-1", 4, EPOCH, vec![]), vec![]);
    assert!(!harness.leader.may_defer_reply(&heartbeat_message("vm-1", 4, vec![])));
}
