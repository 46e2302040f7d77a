//! Renting and returning machines, and the cloud's lists.

use super::*;

#[test]
fn deletion_answered_by_the_cloud_frees_what_was_on_the_machine() {
    let mut rig = Rig::with_machines(&["vm-1", "vm-2"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    rig.cloud.clear();
    let silent = rig.config.tuning.silence.as_secs_f64();
    let mut seq = 5;
    for _ in 0..((silent / 2.0) as u64 + 2) {
        rig.pass(2.0);
        seq += 1;
        assert_eq!(starts(&rig.beat("vm-2", seq, EPOCH, vec![])), vec![]);
    }
    let (ticket, _) = rig
        .cloud
        .iter()
        .find(|(_, call)| *call == CloudCall::Delete(vec![machine("vm-1")]))
        .cloned()
        .expect("the silent machine is returned");
    // Unanswered, it proves nothing.
    rig.leader.handle_cloud_result(rig.now, ticket, Err(CloudError::Failed));
    assert_eq!(starts(&rig.beat("vm-2", seq + 1, EPOCH, vec![])), vec![]);
    // Asked again after a pause.
    rig.cloud.clear();
    rig.pass(2.1);
    let (ticket, _) =
        rig.cloud.iter().find(|(_, c)| matches!(c, CloudCall::Delete(_))).cloned().expect("again");
    rig.leader.handle_cloud_result(rig.now, ticket, Ok(CloudReply::Deleted));
    assert_eq!(starts(&rig.beat("vm-2", seq + 2, EPOCH, vec![])).len(), 1);
    assert_eq!(
        rig.report("vm-1", 1, 6, EPOCH, vec![]),
        HeartbeatReply::Redirect,
        "a late copy restores nothing"
    );
}

#[test]
fn a_machine_is_used_only_once_the_record_says_so() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.accept(sample("job-1", "red", 1, 1.0));
    // Nobody expected them: entered first, by name and as used, those of one kind
    // with one write.
    let unexpected = ["vm-8", "vm-9"];
    for name in unexpected {
        assert_eq!(rig.beat(name, 1, 0, vec![]), vec![]);
        assert_eq!(rig.beat(name, 2, EPOCH, vec![]), vec![]);
    }
    rig.pass(1.1);
    assert_eq!(rig.beat("vm-9", 3, EPOCH, vec![]), vec![], "not recorded yet");
    let written = rig.commit_all();
    let of_unexpected = |c: &&Change| c.key().starts_with(NODE_POOLS) && c.key().contains("x-");
    let rentals: Vec<_> = written.iter().flat_map(|t| &t.changes).filter(of_unexpected).collect();
    let [Change::Put { value, .. }] = rentals[..] else { panic!("{rentals:?}") };
    let record = NodePoolRecord::decode(value).expect("readable");
    assert_eq!(record.machines_used, unexpected.map(machine).into_iter().collect());
    assert_eq!(starts(&rig.beat("vm-9", 4, EPOCH, vec![])).len(), 1);
}

/// Those that report and are listed meanwhile are entered once, and not while a
/// request of the same kind, type and zone, whose machines they may be, is open.
#[test]
fn a_machine_that_was_not_expected_is_entered_once() {
    let (mut record, version) = rented("vm-1", false);
    record.machines = None;
    let mut rig = Rig::new(Vec::new(), vec![(record, version)]);
    let entered = |rig: &Rig, name: &str| rig.leader.machines.contains(&machine(name));
    rig.beat("vm-8", 1, EPOCH, vec![]);
    rig.beat("vm-9b", 1, EPOCH, vec![]);
    rig.pass(1.1);
    assert!(!entered(&rig, "vm-8") && entered(&rig, "vm-9b"));
    for seq in 2..5 {
        rig.beat("vm-9b", seq, EPOCH, vec![]);
        rig.pass(1.1);
    }
    let names: Vec<_> = rig.leader.node_pools.values().filter_map(|h| h.record.machines.as_ref()).collect();
    assert_eq!(names, [&[machine("vm-9b")]]);
}

#[test]
fn an_unresolved_rental_is_asked_again_under_its_own_name() {
    let (mut record, version) = rented("vm-1", false);
    record.machines = None;
    let name = record.request.name.clone();
    let mut rig = Rig::new(Vec::new(), vec![(record, version)]);
    rig.pass(3.0);
    let (ticket, call) =
        rig.cloud.iter().find(|(_, c)| matches!(c, CloudCall::Provision(_))).cloned().expect("asked again");
    assert!(matches!(call, CloudCall::Provision(r) if r.name == name));
    rig.leader.handle_cloud_result(rig.now, ticket, Ok(CloudReply::Provisioned(vec![machine("vm-1")])));
    rig.collect();
    rig.commit_all();
    rig.accept(sample("job-1", "red", 1, 1.0));
    rig.beat("vm-1", 1, EPOCH, vec![]);
    rig.commit_all();
    rig.pass(1.1);
    rig.commit_all();
    assert_eq!(starts(&rig.beat("vm-1", 2, EPOCH, vec![])).len(), 1);
}

#[test]
fn one_old_list_does_not_cost_a_machine() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    let entry = |state| in_list("vm-1", state);
    let list = |rig: &mut Rig, machines: Vec<ListedMachine>| {
        rig.cloud.clear();
        rig.pass(4.2);
        let found = rig.cloud.iter().find(|(_, c)| matches!(c, CloudCall::List { .. })).cloned();
        let (ticket, _) = found.expect("lists are read again and again");
        rig.cloud.clear();
        rig.leader.handle_cloud_result(
            rig.now,
            ticket,
            Ok(CloudReply::List(InventoryPage { machines, more: false })),
        );
        rig.collect();
        rig.cloud.iter().any(|(_, c)| matches!(c, CloudCall::Delete(_)))
    };
    assert!(!list(&mut rig, vec![entry(ListedState::Running)]));
    assert!(!list(&mut rig, vec![]), "this list may be older than the last");
    assert!(list(&mut rig, vec![]), "twice, and silent: its deletion is asked for as proof");
}

