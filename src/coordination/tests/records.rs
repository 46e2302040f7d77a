//! Tests of the order of writes to records and rows, and of the answers to users that depend on
//! it.

use ciborium::value::Value;

use super::*;
use crate::protocol::cbor::{encode, max_json_size};
use crate::protocol::kv::{Entry, decode_commit_revision, decode_entry, encode_compare_and_swap};
use crate::storage::in_memory_kv::InMemoryKv;
use crate::transport::codec::Request;

#[test]
fn a_completion_is_recorded_before_the_row_and_before_the_reap() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    harness.accept(sample("job-1", "red", 1, 1.0));
    let start = starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![])).remove(0);
    let commands = harness.heartbeat("vm-1", 6, EPOCH, vec![task_status(&start, DONE)]);
    assert_eq!(commands, vec![], "no reap before the completion is recorded");
    assert_ne!(
        harness.job_state("job-1"),
        Some(JobState::Done),
        "not answered before the completion is recorded"
    );
    // A cancellation at this point is answered with the outcome of the completion that is in
    // flight.
    let reply = harness.cancel("job-1");
    let written = harness.commit_all();
    let keys: Vec<Vec<&str>> = written.iter().map(|t| t.changes.iter().map(Change::key).collect()).collect();
    assert_eq!(keys[0], [job_record_key(&id("job-1"))]);
    assert_eq!(keys[1], [archived_row_key(&id("job-1")), live_row_key(&id("job-1"))]);
    assert_eq!(answered_state(&harness.answer(reply).expect("answered")), "done");
    let commands = harness.heartbeat("vm-1", 7, EPOCH, vec![task_status(&start, DONE)]);
    assert_eq!(commands, [], "no reap while a copy of its start may arrive");
    harness.now += harness.config.heartbeat_reply_validity();
    let commands = harness.heartbeat("vm-1", 8, EPOCH, vec![task_status(&start, DONE)]);
    assert_eq!(commands, [Command::Reap { task: start.task, attempt: start.attempt }]);
}

#[test]
fn a_lagging_row_is_archived_from_the_record_after_a_failover() {
    let mut completed = loaded_job(sample("job-1", "red", 1, 1.0));
    completed.record.completed = true;
    let mut harness = Harness::new(vec![completed], vec![single_machine_pool("vm-1", true)]);
    assert_eq!(harness.job_state("job-1"), Some(JobState::Done));
    assert!(harness.commits.is_empty(), "not archived while a machine may hold one of its tasks");
    harness.heartbeat("vm-1", 5, EPOCH, vec![]);
    let moved = harness.commit_all();
    assert!(moved.iter().any(|t| t.changes.iter().any(|c| c.key() == archived_row_key(&id("job-1")))));
}

#[test]
fn a_restored_job_waits_until_no_machine_can_hold_its_tasks() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    let jobs = vec![loaded_job(sample("job-1", "red", 1, 1.0))];
    harness.leader.restore_snapshot(harness.now, NOW_MS, Snapshot { jobs, ..Snapshot::default() });
    assert_eq!(starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![])), vec![]);
    let mut sequence = 5;
    while harness.now < harness.leader.snapshot_at() + harness.config.failover_lease_timeout() {
        sequence += 1;
        assert_eq!(starts(&harness.heartbeat("vm-1", sequence, EPOCH, vec![])), vec![]);
        harness.advance(3.0);
    }
    assert_eq!(starts(&harness.heartbeat("vm-1", sequence + 1, EPOCH, vec![])).len(), 1);
}

#[test]
fn a_resubmission_is_answered_from_the_record() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    harness.submit(sample("job-1", "red", 1, 1.0));
    // The record exists: the job was admitted before.
    harness.fail_next_commit(KvError::Conflict);
    assert_eq!(harness.record_lookups.len(), 1);
    // A job that would be rejected today may have been admitted earlier.
    harness.submit(sample("job-2", "nobody", 1, 1.0));
    let (job, if_absent) = &harness.record_lookups[1];
    assert_eq!((job, if_absent.status), (&id("job-2"), 422));
    harness.submit(sample("job-3", "red", 1, 9.0));
    assert_eq!(harness.record_lookups[2].1.status, 422);
    let mut service = sample("job-4", "red", 5, 4.0);
    service.kind = crate::protocol::jobs::JobKind::Service;
    harness.submit(service);
    assert_eq!(harness.record_lookups[3].1.status, 422, "all replicas of a service must fit the quota");
}

