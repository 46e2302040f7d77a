//! Jobs that wait for others: when they start, what is cancelled with what, and what their
//! users are told.

use super::*;
use crate::coordination::jobs::dependency_state::{DependencyState, DependencyStates};

/// A job of one task that awaits others.
fn awaiting(job: &str, needs: &[&str]) -> JobSpec {
    JobSpec { dependencies: needs.iter().map(|need| id(need)).collect(), ..sample(job, "red", 1, 1.0) }
}

/// A job that a new leader reads, of which no task has begun.
fn unbegun(spec: JobSpec) -> JobSnapshot {
    JobSnapshot { record: JobRecord::new(spec, MS), ..loaded_job(sample("job-0", "red", 1, 1.0)) }
}

fn loaded_with(jobs: Vec<JobSnapshot>, needs: &[(&str, DependencyState)]) -> Rig {
    let mut rig = Rig::with_machines(&["vm-1"]);
    let rentals = vec![rented("vm-1", true)];
    let needs = needs.iter().map(|(need, state)| (id(need), *state)).collect();
    let loaded = Snapshot {
        jobs,
        node_pools: rentals,
        dependency_states: needs,
        catalog: Some((catalog(), 2)),
        ..Snapshot::default()
    };
    rig.leader = Leader::new(rig.config.clone(), EPOCH, rig.now, MS, loaded);
    rig.leader.extend_lease(rig.now, rig.now + Duration::from_secs(3600));
    rig.collect();
    rig
}

impl Rig {
    /// A report of the only machine with these tasks; the tasks that start with its answer.
    fn starts_after(&mut self, seq: u64, tasks: Vec<TaskStatus>) -> Vec<(TaskId, u64)> {
        self.pass(0.5);
        starts(&self.beat("vm-1", seq, EPOCH, tasks))
    }

    fn commit_all_but_settles(&mut self) {
        let settles = |transaction: &Transaction| {
            transaction.changes.iter().any(|change| match change {
                Change::Put { key, value, .. } if key.starts_with("rec/") => {
                    JobRecord::decode(value).is_ok_and(|record| record.completed)
                }
                _ => false,
            })
        };
        let (kept, others) = std::mem::take(&mut self.commits).into_iter().partition(|(_, t)| settles(t));
        self.commits = others;
        self.commit_all();
        self.commits = kept;
    }

    fn standings(&self, jobs: &[&str]) -> Vec<Option<JobState>> {
        jobs.iter().map(|job| self.standing(job)).collect()
    }
}

/// That the last task has been seen to end is not enough: with the leader lost before the
/// settle is written, the next one would find the need unfinished.
#[test]
fn a_job_starts_once_the_settle_of_its_last_need_is_committed() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    rig.accept(sample("job-2", "blue", 1, 1.0));
    rig.accept(awaiting("job-3", &["job-1", "job-2"]));
    let first = rig.starts_after(2, vec![]);
    assert_eq!(first.len(), 2, "those that wait for nothing");
    let ended: Vec<TaskStatus> = first.iter().map(|start| listed(start, DONE)).collect();
    assert!(rig.starts_after(3, vec![ended[0].clone(), listed(&first[1], TaskState::Running)]).is_empty());
    rig.commit_all();
    assert!(rig.starts_after(4, ended.clone()).is_empty(), "both have ended, one settle is on its way");
    // Whatever else is written meanwhile, a first start included, does not release it.
    for seq in 5..8 {
        rig.commit_all_but_settles();
        assert!(rig.starts_after(seq, vec![]).is_empty());
    }
    assert_eq!(rig.standing("job-3"), Some(JobState::Queued));
    rig.commit_all();
    let last = rig.starts_after(8, vec![]);
    assert_eq!(last.iter().map(|(task, _)| task.job.clone()).collect::<Vec<_>>(), [id("job-3")]);
    // A late copy of the reports before changes nothing.
    assert_eq!(rig.report("vm-1", 1, 3, EPOCH, ended), HeartbeatReply::Redirect);
}