/// Takeovers faster than a machine's least billed time must not keep idle
/// machines: those that had tasks have been paid for as long already.
#[test]
fn an_idle_machine_that_worked_goes_back_soon_after_a_takeover() {
    let rentals = ["vm-1", "vm-2b"].map(|name| rented(name, true)).to_vec();
    let mut rig = Rig::tuned(Vec::new(), rentals, policy::tests::tuning());
    let (begin, mut seq) = (rig.now, 1);
    while !rig.cloud.iter().any(|(_, c)| matches!(c, CloudCall::Delete(_))) {
        rig.pass(1.0);
        seq += 1;
        for name in ["vm-1", "vm-2b"] {
            rig.report(name, 1, seq, EPOCH, vec![]);
        }
        assert!(rig.now < begin + Duration::from_secs(20), "kept for as long as if it were new");
    }
}

#[test]
fn work_that_is_over_is_no_demand_whatever_was_expected_of_it() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    let mut job = sample("job-1", "red", 2, 4.0);
    job.estimated_run_s = 600.0;
    rig.accept(job);
    let started = starts(&rig.beat("vm-1", 5, EPOCH, vec![]));
    rig.pass(1.1);
    let ideal = |rig: &Rig| rig.leader.autoscaler.demand.iter().map(|(_, d)| d.offered_load).sum::<f64>();
    assert!((ideal(&rig) - 8.0).abs() < 1e-9);
    rig.beat("vm-1", 6, EPOCH, started.iter().map(|s| listed(s, DONE)).collect());
    rig.commit_all();
    rig.pass(1.1);
    assert_eq!(ideal(&rig), 0.0, "long before the owner's estimate is over");
}

#[test]
fn demand_counts_no_longer_than_the_class_is_known_to_run() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    let mut job = sample("job-1", "red", 1, 4.0);
    job.estimated_run_s = 20.0;
    rig.accept(job);
    let start = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    let ideal = |rig: &Rig| rig.leader.autoscaler.demand.iter().map(|(_, d)| d.offered_load).sum::<f64>();
    for seq in 6..18 {
        rig.pass(2.0);
        rig.beat("vm-1", seq, EPOCH, vec![listed(&start, TaskState::Running)]);
    }
    // It runs on, but offered on time it would have been over.
    assert_eq!(ideal(&rig), 0.0);
}

