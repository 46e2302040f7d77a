//! What cannot be read is not known; it is never taken for absent. See
//! `docs/incidents/inc-production-size.md`.

use ciborium::value::Value;

use super::*;
use crate::coordination::recovery::snapshot;
use crate::protocol::cbor::MapBuilder;
use crate::protocol::cloud::encode_catalog;
use crate::storage::in_memory_kv::{FakeKvServer, store};
use crate::storage::records::{CATALOG, encode_row, node_pool_key};

/// A value that no build writes.
fn damaged() -> Value {
    MapBuilder::new().set("damaged", true).build()
}

/// The state service as an earlier leader has left it.
async fn left_behind(entries: Vec<(String, Value)>) -> Snapshot {
    let stand_in = FakeKvServer::start(&[]).await;
    stand_in.seed(CATALOG, encode_catalog(&catalog()), 2).await;
    for (key, value) in entries {
        stand_in.seed(&key, value, 5).await;
    }
    snapshot::read_snapshot(&store(stand_in.address(), 12), 8.0).await.expect("the state service answers")
}

/// A new leader with what it has read.
fn leading(loaded: Snapshot) -> Rig {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.leader = Leader::new(rig.config.clone(), EPOCH, rig.now, MS, loaded);
    rig.leader.extend_lease(rig.now, rig.now + Duration::from_secs(3600));
    rig.collect();
    rig
}

fn live_job(record: &JobRecord) -> Vec<(String, Value)> {
    let job = &record.spec.id;
    vec![(job_record_key(job), record.encode(8.0)), (live_row_key(job), encode_row(JobState::Queued))]
}

fn fleet_record(name: &str) -> (String, Value) {
    let (record, _) = rented(name, true);
    (node_pool_key(&record.request.name), record.encode())
}

/// A fleet record that cannot be read names machines that may hold tasks. A leader that
/// counts it as none starts those tasks a second time, and the first ones run on unknown.
#[tokio::test]
async fn machines_of_an_unreadable_fleet_record_are_waited_for() {
    let record = JobRecord { started_high_water: 1, ..JobRecord::new(sample("job-1", "red", 1, 1.0), MS) };
    let mut entries = live_job(&record);
    entries.extend([fleet_record("vm-1"), (node_pool_key("1-vm-2"), damaged())]);
    let mut rig = leading(left_behind(entries).await);
    let mut seq = 1;
    let waits_until = rig.leader.snapshot_at() + rig.config.failover_lease_timeout();
    while rig.now + Duration::from_secs(1) < waits_until {
        assert_eq!(starts(&rig.beat("vm-1", seq, EPOCH, vec![])), vec![], "vm-2 may run it");
        seq += 1;
        rig.pass(1.0);
        rig.commit_all();
    }
    // That ends by itself: by then the machines have lost their leases.
    rig.pass(rig.config.worker_lease_timeout().as_secs_f64() * 2.0);
    assert_eq!(starts(&rig.beat("vm-1", seq, EPOCH, vec![])).len(), 1);
}

/// One record that cannot be read holds back the jobs that await it, and nothing else: not
/// the takeover, and not those that await others.
#[tokio::test]
async fn an_unreadable_need_holds_back_only_what_awaits_it() {
    let awaiting = |job: &str, need: &str| {
        JobRecord::new(JobSpec { dependencies: vec![id(need)], ..sample(job, "red", 1, 1.0) }, MS)
    };
    let done = JobRecord {
        completed: true,
        started_high_water: 1,
        ..JobRecord::new(sample("job-2", "red", 1, 1.0), MS)
    };
    let mut entries = live_job(&awaiting("job-3", "job-1"));
    entries.extend(live_job(&awaiting("job-4", "job-2")));
    entries.extend([
        (job_record_key(&id("job-1")), damaged()),
        (job_record_key(&id("job-2")), done.encode(8.0)),
    ]);
    entries.push(fleet_record("vm-1"));
    let loaded = tokio::time::timeout(Duration::from_secs(20), left_behind(entries)).await;
    let mut rig = leading(loaded.expect("read"));
    rig.beat("vm-1", 1, EPOCH, vec![]);
    rig.commit_all();
    let started: Vec<JobId> =
        starts(&rig.beat("vm-1", 2, EPOCH, vec![])).into_iter().map(|(task, _)| task.job).collect();
    assert_eq!(started, [id("job-4")]);
    assert_eq!(rig.standing("job-3"), Some(JobState::Queued));
}

/// A job whose row was stranded is awaited by another that was read at the takeover. It is
/// submitted once more, which conflicts with its record, and then comes back by the
/// reconciler: its cancellation must reach the job that awaits it.
#[test]
fn a_conflicting_acceptance_does_not_cut_off_the_jobs_that_await_it() {
    let unbegun = |spec: JobSpec| JobSnapshot {
        record: JobRecord::new(spec, MS),
        ..loaded_job(sample("job-0", "red", 1, 1.0))
    };
    let stranded = sample("job-1", "red", 1, 1.0);
    let dependent = JobSpec { dependencies: vec![id("job-1")], ..sample("job-2", "red", 1, 1.0) };
    let (record, version) = rented("vm-1", true);
    let mut rig = leading(Snapshot {
        jobs: vec![unbegun(dependent)],
        dependency_states: [(
            id("job-1"),
            crate::coordination::jobs::dependency_state::DependencyState::Unfinished,
        )]
        .into_iter()
        .collect(),
        node_pools: vec![(record, version)],
        catalog: Some((catalog(), 2)),
        ..Snapshot::default()
    });
    rig.submit(stranded.clone());
    rig.fail_commit(KvError::Conflict);
    let restored = Snapshot { jobs: vec![unbegun(stranded)], ..Snapshot::default() };
    rig.leader.restore_snapshot(rig.now, MS, restored);
    rig.collect();
    rig.withdraw("job-1");
    let written = rig.commit_all();
    let records = written.iter().flat_map(|t| &t.changes).filter_map(|change| match change {
        Change::Put { key, value, .. } if key.starts_with("rec/") => JobRecord::decode(value).ok(),
        _ => None,
    });
    let cancelled: Vec<JobId> =
        records.filter(|record| record.cancelled).map(|record| record.spec.id).collect();
    assert_eq!(cancelled, [id("job-1"), id("job-2")]);
    assert_ne!(rig.standing("job-2"), Some(JobState::Queued), "a job before it is cancelled");
}

