//! Records before rows, and what users are told of them.

use ciborium::value::Value;

use super::*;
use crate::protocol::cbor::{encode, json_size};
use crate::protocol::kv::{decode_commit_revision, decode_entry, encode_compare_and_swap};
use crate::storage::in_memory_kv::InMemoryKv;
use crate::transport::codec::Request;

#[test]
fn a_settle_is_recorded_before_the_row_and_before_the_worker_may_forget() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    let start = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    let orders = rig.beat("vm-1", 6, EPOCH, vec![listed(&start, DONE)]);
    assert_eq!(orders, vec![], "no reap before the record");
    assert_ne!(rig.standing("job-1"), Some(JobState::Done), "not told before it is recorded");
    // A withdrawal now is answered by the settle that is on its way.
    let to = rig.withdraw("job-1");
    let written = rig.commit_all();
    let keys: Vec<Vec<&str>> = written.iter().map(|t| t.changes.iter().map(Change::key).collect()).collect();
    assert_eq!(keys[0], [job_record_key(&id("job-1"))]);
    assert_eq!(keys[1], [archived_row_key(&id("job-1")), live_row_key(&id("job-1"))]);
    assert_eq!(told(&rig.answer(to).expect("answered")), "done");
    let orders = rig.beat("vm-1", 7, EPOCH, vec![listed(&start, DONE)]);
    assert_eq!(orders, [Command::Reap { task: start.0, attempt: start.1 }]);
}

#[test]
fn a_lagging_row_is_repaired_from_the_record_after_a_takeover() {
    let mut settled = loaded_job(sample("job-1", "red", 1, 1.0));
    settled.record.completed = true;
    let mut rig = Rig::new(vec![settled], vec![rented("vm-1", true)]);
    assert_eq!(rig.standing("job-1"), Some(JobState::Done));
    assert!(rig.commits.is_empty(), "not while a machine may still hold a task of it");
    rig.beat("vm-1", 5, EPOCH, vec![]);
    let moved = rig.commit_all();
    assert!(moved.iter().any(|t| t.changes.iter().any(|c| c.key() == archived_row_key(&id("job-1")))));
}

#[test]
fn a_restored_job_waits_until_no_machine_can_still_hold_its_tasks() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    let jobs = vec![loaded_job(sample("job-1", "red", 1, 1.0))];
    rig.leader.restore_snapshot(rig.now, MS, Snapshot { jobs, ..Snapshot::default() });
    assert_eq!(starts(&rig.beat("vm-1", 5, EPOCH, vec![])), vec![]);
    let mut seq = 5;
    while rig.now < rig.leader.snapshot_at() + rig.config.failover_lease_timeout() {
        seq += 1;
        assert_eq!(starts(&rig.beat("vm-1", seq, EPOCH, vec![])), vec![]);
        rig.pass(3.0);
    }
    assert_eq!(starts(&rig.beat("vm-1", seq + 1, EPOCH, vec![])).len(), 1);
}

#[test]
fn a_retry_after_the_end_is_answered_from_the_record() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.submit(sample("job-1", "red", 1, 1.0));
    // The record exists: it was accepted before.
    rig.fail_commit(KvError::Conflict);
    assert_eq!(rig.lookups.len(), 1);
    // What could not be accepted today may have been accepted earlier.
    rig.submit(sample("job-2", "nobody", 1, 1.0));
    let (job, otherwise) = &rig.lookups[1];
    assert_eq!((job, otherwise.status), (&id("job-2"), 422));
    rig.submit(sample("job-3", "red", 1, 9.0));
    assert_eq!(rig.lookups[2].1.status, 422);
    let mut service = sample("job-4", "red", 5, 4.0);
    service.kind = crate::protocol::jobs::JobKind::Service;
    rig.submit(service);
    assert_eq!(rig.lookups[3].1.status, 422, "all replicas of a service must fit the limit");
}

