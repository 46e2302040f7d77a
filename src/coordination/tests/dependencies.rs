//! Tests of jobs with dependencies: when they start, how cancellations propagate, and which
//! answers users get.

use super::*;
use crate::coordination::jobs::dependency_state::{DependencyState, DependencyStates};

/// A job of one task with these dependencies.
fn dependent_job(job: &str, dependencies: &[&str]) -> JobSpec {
    JobSpec {
        dependencies: dependencies.iter().map(|dependency| id(dependency)).collect(),
        ..sample(job, "red", 1, 1.0)
    }
}

/// A new leader with one machine that has read these jobs and dependency states.
fn harness_with_snapshot(jobs: Vec<JobSnapshot>, dependencies: &[(&str, DependencyState)]) -> Harness {
    let mut harness = Harness::with_machines(&["vm-1"]);
    let node_pools = vec![single_machine_pool("vm-1", true)];
    let dependency_states = dependencies.iter().map(|(dependency, state)| (id(dependency), *state)).collect();
    let snapshot = Snapshot {
        jobs,
        node_pools,
        dependency_states,
        catalog: Some((catalog(), 2)),
        ..Snapshot::default()
    };
    harness.replace_leader(snapshot);
    harness.collect_effects();
    harness
}

impl Harness {
    /// Advances the clock and sends a heartbeat of the only machine with these tasks; returns the
    /// starts in the reply.
    fn starts_for_heartbeat(&mut self, sequence: u64, tasks: Vec<TaskStatus>) -> Vec<StartedTask> {
        self.advance(0.5);
        starts(&self.heartbeat("vm-1", sequence, EPOCH, tasks))
    }

    /// Commits all pending transactions except completions of jobs, which stay pending.
    fn commit_all_but_completions(&mut self) {
        let writes_completion = |transaction: &Transaction| {
            transaction.changes.iter().any(|change| match change {
                Change::Put { key, value, .. } if key.starts_with("rec/") => {
                    JobRecord::decode(value).is_ok_and(|record| record.completed)
                }
                _ => false,
            })
        };
        let (completions, others) =
            std::mem::take(&mut self.commits).into_iter().partition(|(_, t)| writes_completion(t));
        self.commits = others;
        self.commit_all();
        self.commits = completions;
    }

    /// The states that polls of these jobs return; see [`Harness::job_state`].
    fn job_states(&self, jobs: &[&str]) -> Vec<Option<JobState>> {
        jobs.iter().map(|job| self.job_state(job)).collect()
    }
}

/// It is not enough that the end of the last task is known in memory: if the leader failed before
/// the completion is written, the next leader would find the dependency unfinished.
#[test]
fn a_job_starts_once_the_completion_of_its_last_dependency_is_committed() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    harness.accept(sample("job-1", "red", 1, 1.0));
    harness.accept(sample("job-2", "blue", 1, 1.0));
    harness.accept(dependent_job("job-3", &["job-1", "job-2"]));
    let first = harness.starts_for_heartbeat(2, vec![]);
    assert_eq!(first.len(), 2, "the jobs without dependencies");
    let ended: Vec<TaskStatus> = first.iter().map(|start| task_status(start, DONE)).collect();
    assert!(
        harness
            .starts_for_heartbeat(3, vec![ended[0].clone(), task_status(&first[1], TaskState::Running)])
            .is_empty()
    );
    harness.commit_all();
    assert!(
        harness.starts_for_heartbeat(4, ended.clone()).is_empty(),
        "both have ended, one completion is in flight"
    );
    // Commits of other writes, including those of first starts, do not make the job ready.
    for sequence in 5..8 {
        harness.commit_all_but_completions();
        assert!(harness.starts_for_heartbeat(sequence, vec![]).is_empty());
    }
    assert_eq!(harness.job_state("job-3"), Some(JobState::Queued));
    harness.commit_all();
    let last = harness.starts_for_heartbeat(8, vec![]);
    assert_eq!(job_ids(&last), [id("job-3")]);
    // A delayed copy of an earlier heartbeat changes nothing.
    assert_eq!(harness.send_heartbeat("vm-1", 1, 3, EPOCH, ended), HeartbeatReply::Redirect);
}

