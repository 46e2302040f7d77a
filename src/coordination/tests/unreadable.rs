//! Tests of records that cannot be read: they are treated as unknown, never as absent. See
//! `docs/incidents/inc-production-size.md`.

use ciborium::value::Value;

use super::*;
use crate::coordination::recovery::snapshot;
use crate::protocol::cbor::MapBuilder;
use crate::protocol::cloud::encode_catalog;
use crate::storage::in_memory_kv::{FakeKvServer, kv_client};
use crate::storage::records::{CATALOG, encode_row, node_pool_key};

/// A value that no version of the program writes.
fn damaged_value() -> Value {
    MapBuilder::new().set("damaged", true).build()
}

/// The snapshot that a new leader reads from a state service with these entries.
async fn snapshot_of(entries: Vec<(String, Value)>) -> Snapshot {
    let server = FakeKvServer::start(&[]).await;
    server.seed(CATALOG, encode_catalog(&catalog()), 2).await;
    for (key, value) in entries {
        server.seed(&key, value, 5).await;
    }
    snapshot::read_snapshot(&kv_client(server.address(), 12), 8.0, &())
        .await
        .expect("the state service answers")
}

/// A new leader that has read this snapshot.
fn harness_after_failover(snapshot: Snapshot) -> Harness {
    let mut harness = Harness::new(Vec::new(), Vec::new());
    harness.replace_leader(snapshot);
    harness.collect_effects();
    harness
}

/// The record and the live row of a job.
fn live_job(record: &JobRecord) -> Vec<(String, Value)> {
    let job = &record.spec.id;
    vec![(job_record_key(job), record.encode(8.0)), (live_row_key(job), encode_row(JobState::Queued))]
}

/// The key and the record of a node pool of one machine.
fn node_pool_record(name: &str) -> (String, Value) {
    let (record, _) = single_machine_pool(name, true);
    (node_pool_key(&record.request.name), record.encode())
}

/// A node pool record that cannot be read names machines that may hold tasks. A leader that
/// treated it as absent would start those tasks a second time while their first attempts kept
/// running unnoticed.
#[tokio::test]
async fn starts_wait_for_machines_of_an_unreadable_node_pool_record() {
    let record =
        JobRecord { started_high_water: 1, ..JobRecord::new(sample("job-1", "red", 1, 1.0), NOW_MS) };
    let mut entries = live_job(&record);
    entries.extend([node_pool_record("vm-1"), (node_pool_key("1-vm-2"), damaged_value())]);
    let mut harness = harness_after_failover(snapshot_of(entries).await);
    let mut sequence = 1;
    let wait_ends_at = harness.leader.snapshot_at() + harness.config.failover_lease_timeout();
    while harness.now + Duration::from_secs(1) < wait_ends_at {
        assert_eq!(starts(&harness.heartbeat("vm-1", sequence, EPOCH, vec![])), vec![], "vm-2 may run it");
        sequence += 1;
        harness.advance(1.0);
        harness.commit_all();
    }
    // The wait is bounded: by then the machines' leases have expired.
    harness.advance(harness.config.worker_lease_timeout().as_secs_f64() * 2.0);
    assert_eq!(starts(&harness.heartbeat("vm-1", sequence, EPOCH, vec![])).len(), 1);
}

