//! Cancellations, until the last task of the job is gone.

use super::*;

#[test]
fn a_cancellation_overtakes_a_start_in_flight() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 2, 8.0));
    let start = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    let to = rig.withdraw("job-1");
    assert_eq!(rig.answer(to), None, "not told before it is recorded");
    let written = rig.commit_all();
    assert_eq!(told(&rig.answer(to).expect("answered")), "cancelled");
    // A start may still be on its way: the row stays among the live.
    assert!(!written.iter().any(|t| t.changes.iter().any(|c| c.key() == archived_row_key(&id("job-1")))));
    let orders = rig.beat("vm-1", 6, EPOCH, vec![listed(&start, TaskState::Fetching)]);
    assert_eq!(orders, [Command::Stop { task: start.0.clone(), attempt: start.1, grace_s: 0.0 }]);
    let stopped = TaskState::Exited(ExitCause::Stopped { saved: false });
    let orders = rig.beat("vm-1", 7, EPOCH, vec![listed(&start, stopped)]);
    assert_eq!(orders, [Command::Reap { task: start.0, attempt: start.1 }], "and nothing of it starts again");
    let moved = rig.commit_all();
    assert_eq!(moved[0].changes[0].key(), archived_row_key(&id("job-1")));
}

#[test]
fn a_cancellation_reaches_a_deaf_machine_through_its_own_lease() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    let start = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    rig.beat("vm-1", 6, EPOCH, vec![listed(&start, TaskState::Running)]);
    let to = rig.withdraw("job-1");
    rig.commit_all();
    assert_eq!(told(&rig.answer(to).expect("answered")), "cancelled");
    // The stop is ordered with every report, and nothing else ever is.
    let stop = Command::Stop { task: start.0.clone(), attempt: start.1, grace_s: 0.0 };
    for seq in 7..10 {
        rig.pass(3.0);
        assert_eq!(
            rig.beat("vm-1", seq, EPOCH, vec![listed(&start, TaskState::Running)]),
            std::slice::from_ref(&stop)
        );
    }
    let moves = |all: Vec<Transaction>| {
        all.iter().flat_map(|t| &t.changes).any(|c| c.key() == archived_row_key(&id("job-1")))
    };
    assert!(!moves(rig.commit_all()), "it may still run");
    // Deaf, it gave its lease up by itself: the row may follow the record.
    rig.report("vm-1", 2, 1, EPOCH, vec![]);
    assert!(moves(rig.commit_all()));
}

fn stop(start: &(TaskId, u64)) -> Command {
    Command::Stop { task: start.0.clone(), attempt: start.1, grace_s: 0.0 }
}

/// The state service refuses the leader, another confirms a cancellation, and then
/// it is down for all: the old leader does not know of it, and must not keep the
/// job's tasks alive beyond the time that a cancellation has. Its last answer and a
/// worker's whole lease after it fit in, whatever the settings are.
#[test]
fn what_a_leader_answers_in_its_lapse_ends_before_a_cancellation_must_have() {
    let mut settings = settings::tests::sample();
    let mut windows = Vec::new();
    for cancel_s in [1.0, 10.0, 20.0, 30.0, 35.0, 40.0, 52.0, 600.0] {
        settings.cluster.workers.cancel_s = cancel_s;
        let config = Config { settings: settings.clone(), tuning: policy::tests::tuning() };
        let workers = &config.settings.cluster.workers;
        let last = config.post_lease_grace() + config.worker_lease_timeout() + HEARTBEAT_REPLY_TIMEOUT;
        assert!(config.post_lease_grace().is_zero() || last <= workers.cancellation(), "{cancel_s}");
        assert!(config.post_lease_grace() <= workers.lease() / 2);
        assert_eq!(
            config.failover_lease_timeout(),
            config.worker_lease_timeout() + config.post_lease_grace(),
            "the other half"
        );
        windows.push(config.post_lease_grace());
    }
    assert!(
        windows.is_sorted() && windows[0].is_zero() && windows[7] == settings.cluster.workers.lease() / 2
    );
}

/// The outage comes right after the cancellation: every answer in the lapse
/// renews the worker's lease, so every one carries the stop.
#[test]
fn answers_in_a_lapse_stop_what_is_cancelled_and_nothing_else() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    rig.accept(sample("job-2", "red", 1, 1.0));
    let held = starts(&rig.beat("vm-1", 5, EPOCH, vec![]));
    let running: Vec<_> = held.iter().map(|s| listed(s, TaskState::Running)).collect();
    rig.beat("vm-1", 6, EPOCH, running.clone());
    let to = rig.withdraw("job-1");
    rig.commit_all();
    assert_eq!(told(&rig.answer(to).expect("answered")), "cancelled");
    let called_off = held.iter().find(|s| s.0.job == id("job-1")).expect("started");
    rig.leader.extend_lease(rig.now, rig.now + Duration::from_millis(10));
    for seq in 7..9 {
        rig.pass(1.0);
        assert!(!rig.leader.holds_lease(rig.now));
        assert_eq!(rig.beat("vm-1", seq, EPOCH, running.clone()), [stop(called_off)]);
    }
    assert!(rig.commits.is_empty());
}