/// While a job waits for dependencies, it uses none of its team's quota, adds no demand for
/// machines and accrues no waiting time.
#[test]
fn a_job_that_waits_for_dependencies_is_queued_and_adds_no_quota_usage_or_demand() {
    let scale_outs_with = |waiting: bool| {
        let mut harness = Harness::with_machines(&["vm-1"]);
        harness.accept(sample("job-1", "red", 1, 1.0));
        let first = harness.starts_for_heartbeat(2, vec![]);
        if waiting {
            harness.accept(JobSpec { task_count: 100, ..dependent_job("job-2", &["job-1"]) });
        }
        for sequence in 3..200 {
            harness.advance(3.0);
            assert!(
                harness
                    .starts_for_heartbeat(sequence, vec![task_status(&first[0], TaskState::Running)])
                    .is_empty()
            );
            harness.commit_all();
        }
        harness.accept(sample("job-3", "red", 1, 1.0));
        let next = harness.starts_for_heartbeat(200, vec![task_status(&first[0], TaskState::Running)]);
        assert_eq!(job_ids(&next), [id("job-3")]);
        assert_eq!(harness.job_state("job-2"), waiting.then_some(JobState::Queued));
        let scale_outs =
            harness.cloud_calls.iter().filter(|(_, call)| matches!(call, CloudCall::Provision(_)));
        scale_outs.map(|(_, call)| format!("{call:?}")).collect::<Vec<_>>()
    };
    assert_eq!(scale_outs_with(true), scale_outs_with(false));
}

/// The waiting time and the starvation bound count from the time when the job became ready, and
/// the deadline counts from its submission, however long the job has waited for dependencies.
#[test]
fn waiting_time_counts_from_ready_and_the_deadline_from_submission() {
    let mut config = Config { settings: settings::tests::sample(), tuning: policy::tests::tuning() };
    let objective = settings::Objective {
        kind: "wait".into(),
        class: Some("stage".into()),
        within_s: Some(10.0),
        share: None,
        times: None,
    };
    config.settings.cluster.objectives.push(objective);
    let half_bound = config.tuning.start_within / 2;
    let mut harness = Harness::with_config(Vec::new(), vec![single_machine_pool("vm-1", true)], config);
    harness.heartbeat("vm-1", 1, EPOCH, vec![]);
    harness.accept(sample("job-1", "red", 1, 8.0));
    let submitted = harness.now;
    let deadline_s = Some(half_bound.as_secs_f64() * 3.0);
    harness.accept(JobSpec {
        class: "stage".into(),
        deadline_s,
        estimated_run_s: 20.0,
        ..dependent_job("job-2", &["job-1"])
    });
    let first = harness.starts_for_heartbeat(2, vec![]);
    let mut sequence = 3;
    while harness.now < submitted + half_bound * 2 {
        harness.advance(2.5);
        harness.starts_for_heartbeat(sequence, vec![task_status(&first[0], TaskState::Running)]);
        harness.commit_all();
        sequence += 1;
    }
    harness.starts_for_heartbeat(sequence, vec![task_status(&first[0], DONE)]);
    harness.commit_all();
    let ready = harness.now;
    let job = &harness.leader.jobs[&id("job-2")];
    assert_eq!((job.submitted_at, job.ready_at), (submitted, Some(ready)));
    assert!(!harness.leader.is_starved(job, ready + half_bound - Duration::from_secs(1)));
    assert!(harness.leader.is_starved(job, ready + half_bound));
    assert_eq!(harness.leader.latest_start(job, ready), ready + Duration::from_secs(10));
    let by_deadline = submitted + half_bound * 3 - Duration::from_secs(20);
    assert_eq!(harness.leader.latest_start(job, ready + Duration::from_secs(11)), by_deadline);
}