/// Nothing is known of what became of its tasks: what a machine shows of it is stopped, and
/// a result is not forgotten before the record can say so.
#[tokio::test]
async fn tasks_of_an_unreadable_job_are_stopped_counted_and_their_results_kept() {
    let mut rig = leading(
        left_behind(vec![
            (job_record_key(&id("job-1")), damaged()),
            (live_row_key(&id("job-1")), encode_row(JobState::Queued)),
            fleet_record("vm-1"),
        ])
        .await,
    );
    rig.accept(sample("job-2", "red", 1, 1.0));
    let task = |index| TaskId { job: id("job-1"), index };
    let shown = |state| TaskStatus { task: task(0), attempt: 7, state };
    let ended = TaskStatus { task: task(1), attempt: 8, state: DONE };
    let orders = rig.beat("vm-1", 1, EPOCH, vec![shown(TaskState::Running), ended.clone()]);
    assert_eq!(
        orders,
        [Command::Stop { task: task(0), attempt: 7, grace_s: 0.0 }],
        "nothing starts beside it"
    );
    assert_eq!(rig.leader.counters.orphan_tasks, 1);
    rig.pass(1.0);
    let orders = rig.beat("vm-1", 2, EPOCH, vec![ended.clone()]);
    assert!(!orders.iter().any(|order| matches!(order, Command::Reap { .. })), "{orders:?}");
    rig.commit_all();
    rig.pass(1.0);
    let orders = rig.beat("vm-1", 3, EPOCH, vec![ended.clone()]);
    assert_eq!(starts(&orders).len(), 1, "it is gone");
    assert!(!orders.iter().any(|order| matches!(order, Command::Reap { .. })), "{orders:?}");
    // Its user is told to come back; it is not accepted once more.
    rig.submit(sample("job-1", "red", 2, 1.0));
    rig.fail_commit(KvError::Conflict);
    assert_eq!(rig.lookups.pop().map(|(_, otherwise)| otherwise.status), Some(503));
    // Read at last, it goes on.
    let mut readable = loaded_job(sample("job-1", "red", 2, 1.0));
    readable.record.done.insert(0);
    rig.leader.restore_snapshot(rig.now, MS, Snapshot { jobs: vec![readable], ..Snapshot::default() });
    rig.beat("vm-1", 4, EPOCH, vec![ended]);
    rig.commit_all();
    assert!(!rig.leader.failover.unreadable().contains_job(&id("job-1")));
}

/// Which tasks are done is not known where a block of them does not decode: the job is left
/// alone, since a done task may not start again.
#[tokio::test]
async fn a_job_with_an_unreadable_block_starts_nothing() {
    let many = crate::storage::records::block_size(8.0) + 1;
    let record = JobRecord::new(sample("job-1", "red", many, 1.0), MS);
    let block = record.layout(8.0).block_key(&id("job-1"), 0);
    let mut entries = live_job(&record);
    entries.extend([(block, damaged()), fleet_record("vm-1")]);
    let mut rig = leading(left_behind(entries).await);
    rig.beat("vm-1", 1, EPOCH, vec![]);
    rig.commit_all();
    assert_eq!(starts(&rig.beat("vm-1", 2, EPOCH, vec![])), vec![]);
    assert!(rig.leader.failover.unreadable().contains_job(&id("job-1")));
}

/// The reconciler reads a damaged record again, and takes the job in once it decodes.
#[tokio::test]
async fn what_became_readable_is_taken_in() {
    let stand_in = FakeKvServer::start(&[]).await;
    let store = store(stand_in.address(), 12);
    let record = JobRecord::new(sample("job-1", "red", 1, 1.0), MS);
    let (rental, _) = rented("vm-2", true);
    let keys = vec![job_record_key(&id("job-1")), node_pool_key(&rental.request.name)];
    stand_in.seed(&live_row_key(&id("job-1")), encode_row(JobState::Queued), 4).await;
    for key in &keys {
        stand_in.seed(key, damaged(), 5).await;
    }
    let still = snapshot::reread_unreadable(&store, keys.clone(), 8.0).await.expect("served");
    assert_eq!((still.jobs.len(), still.node_pools.len(), still.unreadable.len()), (0, 0, 2));
    let mut rig = leading(snapshot::read_snapshot(&store, 8.0).await.expect("served"));
    assert_eq!(rig.leader.unreadable_after("", 8).len(), 2);
    stand_in.seed(&keys[0], record.encode(8.0), 6).await;
    stand_in.seed(&keys[1], rental.encode(), 7).await;
    let found = snapshot::reread_unreadable(&store, keys, 8.0).await.expect("served");
    rig.leader.restore_snapshot(rig.now, MS, found);
    assert!(rig.leader.failover.unreadable().is_empty());
    assert_eq!(rig.standing("job-1"), Some(JobState::Queued));
    assert!(rig.leader.machines.contains(&machine("vm-2")));
}