#[test]
fn a_zone_silent_as_a_whole_is_given_a_lease_but_counts_for_nothing_meanwhile() {
    let heard = ["vm-1", "vm-4", "vm-5"];
    let mut rig = Rig::with_machines(&["vm-1", "vm-2b", "vm-3b", "vm-4", "vm-5"]);
    rig.accept(sample("job-1", "red", 2, 8.0));
    rig.accept(sample("job-2", "blue", 3, 8.0));
    for name in ["vm-1", "vm-2b", "vm-3b", "vm-4", "vm-5"] {
        assert_eq!(starts(&rig.beat(name, 5, EPOCH, vec![])).len(), 1);
    }
    rig.cloud.clear();
    let (silence, lease) = (rig.config.tuning.silence, rig.config.settings.cluster.workers.lease());
    let begin = rig.now;
    let mut seq = 5;
    // All of the zone z2 falls silent.
    while rig.now + Duration::from_secs(2) < begin + lease {
        rig.pass(2.0);
        seq += 1;
        for name in heard {
            rig.beat(name, seq, EPOCH, vec![]);
        }
        assert!(!rig.cloud.iter().any(|(_, c)| matches!(c, CloudCall::Delete(_))), "cut off, perhaps");
        let wanted = ["vm-2b", "vm-3b"].map(|name| rig.known_machine(name).need.is_needed);
        assert!(rig.now < begin + silence + Duration::from_secs(2) || wanted == [false, false]);
    }
    rig.pass(2.1);
    for name in heard {
        rig.beat(name, seq + 1, EPOCH, vec![]);
    }
    rig.pass(1.1);
    assert!(rig.cloud.iter().any(|(_, c)| matches!(c, CloudCall::Delete(m) if m.len() == 2)));
}

/// A leader that loses its workers hears of them again one by one, through the
/// other controllers. The first few once made it take all others for dead and
/// return hundreds of machines with what they ran.
#[test]
fn the_first_few_heard_again_do_not_make_the_others_seem_dead() {
    let names: Vec<String> = (0..20).map(|n| format!("vm-{n}")).collect();
    let mut rig = Rig::with_machines(&names.iter().map(String::as_str).collect::<Vec<_>>());
    rig.accept(sample("job-1", "blue", 20, 8.0));
    for name in &names {
        assert_eq!(starts(&rig.beat(name, 5, EPOCH, vec![])).len(), 1);
    }
    rig.cloud.clear();
    rig.pass(rig.config.tuning.silence.as_secs_f64() + 1.0);
    for (seq, name) in names.iter().take(8).enumerate() {
        rig.beat(name, 6 + seq as u64, EPOCH, vec![]);
        rig.pass(1.0);
        let asked =
            rig.cloud.iter().find(|(_, c)| matches!(c, CloudCall::Delete(_) | CloudCall::Provision(_)));
        assert_eq!(asked, None, "with {} of 20 heard", seq + 1);
    }
    // Once most are heard, the rest are believed to be gone.
    for (seq, name) in names.iter().take(15).enumerate() {
        rig.beat(name, 20 + seq as u64, EPOCH, vec![]);
    }
    rig.pass(1.0);
    assert!(rig.cloud.iter().any(|(_, c)| matches!(c, CloudCall::Delete(m) if m.len() == 5)));
}