/// While it waits a job takes no part of its team's guarantee, is no demand, and does not
/// grow old.
#[test]
fn a_waiting_job_is_queued_and_takes_nothing() {
    let rented_beside = |waiting: bool| {
        let mut rig = Rig::with_machines(&["vm-1"]);
        rig.accept(sample("job-1", "red", 1, 1.0));
        let first = rig.starts_after(2, vec![]);
        if waiting {
            rig.accept(JobSpec { tasks: 100, ..awaiting("job-2", &["job-1"]) });
        }
        for seq in 3..200 {
            rig.pass(3.0);
            assert!(rig.starts_after(seq, vec![listed(&first[0], TaskState::Running)]).is_empty());
            rig.commit_all();
        }
        rig.accept(sample("job-3", "red", 1, 1.0));
        let next = rig.starts_after(200, vec![listed(&first[0], TaskState::Running)]);
        assert_eq!(next.iter().map(|(task, _)| task.job.clone()).collect::<Vec<_>>(), [id("job-3")]);
        assert_eq!(rig.standing("job-2"), waiting.then_some(JobState::Queued));
        let rents = rig.cloud.iter().filter(|(_, call)| matches!(call, CloudCall::Provision(_)));
        rents.map(|(_, call)| format!("{call:?}")).collect::<Vec<_>>()
    };
    assert_eq!(rented_beside(true), rented_beside(false));
}

/// Waits and the bound on starvation count from the release, the deadline from the
/// submission, however long the job has waited for others.
#[test]
fn age_counts_from_the_release_and_the_deadline_from_the_submission() {
    let mut config = Config { settings: settings::tests::sample(), tuning: policy::tests::tuning() };
    let aim = settings::Objective {
        kind: "wait".into(),
        class: Some("stage".into()),
        within_s: Some(10.0),
        share: None,
        times: None,
    };
    config.settings.cluster.objectives.push(aim);
    let half = config.tuning.begin_within / 2;
    let mut rig = Rig::configured(Vec::new(), vec![rented("vm-1", true)], config);
    rig.beat("vm-1", 1, EPOCH, vec![]);
    rig.accept(sample("job-1", "red", 1, 8.0));
    let submitted = rig.now;
    let deadline_s = Some(half.as_secs_f64() * 3.0);
    rig.accept(JobSpec {
        class: "stage".into(),
        deadline_s,
        estimated_run_s: 20.0,
        ..awaiting("job-2", &["job-1"])
    });
    let first = rig.starts_after(2, vec![]);
    let mut seq = 3;
    while rig.now < submitted + half * 2 {
        rig.pass(2.5);
        rig.starts_after(seq, vec![listed(&first[0], TaskState::Running)]);
        rig.commit_all();
        seq += 1;
    }
    rig.starts_after(seq, vec![listed(&first[0], DONE)]);
    rig.commit_all();
    let released = rig.now;
    let job = &rig.leader.jobs[&id("job-2")];
    assert_eq!((job.submitted_at, job.ready_at), (submitted, Some(released)));
    assert!(!rig.leader.is_starved(job, released + half - Duration::from_secs(1)));
    assert!(rig.leader.is_starved(job, released + half));
    assert_eq!(rig.leader.latest_start(job, released), released + Duration::from_secs(10));
    let by_deadline = submitted + half * 3 - Duration::from_secs(20);
    assert_eq!(rig.leader.latest_start(job, released + Duration::from_secs(11)), by_deadline);
}