#[test]
fn a_submission_may_depend_only_on_admitted_array_jobs() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    harness.accept(JobSpec { kind: JobKind::Service, ..sample("job-1", "red", 1, 1.0) });
    let status_if_absent = |harness: &mut Harness, spec: JobSpec| {
        harness.submit(spec);
        harness.record_lookups.pop().map(|(_, if_absent)| if_absent.status)
    };
    assert_eq!(
        status_if_absent(&mut harness, dependent_job("job-2", &["job-2"])),
        Some(422),
        "depends on itself"
    );
    assert_eq!(
        status_if_absent(&mut harness, dependent_job("job-2", &["job-1"])),
        Some(422),
        "depends on a service"
    );
    // A dependency that is not in memory is terminal or was never admitted: its record
    // decides.
    let cases = [
        (DependencyState::Absent, Some(422), None),
        (DependencyState::Service, Some(422), None),
        (DependencyState::Unfinished, None, Some(503)),
        (DependencyState::Done { at_ms: None }, None, Some(201)),
        (DependencyState::Cancelled, None, Some(201)),
    ];
    for (index, (state, looked_up, answered)) in cases.into_iter().enumerate() {
        let spec = dependent_job(&format!("job-1{index}"), &["job-9"]);
        harness.submit(spec.clone());
        let unchecked = harness.unchecked_submissions.pop().expect("the dependency's record is read");
        assert_eq!((unchecked.unread_dependencies, harness.commits.len()), (vec![id("job-9")], 0));
        let states = DependencyStates::from_iter([(id("job-9"), state)]);
        harness.leader.submit_with_dependency_states(harness.now, NOW_MS, unchecked.reply, spec, states);
        harness.collect_effects();
        harness.commit_all();
        assert_eq!(
            harness.record_lookups.pop().map(|(_, if_absent)| if_absent.status),
            looked_up,
            "{state:?}"
        );
        assert_eq!(harness.answer(unchecked.reply).map(|answer| answer.status), answered, "{state:?}");
    }
    assert_eq!(
        harness.job_states(&["job-13", "job-14"]),
        [Some(JobState::Queued), None],
        "job-14 is archived already"
    );
    // A dependency whose admission is in flight is not admitted yet.
    harness.submit(sample("job-20", "red", 1, 1.0));
    let early_reply = harness.submit(dependent_job("job-21", &["job-20"]));
    assert_eq!(harness.answer(early_reply).map(|a| (a.status, a.retry_after_s)), Some((503, Some(1))));
    harness.commit_all();
    harness.accept(dependent_job("job-21", &["job-20"]));
    // A repeated submission is answered with the state of the job, whichever dependencies it
    // names.
    let repeated = harness.submit(dependent_job("job-21", &["job-404"]));
    assert_eq!(harness.answer(repeated).map(|a| a.status), Some(200));
}