/// What a lost machine held starts elsewhere as soon as its report is surely
/// overdue; but only where no more than a few are, for others may be behind a
/// cut, on their way round it.
#[test]
fn one_overdue_report_is_enough_only_while_the_others_are_heard() {
    let names: Vec<String> = (0..20).map(|n| format!("vm-{n}")).collect();
    for lost in [1, 5] {
        let mut rig = Rig::with_machines(&names.iter().map(String::as_str).collect::<Vec<_>>());
        rig.accept(sample("job-1", "blue", 20, 8.0));
        for name in &names {
            assert_eq!(starts(&rig.beat(name, 5, EPOCH, vec![])).len(), 1);
        }
        rig.cloud.clear();
        let returned = |rig: &Rig| rig.cloud.iter().any(|(_, c)| matches!(c, CloudCall::Delete(_)));
        let workers = rig.config.settings.cluster.workers.clone();
        let (begin, mut seq) = (rig.now, 5);
        while !returned(&rig) {
            rig.pass(1.0);
            seq += 1;
            for name in &names[lost..] {
                rig.beat(name, seq, EPOCH, vec![]);
            }
            assert!(rig.now < begin + workers.lease(), "never returned");
        }
        let early = rig.now < begin + rig.config.tuning.silence;
        assert_eq!(early, lost == 1, "{lost} lost: {:?}", rig.now - begin);
    }
}

#[test]
fn where_nobody_is_heard_nobody_is_returned_as_silent() {
    let mut rig = Rig::with_machines(&["vm-1", "vm-2b"]);
    rig.accept(sample("job-1", "red", 2, 8.0));
    for name in ["vm-1", "vm-2b"] {
        assert_eq!(starts(&rig.beat(name, 5, EPOCH, vec![])).len(), 1);
    }
    rig.cloud.clear();
    for _ in 0..40 {
        rig.pass(1.0);
    }
    assert!(!rig.cloud.iter().any(|(_, c)| matches!(c, CloudCall::Delete(_))), "the fault is on this side");
}

/// After a wave hundreds of machines are missing: one rental of at most fifty a
/// second was a fraction of what the cloud takes.
#[test]
fn as_many_rentals_go_out_at_once_as_the_cloud_takes_in_a_second() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    for n in 0..8 {
        rig.accept(sample(&format!("job-{n}"), "blue", 100, 8.0));
    }
    rig.commits.clear();
    rig.pass(1.1);
    let rented = rig.commits.iter().flat_map(|(_, t)| &t.changes).filter(|c| c.key().starts_with(NODE_POOLS));
    assert_eq!(rented.count() as f64, rig.config.settings.cluster.cloud.rps);
}

#[test]
fn a_backlog_asks_for_more_as_its_aims_come_near() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    let mut job = sample("job-1", "red", 20, 1.0);
    (job.estimated_run_s, job.deadline_s) = (20.0, Some(150.0));
    rig.accept(job);
    let mut drains = Vec::new();
    for seq in 0..12 {
        rig.pass(10.0);
        rig.report("vm-9", 1, seq, EPOCH, vec![]);
        drains.push(rig.leader.autoscaler.demand.iter().map(|(_, d)| d.backlog_rate).sum::<f64>());
    }
    // Boots take 30 s: at first the work may take four, at last two of them.
    let work = 20.0 * 20.0;
    let close = |a: f64, b: f64| (a - b).abs() < b * 0.02;
    assert!(close(drains[0], work / 120.0) && close(drains[11], work / 60.0), "{drains:?}");
    assert!(drains.windows(2).all(|pair| pair[0] <= pair[1] + 1e-9), "{drains:?}");
}

/// Machines that came and went with each job of a class that may wait for minutes
/// spent a third of their paid time on booting.
#[test]
fn demand_of_work_that_may_wait_fades_slowly() {
    let left_after_a_minute = |deadline_s| {
        let mut rig = Rig::with_machines(&["vm-1"]);
        rig.accept(JobSpec { deadline_s, ..sample("job-1", "red", 2, 4.0) });
        let started = starts(&rig.beat("vm-1", 5, EPOCH, vec![]));
        let mean = |rig: &Rig| rig.leader.autoscaler.demand.iter().map(|(_, d)| d.mean).sum::<f64>();
        for _ in 0..20 {
            rig.pass(1.0);
        }
        rig.beat("vm-1", 6, EPOCH, started.iter().map(|s| listed(s, DONE)).collect());
        rig.commit_all();
        let before = mean(&rig);
        assert!(before > 4.0, "{before}");
        for seq in 7..67 {
            rig.pass(1.0);
            rig.beat("vm-1", seq, EPOCH, vec![]);
        }
        mean(&rig) / before
    };
    assert!(left_after_a_minute(None) < 0.15);
    let patient = left_after_a_minute(Some(300.0));
    assert!((0.2..0.9).contains(&patient), "{patient}");
}

