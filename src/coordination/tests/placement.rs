//! What runs where, and in which order.

use super::*;
use crate::settings::{Objective, Workers};

#[test]
fn together_and_scatter_count_tasks_wherever_they_may_be() {
    let mut rig = Rig::with_machines(&["vm-1", "vm-2b"]);
    let mut together = sample("job-1", "red", 2, 8.0);
    together.one_zone = true;
    rig.accept(together);
    let first = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    assert_eq!(starts(&rig.beat("vm-2b", 5, EPOCH, vec![])), vec![], "the other zone");
    rig.withdraw("job-1");
    rig.commit_all();
    rig.beat("vm-1", 6, EPOCH, vec![listed(&first, TaskState::Exited(ExitCause::Stopped { saved: false }))]);
    rig.commit_all();
    let mut scatter = sample("job-2", "red", 4, 1.0);
    scatter.spread = true;
    rig.accept(scatter);
    assert_eq!(starts(&rig.beat("vm-1", 7, EPOCH, vec![])).len(), 2, "at most half in one zone");
    assert_eq!(starts(&rig.beat("vm-2b", 7, EPOCH, vec![])).len(), 2);
}

#[test]
fn a_guarantee_takes_back_what_others_borrowed_and_equals_take_nothing() {
    let mut rig = Rig::with_machines(&["vm-1", "vm-2b"]);
    let mut borrower = sample("job-1", "blue", 2, 8.0);
    borrower.priority = Priority::Critical;
    rig.accept(borrower);
    let a = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    let b = starts(&rig.beat("vm-2b", 5, EPOCH, vec![])).remove(0);
    rig.beat("vm-1", 6, EPOCH, vec![listed(&a, TaskState::Running)]);
    rig.beat("vm-2b", 6, EPOCH, vec![listed(&b, TaskState::Running)]);
    rig.accept(sample("job-2", "red", 1, 4.0));
    rig.pass(5.0);
    assert_eq!(rig.direct.len(), 1, "one of blue's two is beyond its guarantee");
    // Beyond its own guarantee of 8 red has no claim.
    rig.accept(sample("job-3", "red", 4, 4.0));
    rig.pass(2.0);
    assert_eq!(rig.direct.len(), 1);
}

#[test]
fn no_job_waits_for_ever_behind_a_stream_of_urgent_work() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    // Needs a whole machine, and is the least urgent.
    let mut large = sample("job-1", "red", 1, 8.0);
    large.priority = Priority::BestEffort;
    let bound = rig.config.tuning.begin_within.as_secs_f64();
    let (mut seq, mut n, mut running) = (5, 2, Vec::new());
    // Two small tasks are always there, one of them half way through.
    let begin = rig.now;
    let mut begun = None;
    rig.accept(sample("job-2", "blue", 2, 4.0));
    running.extend(starts(&rig.beat("vm-1", 4, EPOCH, vec![])));
    rig.accept(large);
    while begun.is_none() && (rig.now - begin).as_secs_f64() < 2.0 * bound {
        rig.pass(2.0);
        n += 1;
        let mut urgent = sample(&format!("job-{n}"), "blue", 1, 4.0);
        urgent.priority = Priority::Critical;
        rig.accept(urgent);
        let mut tasks: Vec<TaskStatus> = running.iter().map(|s| listed(s, TaskState::Running)).collect();
        if !running.is_empty() {
            tasks[0].state = DONE;
            running.remove(0);
        }
        let started = starts(&rig.beat("vm-1", seq, EPOCH, tasks));
        rig.commit_all();
        seq += 1;
        if started.iter().any(|s| s.0.job == id("job-1")) {
            begun = Some((rig.now - begin).as_secs_f64());
        }
        running.extend(started);
    }
    assert!(begun.is_some_and(|after| after < bound), "{begun:?}");
}

#[test]
fn lower_priority_gives_way_only_when_an_aim_is_near() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "blue", 1, 8.0));
    let low = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    rig.beat("vm-1", 6, EPOCH, vec![listed(&low, TaskState::Running)]);
    let mut urgent = sample("job-2", "blue", 1, 4.0);
    urgent.priority = Priority::Critical;
    urgent.estimated_run_s = 10.0;
    urgent.deadline_s = Some(30.0);
    rig.accept(urgent);
    // It must start within 20 s; room may come free by itself until then.
    let report = rig.config.settings.cluster.workers.report_s;
    for seq in 7..9 {
        rig.pass(report);
        rig.beat("vm-1", seq, EPOCH, vec![listed(&low, TaskState::Running)]);
    }
    assert_eq!(rig.direct, vec![]);
    for seq in 9..14 {
        rig.pass(report);
        rig.beat("vm-1", seq, EPOCH, vec![listed(&low, TaskState::Running)]);
    }
    assert_eq!(rig.direct, [Command::Stop { task: low.0.clone(), attempt: low.1, grace_s: 0.0 }]);
}