#[test]
fn submissions_beyond_the_write_capacity_are_refused_at_once() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    let mut refused = 0;
    for n in 0..40 {
        let reply = harness.submit(sample(&format!("job-{n}"), "red", 1, 1.0));
        if let Some(answer) = harness.answer(reply) {
            assert_eq!(answer.status, 429);
            assert!(answer.retry_after_s.is_some_and(|s| s >= 1));
            refused += 1;
        }
    }
    assert_eq!(harness.commits.len() + refused, 40);
    assert!(refused > 0 && harness.commits.len() >= 4);
}

#[test]
fn a_job_starts_only_once_its_record_marks_it_started() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    harness.accept(sample("job-1", "blue", 1, 8.0));
    let first = starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![])).remove(0);
    // The job is admitted without free capacity, so its record does not mark it as started: a new
    // leader may start it at once.
    harness.accept(sample("job-2", "red", 2, 1.0));
    assert_eq!(starts(&harness.heartbeat("vm-1", 6, EPOCH, vec![task_status(&first, DONE)])), vec![]);
    let started = |t: &Transaction| {
        t.changes.iter().any(|c| match c {
            Change::Put { key, value, .. } if *key == job_record_key(&id("job-2")) => {
                JobRecord::decode(value).expect("a record").started_high_water == 2
            }
            _ => false,
        })
    };
    assert!(harness.commit_all().iter().any(started));
    assert_eq!(starts(&harness.heartbeat("vm-1", 7, EPOCH, vec![])).len(), 2);
    // With free capacity, the record that admits a job already marks it as started, so no second
    // write is needed.
    harness.submit(sample("job-3", "red", 1, 1.0));
    let Change::Put { value, .. } = &harness.commits[0].1.changes[0] else { panic!("a record") };
    assert_eq!(JobRecord::decode(value).expect("a record").started_high_water, 1);
}

/// Admissions and completions must not queue behind writes of done tasks: when tasks of many jobs
/// end at once, done tasks get only their share of the state service's write rate, those that
/// have waited longest are written first, and none is lost.
#[test]
fn done_tasks_are_written_within_the_write_rate() {
    let names: Vec<String> = (0..60).map(|n| format!("vm-{n}")).collect();
    let mut harness = Harness::with_machines(&names.iter().map(String::as_str).collect::<Vec<_>>());
    // Each job has two tasks, one of which will end.
    for n in 0..60 {
        harness.accept(sample(&format!("job-{n}"), "blue", 2, 4.0));
    }
    for name in &names {
        let mut held = starts(&harness.heartbeat(name, 2, EPOCH, vec![]));
        // Some records must be marked started before the tasks start.
        harness.commit_all();
        let sent: Vec<_> = running_statuses(&held);
        held.extend(starts(&harness.heartbeat(name, 3, EPOCH, sent)));
        harness.heartbeat(name, 4, EPOCH, running_statuses(&held));
        // A machine may have been passed over for one whose heartbeat is due sooner.
        let Some((ended, rest)) = held.split_first() else { continue };
        let rest = rest.iter().map(|s| task_status(s, TaskState::Running));
        harness.heartbeat(name, 5, EPOCH, std::iter::once(task_status(ended, DONE)).chain(rest).collect());
    }
    harness.commits.clear();
    let progress_writes =
        |harness: &Harness| harness.commits.iter().filter(|(_, t)| t.class == RequestClass::Progress).count();
    let allowance = harness.config.settings.cluster.kv.write_rps;
    harness.advance(1.0);
    let first = progress_writes(&harness);
    assert!(first > 0 && first as f64 <= allowance, "{first} writes, {allowance} allowed per second");
    let reply = harness.submit(sample("job-new", "blue", 1, 1.0));
    harness.commit_all();
    assert_eq!(harness.answer(reply).map(|a| a.status), Some(201));
    let mut written = first;
    for _ in 0..20 {
        harness.advance(1.0);
        written += progress_writes(&harness);
        harness.commit_all();
    }
    assert!(written >= 30, "only {written} jobs' done tasks were written");
}

/// Commits a transaction to the in-memory state service; returns the revision.
pub(super) fn apply_transaction(state: &mut InMemoryKv, transaction: &Transaction) -> Result<u64, KvError> {
    let body = encode(&encode_compare_and_swap(&transaction.compares, &transaction.changes));
    let request = Request { method: "POST".into(), target: "/commit".into(), body, close: false };
    match state.answer(&request) {
        Some((200, body)) => Ok(decode_commit_revision(&body).expect("a revision")),
        Some((400, _)) => Err(KvError::Rejected),
        other => panic!("{:?}: {other:?}", transaction.compares),
    }
}