/// Chains, diamonds and fan-in across teams: once the cancellation of a job is committed, polls
/// of its transitive dependents return `cancelled`, whether or not the dependents' own records
/// are written.
#[test]
fn a_cancellation_cancels_all_transitive_dependents() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    harness.accept(sample("job-1", "red", 1, 1.0));
    harness.accept(dependent_job("job-2", &["job-1"]));
    harness.accept(JobSpec { team: "blue".into(), ..dependent_job("job-3", &["job-1"]) });
    harness.accept(dependent_job("job-4", &["job-2", "job-3"]));
    harness.accept(sample("job-5", "red", 1, 1.0));
    harness.accept(dependent_job("job-6", &["job-5"]));
    let first = harness.starts_for_heartbeat(2, vec![]);
    let reply = harness.cancel("job-1");
    assert_eq!(
        harness.job_states(&["job-1", "job-2", "job-4"]),
        [None; 3],
        "polls are answered from the records"
    );
    let late_reply = harness.submit(dependent_job("job-7", &["job-4", "job-5"]));
    let index = harness
        .commits
        .iter()
        .position(|(_, t)| t.class == RequestClass::Cancellation)
        .expect("the cancellation is written");
    let (operation, _) = harness.commits.remove(index);
    harness.leader.handle_commit_result(harness.now, operation, Ok(999));
    harness.collect_effects();
    assert_eq!(harness.answer(reply).map(|answer| answered_state(&answer)), Some("cancelled".into()));
    // Only the record of job-1 is written so far.
    assert_eq!(harness.job_states(&["job-2", "job-3", "job-4"]), [Some(JobState::Cancelled); 3]);
    assert_eq!(harness.job_states(&["job-5", "job-6"]), [Some(JobState::Queued); 2]);
    let written = harness.commit_all();
    let cancelled = written.iter().flat_map(|t| &t.changes).filter_map(|change| match change {
        Change::Put { key, value, .. } if key.starts_with("rec/") => JobRecord::decode(value).ok(),
        _ => None,
    });
    let cancelled: Vec<JobId> = cancelled.filter(|r| r.cancelled).map(|r| r.spec.id).collect();
    for job in ["job-2", "job-3", "job-4", "job-7"] {
        assert!(cancelled.contains(&id(job)), "{job}: {cancelled:?}");
    }
    assert_eq!(
        harness.answer(late_reply).map(|answer| (answer.status, answered_state(&answer))),
        Some((201, "cancelled".into()))
    );
    let running = running_statuses(&first);
    assert!(harness.starts_for_heartbeat(3, running).is_empty());
    // The cancellation of a dependent does not cancel its dependencies.
    harness.accept(dependent_job("job-8", &["job-6"]));
    harness.cancel("job-6");
    harness.commit_all();
    assert_eq!(harness.job_state("job-5"), Some(JobState::Running), "the dependency keeps running");
}

/// A cancellation that is answered `done` cancels no dependents, because the completion is
/// written first.
#[test]
fn a_cancellation_answered_done_cancels_no_dependents() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    harness.accept(sample("job-1", "red", 1, 1.0));
    harness.accept(dependent_job("job-2", &["job-1"]));
    let first = harness.starts_for_heartbeat(2, vec![]);
    harness.starts_for_heartbeat(3, vec![task_status(&first[0], DONE)]);
    let reply = harness.cancel("job-1");
    harness.commit_all();
    assert_eq!(harness.answer(reply).map(|answer| answered_state(&answer)), Some("done".into()));
    assert_eq!(harness.starts_for_heartbeat(4, vec![]).len(), 1);
    // A done dependency stays done when its dependent is cancelled.
    harness.cancel("job-2");
    harness.commit_all();
    assert_eq!(harness.job_state("job-2"), Some(JobState::Cancelled));
}