#[test]
fn a_machine_kept_clear_that_fails_is_replaced_by_another() {
    let mut rig = Rig::with_machines(&["vm-1", "vm-3"]);
    rig.accept(sample("job-1", "blue", 4, 4.0));
    let mut running: Vec<_> = ["vm-1", "vm-3"].map(|name| starts(&rig.beat(name, 5, EPOCH, vec![]))).into();
    let mut large = sample("job-2", "red", 1, 8.0);
    large.priority = Priority::BestEffort;
    rig.accept(large);
    let half = rig.config.tuning.begin_within.as_secs_f64() / 2.0;
    let mut seq = 5;
    let mut report = |rig: &mut Rig, at: usize, tasks: &[(TaskId, u64)]| {
        seq += 1;
        let tasks = tasks.iter().map(|s| listed(s, TaskState::Running)).collect();
        starts(&rig.beat(["vm-1", "vm-3"][at], seq, EPOCH, tasks))
    };
    for _ in 0..(half / 3.0) as u32 + 1 {
        rig.pass(3.0);
        (0..2).for_each(|at| drop(report(&mut rig, at, &running[at])));
    }
    let mut urgent = sample("job-3", "blue", 4, 4.0);
    urgent.priority = Priority::Critical;
    rig.accept(urgent);
    // Half of each comes free: the first is kept clear, the second is not.
    running.iter_mut().for_each(|tasks| drop(tasks.pop()));
    assert_eq!(report(&mut rig, 0, &running[0]), vec![]);
    let more = report(&mut rig, 1, &running[1]);
    running[1].extend(more);
    assert_eq!(running[1].len(), 2);
    // Nothing may be placed on the first any more; then it is the second.
    rig.leader.machines.get_mut(&machine("vm-1")).expect("there").cordoned = true;
    running[1].pop();
    rig.pass(0.5);
    assert_eq!(report(&mut rig, 1, &running[1]), vec![]);
    assert_eq!(report(&mut rig, 1, &[])[0].0.job, id("job-2"));
}

/// A machine kept clear for a job whose team has come to its limit meanwhile helps
/// nobody: others must not wait beside it.
#[test]
fn no_machine_is_kept_clear_for_a_job_whose_team_is_at_its_limit() {
    let mut rig = Rig::with_machines(&["vm-1", "vm-3", "vm-5", "vm-7"]);
    let run = |rig: &mut Rig, name: &str, seq, id: &str, team: &str, cpus| {
        rig.accept(sample(id, team, 1, cpus));
        let start = starts(&rig.beat(name, seq, EPOCH, vec![])).remove(0);
        listed(&start, TaskState::Running)
    };
    let mut on: Vec<(&str, Vec<TaskStatus>)> = vec![
        ("vm-1", vec![run(&mut rig, "vm-1", 5, "job-1", "blue", 6.0)]),
        ("vm-3", vec![run(&mut rig, "vm-3", 5, "job-2", "blue", 6.0)]),
        ("vm-5", vec![run(&mut rig, "vm-5", 5, "job-3", "red", 7.0)]),
        ("vm-7", vec![run(&mut rig, "vm-7", 5, "job-4", "blue", 6.0)]),
    ];
    let mut large = sample("job-5", "red", 1, 8.0);
    large.priority = Priority::BestEffort;
    rig.accept(large);
    let (mut seq, mut kept) = (5, None);
    while kept.is_none() && seq < 200 {
        rig.pass(3.0);
        seq += 1;
        for (name, tasks) in &on {
            rig.beat(name, seq, EPOCH, tasks.clone());
        }
        kept = rig.leader.queue.reservation(&id("job-5")).cloned();
    }
    let kept = kept.expect("it has waited for long");
    // Its team takes what was left of its limit elsewhere.
    rig.accept(sample("job-6", "red", 1, 2.0));
    for round in 0..8 {
        rig.pass(1.0);
        seq += 1;
        let (name, tasks) = &mut on[[0, 1, 3, 2][round % 4]];
        if machine(name) != kept {
            let begun = starts(&rig.beat(name, seq, EPOCH, tasks.clone()));
            tasks.extend(begun.iter().map(|start| listed(start, TaskState::Running)));
        }
    }
    assert!(on.iter().flat_map(|(_, tasks)| tasks).any(|t| t.task.job == id("job-6")));
    rig.accept(sample("job-7", "blue", 1, 2.0));
    rig.pass(1.0);
    let (name, tasks) = on.iter().find(|(name, _)| machine(name) == kept).expect("it is there");
    let begun = starts(&rig.beat(name, seq + 1, EPOCH, tasks.clone()));
    assert_eq!(begun.iter().map(|s| s.0.job.clone()).collect::<Vec<_>>(), [id("job-7")]);
}