#[test]
fn a_submission_may_name_what_was_accepted_and_nothing_else() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(JobSpec { kind: JobKind::Service, ..sample("job-1", "red", 1, 1.0) });
    let refused = |rig: &mut Rig, spec: JobSpec| {
        rig.submit(spec);
        rig.lookups.pop().map(|(_, otherwise)| otherwise.status)
    };
    assert_eq!(refused(&mut rig, awaiting("job-2", &["job-2"])), Some(422), "itself");
    assert_eq!(refused(&mut rig, awaiting("job-2", &["job-1"])), Some(422), "a service");
    // What is not in the picture is over, or was never accepted: its record tells.
    let read = [
        (DependencyState::Absent, Some(422), None),
        (DependencyState::Service, Some(422), None),
        (DependencyState::Unfinished, None, Some(503)),
        (DependencyState::Done { at_ms: None }, None, Some(201)),
        (DependencyState::Cancelled, None, Some(201)),
    ];
    for (at, (state, looked_up, answered)) in read.into_iter().enumerate() {
        let spec = awaiting(&format!("job-1{at}"), &["job-9"]);
        rig.submit(spec.clone());
        let unjudged = rig.unjudged.pop().expect("its record is asked");
        assert_eq!((unjudged.unread, rig.commits.len()), (vec![id("job-9")], 0));
        let states = DependencyStates::from_iter([(id("job-9"), state)]);
        rig.leader.submit_with_dependency_states(rig.now, MS, unjudged.reply, spec, states);
        rig.collect();
        rig.commit_all();
        assert_eq!(rig.lookups.pop().map(|(_, otherwise)| otherwise.status), looked_up, "{state:?}");
        assert_eq!(rig.answer(unjudged.reply).map(|answer| answer.status), answered, "{state:?}");
    }
    assert_eq!(rig.standings(&["job-13", "job-14"]), [Some(JobState::Queued), None], "one has left already");
    // Being accepted is not accepted yet.
    rig.submit(sample("job-20", "red", 1, 1.0));
    let early = rig.submit(awaiting("job-21", &["job-20"]));
    assert_eq!(rig.answer(early).map(|a| (a.status, a.retry_after_s)), Some((503, Some(1))));
    rig.commit_all();
    rig.accept(awaiting("job-21", &["job-20"]));
    // A repeated submission is judged by nothing but what became of the job.
    let again = rig.submit(awaiting("job-21", &["job-404"]));
    assert_eq!(rig.answer(again).map(|a| a.status), Some(200));
}

/// Chains, diamonds and fan-in over teams: what is told follows from the one committed
/// cancellation, whatever becomes of the other records' writes.
#[test]
fn all_that_needs_a_cancelled_job_is_cancelled_with_it() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    rig.accept(awaiting("job-2", &["job-1"]));
    rig.accept(JobSpec { team: "blue".into(), ..awaiting("job-3", &["job-1"]) });
    rig.accept(awaiting("job-4", &["job-2", "job-3"]));
    rig.accept(sample("job-5", "red", 1, 1.0));
    rig.accept(awaiting("job-6", &["job-5"]));
    let first = rig.starts_after(2, vec![]);
    let to = rig.withdraw("job-1");
    assert_eq!(rig.standings(&["job-1", "job-2", "job-4"]), [None; 3], "the records decide");
    let late = rig.submit(awaiting("job-7", &["job-4", "job-5"]));
    let at =
        rig.commits.iter().position(|(_, t)| t.class == RequestClass::Cancellation).expect("it is written");
    let (ticket, _) = rig.commits.remove(at);
    rig.leader.handle_commit_result(rig.now, ticket, Ok(999));
    rig.collect();
    assert_eq!(rig.answer(to).map(|answer| told(&answer)), Some("cancelled".into()));
    // Nothing but the one record is written yet.
    assert_eq!(rig.standings(&["job-2", "job-3", "job-4"]), [Some(JobState::Cancelled); 3]);
    assert_eq!(rig.standings(&["job-5", "job-6"]), [Some(JobState::Queued); 2]);
    let written = rig.commit_all();
    let cancelled = written.iter().flat_map(|t| &t.changes).filter_map(|change| match change {
        Change::Put { key, value, .. } if key.starts_with("rec/") => JobRecord::decode(value).ok(),
        _ => None,
    });
    let cancelled: Vec<JobId> = cancelled.filter(|r| r.cancelled).map(|r| r.spec.id).collect();
    for job in ["job-2", "job-3", "job-4", "job-7"] {
        assert!(cancelled.contains(&id(job)), "{job}: {cancelled:?}");
    }
    assert_eq!(
        rig.answer(late).map(|answer| (answer.status, told(&answer))),
        Some((201, "cancelled".into()))
    );
    let running = first.iter().map(|start| listed(start, TaskState::Running)).collect();
    assert!(rig.starts_after(3, running).is_empty());
    // Nobody answers a second cancellation otherwise.
    rig.accept(awaiting("job-8", &["job-6"]));
    rig.withdraw("job-6");
    rig.commit_all();
    assert_eq!(rig.standing("job-5"), Some(JobState::Running), "what it needed goes on");
}