/// A key with its value and version, if it exists.
pub(super) fn read_entry(state: &mut InMemoryKv, key: &str) -> Option<Entry> {
    let target = format!("/keys/{key}");
    let request = Request { method: "GET".into(), target, body: Vec::new(), close: false };
    let (status, body) = state.answer(&request).expect("answered");
    (status == 200).then(|| decode_entry(&body).expect("an entry"))
}

/// The value of a key, if it exists.
fn read_value(state: &mut InMemoryKv, key: &str) -> Option<Value> {
    read_entry(state, key).map(|entry| entry.value)
}

/// The done tasks that a new leader reads from the record and its blocks.
fn read_done_tasks(state: &mut InMemoryKv, job: &str) -> Vec<u32> {
    let value = read_value(state, &format!("rec/{job}")).expect("a record");
    let mut record = JobRecord::decode(&value).expect("readable");
    let layout = record.layout(8.0);
    for block in 0..layout.blocks(record.spec.task_count) {
        if let Some(value) = read_value(state, &layout.block_key(&record.spec.id, block)) {
            record.add_block(&value).expect("readable");
        }
    }
    (0..record.spec.task_count).filter(|task| record.done.contains(*task)).collect()
}

/// The state service lowers its limits while a job's done tasks fill blocks that exceed the new
/// limit on a value: the done tasks move to smaller blocks. After each transaction, all done
/// tasks recorded before are still recorded, and no value is larger than the new limits allow.
#[test]
fn done_tasks_move_to_smaller_blocks_without_loss() {
    let mut config = Config { settings: settings::tests::sample(), tuning: policy::tests::tuning() };
    let announced =
        settings::AnnouncedLimits { rps: None, write_rps: None, value_kb: Some(1.0), txn_ops: Some(4) };
    config.settings.cluster.kv.next = Some(announced);
    let limits = config.settings.cluster.kv.announced();
    let size = |change: &Change| match change {
        Change::Put { value, .. } => max_json_size(value),
        Change::Delete { .. } => 0,
    };
    for tasks in [20_000, 60_000] {
        let mut state = InMemoryKv::with_pages_of(500);
        let mut job = loaded_job(sample("job-1", "red", tasks, 1.0));
        let recorded: Vec<u32> = (0..tasks).step_by(2).collect();
        recorded.iter().for_each(|task| assert!(job.record.done.insert(*task)));
        let layout = job.record.layout(8.0);
        let put = |key: String, value| Change::Put { key, value, lease: None };
        let blocks = (0..layout.blocks(tasks))
            .map(|block| put(layout.block_key(&id("job-1"), block), job.record.encode_block(block, 8.0)));
        let changes: Vec<Change> = blocks.chain([put("rec/job-1".into(), job.record.encode(8.0))]).collect();
        let largest_value = changes.iter().map(size).max();
        assert!(largest_value > Some(limits.value_bytes()), "{largest_value:?}");
        let written =
            Transaction { class: RequestClass::Background, epoch: EPOCH, compares: Vec::new(), changes };
        job.record_version = apply_transaction(&mut state, &written).expect("no limits yet");
        job.block_versions = vec![job.record_version; layout.blocks(tasks) as usize];
        state.limit(limits);
        let config = Config { settings: config.settings.clone(), tuning: config.tuning };
        let mut harness = Harness::with_config(vec![job], Vec::new(), config);
        harness.leader.mark_task_done(harness.now, &id("job-1"), 1);
        harness.advance(10.0);
        let (mut refused, mut committed, mut expected) = (0, 0, recorded.clone());
        while !harness.commits.is_empty() {
            let (operation, transaction) = harness.commits.remove(0);
            assert!(transaction.changes.len() <= limits.txn_ops, "{}", transaction.changes.len());
            let result = apply_transaction(&mut state, &transaction);
            refused += usize::from(result.is_err());
            committed += usize::from(result.is_ok());
            harness.leader.handle_commit_result(harness.now, operation, result);
            if committed == 2 {
                // One more task ends while the others are being moved.
                harness.leader.mark_task_done(harness.now, &id("job-1"), 3);
            }
            harness.collect_effects();
            let done = read_done_tasks(&mut state, "job-1");
            assert!(recorded.iter().all(|task| done.binary_search(task).is_ok()), "after {committed}");
            harness.advance(1.0);
        }
        harness.advance(10.0);
        for (_, transaction) in std::mem::take(&mut harness.commits) {
            apply_transaction(&mut state, &transaction).expect("within the limits");
        }
        expected.extend([1, 3]);
        expected.sort_unstable();
        assert_eq!(read_done_tasks(&mut state, "job-1"), expected);
        assert_eq!(refused, 1, "{tasks} tasks: one rejection is enough");
        assert!(!harness.leader.is_fenced() && committed > 3);
    }
}
