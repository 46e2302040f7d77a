//! Tests of a leader whose lease has expired or whose epoch is over.

use ciborium::value::Value;

use super::*;
use crate::protocol::cbor::max_json_size;

#[test]
fn a_fenced_write_ends_the_epoch_and_answers_503() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    let reply = harness.submit(sample("job-1", "red", 1, 1.0));
    assert_eq!(harness.commits[0].1.epoch, EPOCH);
    harness.fail_next_commit(KvError::Fenced);
    assert_eq!(harness.answer(reply).map(|a| (a.status, a.retry_after_s)), Some((503, Some(1))));
    assert!(harness.leader.is_fenced());
    // The leader sends nothing more once its epoch is over.
    assert_eq!(harness.send_heartbeat("vm-1", 1, 9, EPOCH, vec![]), HeartbeatReply::Redirect);
    let late = harness.submit(sample("job-2", "red", 1, 1.0));
    assert_eq!(harness.answer(late).map(|a| a.status), Some(503));
    assert!(harness.commits.is_empty());
}

/// A leader with a job's terminal write in flight: its user has cancelled the job, or the job's
/// only task is done.
fn harness_with_terminal_write_in_flight(cancelled_by_user: bool) -> (Harness, Option<ReplyId>) {
    let mut harness = Harness::new(vec![loaded_job(sample("job-1", "red", 1, 1.0))], Vec::new());
    harness.commit_all();
    let reply = cancelled_by_user.then(|| harness.cancel("job-1"));
    if !cancelled_by_user {
        harness.leader.mark_task_done(harness.now, &id("job-1"), 0);
        harness.collect_effects();
    }
    (harness, reply)
}

/// A terminal write that is refused may have been committed by an earlier attempt whose response
/// was lost. No request is answered from the refused write, and the in-memory state is no longer
/// used.
#[test]
fn a_refused_terminal_write_ends_the_epoch_and_is_not_answered_from_memory() {
    for error in [KvError::Fenced, KvError::Conflict] {
        for cancelled_by_user in [true, false] {
            let (mut harness, reply) = harness_with_terminal_write_in_flight(cancelled_by_user);
            assert_eq!(
                harness.job_state("job-1"),
                None,
                "polls are answered from the record while the write is in flight"
            );
            let other_writes = harness.commits.len() - 1;
            assert_eq!(other_writes, 0, "{:?}", harness.commits);
            harness.fail_next_commit(error);
            assert!(harness.leader.is_fenced(), "{error:?}");
            assert_eq!(reply.and_then(|reply| harness.answer(reply)), None);
            assert_eq!(harness.job_state("job-1"), None);
        }
    }
}

/// A rejection means that the value is too large under the current limits; an earlier attempt may
/// have been committed under previous limits. The terminal state is written in its smallest form
/// and retried after a pause. Until the outcome is known, nothing is answered from memory.
#[test]
fn a_terminal_write_rejected_for_its_size_is_retried_and_not_answered_before() {
    for cancelled_by_user in [true, false] {
        let (mut harness, reply) = harness_with_terminal_write_in_flight(cancelled_by_user);
        let whole_size = max_json_size(&only_put(&harness));
        harness.fail_next_commit(KvError::Rejected);
        let smallest_record = only_put(&harness);
        assert!(max_json_size(&smallest_record) < whole_size);
        let record = JobRecord::decode(&smallest_record).expect("readable");
        assert_eq!((record.cancelled, record.completed), (cancelled_by_user, !cancelled_by_user));
        harness.fail_next_commit(KvError::Rejected);
        assert!(harness.commits.is_empty(), "not retried at once");
        assert_eq!((harness.job_state("job-1"), reply.and_then(|reply| harness.answer(reply))), (None, None));
        assert!(!harness.leader.is_fenced());
        harness.advance(31.0);
        assert_eq!(only_put(&harness), smallest_record);
        // The first attempt was committed after all.
        harness.fail_next_commit(KvError::Conflict);
        assert!(harness.leader.is_fenced());
        assert_eq!((harness.job_state("job-1"), reply.and_then(|reply| harness.answer(reply))), (None, None));
    }
}

/// The value of the only record whose write is in flight.
fn only_put(harness: &Harness) -> Value {
    let puts = harness.commits.iter().flat_map(|(_, transaction)| &transaction.changes);
    let mut records = puts.filter(|change| change.key().starts_with("rec/"));
    let Some(Change::Put { value, .. }) = records.next() else { panic!("no record is written") };
    assert!(records.next().is_none());
    value.clone()
}