#[test]
fn submissions_beyond_what_can_be_written_are_refused_at_once() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    let mut refused = 0;
    for n in 0..40 {
        let to = rig.submit(sample(&format!("job-{n}"), "red", 1, 1.0));
        if let Some(answer) = rig.answer(to) {
            assert_eq!(answer.status, 429);
            assert!(answer.retry_after_s.is_some_and(|s| s >= 1));
            refused += 1;
        }
    }
    assert_eq!(rig.commits.len() + refused, 40);
    assert!(refused > 0 && rig.commits.len() >= 4);
}

#[test]
fn a_job_begins_only_once_its_record_says_so() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "blue", 1, 8.0));
    let first = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    // Accepted with no room for it: free for a next leader to start.
    rig.accept(sample("job-2", "red", 2, 1.0));
    assert_eq!(starts(&rig.beat("vm-1", 6, EPOCH, vec![listed(&first, DONE)])), vec![]);
    let begun = |t: &Transaction| {
        t.changes.iter().any(|c| match c {
            Change::Put { key, value, .. } if *key == job_record_key(&id("job-2")) => {
                JobRecord::decode(value).expect("a record").started_high_water == 2
            }
            _ => false,
        })
    };
    assert!(rig.commit_all().iter().any(begun));
    assert_eq!(starts(&rig.beat("vm-1", 7, EPOCH, vec![])).len(), 2);
    // With room it is accepted as begun, and needs no second write.
    rig.submit(sample("job-3", "red", 1, 1.0));
    let Change::Put { value, .. } = &rig.commits[0].1.changes[0] else { panic!("a record") };
    assert_eq!(JobRecord::decode(value).expect("a record").started_high_water, 1);
}

/// Acceptances and settles must not queue behind done tasks: with tasks of many
/// jobs ending at once, only what the state service's allowance has for them is
/// written, the longest waiting first, and nothing is lost.
#[test]
fn done_tasks_are_written_no_faster_than_the_state_service_takes_them() {
    let names: Vec<String> = (0..60).map(|n| format!("vm-{n}")).collect();
    let mut rig = Rig::with_machines(&names.iter().map(String::as_str).collect::<Vec<_>>());
    // Two tasks each, of which one will end.
    for n in 0..60 {
        rig.accept(sample(&format!("job-{n}"), "blue", 2, 4.0));
    }
    for name in &names {
        let mut held = starts(&rig.beat(name, 2, EPOCH, vec![]));
        // The records of some jobs must say first that they begin.
        rig.commit_all();
        let sent: Vec<_> = held.iter().map(|s| listed(s, TaskState::Running)).collect();
        held.extend(starts(&rig.beat(name, 3, EPOCH, sent)));
        rig.beat(name, 4, EPOCH, held.iter().map(|s| listed(s, TaskState::Running)).collect());
        // Some machine may be left to another that will report sooner.
        let Some((ended, rest)) = held.split_first() else { continue };
        let rest = rest.iter().map(|s| listed(s, TaskState::Running));
        rig.beat(name, 5, EPOCH, std::iter::once(listed(ended, DONE)).chain(rest).collect());
    }
    rig.commits.clear();
    let records = |rig: &Rig| rig.commits.iter().filter(|(_, t)| t.class == RequestClass::Progress).count();
    let allowance = rig.config.settings.cluster.state.write_rps;
    rig.pass(1.0);
    let first = records(&rig);
    assert!(first > 0 && first as f64 <= allowance, "{first} of {allowance} a second");
    let to = rig.submit(sample("job-new", "blue", 1, 1.0));
    rig.commit_all();
    assert_eq!(rig.answer(to).map(|a| a.status), Some(201));
    let mut written = first;
    for _ in 0..20 {
        rig.pass(1.0);
        written += records(&rig);
        rig.commit_all();
    }
    assert!(written >= 30, "only {written} jobs' done tasks were written");
}

