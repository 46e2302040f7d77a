//! Tests of scale out, scale in, the descheduler and the inventory of the cloud.

use super::*;

#[test]
fn a_confirmed_deletion_frees_the_tasks_of_the_machine() {
    let mut harness = Harness::with_machines(&["vm-1", "vm-2"]);
    harness.accept(sample("job-1", "red", 1, 1.0));
    starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![])).remove(0);
    harness.cloud_calls.clear();
    let suspicion_timeout_s = harness.config.tuning.suspicion_timeout.as_secs_f64();
    let mut sequence = 5;
    for _ in 0..((suspicion_timeout_s / 2.0) as u64 + 2) {
        harness.advance(2.0);
        sequence += 1;
        assert_eq!(starts(&harness.heartbeat("vm-2", sequence, EPOCH, vec![])), vec![]);
    }
    let (operation, _) = harness
        .cloud_calls
        .iter()
        .find(|(_, call)| *call == CloudCall::Delete(vec![machine("vm-1")]))
        .cloned()
        .expect("the dead machine is deleted");
    // A failed deletion proves nothing.
    harness.leader.handle_cloud_result(harness.now, operation, Err(CloudError::Failed));
    assert_eq!(starts(&harness.heartbeat("vm-2", sequence + 1, EPOCH, vec![])), vec![]);
    // The deletion is requested again after a pause.
    harness.cloud_calls.clear();
    harness.advance(2.1);
    let (operation, _) = harness
        .cloud_calls
        .iter()
        .find(|(_, c)| matches!(c, CloudCall::Delete(_)))
        .cloned()
        .expect("requested again");
    harness.leader.handle_cloud_result(harness.now, operation, Ok(CloudReply::Deleted));
    assert_eq!(starts(&harness.heartbeat("vm-2", sequence + 2, EPOCH, vec![])).len(), 1);
    assert_eq!(
        harness.send_heartbeat("vm-1", 1, 6, EPOCH, vec![]),
        HeartbeatReply::Redirect,
        "a delayed copy of a heartbeat changes nothing"
    );
}

#[test]
fn a_machine_gets_starts_only_once_its_node_pool_record_marks_it_used() {
    let mut harness = Harness::new(Vec::new(), Vec::new());
    harness.accept(sample("job-1", "red", 1, 1.0));
    // Unregistered machines are first recorded by name and as used; machines of the same type and
    // zone are recorded with one write.
    let unregistered = ["vm-8", "vm-9"];
    for name in unregistered {
        assert_eq!(harness.heartbeat(name, 1, 0, vec![]), vec![]);
        assert_eq!(harness.heartbeat(name, 2, EPOCH, vec![]), vec![]);
    }
    harness.advance(1.1);
    assert_eq!(harness.heartbeat("vm-9", 3, EPOCH, vec![]), vec![], "not recorded yet");
    let written = harness.commit_all();
    let of_unregistered = |c: &&Change| c.key().starts_with(NODE_POOLS) && c.key().contains("x-");
    let node_pools: Vec<_> = written.iter().flat_map(|t| &t.changes).filter(of_unregistered).collect();
    let [Change::Put { value, .. }] = node_pools[..] else { panic!("{node_pools:?}") };
    let record = NodePoolRecord::decode(value).expect("readable");
    assert_eq!(record.machines_used, unregistered.map(machine).into_iter().collect());
    assert_eq!(starts(&harness.heartbeat("vm-9", 4, EPOCH, vec![])).len(), 1);
}

/// Unregistered machines that send heartbeats and are listed meanwhile are registered once. They
/// are not registered while a scale-out request for the same type and zone is unresolved, since
/// they may be the requested machines.
#[test]
fn an_unregistered_machine_is_registered_once() {
    let (mut record, version) = single_machine_pool("vm-1", false);
    record.machines = None;
    let mut harness = Harness::new(Vec::new(), vec![(record, version)]);
    let registered = |harness: &Harness, name: &str| harness.leader.machines.contains(&machine(name));
    harness.heartbeat("vm-8", 1, EPOCH, vec![]);
    harness.heartbeat("vm-9b", 1, EPOCH, vec![]);
    harness.advance(1.1);
    assert!(!registered(&harness, "vm-8") && registered(&harness, "vm-9b"));
    for sequence in 2..5 {
        harness.heartbeat("vm-9b", sequence, EPOCH, vec![]);
        harness.advance(1.1);
    }
    let names: Vec<_> =
        harness.leader.node_pools.values().filter_map(|pool| pool.record.machines.as_ref()).collect();
    assert_eq!(names, [&[machine("vm-9b")]]);
}