/// A job record that cannot be read delays the dependents of its job and nothing else: neither
/// the failover nor other jobs with dependencies.
#[tokio::test]
async fn an_unreadable_dependency_delays_only_its_dependents() {
    let dependent_job = |job: &str, dependency: &str| {
        JobRecord::new(JobSpec { dependencies: vec![id(dependency)], ..sample(job, "red", 1, 1.0) }, NOW_MS)
    };
    let done = JobRecord {
        completed: true,
        started_high_water: 1,
        ..JobRecord::new(sample("job-2", "red", 1, 1.0), NOW_MS)
    };
    let mut entries = live_job(&dependent_job("job-3", "job-1"));
    entries.extend(live_job(&dependent_job("job-4", "job-2")));
    entries.extend([
        (job_record_key(&id("job-1")), damaged_value()),
        (job_record_key(&id("job-2")), done.encode(8.0)),
    ]);
    entries.push(node_pool_record("vm-1"));
    let snapshot = tokio::time::timeout(Duration::from_secs(20), snapshot_of(entries)).await;
    let mut harness = harness_after_failover(snapshot.expect("read"));
    harness.heartbeat("vm-1", 1, EPOCH, vec![]);
    harness.commit_all();
    let started = job_ids(&starts(&harness.heartbeat("vm-1", 2, EPOCH, vec![])));
    assert_eq!(started, [id("job-4")]);
    assert_eq!(harness.job_state("job-3"), Some(JobState::Queued));
}