/// Answered with `done`, a cancellation cancels nothing: the settle came first.
#[test]
fn a_cancellation_that_meets_the_settle_cancels_nothing_after_it() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    rig.accept(awaiting("job-2", &["job-1"]));
    let first = rig.starts_after(2, vec![]);
    rig.starts_after(3, vec![listed(&first[0], DONE)]);
    let to = rig.withdraw("job-1");
    rig.commit_all();
    assert_eq!(rig.answer(to).map(|answer| told(&answer)), Some("done".into()));
    assert_eq!(rig.starts_after(4, vec![]).len(), 1);
    // And a need that is over stays over when its dependent is cancelled.
    rig.withdraw("job-2");
    rig.commit_all();
    assert_eq!(rig.standing("job-2"), Some(JobState::Cancelled));
}

/// A new leader reads what an earlier one has left at any point.
#[test]
fn a_new_leader_comes_to_the_same_verdict() {
    let done = DependencyState::Done { at_ms: Some(MS) };
    for (state, begins) in
        [(done, true), (DependencyState::Unfinished, false), (DependencyState::Absent, false)]
    {
        let mut rig = loaded_with(vec![unbegun(awaiting("job-2", &["job-1"]))], &[("job-1", state)]);
        rig.starts_after(2, vec![]);
        rig.commit_all();
        assert_eq!(!rig.starts_after(3, vec![]).is_empty(), begins, "{state:?}");
        assert_eq!(rig.standing("job-2"), Some(JobState::Queued));
    }
    // The last task has ended and the settle is not written.
    let mut ended = loaded_job(sample("job-1", "red", 1, 1.0));
    assert!(ended.record.done.insert(0));
    let mut rig = loaded_with(vec![unbegun(awaiting("job-2", &["job-1"])), ended], &[]);
    assert!(rig.starts_after(2, vec![]).is_empty());
    // Its cancellation is committed and the one that follows from it is not, two steps on.
    let mut cancelled = loaded_job(sample("job-1", "red", 1, 1.0));
    cancelled.record.cancelled = true;
    let jobs = ["job-2", "job-3"].map(|job| (job, if job == "job-2" { "job-1" } else { "job-2" }));
    let waiting = jobs.map(|(job, need)| unbegun(awaiting(job, &[need])));
    let mut rig = loaded_with(waiting.into_iter().chain([cancelled]).collect(), &[]);
    assert_eq!(rig.standings(&["job-2", "job-3"]), [Some(JobState::Cancelled); 2]);
    let cancels = rig.commit_all();
    assert!(cancels.iter().any(|t| t.changes.iter().any(|change| change.key() == "rec/job-3")));
    // The same with its row moved already.
    let waiting = jobs.map(|(job, need)| unbegun(awaiting(job, &[need])));
    let mut rig = loaded_with(waiting.into(), &[("job-1", DependencyState::Cancelled)]);
    assert_eq!(rig.standings(&["job-2", "job-3"]), [Some(JobState::Cancelled); 2]);
    rig.commit_all();
    assert!(rig.starts_after(2, vec![]).is_empty());
}

/// What a user cares for is said on the last job: the first is worth as much.
#[test]
fn a_job_takes_its_turn_by_what_needs_it() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-0", "red", 1, 6.0));
    let occupied = rig.starts_after(2, vec![]);
    let low = |job: &str| JobSpec { priority: Priority::BestEffort, ..sample(job, "blue", 1, 2.0) };
    rig.accept(low("job-1"));
    rig.accept(low("job-2"));
    rig.accept(JobSpec { priority: Priority::Critical, ..awaiting("job-3", &["job-2"]) });
    let first = rig.starts_after(3, vec![listed(&occupied[0], TaskState::Running)]);
    assert_eq!(first.iter().map(|(task, _)| task.job.clone()).collect::<Vec<_>>(), [id("job-2")]);
}