#[test]
fn an_unresolved_scale_out_is_retried_under_its_own_name() {
    let (mut record, version) = single_machine_pool("vm-1", false);
    record.machines = None;
    let name = record.request.name.clone();
    let mut harness = Harness::new(Vec::new(), vec![(record, version)]);
    harness.advance(3.0);
    let (operation, call) = harness
        .cloud_calls
        .iter()
        .find(|(_, c)| matches!(c, CloudCall::Provision(_)))
        .cloned()
        .expect("requested again");
    assert!(matches!(call, CloudCall::Provision(r) if r.name == name));
    harness.leader.handle_cloud_result(
        harness.now,
        operation,
        Ok(CloudReply::Provisioned(vec![machine("vm-1")])),
    );
    harness.collect_effects();
    harness.commit_all();
    harness.accept(sample("job-1", "red", 1, 1.0));
    harness.heartbeat("vm-1", 1, EPOCH, vec![]);
    harness.commit_all();
    harness.advance(1.1);
    harness.commit_all();
    assert_eq!(starts(&harness.heartbeat("vm-1", 2, EPOCH, vec![])).len(), 1);
}

#[test]
fn one_stale_inventory_page_deletes_no_machine() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    let entry = |state| inventory_entry("vm-1", state);
    let list = |harness: &mut Harness, machines: Vec<ListedMachine>| {
        harness.cloud_calls.clear();
        harness.advance(4.2);
        let found =
            harness.cloud_calls.iter().find(|(_, c)| matches!(c, CloudCall::ListMachines { .. })).cloned();
        let (operation, _) = found.expect("the inventory is read repeatedly");
        harness.cloud_calls.clear();
        harness.leader.handle_cloud_result(
            harness.now,
            operation,
            Ok(CloudReply::MachinesListed(InventoryPage { machines, more: false })),
        );
        harness.collect_effects();
        harness.requests_deletion()
    };
    assert!(!list(&mut harness, vec![entry(ListedState::Running)]));
    assert!(!list(&mut harness, vec![]), "this page may be older than the previous one");
    assert!(
        list(&mut harness, vec![]),
        "missing twice and without heartbeats: its deletion is requested as proof that it is gone"
    );
}

/// Failovers at intervals shorter than a machine's minimum billed time must not keep idle
/// machines: a machine that had tasks has been paid for that long already.
#[test]
fn an_idle_machine_that_had_tasks_is_scaled_in_soon_after_a_failover() {
    let node_pools = ["vm-1", "vm-2b"].map(|name| single_machine_pool(name, true)).to_vec();
    let mut harness = Harness::with_tuning(Vec::new(), node_pools, policy::tests::tuning());
    let (begin, mut sequence) = (harness.now, 1);
    while !harness.requests_deletion() {
        harness.advance(1.0);
        sequence += 1;
        for name in ["vm-1", "vm-2b"] {
            harness.send_heartbeat(name, 1, sequence, EPOCH, vec![]);
        }
        assert!(harness.now < begin + Duration::from_secs(20), "not kept for as long as a new machine");
    }
}

#[test]
fn done_tasks_add_no_demand_whatever_their_estimate() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    let mut job = sample("job-1", "red", 2, 4.0);
    job.estimated_run_s = 600.0;
    harness.accept(job);
    let started = starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![]));
    harness.advance(1.1);
    let offered_load =
        |harness: &Harness| harness.leader.autoscaler.demand.iter().map(|(_, d)| d.offered_load).sum::<f64>();
    assert!((offered_load(&harness) - 8.0).abs() < 1e-9);
    harness.heartbeat("vm-1", 6, EPOCH, started.iter().map(|s| task_status(s, DONE)).collect());
    harness.commit_all();
    harness.advance(1.1);
    assert_eq!(offered_load(&harness), 0.0, "no demand is left, long before the user's estimate ends");
}

