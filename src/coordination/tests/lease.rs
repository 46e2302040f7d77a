//! What a leader does past its lease, and once its epoch is over.

use ciborium::value::Value;

use super::*;
use crate::protocol::cbor::json_size;

#[test]
fn a_fenced_write_ends_the_epoch_and_tells_the_user_nothing_untrue() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    let to = rig.submit(sample("job-1", "red", 1, 1.0));
    assert_eq!(rig.commits[0].1.epoch, EPOCH);
    rig.fail_commit(KvError::Fenced);
    assert_eq!(rig.answer(to).map(|a| (a.status, a.retry_after_s)), Some((503, Some(1))));
    assert!(rig.leader.is_fenced());
    // Nothing of the stale epoch gets out any more.
    assert_eq!(rig.report("vm-1", 1, 9, EPOCH, vec![]), HeartbeatReply::Redirect);
    let late = rig.submit(sample("job-2", "red", 1, 1.0));
    assert_eq!(rig.answer(late).map(|a| a.status), Some(503));
    assert!(rig.commits.is_empty());
}

/// A job's final write has been sent: its user has withdrawn it, or its only task is done.
fn with_a_final_write_under_way(withdrawn: bool) -> (Rig, Option<ReplyId>) {
    let mut rig = Rig::new(vec![loaded_job(sample("job-1", "red", 1, 1.0))], Vec::new());
    rig.commit_all();
    let to = withdrawn.then(|| rig.withdraw("job-1"));
    if !withdrawn {
        rig.leader.mark_task_done(rig.now, &id("job-1"), 0);
        rig.collect();
    }
    (rig, to)
}

/// A final write that is refused in whatever way may have been carried out by an earlier
/// try without an answer: nothing is told from it, and memory is not used any more.
#[test]
fn a_refused_final_write_ends_the_epoch_and_nothing_is_told_from_it() {
    for error in [KvError::Fenced, KvError::Conflict] {
        for withdrawn in [true, false] {
            let (mut rig, to) = with_a_final_write_under_way(withdrawn);
            assert_eq!(rig.standing("job-1"), None, "the record decides while it is under way");
            let others = rig.commits.len() - 1;
            assert_eq!(others, 0, "{:?}", rig.commits);
            rig.fail_commit(error);
            assert!(rig.leader.is_fenced(), "{error:?}");
            assert_eq!(to.and_then(|to| rig.answer(to)), None);
            assert_eq!(rig.standing("job-1"), None);
        }
    }
}

/// A refusal for good means that the value is too large by now; so may an earlier try have
/// been carried out, when it still was not. The verdict is written in its smallest form,
/// and again after a while, and until that is known nothing is told from memory.
#[test]
fn a_final_write_that_is_refused_for_its_size_is_made_again_and_nothing_is_told_before() {
    for withdrawn in [true, false] {
        let (mut rig, to) = with_a_final_write_under_way(withdrawn);
        let whole = json_size(&only_put(&rig));
        rig.fail_commit(KvError::Rejected);
        let verdict = only_put(&rig);
        assert!(json_size(&verdict) < whole);
        let record = JobRecord::decode(&verdict).expect("readable");
        assert_eq!((record.cancelled, record.completed), (withdrawn, !withdrawn));
        rig.fail_commit(KvError::Rejected);
        assert!(rig.commits.is_empty(), "not repeated without end");
        assert_eq!((rig.standing("job-1"), to.and_then(|to| rig.answer(to))), (None, None));
        assert!(!rig.leader.is_fenced());
        rig.pass(31.0);
        assert_eq!(only_put(&rig), verdict);
        // The first try was carried out after all.
        rig.fail_commit(KvError::Conflict);
        assert!(rig.leader.is_fenced());
        assert_eq!((rig.standing("job-1"), to.and_then(|to| rig.answer(to))), (None, None));
    }
}