/// A job whose row was lost is a dependency of a job that was read at the failover. It is
/// submitted again, which conflicts with its record, and is then restored by the reconciler. Its
/// cancellation must still cancel its dependent.
#[test]
fn a_conflicting_admission_keeps_the_links_to_dependents() {
    let unstarted_job = |spec: JobSpec| JobSnapshot {
        record: JobRecord::new(spec, NOW_MS),
        ..loaded_job(sample("job-0", "red", 1, 1.0))
    };
    let job_without_row = sample("job-1", "red", 1, 1.0);
    let dependent = JobSpec { dependencies: vec![id("job-1")], ..sample("job-2", "red", 1, 1.0) };
    let (record, version) = single_machine_pool("vm-1", true);
    let mut harness = harness_after_failover(Snapshot {
        jobs: vec![unstarted_job(dependent)],
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
    harness.submit(job_without_row.clone());
    harness.fail_next_commit(KvError::Conflict);
    let restored = Snapshot { jobs: vec![unstarted_job(job_without_row)], ..Snapshot::default() };
    harness.leader.restore_snapshot(harness.now, NOW_MS, restored);
    harness.collect_effects();
    harness.cancel("job-1");
    let written = harness.commit_all();
    let records = written.iter().flat_map(|t| &t.changes).filter_map(|change| match change {
        Change::Put { key, value, .. } if key.starts_with("rec/") => JobRecord::decode(value).ok(),
        _ => None,
    });
    let cancelled: Vec<JobId> =
        records.filter(|record| record.cancelled).map(|record| record.spec.id).collect();
    assert_eq!(cancelled, [id("job-1"), id("job-2")]);
    assert_ne!(harness.job_state("job-2"), Some(JobState::Queued), "its dependency is cancelled");
}

/// The state of the tasks of an unreadable job is unknown: tasks that a machine lists are
/// stopped, and ended tasks are not reaped before their end can be recorded.
#[tokio::test]
async fn tasks_of_an_unreadable_job_are_stopped_counted_and_not_reaped() {
    let mut harness = harness_after_failover(
        snapshot_of(vec![
            (job_record_key(&id("job-1")), damaged_value()),
            (live_row_key(&id("job-1")), encode_row(JobState::Queued)),
            node_pool_record("vm-1"),
        ])
        .await,
    );
    harness.accept(sample("job-2", "red", 1, 1.0));
    let task = |index| TaskId { job: id("job-1"), index };
    let task_zero = |state| TaskStatus { task: task(0), attempt: 7, state };
    let ended = TaskStatus { task: task(1), attempt: 8, state: DONE };
    let commands = harness.heartbeat("vm-1", 1, EPOCH, vec![task_zero(TaskState::Running), ended.clone()]);
    assert_eq!(
        commands,
        [Command::Stop { task: task(0), attempt: 7, grace_s: 0.0 }],
        "nothing starts beside the orphan task"
    );
    assert_eq!(harness.leader.counters.orphan_tasks, 1);
    harness.advance(1.0);
    let commands = harness.heartbeat("vm-1", 2, EPOCH, vec![ended.clone()]);
    assert!(!commands.iter().any(|command| matches!(command, Command::Reap { .. })), "{commands:?}");
    harness.commit_all();
    harness.advance(1.0);
    let commands = harness.heartbeat("vm-1", 3, EPOCH, vec![ended.clone()]);
    assert_eq!(starts(&commands).len(), 1, "the orphan task has ended");
    assert!(!commands.iter().any(|command| matches!(command, Command::Reap { .. })), "{commands:?}");
    // The user is told to retry; the job is not admitted a second time.
    harness.submit(sample("job-1", "red", 2, 1.0));
    harness.fail_next_commit(KvError::Conflict);
    assert_eq!(harness.record_lookups.pop().map(|(_, if_absent)| if_absent.status), Some(503));
    // Once its record is readable, the job goes on.
    let mut readable = loaded_job(sample("job-1", "red", 2, 1.0));
    readable.record.done.insert(0);
    harness.leader.restore_snapshot(
        harness.now,
        NOW_MS,
        Snapshot { jobs: vec![readable], ..Snapshot::default() },
    );
    harness.heartbeat("vm-1", 4, EPOCH, vec![ended]);
    harness.commit_all();
    assert!(!harness.leader.failover.unreadable().contains_job(&id("job-1")));
}

/// If a block of done tasks cannot be decoded, it is unknown which tasks are done. The job starts
/// nothing, since a done task must not start again.
#[tokio::test]
async fn a_job_with_an_unreadable_block_starts_nothing() {
    let many = crate::storage::records::block_size(8.0) + 1;
    let record = JobRecord::new(sample("job-1", "red", many, 1.0), NOW_MS);
    let block = record.layout(8.0).block_key(&id("job-1"), 0);
    let mut entries = live_job(&record);
    entries.extend([(block, damaged_value()), node_pool_record("vm-1")]);
    let mut harness = harness_after_failover(snapshot_of(entries).await);
    harness.heartbeat("vm-1", 1, EPOCH, vec![]);
    harness.commit_all();
    assert_eq!(starts(&harness.heartbeat("vm-1", 2, EPOCH, vec![])), vec![]);
    assert!(harness.leader.failover.unreadable().contains_job(&id("job-1")));
}

/// The reconciler rereads damaged records and restores what they describe once they can be
/// decoded.
#[tokio::test]
async fn records_that_become_readable_are_restored() {
    let server = FakeKvServer::start(&[]).await;
    let kv = kv_client(server.address(), 12);
    let record = JobRecord::new(sample("job-1", "red", 1, 1.0), NOW_MS);
    let (node_pool, _) = single_machine_pool("vm-2", true);
    let keys = vec![job_record_key(&id("job-1")), node_pool_key(&node_pool.request.name)];
    server.seed(&live_row_key(&id("job-1")), encode_row(JobState::Queued), 4).await;
    for key in &keys {
        server.seed(key, damaged_value(), 5).await;
    }
    let still_damaged = snapshot::reread_unreadable(&kv, keys.clone(), 8.0).await.expect("served");
    assert_eq!(
        (still_damaged.jobs.len(), still_damaged.node_pools.len(), still_damaged.unreadable.len()),
        (0, 0, 2)
    );
    let mut harness = harness_after_failover(snapshot::read_snapshot(&kv, 8.0, &()).await.expect("served"));
    assert_eq!(harness.leader.unreadable_after("", 8).len(), 2);
    server.seed(&keys[0], record.encode(8.0), 6).await;
    server.seed(&keys[1], node_pool.encode(), 7).await;
    let reread = snapshot::reread_unreadable(&kv, keys, 8.0).await.expect("served");
    harness.leader.restore_snapshot(harness.now, NOW_MS, reread);
    assert!(harness.leader.failover.unreadable().is_empty());
    assert_eq!(harness.job_state("job-1"), Some(JobState::Queued));
    assert!(harness.leader.machines.contains(&machine("vm-2")));
}