#[test]
fn demand_of_a_task_ends_with_its_estimated_run() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    let mut job = sample("job-1", "red", 1, 4.0);
    job.estimated_run_s = 20.0;
    harness.accept(job);
    let start = starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![])).remove(0);
    let offered_load =
        |harness: &Harness| harness.leader.autoscaler.demand.iter().map(|(_, d)| d.offered_load).sum::<f64>();
    for sequence in 6..18 {
        harness.advance(2.0);
        harness.heartbeat("vm-1", sequence, EPOCH, vec![task_status(&start, TaskState::Running)]);
    }
    // The task still runs, but if it had started on time and kept to its estimate, it would have
    // ended.
    assert_eq!(offered_load(&harness), 0.0);
}

#[test]
fn a_zone_without_heartbeats_is_kept_for_a_lease_but_not_needed_meanwhile() {
    let machines_with_heartbeats = ["vm-1", "vm-4", "vm-5"];
    let mut harness = Harness::with_machines(&["vm-1", "vm-2b", "vm-3b", "vm-4", "vm-5"]);
    harness.accept(sample("job-1", "red", 2, 8.0));
    harness.accept(sample("job-2", "blue", 3, 8.0));
    for name in ["vm-1", "vm-2b", "vm-3b", "vm-4", "vm-5"] {
        assert_eq!(starts(&harness.heartbeat(name, 5, EPOCH, vec![])).len(), 1);
    }
    harness.cloud_calls.clear();
    let (suspicion_timeout, lease) =
        (harness.config.tuning.suspicion_timeout, harness.config.settings.cluster.workers.lease());
    let begin = harness.now;
    let mut sequence = 5;
    // No machine of the zone z2 sends heartbeats any more.
    while harness.now + Duration::from_secs(2) < begin + lease {
        harness.advance(2.0);
        sequence += 1;
        for name in machines_with_heartbeats {
            harness.heartbeat(name, sequence, EPOCH, vec![]);
        }
        assert!(!harness.requests_deletion(), "the zone may be partitioned");
        let needed = ["vm-2b", "vm-3b"].map(|name| harness.registered_machine(name).need.is_needed);
        assert!(harness.now < begin + suspicion_timeout + Duration::from_secs(2) || needed == [false, false]);
    }
    harness.advance(2.1);
    for name in machines_with_heartbeats {
        harness.heartbeat(name, sequence + 1, EPOCH, vec![]);
    }
    harness.advance(1.1);
    assert!(harness.cloud_calls.iter().any(|(_, c)| matches!(c, CloudCall::Delete(m) if m.len() == 2)));
}

/// A leader that has lost contact with its workers receives their heartbeats again one by one,
/// through the other controllers. The first few heartbeats once made it declare all other
/// machines dead and delete hundreds of machines with their tasks.
#[test]
fn the_first_heartbeats_after_an_interruption_do_not_make_the_other_machines_dead() {
    let names: Vec<String> = (0..20).map(|n| format!("vm-{n}")).collect();
    let mut harness = Harness::with_machines(&names.iter().map(String::as_str).collect::<Vec<_>>());
    harness.accept(sample("job-1", "blue", 20, 8.0));
    for name in &names {
        assert_eq!(starts(&harness.heartbeat(name, 5, EPOCH, vec![])).len(), 1);
    }
    harness.cloud_calls.clear();
    harness.advance(harness.config.tuning.suspicion_timeout.as_secs_f64() + 1.0);
    for (sequence, name) in names.iter().take(8).enumerate() {
        harness.heartbeat(name, 6 + sequence as u64, EPOCH, vec![]);
        harness.advance(1.0);
        let requested = harness
            .cloud_calls
            .iter()
            .find(|(_, c)| matches!(c, CloudCall::Delete(_) | CloudCall::Provision(_)));
        assert_eq!(requested, None, "after heartbeats of {} of 20 machines", sequence + 1);
    }
    // Once most machines send heartbeats again, the others are declared dead.
    for (sequence, name) in names.iter().take(15).enumerate() {
        harness.heartbeat(name, 20 + sequence as u64, EPOCH, vec![]);
    }
    harness.advance(1.0);
    assert!(harness.cloud_calls.iter().any(|(_, c)| matches!(c, CloudCall::Delete(m) if m.len() == 5)));
}