/// A list that no record holds under the limits that come is refused, with the reason.
#[test]
fn a_list_of_needs_that_no_record_holds_is_refused() {
    let mut config = Config { settings: settings::tests::sample(), tuning: policy::tests::tuning() };
    let next = settings::NextState { rps: None, write_rps: None, value_kb: Some(2.0), txn_ops: None };
    config.settings.cluster.state.next = Some(next);
    let mut rig = Rig::configured(Vec::new(), vec![rented("vm-1", true)], config);
    let names: Vec<String> = (0..200).map(|n| format!("job-{n:06}")).collect();
    for name in &names {
        rig.accept(sample(name, "blue", 1, 1.0));
    }
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    rig.accept(awaiting("job-x", &names[..50]));
    rig.submit(awaiting("job-y", &names));
    assert_eq!(rig.lookups.pop().map(|(_, otherwise)| otherwise.status), Some(422));
}

/// How an acceptance under way ends, with a word for it.
type PathIn = (&'static str, fn(&mut Rig));

/// Whichever path brings a job into the picture, it starts on evidence that its needs are
/// done, and on nothing less: an acceptance that had to be tried again, one that was asked
/// for twice, a takeover, the reconciler.
#[test]
fn a_job_with_needs_waits_whatever_path_has_brought_it_in() {
    let stage = || awaiting("job-2", &["job-1"]);
    let accepted = |rig: &mut Rig| {
        rig.accept(sample("job-1", "red", 1, 8.0));
        rig.submit(stage());
    };
    let paths: [PathIn; 3] = [
        ("its outcome was read back", |rig| drop(rig.commit_all())),
        ("asked for again meanwhile", |rig| {
            rig.submit(awaiting("job-2", &["job-1"]));
            rig.commit_all();
        }),
        ("refused, and brought back by the reconciler", |rig| {
            rig.fail_commit(KvError::Conflict);
            let restored =
                Snapshot { jobs: vec![unbegun(awaiting("job-2", &["job-1"]))], ..Snapshot::default() };
            rig.leader.restore_snapshot(rig.now, MS, restored);
            rig.pass(rig.config.failover_lease_timeout().as_secs_f64() + 1.0);
        }),
    ];
    for (path, bring_in) in paths {
        let mut rig = Rig::with_machines(&["vm-1"]);
        accepted(&mut rig);
        bring_in(&mut rig);
        let first = rig.starts_after(2, vec![]);
        assert_eq!(
            first.iter().map(|(task, _)| task.job.clone()).collect::<Vec<_>>(),
            [id("job-1")],
            "{path}"
        );
        rig.starts_after(3, vec![listed(&first[0], DONE)]);
        assert!(rig.starts_after(4, vec![]).is_empty(), "{path}: its end is not committed");
        rig.commit_all();
        rig.starts_after(5, vec![]);
        rig.commit_all();
        assert_eq!(rig.starts_after(6, vec![]).len(), 1, "{path}: released");
    }
    // And a takeover, with the need in the picture or not.
    let need = unbegun(sample("job-1", "red", 1, 8.0));
    let mut rig = loaded_with(vec![unbegun(stage()), need], &[]);
    rig.starts_after(2, vec![]);
    rig.commit_all();
    let first = rig.starts_after(3, vec![]);
    assert_eq!(first.iter().map(|(task, _)| task.job.clone()).collect::<Vec<_>>(), [id("job-1")]);
    let mut rig = loaded_with(vec![unbegun(stage())], &[("job-1", DependencyState::Unreadable)]);
    rig.starts_after(2, vec![]);
    rig.commit_all();
    assert!(rig.starts_after(3, vec![]).is_empty());
}