/// An aim at a start within a third of a report interval.
pub fn prompt_aim(workers: &Workers) -> Objective {
    Objective {
        kind: "wait".into(),
        class: Some("build".into()),
        within_s: Some(workers.report_s / 3.0),
        share: Some(0.9),
        times: None,
    }
}

/// Settings whose users have such an aim.
fn with_a_prompt_aim() -> Config {
    let mut settings = settings::tests::sample();
    settings.cluster.objectives.push(prompt_aim(&settings.cluster.workers));
    Config { settings, tuning: policy::tests::tuning() }
}

fn fetching_for_seconds(id: &str, tasks: u32) -> JobSpec {
    JobSpec { image_gb: 5.0, ..sample(id, "blue", tasks, 1.0) }
}

/// A start on a machine that has to fetch the image first is not prompt: it took
/// longer than any report does, while machines with the image had room.
#[test]
fn prompt_work_goes_to_a_machine_that_has_its_image() {
    let rentals = ["vm-1", "vm-3"].map(|name| rented(name, true)).into();
    let mut rig = Rig::configured(Vec::new(), rentals, with_a_prompt_aim());
    for name in ["vm-1", "vm-3"] {
        rig.beat(name, 1, EPOCH, vec![]);
    }
    // Nobody has the image: whoever reports first starts it.
    rig.accept(fetching_for_seconds("job-1", 1));
    let first = starts(&rig.beat("vm-3", 2, EPOCH, vec![])).remove(0);
    rig.beat("vm-3", 3, EPOCH, vec![listed(&first, TaskState::Running)]);
    rig.accept(fetching_for_seconds("job-2", 1));
    rig.pass(0.5);
    assert_eq!(rig.beat("vm-1", 2, EPOCH, vec![]), vec![]);
    let second = starts(&rig.beat("vm-3", 4, EPOCH, vec![listed(&first, TaskState::Running)]));
    assert_eq!(second[0].0.job, id("job-2"));
}

/// After a takeover what runs on a machine shows which images it has; they were
/// taken to be nowhere, so that every start went by other things.
#[test]
fn a_new_leader_learns_images_from_what_runs() {
    let jobs = vec![loaded_job(fetching_for_seconds("job-1", 1))];
    let rentals = ["vm-1", "vm-3"].map(|name| rented(name, true)).into();
    let mut rig = Rig::configured(jobs, rentals, with_a_prompt_aim());
    let running = TaskStatus {
        task: TaskId { job: id("job-1"), index: 0 },
        attempt: EPOCH << 31,
        state: TaskState::Running,
    };
    rig.beat("vm-1", 1, EPOCH, vec![]);
    rig.beat("vm-3", 1, EPOCH, vec![running.clone()]);
    rig.accept(fetching_for_seconds("job-2", 1));
    rig.pass(0.5);
    assert_eq!(rig.beat("vm-1", 2, EPOCH, vec![]), vec![]);
    assert_eq!(starts(&rig.beat("vm-3", 2, EPOCH, vec![running]))[0].0.job, id("job-2"));
}

/// A leader with a prompt aim and one idle machine, whose last report is returned.
fn with_a_held_report() -> (Rig, Heartbeat) {
    let mut rig = Rig::configured(Vec::new(), vec![rented("vm-1", true)], with_a_prompt_aim());
    rig.beat("vm-1", 1, EPOCH, vec![]);
    assert!(!rig.leader.may_defer_reply(&rig.reported("vm-1", 1, vec![])), "no prompt class is known yet");
    // One of the class has come, and ended: others are likely to.
    rig.accept(sample("job-1", "blue", 1, 1.0));
    let start = starts(&rig.beat("vm-1", 2, EPOCH, vec![])).remove(0);
    rig.beat("vm-1", 3, EPOCH, vec![listed(&start, DONE)]);
    rig.commit_all();
    assert_eq!(rig.beat("vm-1", 4, EPOCH, vec![]), vec![]);
    let report = rig.reported("vm-1", 4, vec![]);
    assert!(rig.leader.may_defer_reply(&report));
    (rig, report)
}