/// The tasks of a lost machine start elsewhere as soon as one heartbeat is surely overdue, but
/// only if no more than a few machines are overdue. If there are more, they may be behind a
/// partition and about to send their heartbeats by another route.
#[test]
fn one_overdue_heartbeat_is_enough_only_while_few_machines_are_overdue() {
    let names: Vec<String> = (0..20).map(|n| format!("vm-{n}")).collect();
    for lost in [1, 5] {
        let mut harness = Harness::with_machines(&names.iter().map(String::as_str).collect::<Vec<_>>());
        harness.accept(sample("job-1", "blue", 20, 8.0));
        for name in &names {
            assert_eq!(starts(&harness.heartbeat(name, 5, EPOCH, vec![])).len(), 1);
        }
        harness.cloud_calls.clear();
        let deletion_requested = |harness: &Harness| harness.requests_deletion();
        let workers = harness.config.settings.cluster.workers.clone();
        let (begin, mut sequence) = (harness.now, 5);
        while !deletion_requested(&harness) {
            harness.advance(1.0);
            sequence += 1;
            for name in &names[lost..] {
                harness.heartbeat(name, sequence, EPOCH, vec![]);
            }
            assert!(harness.now < begin + workers.lease(), "not deleted within a lease");
        }
        let early = harness.now < begin + harness.config.tuning.suspicion_timeout;
        assert_eq!(early, lost == 1, "{lost} lost: {:?}", harness.now - begin);
    }
}

#[test]
fn without_any_heartbeat_no_machine_is_deleted_as_dead() {
    let mut harness = Harness::with_machines(&["vm-1", "vm-2b"]);
    harness.accept(sample("job-1", "red", 2, 8.0));
    for name in ["vm-1", "vm-2b"] {
        assert_eq!(starts(&harness.heartbeat(name, 5, EPOCH, vec![])).len(), 1);
    }
    harness.cloud_calls.clear();
    for _ in 0..40 {
        harness.advance(1.0);
    }
    assert!(!harness.requests_deletion(), "the fault is assumed to be on the leader's side");
}

/// After a wave of preemptions, hundreds of machines are missing. One request of at most fifty
/// machines per second used only a fraction of the request rate that the cloud accepts.
#[test]
fn scale_out_sends_as_many_requests_as_the_cloud_accepts_per_second() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    for n in 0..8 {
        harness.accept(sample(&format!("job-{n}"), "blue", 100, 8.0));
    }
    harness.commits.clear();
    harness.advance(1.1);
    let requested_pools =
        harness.commits.iter().flat_map(|(_, t)| &t.changes).filter(|c| c.key().starts_with(NODE_POOLS));
    assert_eq!(requested_pools.count() as f64, harness.config.settings.cluster.cloud.rps);
}

#[test]
fn backlog_demand_grows_as_deadlines_come_near() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    let mut job = sample("job-1", "red", 20, 1.0);
    (job.estimated_run_s, job.deadline_s) = (20.0, Some(150.0));
    harness.accept(job);
    let mut backlog_rates = Vec::new();
    for sequence in 0..12 {
        harness.advance(10.0);
        harness.send_heartbeat("vm-9", 1, sequence, EPOCH, vec![]);
        backlog_rates.push(harness.leader.autoscaler.demand.iter().map(|(_, d)| d.backlog_rate).sum::<f64>());
    }
    // A boot takes 30 s. The time planned for the work falls from four boots to two.
    let work = 20.0 * 20.0;
    let close = |a: f64, b: f64| (a - b).abs() < b * 0.02;
    assert!(
        close(backlog_rates[0], work / 120.0) && close(backlog_rates[11], work / 60.0),
        "{backlog_rates:?}"
    );
    assert!(backlog_rates.windows(2).all(|pair| pair[0] <= pair[1] + 1e-9), "{backlog_rates:?}");
}

/// When machines were scaled out and in with each job of a class with minutes of slack, they
/// spent a third of their paid time on booting.
#[test]
fn demand_of_work_with_slack_decays_slowly() {
    let left_after_a_minute = |deadline_s| {
        let mut harness = Harness::with_machines(&["vm-1"]);
        harness.accept(JobSpec { deadline_s, ..sample("job-1", "red", 2, 4.0) });
        let started = starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![]));
        let mean_demand =
            |harness: &Harness| harness.leader.autoscaler.demand.iter().map(|(_, d)| d.mean).sum::<f64>();
        for _ in 0..20 {
            harness.advance(1.0);
        }
        harness.heartbeat("vm-1", 6, EPOCH, started.iter().map(|s| task_status(s, DONE)).collect());
        harness.commit_all();
        let before = mean_demand(&harness);
        assert!(before > 4.0, "{before}");
        for sequence in 7..67 {
            harness.advance(1.0);
            harness.heartbeat("vm-1", sequence, EPOCH, vec![]);
        }
        mean_demand(&harness) / before
    };
    assert!(left_after_a_minute(None) < 0.15);
    let left_with_slack = left_after_a_minute(Some(300.0));
    assert!((0.2..0.9).contains(&left_with_slack), "{left_with_slack}");
}