/// A new leader reaches the same decisions, at whatever point its predecessor stopped.
#[test]
fn dependencies_have_the_same_effect_after_a_failover() {
    let done = DependencyState::Done { at_ms: Some(NOW_MS) };
    for (state, starts_job) in
        [(done, true), (DependencyState::Unfinished, false), (DependencyState::Absent, false)]
    {
        let mut harness = harness_with_snapshot(
            vec![unstarted_job(dependent_job("job-2", &["job-1"]))],
            &[("job-1", state)],
        );
        harness.starts_for_heartbeat(2, vec![]);
        harness.commit_all();
        assert_eq!(!harness.starts_for_heartbeat(3, vec![]).is_empty(), starts_job, "{state:?}");
        assert_eq!(harness.job_state("job-2"), Some(JobState::Queued));
    }
    // The last task has ended, but the completion is not written.
    let mut ended = loaded_job(sample("job-1", "red", 1, 1.0));
    assert!(ended.record.done.insert(0));
    let mut harness =
        harness_with_snapshot(vec![unstarted_job(dependent_job("job-2", &["job-1"])), ended], &[]);
    assert!(harness.starts_for_heartbeat(2, vec![]).is_empty());
    // The cancellation of job-1 is committed, but those of its direct and indirect dependents are
    // not.
    let mut cancelled = loaded_job(sample("job-1", "red", 1, 1.0));
    cancelled.record.cancelled = true;
    let jobs = ["job-2", "job-3"].map(|job| (job, if job == "job-2" { "job-1" } else { "job-2" }));
    let waiting = jobs.map(|(job, dependency)| unstarted_job(dependent_job(job, &[dependency])));
    let mut harness = harness_with_snapshot(waiting.into_iter().chain([cancelled]).collect(), &[]);
    assert_eq!(harness.job_states(&["job-2", "job-3"]), [Some(JobState::Cancelled); 2]);
    let cancels = harness.commit_all();
    assert!(cancels.iter().any(|t| t.changes.iter().any(|change| change.key() == "rec/job-3")));
    // The same, with the row of job-1 archived already.
    let waiting = jobs.map(|(job, dependency)| unstarted_job(dependent_job(job, &[dependency])));
    let mut harness = harness_with_snapshot(waiting.into(), &[("job-1", DependencyState::Cancelled)]);
    assert_eq!(harness.job_states(&["job-2", "job-3"]), [Some(JobState::Cancelled); 2]);
    harness.commit_all();
    assert!(harness.starts_for_heartbeat(2, vec![]).is_empty());
}

/// Users set the priority on the last job of a chain; its dependencies are ordered by the same
/// priority.
#[test]
fn a_job_is_ordered_by_the_priority_of_its_dependents() {
    let mut harness = Harness::with_machines(&["vm-1"]);
    harness.accept(sample("job-0", "red", 1, 6.0));
    let occupied = harness.starts_for_heartbeat(2, vec![]);
    let best_effort_job =
        |job: &str| JobSpec { priority: Priority::BestEffort, ..sample(job, "blue", 1, 2.0) };
    harness.accept(best_effort_job("job-1"));
    harness.accept(best_effort_job("job-2"));
    harness.accept(JobSpec { priority: Priority::Critical, ..dependent_job("job-3", &["job-2"]) });
    let first = harness.starts_for_heartbeat(3, vec![task_status(&occupied[0], TaskState::Running)]);
    assert_eq!(job_ids(&first), [id("job-2")]);
}

/// A dependency list that no record can hold under the announced limits is rejected.
#[test]
fn a_dependency_list_too_large_for_a_record_is_rejected() {
    let mut config = Config { settings: settings::tests::sample(), tuning: policy::tests::tuning() };
    let announced =
        settings::AnnouncedLimits { rps: None, write_rps: None, value_kb: Some(2.0), txn_ops: None };
    config.settings.cluster.kv.next = Some(announced);
    let mut harness = Harness::with_config(Vec::new(), vec![single_machine_pool("vm-1", true)], config);
    let names: Vec<String> = (0..200).map(|n| format!("job-{n:06}")).collect();
    for name in &names {
        harness.accept(sample(name, "blue", 1, 1.0));
    }
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    harness.accept(dependent_job("job-x", &names[..50]));
    harness.submit(dependent_job("job-y", &names));
    assert_eq!(harness.record_lookups.pop().map(|(_, if_absent)| if_absent.status), Some(422));
}