/// A job that comes while an answer is held starts with that answer, not with the
/// next report.
#[test]
fn a_held_answer_carries_the_start_of_a_job_that_came_meanwhile() {
    let (mut rig, report) = with_a_held_report();
    let held = [machine("vm-1")];
    rig.leader.deferred_replies_to_decide(held.iter());
    rig.accept(sample("job-2", "blue", 1, 1.0));
    assert_eq!(rig.leader.deferred_replies_to_decide(held.iter()), held, "it is looked at again at once");
    let HeartbeatReply::Commands { fencing_token: EPOCH, commands: orders } =
        rig.leader.decide_deferred_reply(rig.now, &report)
    else {
        panic!("no answer")
    };
    assert_eq!(starts(&orders)[0].0.job, id("job-2"));
    // Its next report, with a higher number, proves whether the start was received.
    assert_eq!(starts(&rig.beat("vm-1", 5, EPOCH, vec![])).len(), 1, "it was not, so it starts again");
}

/// What a held answer says is decided when it is sent: past the lease it starts
/// nothing, and once a newer report was taken it says nothing at all.
#[test]
fn a_held_answer_is_decided_when_it_is_sent() {
    let (mut rig, report) = with_a_held_report();
    rig.accept(sample("job-2", "blue", 1, 1.0));
    rig.leader.term.extend(rig.now);
    let past = rig.now + Duration::from_millis(100);
    let nothing = HeartbeatReply::Commands { fencing_token: EPOCH, commands: vec![] };
    assert_eq!(rig.leader.decide_deferred_reply(past, &report), nothing);
    rig.leader.extend_lease(rig.now, rig.now + Duration::from_secs(60));
    rig.beat("vm-1", 5, EPOCH, vec![]);
    assert_eq!(rig.leader.decide_deferred_reply(rig.now, &report), HeartbeatReply::Redirect);
}

/// A cancellation is not to wait until a hold ends, and the answer carries its stop.
#[test]
fn a_stop_ends_a_hold() {
    let mut rig = Rig::configured(Vec::new(), vec![rented("vm-1", true)], with_a_prompt_aim());
    rig.beat("vm-1", 1, EPOCH, vec![]);
    rig.accept(JobSpec { kind: JobKind::Service, ..sample("job-1", "blue", 1, 1.0) });
    let start = starts(&rig.beat("vm-1", 2, EPOCH, vec![])).remove(0);
    let running = vec![listed(&start, TaskState::Running)];
    assert_eq!(rig.beat("vm-1", 3, EPOCH, running.clone()), vec![]);
    let report = rig.reported("vm-1", 3, running);
    assert!(rig.leader.may_defer_reply(&report));
    let held = [machine("vm-1")];
    rig.leader.deferred_replies_to_decide(held.iter());
    rig.withdraw("job-1");
    rig.commit_all();
    assert_eq!(rig.leader.deferred_replies_to_decide(held.iter()), held);
    let stop = Command::Stop { task: start.0, attempt: start.1, grace_s: 0.0 };
    let stopping = HeartbeatReply::Commands { fencing_token: EPOCH, commands: vec![stop] };
    assert_eq!(rig.leader.decide_deferred_reply(rig.now, &report), stopping);
}

/// The next report of a machine whose tasks end by themselves may tell of room or of
/// results, and the first answer under a new token makes the worker report again.
#[test]
fn reports_of_machines_with_other_work_or_an_earlier_token_are_not_held() {
    let (mut rig, report) = with_a_held_report();
    assert!(!rig.leader.may_defer_reply(&Heartbeat { fencing_token: EPOCH - 1, ..report.clone() }));
    assert!(!rig.leader.may_defer_reply(&Heartbeat { preemption_notice_s: Some(10.0), ..report }));
    rig.accept(sample("job-2", "blue", 1, 1.0));
    let start = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    let running = vec![listed(&start, TaskState::Running)];
    assert!(!rig.leader.may_defer_reply(&rig.reported("vm-1", 6, running)));
}

/// Nothing can start within no time: such an aim holds no answer.
#[test]
fn an_aim_of_no_time_at_all_is_not_prompt() {
    let mut config = with_a_prompt_aim();
    config.settings.cluster.objectives[0].within_s = Some(0.0);
    let mut rig = Rig::configured(Vec::new(), vec![rented("vm-1", true)], config);
    rig.beat("vm-1", 1, EPOCH, vec![]);
    rig.accept(sample("job-1", "blue", 1, 1.0));
    let start = starts(&rig.beat("vm-1", 2, EPOCH, vec![])).remove(0);
    rig.beat("vm-1", 3, EPOCH, vec![listed(&start, DONE)]);
    rig.commit_all();
    assert_eq!(rig.beat("vm-1", 4, EPOCH, vec![]), vec![]);
    assert!(!rig.leader.may_defer_reply(&rig.reported("vm-1", 4, vec![])));
}