/// Two services with one replica each, on two machines, where one machine would suffice.
fn replicas_on_two_machines(images: [&str; 2]) -> (Harness, [StartedTask; 2]) {
    let node_pools = ["vm-1", "vm-3"].map(|name| single_machine_pool(name, true)).into();
    let mut harness = Harness::new(Vec::new(), node_pools);
    for name in ["vm-1", "vm-3"] {
        harness.heartbeat(name, 1, EPOCH, vec![]);
    }
    let service = |job: &str, image: &str| JobSpec {
        kind: JobKind::Service,
        image: image.into(),
        spot: false,
        ..sample(job, "blue", 1, 2.0)
    };
    harness.accept(service("job-1", images[0]));
    let first = starts(&harness.heartbeat("vm-1", 2, EPOCH, vec![])).remove(0);
    harness.accept(service("job-2", images[1]));
    let second = starts(&harness.heartbeat("vm-3", 2, EPOCH, vec![])).remove(0);
    (harness, [first, second])
}

/// Advances the clock by up to two minutes; returns the index of the first replica that is
/// stopped, if any.
fn replica_stopped_within_two_minutes(harness: &mut Harness, replicas: &[StartedTask; 2]) -> Option<usize> {
    let interval = harness.config.settings.cluster.workers.heartbeat_interval_s;
    for sequence in 3..43 {
        harness.advance(interval);
        for (name, replica) in ["vm-1", "vm-3"].into_iter().zip(replicas) {
            harness.heartbeat(name, sequence, EPOCH, vec![task_status(replica, TaskState::Running)]);
        }
        let stopped = replicas.iter().position(|r| harness.pushed_commands.contains(&stop(r)));
        if stopped.is_some() {
            return stopped;
        }
    }
    None
}

/// Services do not end, so machines of a past load peak stayed for as long as a single replica
/// ran on them, although other machines had free capacity.
#[test]
fn the_descheduler_moves_replicas_off_an_unneeded_machine() {
    let (mut harness, replicas) = replicas_on_two_machines(["img-1", "img-1"]);
    let moved = replica_stopped_within_two_minutes(&mut harness, &replicas)
        .expect("one of the machines is not needed");
    let (from, to) = if moved == 0 { ("vm-1", "vm-3") } else { ("vm-3", "vm-1") };
    let stays = task_status(&replicas[1 - moved], TaskState::Running);
    // Until the replica's end is confirmed, it starts nowhere else, and nothing else starts on
    // its machine.
    assert_eq!(harness.heartbeat(to, 50, EPOCH, vec![stays.clone()]), vec![]);
    let ended = TaskState::Exited(ExitCause::Stopped { saved: false });
    assert_eq!(
        starts(&harness.heartbeat(from, 50, EPOCH, vec![task_status(&replicas[moved], ended)])),
        vec![]
    );
    let again = starts(&harness.heartbeat(to, 51, EPOCH, vec![stays]));
    assert_eq!(again[0].task, replicas[moved].task);
    harness.cloud_calls.clear();
    for sequence in 52..82 {
        harness.advance(3.0);
        assert_eq!(starts(&harness.heartbeat(from, sequence, EPOCH, vec![])), vec![]);
        let both = [&replicas[1 - moved], &again[0]].map(|r| task_status(r, TaskState::Running));
        harness.heartbeat(to, sequence, EPOCH, both.into());
    }
    assert!(harness.cloud_calls.iter().any(|(_, call)| *call == CloudCall::Delete(vec![machine(from)])));
}

/// Fetching an image takes longer than a replica may be down for a move.
#[test]
fn the_descheduler_keeps_replicas_whose_image_no_other_machine_has() {
    let (mut harness, replicas) = replicas_on_two_machines(["img-1", "img-2"]);
    assert_eq!(replica_stopped_within_two_minutes(&mut harness, &replicas), None);
}