/// A service with one replica on each of two machines, one of which would do.
fn spread_over_two(images: [&str; 2]) -> (Rig, [(TaskId, u64); 2]) {
    let rentals = ["vm-1", "vm-3"].map(|name| rented(name, true)).into();
    let mut rig = Rig::new(Vec::new(), rentals);
    for name in ["vm-1", "vm-3"] {
        rig.beat(name, 1, EPOCH, vec![]);
    }
    let service = |id: &str, image: &str| JobSpec {
        kind: JobKind::Service,
        image: image.into(),
        spot: false,
        ..sample(id, "blue", 1, 2.0)
    };
    rig.accept(service("job-1", images[0]));
    let first = starts(&rig.beat("vm-1", 2, EPOCH, vec![])).remove(0);
    rig.accept(service("job-2", images[1]));
    let second = starts(&rig.beat("vm-3", 2, EPOCH, vec![])).remove(0);
    (rig, [first, second])
}

/// Plays two minutes; returns which replica was told to stop, if any.
fn stopped_within_two_minutes(rig: &mut Rig, replicas: &[(TaskId, u64); 2]) -> Option<usize> {
    let interval = rig.config.settings.cluster.workers.report_s;
    for seq in 3..43 {
        rig.pass(interval);
        for (name, replica) in ["vm-1", "vm-3"].into_iter().zip(replicas) {
            rig.beat(name, seq, EPOCH, vec![listed(replica, TaskState::Running)]);
        }
        let stopped = replicas.iter().position(|r| rig.direct.contains(&stop(r)));
        if stopped.is_some() {
            return stopped;
        }
    }
    None
}

fn stop(replica: &(TaskId, u64)) -> Command {
    Command::Stop { task: replica.0.clone(), attempt: replica.1, grace_s: 0.0 }
}

/// Services do not end: machines that were rented for a peak stayed for as long as a
/// single replica ran on them, beside others with room.
#[test]
fn replicas_move_off_a_machine_that_no_demand_counts_on() {
    let (mut rig, replicas) = spread_over_two(["img-1", "img-1"]);
    let moved = stopped_within_two_minutes(&mut rig, &replicas).expect("one machine would do");
    let (from, to) = if moved == 0 { ("vm-1", "vm-3") } else { ("vm-3", "vm-1") };
    let stays = listed(&replicas[1 - moved], TaskState::Running);
    // Until it is proven gone it runs nowhere else, and nothing starts beside it.
    assert_eq!(rig.beat(to, 50, EPOCH, vec![stays.clone()]), vec![]);
    let ended = TaskState::Exited(ExitCause::Stopped { saved: false });
    assert_eq!(starts(&rig.beat(from, 50, EPOCH, vec![listed(&replicas[moved], ended)])), vec![]);
    let again = starts(&rig.beat(to, 51, EPOCH, vec![stays]));
    assert_eq!(again[0].0, replicas[moved].0);
    rig.cloud.clear();
    for seq in 52..82 {
        rig.pass(3.0);
        assert_eq!(starts(&rig.beat(from, seq, EPOCH, vec![])), vec![]);
        let both = [&replicas[1 - moved], &again[0]].map(|r| listed(r, TaskState::Running));
        rig.beat(to, seq, EPOCH, both.into());
    }
    assert!(rig.cloud.iter().any(|(_, call)| *call == CloudCall::Delete(vec![machine(from)])));
}

/// Fetching an image takes longer than a replica may be down for a move.
#[test]
fn replicas_stay_where_no_other_machine_has_their_image() {
    let (mut rig, replicas) = spread_over_two(["img-1", "img-2"]);
    assert_eq!(stopped_within_two_minutes(&mut rig, &replicas), None);
}