/// A description of how an admission in flight ends, and the function that ends it.
type AdmissionPath = (&'static str, fn(&mut Harness));

/// Whichever path brings a job into memory (a committed admission, whose outcome the client of the
/// state service may have read back, an admission requested twice, a failover or the reconciler),
/// the job starts only once its dependencies are known to be done.
#[test]
fn a_dependent_job_waits_whether_submitted_retried_restored_or_failed_over() {
    let dependent = || dependent_job("job-2", &["job-1"]);
    let submit_dependent = |harness: &mut Harness| {
        harness.accept(sample("job-1", "red", 1, 8.0));
        harness.submit(dependent());
    };
    let paths: [AdmissionPath; 3] = [
        ("committed", |harness| drop(harness.commit_all())),
        ("submitted again while in flight", |harness| {
            harness.submit(dependent_job("job-2", &["job-1"]));
            harness.commit_all();
        }),
        ("refused, and restored by the reconciler", |harness| {
            harness.fail_next_commit(KvError::Conflict);
            let restored = Snapshot {
                jobs: vec![unstarted_job(dependent_job("job-2", &["job-1"]))],
                ..Snapshot::default()
            };
            harness.leader.restore_snapshot(harness.now, NOW_MS, restored);
            harness.advance(harness.config.failover_lease_timeout().as_secs_f64() + 1.0);
        }),
    ];
    for (path, finish_admission) in paths {
        let mut harness = Harness::with_machines(&["vm-1"]);
        submit_dependent(&mut harness);
        finish_admission(&mut harness);
        let first = harness.starts_for_heartbeat(2, vec![]);
        assert_eq!(job_ids(&first), [id("job-1")], "{path}");
        harness.starts_for_heartbeat(3, vec![task_status(&first[0], DONE)]);
        assert!(
            harness.starts_for_heartbeat(4, vec![]).is_empty(),
            "{path}: the completion of job-1 is not committed"
        );
        harness.commit_all();
        harness.starts_for_heartbeat(5, vec![]);
        harness.commit_all();
        assert_eq!(harness.starts_for_heartbeat(6, vec![]).len(), 1, "{path}: ready");
    }
    // After a failover, once with the dependency in memory and once with its record unreadable.
    let dependency = unstarted_job(sample("job-1", "red", 1, 8.0));
    let mut harness = harness_with_snapshot(vec![unstarted_job(dependent()), dependency], &[]);
    harness.starts_for_heartbeat(2, vec![]);
    harness.commit_all();
    let first = harness.starts_for_heartbeat(3, vec![]);
    assert_eq!(job_ids(&first), [id("job-1")]);
    let mut harness =
        harness_with_snapshot(vec![unstarted_job(dependent())], &[("job-1", DependencyState::Unreadable)]);
    harness.starts_for_heartbeat(2, vec![]);
    harness.commit_all();
    assert!(harness.starts_for_heartbeat(3, vec![]).is_empty());
}

/// Guards against a failover whose turn grows with the square of a pipeline's length: each job has a
/// deadline of its own, and every job that is inserted changes what all before it inherit.
#[test]
fn a_new_leader_restores_a_pipeline_at_the_cost_of_its_edges() {
    const LENGTH: u32 = 300;
    let job_name = |number: u32| format!("job-{number:03}");
    let snapshot = |number: u32| {
        let spec = dependent_job(&job_name(number), &[&job_name(number - 1)]);
        unstarted_job(JobSpec { deadline_s: Some(100_000.0), ..spec })
    };
    let in_order = harness_with_snapshot((1..=LENGTH).map(snapshot).collect(), &[]);
    let reversed = harness_with_snapshot((1..=LENGTH).rev().map(snapshot).collect(), &[]);
    for harness in [in_order, reversed] {
        let (jobs, edges) = (u64::from(LENGTH) + 1, u64::from(LENGTH));
        // Ranks, cancellations and urgencies each visit a job and follow an edge once.
        let max_steps = 3 * (jobs + edges);
        let steps = harness.leader.dependencies.steps();
        assert!(steps <= max_steps, "{steps} steps");
        let first = harness.leader.dependencies.inherited(&id(&job_name(0)));
        assert!(first.is_some_and(|urgency| urgency.finish_by.is_some()));
    }
}