fn only_put(rig: &Rig) -> Value {
    let puts = rig.commits.iter().flat_map(|(_, transaction)| &transaction.changes);
    let mut records = puts.filter(|change| change.key().starts_with("rec/"));
    let Some(Change::Put { value, .. }) = records.next() else { panic!("no record is written") };
    assert!(records.next().is_none());
    value.clone()
}

#[test]
fn past_its_lease_a_leader_answers_only_what_is_final() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    rig.accept(sample("job-2", "red", 1, 1.0));
    rig.withdraw("job-2");
    // Cancelled but still on a machine, so still in the picture.
    let orders = rig.beat("vm-1", 2, EPOCH, vec![]);
    assert_eq!(starts(&orders).len(), 1);
    let end = rig.now + Duration::from_secs(1);
    rig.leader.extend_lease(rig.now, end);
    rig.now = end;
    assert!(!rig.leader.holds_lease(rig.now));
    assert_eq!(rig.standing("job-1"), None);
    // Renewed after all, with the key unchanged: the epoch goes on.
    rig.leader.extend_lease(rig.now, rig.now + Duration::from_secs(9));
    assert_eq!(rig.standing("job-1"), Some(JobState::Queued));
}

/// Frozen past its lease and the lapse window, clocks running on: what it finds when it
/// wakes, late copies and repeats of what was carried out included, moves it to
/// nothing, whatever is asked first.
#[test]
fn a_leader_that_stood_still_past_its_lease_does_nothing_when_it_wakes() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 4, 1.0));
    let held = starts(&rig.beat("vm-1", 5, EPOCH, vec![]));
    let running: Vec<_> = held.iter().map(|s| listed(s, TaskState::Running)).collect();
    rig.beat("vm-1", 6, EPOCH, running.clone());
    let to = rig.submit(sample("job-2", "red", 1, 1.0));
    rig.commit_all();
    assert_eq!(rig.answer(to).map(|a| a.status), Some(201));
    rig.cloud.clear();
    let end = rig.now + Duration::from_secs(3);
    rig.leader.extend_lease(rig.now, end);
    rig.now = end + rig.config.post_lease_grace() + Duration::from_secs(20);
    for (seq, tasks) in [(6, running.clone()), (7, running), (8, vec![])] {
        assert_eq!(rig.report("vm-1", 1, seq, EPOCH, tasks), HeartbeatReply::Redirect);
    }
    let again = rig.submit(sample("job-2", "red", 1, 1.0));
    assert_eq!(rig.answer(again).map(|a| a.status), Some(503), "another may know more of it");
    rig.withdraw("job-1");
    rig.pass(1.0);
    assert!(rig.commits.is_empty() && rig.cloud.is_empty() && rig.direct.is_empty());
}

#[test]
fn a_lapsed_leader_keeps_workers_alive_for_a_bounded_time_and_decides_nothing() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    let start = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    rig.accept(sample("job-2", "red", 1, 1.0));
    let end = rig.now + Duration::from_secs(1);
    rig.leader.extend_lease(rig.now, end);
    rig.now = end + rig.config.post_lease_grace() / 2;
    let report = vec![listed(&start, DONE)];
    assert_eq!(rig.beat("vm-1", 6, EPOCH, report.clone()), vec![], "no start, no reap");
    assert!(rig.commits.is_empty());
    // One that this epoch has not heard, or that another leads by now.
    assert_eq!(rig.report("vm-9", 1, 1, EPOCH, vec![]), HeartbeatReply::Redirect);
    assert_eq!(rig.report("vm-1", 1, 7, EPOCH + 1, vec![]), HeartbeatReply::Redirect);
    rig.now = end + rig.config.post_lease_grace();
    assert_eq!(rig.report("vm-1", 1, 7, EPOCH, report.clone()), HeartbeatReply::Redirect);
    // Resumed, the same report is news.
    rig.leader.extend_lease(rig.now, rig.now + Duration::from_secs(60));
    assert_eq!(starts(&rig.beat("vm-1", 8, EPOCH, report)).len(), 1);
}