/// Leaders that follow one another quickly give little more than first answers:
/// a task of a job that was cancelled under one of the earlier ones must not live
/// on them.
#[test]
fn the_first_answer_after_a_takeover_stops_what_is_cancelled() {
    let mut over = loaded_job(sample("job-1", "red", 1, 1.0));
    over.record.cancelled = true;
    let live = loaded_job(sample("job-2", "red", 1, 1.0));
    let mut rig = Rig::new(vec![over, live], vec![rented("vm-1", true)]);
    let task = |job: &str| (TaskId { job: id(job), index: 0 }, 7);
    let tasks = ["job-1", "job-2", "job-3"].map(|job| listed(&task(job), TaskState::Running));
    // Of the third nothing is known: it is over, and its row has moved.
    let stops = [stop(&task("job-1")), stop(&task("job-3"))];
    assert_eq!(rig.beat("vm-1", 50, EPOCH - 1, tasks.to_vec()), stops);
    // A machine that no record names, should it hold anything.
    assert_eq!(rig.beat("vm-9", 50, EPOCH - 1, tasks.to_vec()), stops);
}

/// Where stops have no effect, the worker loses its lease in time: counted from
/// the cancellation, and not from how many orders were missed.
#[test]
fn a_machine_on_which_stops_have_no_effect_is_answered_no_longer() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    let start = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    let running = vec![listed(&start, TaskState::Running)];
    rig.beat("vm-1", 6, EPOCH, running.clone());
    rig.withdraw("job-1");
    rig.commit_all();
    let cancelled_at = rig.now;
    let workers = rig.config.settings.cluster.workers.clone();
    let (mut seq, mut last) = (6, rig.now);
    while rig.now < cancelled_at + workers.cancellation() {
        rig.pass(workers.report_s);
        seq += 1;
        if rig.report("vm-1", 1, seq, EPOCH, running.clone()) != HeartbeatReply::Redirect {
            last = rig.now;
        }
    }
    assert!(last > cancelled_at, "a stop or two is tried first");
    assert!(last + rig.config.worker_lease_timeout() <= cancelled_at + workers.cancellation());
    assert!(rig.known_machine("vm-1").slots.is_empty(), "proven gone");
}

/// A direct stop can be lost, and a machine may reach no controller while it can
/// be reached itself: the stop goes out again, paced; late in its time a machine
/// that is silent is deleted.
#[test]
fn direct_stops_are_repeated_and_a_silent_machine_is_deleted_in_time() {
    let mut rig = Rig::with_machines(&["vm-1", "vm-2b", "vm-3"]);
    rig.accept(sample("job-1", "red", 1, 8.0));
    let start = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    rig.beat("vm-1", 6, EPOCH, vec![listed(&start, TaskState::Running)]);
    rig.withdraw("job-1");
    assert_eq!(rig.direct, [stop(&start)], "at once: its work is of no use from now on");
    rig.commit_all();
    let cancelled_at = rig.now;
    let (workers, mut seq, mut deleted_at) = (rig.config.settings.cluster.workers.clone(), 6, None);
    while deleted_at.is_none() && rig.now < cancelled_at + workers.cancellation() {
        rig.pass(1.0);
        seq += 1;
        for other in ["vm-2b", "vm-3"] {
            rig.beat(other, seq, EPOCH, vec![]);
        }
        let asked = rig.cloud.iter().any(|(_, call)| *call == CloudCall::Delete(vec![machine("vm-1")]));
        deleted_at = asked.then_some(rig.now);
    }
    let sent = rig.direct.len() as f64;
    assert!(sent >= 3.0 && rig.direct.iter().all(|order| *order == stop(&start)));
    assert!(sent <= 1.0 + (rig.now - cancelled_at).as_secs_f64() / workers.report_s, "paced");
    assert!(deleted_at.is_some_and(|at| at <= cancelled_at + workers.lease()));
}

/// Many ended tasks and a cancelled one in one report: the stop is in the answer.
#[test]
fn no_stop_waits_behind_what_is_to_be_forgotten() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    let ended = |index| TaskStatus { task: TaskId { job: id("job-8"), index }, attempt: 1, state: DONE };
    let mut tasks: Vec<_> = (0..400).map(ended).collect();
    let left = (TaskId { job: id("job-9"), index: 0 }, 1);
    tasks.push(listed(&left, TaskState::Running));
    assert_eq!(rig.beat("vm-1", 5, EPOCH, tasks)[0], stop(&left));
}