#[test]
fn past_its_lease_a_leader_answers_no_live_state() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    harness.accept(sample("job-1", "red", 1, 1.0));
    harness.accept(sample("job-2", "red", 1, 1.0));
    harness.cancel("job-2");
    // The cancellation of job-2 is not committed, so job-2 is still in memory; only job-1 starts.
    let commands = harness.heartbeat("vm-1", 2, EPOCH, vec![]);
    assert_eq!(starts(&commands).len(), 1);
    let end = harness.now + Duration::from_secs(1);
    harness.leader.extend_lease(harness.now, end);
    harness.now = end;
    assert!(!harness.leader.holds_lease(harness.now));
    assert_eq!(harness.job_state("job-1"), None);
    // The lease is renewed after all, with the leader key unchanged, so the epoch continues.
    harness.leader.extend_lease(harness.now, harness.now + Duration::from_secs(9));
    assert_eq!(harness.job_state("job-1"), Some(JobState::Queued));
}

/// A process is stalled past its lease and its post-lease grace period while its clocks run on.
/// When it resumes, neither delayed copies of heartbeats nor repeated requests make it act,
/// whichever arrives first.
#[test]
fn a_leader_stalled_past_its_lease_does_nothing_when_it_resumes() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    harness.accept(sample("job-1", "red", 4, 1.0));
    let held = starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![]));
    let running: Vec<_> = running_statuses(&held);
    harness.heartbeat("vm-1", 6, EPOCH, running.clone());
    let reply = harness.submit(sample("job-2", "red", 1, 1.0));
    harness.commit_all();
    assert_eq!(harness.answer(reply).map(|a| a.status), Some(201));
    harness.cloud_calls.clear();
    let end = harness.now + Duration::from_secs(3);
    harness.leader.extend_lease(harness.now, end);
    harness.now = end + harness.config.post_lease_grace() + Duration::from_secs(20);
    for (sequence, tasks) in [(6, running.clone()), (7, running), (8, vec![])] {
        assert_eq!(harness.send_heartbeat("vm-1", 1, sequence, EPOCH, tasks), HeartbeatReply::Redirect);
    }
    let repeated = harness.submit(sample("job-2", "red", 1, 1.0));
    assert_eq!(
        harness.answer(repeated).map(|a| a.status),
        Some(503),
        "another leader may know a newer state of the job"
    );
    harness.cancel("job-1");
    harness.advance(1.0);
    assert!(
        harness.commits.is_empty() && harness.cloud_calls.is_empty() && harness.pushed_commands.is_empty()
    );
}

#[test]
fn in_its_post_lease_grace_a_leader_renews_worker_leases_and_decides_nothing() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    harness.accept(sample("job-1", "red", 1, 1.0));
    let start = starts(&harness.heartbeat("vm-1", 5, EPOCH, vec![])).remove(0);
    harness.accept(sample("job-2", "red", 1, 1.0));
    let end = harness.now + Duration::from_secs(1);
    harness.leader.extend_lease(harness.now, end);
    harness.now = end + harness.config.post_lease_grace() / 2;
    let tasks = vec![task_status(&start, DONE)];
    assert_eq!(harness.heartbeat("vm-1", 6, EPOCH, tasks.clone()), vec![], "no start, no reap");
    assert!(harness.commits.is_empty());
    // Heartbeats of a machine that is unknown in this epoch, and of one that already follows
    // another leader.
    assert_eq!(harness.send_heartbeat("vm-9", 1, 1, EPOCH, vec![]), HeartbeatReply::Redirect);
    assert_eq!(harness.send_heartbeat("vm-1", 1, 7, EPOCH + 1, vec![]), HeartbeatReply::Redirect);
    harness.now = end + harness.config.post_lease_grace();
    assert_eq!(harness.send_heartbeat("vm-1", 1, 7, EPOCH, tasks.clone()), HeartbeatReply::Redirect);
    // With the lease renewed, the same tasks are reconciled.
    harness.leader.extend_lease(harness.now, harness.now + Duration::from_secs(60));
    assert_eq!(starts(&harness.heartbeat("vm-1", 8, EPOCH, tasks)).len(), 1);
}