/// Asks the stand-in of the state service to carry a transaction out.
fn carry_out(state: &mut InMemoryKv, transaction: &Transaction) -> Result<u64, KvError> {
    let body = encode(&encode_compare_and_swap(&transaction.compares, &transaction.changes));
    let request = Request { method: "POST".into(), target: "/commit".into(), body, close: false };
    match state.answer(&request) {
        Some((200, body)) => Ok(decode_commit_revision(&body).expect("a revision")),
        Some((400, _)) => Err(KvError::Rejected),
        other => panic!("{:?}: {other:?}", transaction.compares),
    }
}

fn read(state: &mut InMemoryKv, key: &str) -> Option<Value> {
    let target = format!("/keys/{key}");
    let request = Request { method: "GET".into(), target, body: Vec::new(), close: false };
    let (status, body) = state.answer(&request).expect("answered");
    (status == 200).then(|| decode_entry(&body).expect("an entry").value)
}

/// The done tasks as a new leader reads them.
fn done_by_records(state: &mut InMemoryKv, job: &str) -> Vec<u32> {
    let value = read(state, &format!("rec/{job}")).expect("a record");
    let mut record = JobRecord::decode(&value).expect("readable");
    let layout = record.layout(8.0);
    for block in 0..layout.blocks(record.spec.tasks) {
        if let Some(value) = read(state, &layout.block_key(&record.spec.id, block)) {
            record.add_block(&value).expect("readable");
        }
    }
    (0..record.spec.tasks).filter(|task| record.done.contains(*task)).collect()
}

/// Limits fall while a job's done tasks fill more than a value may hold by then: they move
/// to smaller blocks. At no point between the transactions is anything lost that was
/// recorded before, and none is larger than the new limits allow.
#[test]
fn done_tasks_move_to_smaller_blocks_and_nothing_is_lost_on_the_way() {
    let mut config = Config { settings: settings::tests::sample(), tuning: policy::tests::tuning() };
    let next = settings::NextState { rps: None, write_rps: None, value_kb: Some(1.0), txn_ops: Some(4) };
    config.settings.cluster.state.next = Some(next);
    let limits = config.settings.cluster.state.announced();
    let size = |change: &Change| match change {
        Change::Put { value, .. } => json_size(value),
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
        let before = changes.iter().map(size).max();
        assert!(before > Some(limits.value_bytes()), "{before:?}");
        let written =
            Transaction { class: RequestClass::Background, epoch: EPOCH, compares: Vec::new(), changes };
        job.record_version = carry_out(&mut state, &written).expect("no limits yet");
        job.block_versions = vec![job.record_version; layout.blocks(tasks) as usize];
        state.limit(limits);
        let config = Config { settings: config.settings.clone(), tuning: config.tuning };
        let mut rig = Rig::configured(vec![job], Vec::new(), config);
        rig.leader.mark_task_done(rig.now, &id("job-1"), 1);
        rig.pass(10.0);
        let (mut refused, mut committed, mut expected) = (0, 0, recorded.clone());
        while !rig.commits.is_empty() {
            let (ticket, transaction) = rig.commits.remove(0);
            assert!(transaction.changes.len() <= limits.txn_ops, "{}", transaction.changes.len());
            let result = carry_out(&mut state, &transaction);
            refused += usize::from(result.is_err());
            committed += usize::from(result.is_ok());
            rig.leader.handle_commit_result(rig.now, ticket, result);
            if committed == 2 {
                // One more ends while the others are being moved.
                rig.leader.mark_task_done(rig.now, &id("job-1"), 3);
            }
            rig.collect();
            let done = done_by_records(&mut state, "job-1");
            assert!(recorded.iter().all(|task| done.binary_search(task).is_ok()), "after {committed}");
            rig.pass(1.0);
        }
        rig.pass(10.0);
        for (_, transaction) in std::mem::take(&mut rig.commits) {
            carry_out(&mut state, &transaction).expect("within the limits");
        }
        expected.extend([1, 3]);
        expected.sort_unstable();
        assert_eq!(done_by_records(&mut state, "job-1"), expected);
        assert_eq!(refused, 1, "{tasks} tasks: once is notice enough");
        assert!(!rig.leader.is_fenced() && committed > 3);
    }
}
