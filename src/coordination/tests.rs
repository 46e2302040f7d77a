//! The leader against scripted workers, state service and cloud, on a clock
//! that only moves when told.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::agents::ReportReply;
use super::cloud::{CloudCall, CloudError, CloudReply};
use super::leader::{Action, Answer, Config, Leader, Loaded, LoadedJob};
use super::model::ReplyTo;
use crate::policy;
use crate::protocol::cbor::{Fields, decode};
use crate::protocol::cloud::{HireRequest, ListPage, Listed, ListedState, MachineType};
use crate::protocol::jobs::tests::sample;
use crate::protocol::jobs::{JobId, JobSpec, Priority, Standing, TaskId};
use crate::protocol::state::Change;
use crate::protocol::workers::{ExitCause, MachineId, Order, Report, TaskReport, TaskState};
use crate::settings;
use crate::storage::records::{HIRES, HireRecord, JobRecord, live_key, over_key, record_key};
use crate::storage::service::{Class, StoreError, Transaction};

const EPOCH: u64 = 40;
const MS: u64 = 1_000_000;

struct Rig {
    leader: Leader,
    now: Instant,
    config: Arc<Config>,
    version: u64,
    answers: Vec<(ReplyTo, Answer)>,
    lookups: Vec<(JobId, Answer)>,
    commits: Vec<(u64, Transaction)>,
    direct: Vec<Order>,
    cloud: Vec<(u64, CloudCall)>,
    replies: u64,
}

fn id(text: &str) -> JobId {
    JobId::parse(text).expect("valid id")
}

fn machine(text: &str) -> MachineId {
    MachineId::parse(text).expect("valid name")
}

fn catalog() -> Vec<MachineType> {
    vec![MachineType {
        name: "m8".into(),
        cpus: 8.0,
        gpus: 0.0,
        memory_gb: 32.0,
        cache_gb: 20.0,
        fetch_gb_per_s: 1.0,
        price: 1.0,
        spot_price: 0.4,
        boot_s: 30.0,
        zones: vec!["z1".into(), "z2".into()],
    }]
}

/// A fleet record of one machine in zone `z1`.
fn hired(name: &str, used: bool) -> (HireRecord, u64) {
    let request = HireRequest {
        name: format!("1-{name}"),
        machine_type: "m8".into(),
        zone: if name.ends_with('b') { "z2".into() } else { "z1".into() },
        spot: false,
        count: 1,
    };
    let id = machine(name);
    (
        HireRecord {
            request,
            machines: Some(vec![id.clone()]),
            used: used.then_some(id).into_iter().collect(),
        },
        3,
    )
}

/// A job of which every task may have begun.
fn loaded_job(spec: JobSpec) -> LoadedJob {
    let begun = spec.tasks;
    let record = JobRecord { begun, ..JobRecord::new(spec, MS) };
    LoadedJob { record, version: 5, live_version: 5, block_versions: Vec::new() }
}

impl Rig {
    /// A leader that has just read these records. Idle machines stay for two boots,
    /// so that tests of other things keep theirs.
    fn new(jobs: Vec<LoadedJob>, hires: Vec<(HireRecord, u64)>) -> Self {
        let tuning = policy::Tuning { preempt_loss_s: 8.0, idle_ratio: 2.0, ..policy::tests::tuning() };
        Rig::tuned(jobs, hires, tuning)
    }

    fn tuned(jobs: Vec<LoadedJob>, hires: Vec<(HireRecord, u64)>, tuning: policy::Tuning) -> Self {
        let config = Arc::new(Config { settings: settings::tests::sample(), tuning });
        let now = Instant::now();
        let loaded = Loaded { jobs, hires, catalog: Some((catalog(), 2)), experience: None };
        let mut leader = Leader::new(config.clone(), EPOCH, now, MS, loaded);
        leader.extend(now, now + Duration::from_secs(3600));
        let mut rig = Rig {
            leader,
            now,
            config,
            version: 100,
            answers: Vec::new(),
            lookups: Vec::new(),
            commits: Vec::new(),
            direct: Vec::new(),
            cloud: Vec::new(),
            replies: 0,
        };
        rig.collect();
        rig
    }

    /// With machines that are up, known and recorded as used.
    fn with_machines(names: &[&str]) -> Self {
        let mut rig = Rig::new(Vec::new(), names.iter().map(|n| hired(n, true)).collect());
        for name in names {
            rig.beat(name, 1, EPOCH, vec![]);
        }
        rig
    }

    fn collect(&mut self) {
        for action in self.leader.take_actions() {
            match action {
                Action::Answer { to, answer } => self.answers.push((to, answer)),
                Action::LookUp { job, otherwise, .. } => self.lookups.push((job, otherwise)),
                Action::Commit { ticket, transaction } => self.commits.push((ticket, transaction)),
                Action::Cloud { ticket, call } => self.cloud.push((ticket, call)),
                Action::Direct { orders, .. } => self.direct.extend(orders),
                Action::Over(_) => {}
            }
        }
    }

    /// The state service carries out all that waits; what that entails, too.
    fn commit_all(&mut self) -> Vec<Transaction> {
        let mut all = Vec::new();
        while !self.commits.is_empty() {
            for (ticket, transaction) in std::mem::take(&mut self.commits) {
                self.version += 1;
                self.leader.committed(self.now, ticket, Ok(self.version));
                all.push(transaction);
            }
            self.collect();
        }
        all
    }

    fn fail_commit(&mut self, error: StoreError) {
        let (ticket, _) = self.commits.remove(0);
        self.leader.committed(self.now, ticket, Err(error));
        self.collect();
    }

    fn pass(&mut self, seconds: f64) {
        self.now += Duration::from_secs_f64(seconds);
        self.leader.tick(self.now);
        self.collect();
    }

    fn report(
        &mut self,
        name: &str,
        session: u64,
        seq: u64,
        token: u64,
        tasks: Vec<TaskReport>,
    ) -> ReportReply {
        self.report_with(name, session, seq, token, None, tasks)
    }

    fn report_with(
        &mut self,
        name: &str,
        session: u64,
        seq: u64,
        token: u64,
        notice_s: Option<f64>,
        tasks: Vec<TaskReport>,
    ) -> ReportReply {
        let report = Report {
            machine: machine(name),
            address: "127.0.0.1:9".into(),
            machine_type: "m8".into(),
            zone: if name.ends_with('b') { "z2".into() } else { "z1".into() },
            spot: false,
            session,
            seq,
            token,
            notice_s,
            tasks,
        };
        let reply = self.leader.report(self.now, &report);
        self.collect();
        reply
    }

    /// A report of the first session; returns the orders.
    fn beat(&mut self, name: &str, seq: u64, token: u64, tasks: Vec<TaskReport>) -> Vec<Order> {
        match self.report(name, 1, seq, token, tasks) {
            ReportReply::Orders { token: EPOCH, orders } => orders,
            other => panic!("no answer: {other:?}"),
        }
    }

    fn submit(&mut self, spec: JobSpec) -> ReplyTo {
        self.replies += 1;
        let to = ReplyTo(self.replies);
        self.leader.submit(self.now, MS, to, spec);
        self.collect();
        to
    }

    fn accept(&mut self, spec: JobSpec) {
        let to = self.submit(spec);
        self.commit_all();
        assert_eq!(self.answer(to).map(|a| a.status), Some(201));
    }

    fn withdraw(&mut self, job: &str) -> ReplyTo {
        self.replies += 1;
        let to = ReplyTo(self.replies);
        assert!(self.leader.withdraw(self.now, to, &id(job)));
        self.collect();
        to
    }

    fn answer(&self, to: ReplyTo) -> Option<Answer> {
        self.answers.iter().find(|(t, _)| *t == to).map(|(_, a)| a.clone())
    }

    fn standing(&self, job: &str) -> Option<Standing> {
        self.leader.poll(self.now, &id(job)).map(|s| s.standing)
    }
}

fn starts(orders: &[Order]) -> Vec<(TaskId, u64)> {
    orders
        .iter()
        .filter_map(|o| match o {
            Order::Start { task, attempt } => Some((task.clone(), *attempt)),
            _ => None,
        })
        .collect()
}

fn listed(start: &(TaskId, u64), state: TaskState) -> TaskReport {
    TaskReport { task: start.0.clone(), attempt: start.1, state }
}

const DONE: TaskState = TaskState::Exited(ExitCause::Done);

fn told(answer: &Answer) -> String {
    let value = decode(&answer.body).expect("CBOR");
    Fields::of(&value).and_then(|f| f.text("standing").map(str::to_owned)).expect("a standing")
}

#[test]
fn a_fenced_write_ends_the_epoch_and_tells_the_user_nothing_untrue() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    let to = rig.submit(sample("job-1", "red", 1, 1.0));
    assert_eq!(rig.commits[0].1.epoch, EPOCH);
    rig.fail_commit(StoreError::Fenced);
    assert_eq!(rig.answer(to).map(|a| (a.status, a.retry_after_s)), Some((503, Some(1))));
    assert!(rig.leader.is_over());
    // Nothing of the stale epoch gets out any more.
    assert_eq!(rig.report("vm-1", 1, 9, EPOCH, vec![]), ReportReply::Elsewhere);
    let late = rig.submit(sample("job-2", "red", 1, 1.0));
    assert_eq!(rig.answer(late).map(|a| a.status), Some(503));
    assert!(rig.commits.is_empty());
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
    rig.leader.extend(rig.now, end);
    rig.now = end;
    assert!(!rig.leader.valid(rig.now));
    assert_eq!(rig.standing("job-1"), None);
    // Renewed after all, with the key unchanged: the epoch goes on.
    rig.leader.extend(rig.now, rig.now + Duration::from_secs(9));
    assert_eq!(rig.standing("job-1"), Some(Standing::Queued));
}

/// Frozen past its lease and the grace, clocks running on: what it finds when it
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
    rig.leader.extend(rig.now, end);
    rig.now = end + rig.config.grace() + Duration::from_secs(20);
    for (seq, tasks) in [(6, running.clone()), (7, running), (8, vec![])] {
        assert_eq!(rig.report("vm-1", 1, seq, EPOCH, tasks), ReportReply::Elsewhere);
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
    rig.leader.extend(rig.now, end);
    rig.now = end + rig.config.grace() / 2;
    let report = vec![listed(&start, DONE)];
    assert_eq!(rig.beat("vm-1", 6, EPOCH, report.clone()), vec![], "no start, no reap");
    assert!(rig.commits.is_empty());
    // One that this epoch has not heard, or that another leads by now.
    assert_eq!(rig.report("vm-9", 1, 1, EPOCH, vec![]), ReportReply::Elsewhere);
    assert_eq!(rig.report("vm-1", 1, 7, EPOCH + 1, vec![]), ReportReply::Elsewhere);
    rig.now = end + rig.config.grace();
    assert_eq!(rig.report("vm-1", 1, 7, EPOCH, report.clone()), ReportReply::Elsewhere);
    // Resumed, the same report is news.
    rig.leader.extend(rig.now, rig.now + Duration::from_secs(60));
    assert_eq!(starts(&rig.beat("vm-1", 8, EPOCH, report)).len(), 1);
}

#[test]
fn after_a_takeover_old_jobs_wait_for_a_silent_machine_and_new_ones_do_not() {
    let old = loaded_job(sample("job-1", "red", 2, 1.0));
    let mut rig = Rig::new(vec![old], vec![hired("vm-1", true), hired("vm-2", true), hired("vm-3", false)]);
    // The first report does not carry the epoch: nothing in it is trusted.
    assert_eq!(rig.beat("vm-1", 5, EPOCH - 1, vec![]), vec![]);
    assert_eq!(rig.beat("vm-1", 6, EPOCH, vec![]), vec![], "vm-2 may hold both tasks");
    rig.accept(sample("job-2", "red", 1, 1.0));
    let orders = rig.beat("vm-1", 7, EPOCH, vec![]);
    assert_eq!(starts(&orders).iter().map(|s| s.0.job.clone()).collect::<Vec<_>>(), [id("job-2")]);
    // vm-3 never had a start, so only vm-2 is waited for: its whole lease.
    // An earlier leader may have answered it in its grace, too.
    let proof = rig.config.takeover_proof().as_secs_f64();
    let running = listed(&starts(&orders)[0], TaskState::Running);
    let mut seq = 8;
    while rig.now + Duration::from_secs(3) < rig.leader.loaded_at + Duration::from_secs_f64(proof) {
        rig.pass(2.0);
        assert_eq!(rig.beat("vm-1", seq, EPOCH, vec![running.clone()]), vec![]);
        seq += 1;
    }
    rig.pass(3.1);
    assert_eq!(starts(&rig.beat("vm-1", seq, EPOCH, vec![running])).len(), 2);
}

#[test]
fn a_new_leader_adopts_what_it_finds_and_starts_only_the_rest() {
    let old = loaded_job(sample("job-1", "red", 3, 1.0));
    let mut rig = Rig::new(vec![old], vec![hired("vm-1", true)]);
    let task = |index| TaskId { job: id("job-1"), index };
    let found = vec![
        TaskReport { task: task(0), attempt: 7, state: TaskState::Running },
        TaskReport { task: task(2), attempt: 9, state: DONE },
    ];
    assert_eq!(rig.beat("vm-1", 5, EPOCH - 1, found.clone()), vec![]);
    let orders = rig.beat("vm-1", 6, EPOCH, found);
    let started = starts(&orders);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].0, task(1));
    assert!(started[0].1 > EPOCH, "attempts of an epoch are above all earlier ones");
    assert!(!orders.iter().any(|o| matches!(o, Order::Forget { .. })), "done is not recorded yet");
}

#[test]
fn old_repeated_and_foreign_reports_change_nothing() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    let start = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    // Held back and older than the one that was answered with a start.
    for seq in [4, 5] {
        assert_eq!(rig.report("vm-1", 1, seq, EPOCH, vec![]), ReportReply::Elsewhere);
    }
    assert_eq!(rig.beat("vm-1", 6, EPOCH, vec![listed(&start, TaskState::Running)]), vec![]);
    assert_eq!(rig.standing("job-1"), Some(Standing::Running));
    // A higher token than ours: another leads, and a 200 would be dropped.
    assert_eq!(rig.report("vm-1", 1, 7, EPOCH + 1, vec![]), ReportReply::Elsewhere);
}

#[test]
fn a_task_is_not_started_again_while_it_may_be_somewhere() {
    let mut rig = Rig::with_machines(&["vm-1", "vm-2b"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    let first = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    // vm-1 falls silent: the start may have arrived, so vm-2b gets nothing
    // before vm-1's whole lease is over.
    let proof = rig.config.lease_proof().as_secs_f64();
    let mut seq = 5;
    let begin = rig.now;
    while (rig.now - begin).as_secs_f64() + 2.0 < proof {
        rig.pass(2.0);
        seq += 1;
        assert_eq!(starts(&rig.beat("vm-2b", seq, EPOCH, vec![])), vec![]);
    }
    rig.pass(2.1);
    let second = starts(&rig.beat("vm-2b", seq + 1, EPOCH, vec![])).remove(0);
    assert_eq!(second.0, first.0);
    assert_ne!(second.1, first.1, "an attempt number is never used twice");
    // A report held back from the ended session changes nothing.
    rig.report("vm-1", 1, 6, EPOCH, vec![listed(&first, TaskState::Running)]);
    assert_eq!(starts(&rig.beat("vm-2b", seq + 2, EPOCH, vec![listed(&second, TaskState::Running)])), vec![]);
}

#[test]
fn a_start_whose_answer_was_lost_is_sent_again_under_a_new_attempt() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    let first = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    // The next report does not list it: the worker dropped the answer.
    let second = starts(&rig.beat("vm-1", 6, EPOCH, vec![])).remove(0);
    assert_eq!(first.0, second.0);
    assert_ne!(first.1, second.1);
    // A new session begins without tasks.
    let reply = rig.report("vm-1", 2, 1, EPOCH, vec![]);
    assert!(matches!(reply, ReportReply::Orders { orders, .. } if starts(&orders).len() == 1));
}

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
    rig.leader.cloud_done(rig.now, ticket, Err(CloudError::Failed));
    assert_eq!(starts(&rig.beat("vm-2", seq + 1, EPOCH, vec![])), vec![]);
    // Asked again after a pause.
    rig.cloud.clear();
    rig.pass(2.1);
    let (ticket, _) =
        rig.cloud.iter().find(|(_, c)| matches!(c, CloudCall::Delete(_))).cloned().expect("again");
    rig.leader.cloud_done(rig.now, ticket, Ok(CloudReply::Deleted));
    assert_eq!(starts(&rig.beat("vm-2", seq + 2, EPOCH, vec![])).len(), 1);
    assert_eq!(
        rig.report("vm-1", 1, 6, EPOCH, vec![]),
        ReportReply::Elsewhere,
        "a late copy revives nothing"
    );
}

#[test]
fn limits_count_tasks_that_cannot_be_reached() {
    // Team red may use 16 CPUs; two tasks of 6 fit, a third does not, whether
    // or not the machine that has them answers.
    let mut rig = Rig::with_machines(&["vm-1", "vm-2b", "vm-3"]);
    rig.accept(sample("job-1", "red", 3, 6.0));
    assert_eq!(starts(&rig.beat("vm-1", 5, EPOCH, vec![])).len(), 1);
    assert_eq!(starts(&rig.beat("vm-2b", 5, EPOCH, vec![])).len(), 1);
    for seq in 5..9 {
        rig.pass(2.0);
        assert_eq!(starts(&rig.beat("vm-3", seq, EPOCH, vec![])), vec![]);
    }
    let usage = rig.leader.teams[0].used.cpus;
    assert!((usage - 12.0).abs() < 1e-9);
}

#[test]
fn unheard_machines_count_against_limits_at_the_worst() {
    let mut rig = Rig::new(Vec::new(), vec![hired("vm-1", true), hired("vm-2", true), hired("vm-3", true)]);
    rig.beat("vm-1", 1, EPOCH, vec![]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    // 16 CPUs on the two unheard machines may all be the team's.
    assert_eq!(starts(&rig.beat("vm-1", 2, EPOCH, vec![])), vec![]);
    assert_eq!(starts(&rig.beat("vm-2", 1, EPOCH, vec![])).len(), 1);
}

/// The same where the machines are entered only once their types are known, after
/// the queue was ordered: what it counted on unheard machines then was nothing.
#[test]
fn machines_entered_late_count_against_limits_at_once() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    let hires = ["vm-1", "vm-2", "vm-3"].map(|name| hired(name, true)).to_vec();
    let jobs = vec![LoadedJob {
        record: JobRecord::new(sample("job-1", "red", 1, 1.0), MS),
        version: 5,
        live_version: 5,
        block_versions: Vec::new(),
    }];
    let loaded = Loaded { jobs, hires, catalog: None, experience: None };
    rig.leader = Leader::new(rig.config.clone(), EPOCH, rig.now, MS, loaded);
    rig.leader.extend(rig.now, rig.now + Duration::from_secs(3600));
    rig.cloud.clear();
    rig.pass(0.1);
    let (ticket, _) = rig.cloud.iter().find(|(_, c)| *c == CloudCall::Catalog).cloned().expect("asked for");
    rig.leader.cloud_done(rig.now, ticket, Ok(CloudReply::Catalog(catalog())));
    rig.collect();
    for seq in 1..4 {
        assert_eq!(starts(&rig.beat("vm-1", seq, EPOCH, vec![])), vec![]);
        rig.commit_all();
    }
    assert_eq!(starts(&rig.beat("vm-2", 1, EPOCH, vec![])).len(), 1);
}

#[test]
fn a_cancellation_overtakes_a_start_in_flight() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 2, 8.0));
    let start = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    let to = rig.withdraw("job-1");
    assert_eq!(rig.answer(to), None, "not told before it is recorded");
    let written = rig.commit_all();
    assert_eq!(told(&rig.answer(to).expect("answered")), "cancelled");
    // A start may still be on its way: the row stays among the live.
    assert!(!written.iter().any(|t| t.changes.iter().any(|c| c.key() == over_key(&id("job-1")))));
    let orders = rig.beat("vm-1", 6, EPOCH, vec![listed(&start, TaskState::Fetching)]);
    assert_eq!(orders, [Order::Stop { task: start.0.clone(), attempt: start.1, grace_s: 0.0 }]);
    let stopped = TaskState::Exited(ExitCause::Stopped { saved: false });
    let orders = rig.beat("vm-1", 7, EPOCH, vec![listed(&start, stopped)]);
    assert_eq!(orders, [Order::Forget { task: start.0, attempt: start.1 }], "and nothing of it starts again");
    let moved = rig.commit_all();
    assert_eq!(moved[0].changes[0].key(), over_key(&id("job-1")));
}

#[test]
fn a_settle_is_recorded_before_the_row_and_before_the_worker_may_forget() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    let start = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    let orders = rig.beat("vm-1", 6, EPOCH, vec![listed(&start, DONE)]);
    assert_eq!(orders, vec![], "no reap before the record");
    assert_ne!(rig.standing("job-1"), Some(Standing::Done), "not told before it is recorded");
    // A withdrawal now is answered by the settle that is on its way.
    let to = rig.withdraw("job-1");
    let written = rig.commit_all();
    let keys: Vec<Vec<&str>> = written.iter().map(|t| t.changes.iter().map(Change::key).collect()).collect();
    assert_eq!(keys[0], [record_key(&id("job-1"))]);
    assert_eq!(keys[1], [over_key(&id("job-1")), live_key(&id("job-1"))]);
    assert_eq!(told(&rig.answer(to).expect("answered")), "done");
    let orders = rig.beat("vm-1", 7, EPOCH, vec![listed(&start, DONE)]);
    assert_eq!(orders, [Order::Forget { task: start.0, attempt: start.1 }]);
}

#[test]
fn a_lagging_row_is_repaired_from_the_record_after_a_takeover() {
    let mut settled = loaded_job(sample("job-1", "red", 1, 1.0));
    settled.record.settled = true;
    let mut rig = Rig::new(vec![settled], vec![hired("vm-1", true)]);
    assert_eq!(rig.standing("job-1"), Some(Standing::Done));
    assert!(rig.commits.is_empty(), "not while a machine may still hold a task of it");
    rig.beat("vm-1", 5, EPOCH, vec![]);
    let moved = rig.commit_all();
    assert!(moved.iter().any(|t| t.changes.iter().any(|c| c.key() == over_key(&id("job-1")))));
}

#[test]
fn a_revived_job_waits_until_no_machine_can_still_hold_its_tasks() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.leader.revive(rig.now, MS, vec![loaded_job(sample("job-1", "red", 1, 1.0))]);
    assert_eq!(starts(&rig.beat("vm-1", 5, EPOCH, vec![])), vec![]);
    let mut seq = 5;
    while rig.now < rig.leader.loaded_at + rig.config.takeover_proof() {
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
    rig.fail_commit(StoreError::Conflict);
    assert_eq!(rig.lookups.len(), 1);
    // What could not be accepted today may have been accepted earlier.
    rig.submit(sample("job-2", "nobody", 1, 1.0));
    let (job, otherwise) = &rig.lookups[1];
    assert_eq!((job, otherwise.status), (&id("job-2"), 422));
    rig.submit(sample("job-3", "red", 1, 9.0));
    assert_eq!(rig.lookups[2].1.status, 422);
    let mut service = sample("job-4", "red", 5, 4.0);
    service.form = crate::protocol::jobs::Form::Service;
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
fn together_and_scatter_count_tasks_wherever_they_may_be() {
    let mut rig = Rig::with_machines(&["vm-1", "vm-2b"]);
    let mut together = sample("job-1", "red", 2, 8.0);
    together.one_zone = true;
    rig.accept(together);
    let first = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    assert_eq!(starts(&rig.beat("vm-2b", 5, EPOCH, vec![])), vec![], "the other zone");
    rig.withdraw("job-1");
    rig.commit_all();
    rig.beat("vm-1", 6, EPOCH, vec![listed(&first, TaskState::Exited(ExitCause::Stopped { saved: false }))]);
    rig.commit_all();
    let mut scatter = sample("job-2", "red", 4, 1.0);
    scatter.spread = true;
    rig.accept(scatter);
    assert_eq!(starts(&rig.beat("vm-1", 7, EPOCH, vec![])).len(), 2, "at most half in one zone");
    assert_eq!(starts(&rig.beat("vm-2b", 7, EPOCH, vec![])).len(), 2);
}

#[test]
fn a_machine_that_fails_every_task_is_condemned_but_a_bad_job_condemns_none() {
    let mut rig = Rig::with_machines(&["vm-1", "vm-2b", "vm-3", "vm-4b"]);
    rig.accept(sample("job-1", "red", 4, 1.0));
    let failed = |s: &(TaskId, u64)| listed(s, TaskState::Exited(ExitCause::Error));
    let started = starts(&rig.beat("vm-1", 5, EPOCH, vec![]));
    assert_eq!(started.len(), 4);
    let again = rig.beat("vm-1", 6, EPOCH, started.iter().map(failed).collect());
    assert_eq!(starts(&again), vec![], "nothing more is placed on a sick machine");
    // The tasks go elsewhere, and fail there too: then it is the job.
    for name in ["vm-2b", "vm-3"] {
        let started = starts(&rig.beat(name, 5, EPOCH, vec![]));
        rig.beat(name, 6, EPOCH, started.iter().take(2).map(failed).collect());
    }
    rig.accept(sample("job-2", "blue", 1, 1.0));
    rig.pass(1.0);
    let placed: usize =
        ["vm-2b", "vm-3", "vm-4b"].map(|name| starts(&rig.beat(name, 7, EPOCH, vec![])).len()).iter().sum();
    assert!(placed > 0, "only vm-1 is sick");
    assert_eq!(starts(&rig.beat("vm-1", 7, EPOCH, vec![])), vec![]);
    assert!(rig.standing("job-1").is_some_and(|s| !s.is_final()), "a failing job is never given up");
}

#[test]
fn a_guarantee_takes_back_what_others_borrowed_and_equals_take_nothing() {
    let mut rig = Rig::with_machines(&["vm-1", "vm-2b"]);
    let mut borrower = sample("job-1", "blue", 2, 8.0);
    borrower.priority = Priority::Critical;
    rig.accept(borrower);
    let a = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    let b = starts(&rig.beat("vm-2b", 5, EPOCH, vec![])).remove(0);
    rig.beat("vm-1", 6, EPOCH, vec![listed(&a, TaskState::Running)]);
    rig.beat("vm-2b", 6, EPOCH, vec![listed(&b, TaskState::Running)]);
    rig.accept(sample("job-2", "red", 1, 4.0));
    rig.pass(5.0);
    assert_eq!(rig.direct.len(), 1, "one of blue's two is beyond its guarantee");
    // Beyond its own guarantee of 8 red has no claim.
    rig.accept(sample("job-3", "red", 4, 4.0));
    rig.pass(2.0);
    assert_eq!(rig.direct.len(), 1);
}

#[test]
fn a_machine_is_used_only_once_the_record_says_so() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    rig.accept(sample("job-1", "red", 1, 1.0));
    // Nobody expected it: entered first, by name, then marked as used.
    assert_eq!(rig.beat("vm-9", 1, 0, vec![]), vec![]);
    assert_eq!(rig.beat("vm-9", 2, EPOCH, vec![]), vec![]);
    assert_eq!(rig.beat("vm-9", 3, EPOCH, vec![]), vec![], "not recorded yet");
    rig.commit_all();
    rig.pass(1.1);
    rig.commit_all();
    assert_eq!(starts(&rig.beat("vm-9", 4, EPOCH, vec![])).len(), 1);
}

#[test]
fn an_unresolved_hire_is_asked_again_under_its_own_name() {
    let (mut record, version) = hired("vm-1", false);
    record.machines = None;
    let name = record.request.name.clone();
    let mut rig = Rig::new(Vec::new(), vec![(record, version)]);
    rig.pass(3.0);
    let (ticket, call) =
        rig.cloud.iter().find(|(_, c)| matches!(c, CloudCall::Hire(_))).cloned().expect("asked again");
    assert!(matches!(call, CloudCall::Hire(r) if r.name == name));
    rig.leader.cloud_done(rig.now, ticket, Ok(CloudReply::Hired(vec![machine("vm-1")])));
    rig.collect();
    rig.commit_all();
    rig.accept(sample("job-1", "red", 1, 1.0));
    rig.beat("vm-1", 1, EPOCH, vec![]);
    rig.commit_all();
    rig.pass(1.1);
    rig.commit_all();
    assert_eq!(starts(&rig.beat("vm-1", 2, EPOCH, vec![])).len(), 1);
}

fn in_list(name: &str, state: ListedState) -> Listed {
    Listed {
        machine: machine(name),
        address: String::new(),
        machine_type: "m8".into(),
        zone: "z1".into(),
        spot: false,
        state,
        age_s: 1.0,
    }
}

#[test]
fn one_old_list_does_not_cost_a_machine() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    let entry = |state| in_list("vm-1", state);
    let list = |rig: &mut Rig, machines: Vec<Listed>| {
        rig.cloud.clear();
        rig.pass(4.2);
        let found = rig.cloud.iter().find(|(_, c)| matches!(c, CloudCall::List { .. })).cloned();
        let (ticket, _) = found.expect("lists are read again and again");
        rig.cloud.clear();
        rig.leader.cloud_done(rig.now, ticket, Ok(CloudReply::List(ListPage { machines, more: false })));
        rig.collect();
        rig.cloud.iter().any(|(_, c)| matches!(c, CloudCall::Delete(_)))
    };
    assert!(!list(&mut rig, vec![entry(ListedState::Running)]));
    assert!(!list(&mut rig, vec![]), "this list may be older than the last");
    assert!(list(&mut rig, vec![]), "twice, and silent: its deletion is asked for as proof");
}

/// A task that cannot save and cannot end before its machine is taken is lost
/// either way: stopped at the notice, it starts elsewhere half a minute sooner
/// than once the loss is noticed. One that can still end is left alone.
#[test]
fn at_a_notice_only_what_cannot_end_in_time_is_stopped() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    for (job, estimate_s) in [("job-1", 100.0), ("job-2", 12.0)] {
        let mut spec = sample(job, "blue", 1, 2.0);
        (spec.estimate_s, spec.checkpoint_s) = (estimate_s, 0.0);
        rig.accept(spec);
    }
    let held = starts(&rig.beat("vm-1", 2, EPOCH, vec![]));
    assert_eq!(held.len(), 2);
    let running = || held.iter().map(|s| listed(s, TaskState::Running)).collect::<Vec<_>>();
    rig.beat("vm-1", 3, EPOCH, running());
    rig.pass(5.0);
    rig.report_with("vm-1", 1, 4, EPOCH, Some(15.0), running());
    let stopped: Vec<_> = rig
        .direct
        .iter()
        .map(|o| matches!(o, Order::Stop { task, grace_s, .. } if task.job == id("job-1") && *grace_s == 0.0))
        .collect();
    assert_eq!(stopped, [true], "{:?}", rig.direct);
}

/// Takeovers faster than a machine's least billed time must not keep idle
/// machines: those that had tasks have been paid for as long already.
#[test]
fn an_idle_machine_that_worked_goes_back_soon_after_a_takeover() {
    let hires = ["vm-1", "vm-2b"].map(|name| hired(name, true)).to_vec();
    let mut rig = Rig::tuned(Vec::new(), hires, policy::tests::tuning());
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
fn a_deaf_machine_gets_few_starts_and_one_lost_answer_costs_nothing() {
    let hires = ["vm-1", "vm-2b"].map(|name| hired(name, true)).to_vec();
    let mut rig = Rig::tuned(Vec::new(), hires, policy::tests::tuning());
    for name in ["vm-1", "vm-2b"] {
        rig.beat(name, 1, EPOCH, vec![]);
    }
    rig.accept(sample("job-9", "blue", 1, 8.0));
    let other = starts(&rig.beat("vm-2b", 4, EPOCH, vec![])).remove(0);
    rig.accept(sample("job-1", "red", 1, 1.0));
    // One answer is lost: the next start goes out at once, and is heeded.
    assert_eq!(starts(&rig.beat("vm-1", 5, EPOCH, vec![])).len(), 1);
    rig.pass(7.0);
    rig.beat("vm-2b", 5, EPOCH, vec![listed(&other, TaskState::Running)]);
    assert_eq!(starts(&rig.beat("vm-1", 6, EPOCH, vec![])).len(), 1);
    rig.pass(7.0);
    rig.beat("vm-2b", 6, EPOCH, vec![listed(&other, TaskState::Running)]);
    let start = starts(&rig.beat("vm-1", 7, EPOCH, vec![])).remove(0);
    rig.beat("vm-1", 8, EPOCH, vec![listed(&start, DONE)]);
    rig.commit_all();
    rig.beat("vm-1", 9, EPOCH, vec![]);
    // From now on nothing reaches it. Its reports go on, and at every end of
    // its lease its session rises.
    rig.accept(sample("job-2", "red", 8, 1.0));
    let lease = rig.config.settings.cluster.workers.lease_s;
    let begin = rig.now;
    let (mut sent, mut seq) = (0, 9);
    while (rig.now - begin).as_secs_f64() < 3.0 * lease {
        rig.pass(5.0);
        seq += 1;
        rig.beat("vm-2b", seq, EPOCH, vec![listed(&other, TaskState::Running)]);
        let session = 1 + ((rig.now - begin).as_secs_f64() / lease) as u64;
        if let ReportReply::Orders { orders, .. } = rig.report("vm-1", session, seq, EPOCH, vec![]) {
            sent += starts(&orders).len();
        }
    }
    assert!((8..=40).contains(&sent), "{sent} starts into the void");
    // Doubted, its room counts for nothing: the other one takes the task.
    rig.report("vm-1", 8, seq, EPOCH, vec![]);
    let started = starts(&rig.beat("vm-2b", seq + 1, EPOCH, vec![listed(&other, DONE)]));
    assert_eq!(started.len(), 8);
    // Nothing counts on it, so it has been returned.
    assert!(rig.cloud.iter().any(|(_, c)| *c == CloudCall::Delete(vec![machine("vm-1")])));
}

#[test]
fn a_machine_that_hears_again_is_tried_with_a_single_start() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 3, 1.0));
    let orders_of = |rig: &mut Rig, tick, tasks| starts(&rig.beat("vm-1", tick, EPOCH, tasks));
    for tick in 5..9 {
        orders_of(&mut rig, tick, vec![]);
        rig.pass(3.0);
    }
    let vm = &rig.leader.machines[&machine("vm-1")];
    assert!(vm.doubted && !vm.wanted, "its room counts for nothing");
    let (mut probe, mut tick) = (orders_of(&mut rig, 9, vec![]), 9);
    assert!(probe.is_empty(), "no start while it is doubted");
    while probe.is_empty() && tick < 20 {
        rig.pass(3.0);
        tick += 1;
        probe = orders_of(&mut rig, tick, vec![]);
    }
    assert_eq!(probe.len(), 1);
    let rest = orders_of(&mut rig, tick + 1, vec![listed(&probe[0], TaskState::Running)]);
    assert_eq!(rest.len(), 2, "the doubt is over: all that waits");
}

#[test]
fn a_machine_deaf_through_a_takeover_holds_old_jobs_back_only_for_its_proof() {
    let old = loaded_job(sample("job-1", "red", 1, 1.0));
    let mut rig = Rig::new(vec![old], vec![hired("vm-1", true), hired("vm-2b", true)]);
    rig.beat("vm-2b", 1, EPOCH, vec![]);
    // vm-1 reports on and on, never showing the token of any answer.
    let report = rig.config.settings.cluster.workers.report_s;
    let most = rig.config.takeover_proof().as_secs_f64() + 4.0 * report;
    let begin = rig.now;
    let (mut seq, mut started_after) = (1, None);
    while started_after.is_none() && (rig.now - begin).as_secs_f64() < 2.0 * most {
        rig.pass(report);
        seq += 1;
        rig.report("vm-1", 1 + seq / 8, seq, EPOCH - 1, vec![]);
        if !starts(&rig.beat("vm-2b", seq, EPOCH, vec![])).is_empty() {
            started_after = Some((rig.now - begin).as_secs_f64());
        }
    }
    assert!(started_after.is_some_and(|after| after <= most), "{started_after:?} of {most}");
    // Its first sign of our token ends the doubt.
    assert!(!matches!(rig.report("vm-1", 99, 1, EPOCH, vec![]), ReportReply::Elsewhere));
}

#[test]
fn a_cancellation_reaches_a_deaf_machine_through_its_own_lease() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    let start = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    rig.beat("vm-1", 6, EPOCH, vec![listed(&start, TaskState::Running)]);
    let to = rig.withdraw("job-1");
    rig.commit_all();
    assert_eq!(told(&rig.answer(to).expect("answered")), "cancelled");
    // The stop is ordered with every report, and nothing else ever is.
    let stop = Order::Stop { task: start.0.clone(), attempt: start.1, grace_s: 0.0 };
    for seq in 7..10 {
        rig.pass(3.0);
        assert_eq!(
            rig.beat("vm-1", seq, EPOCH, vec![listed(&start, TaskState::Running)]),
            std::slice::from_ref(&stop)
        );
    }
    let moves = |all: Vec<Transaction>| {
        all.iter().flat_map(|t| &t.changes).any(|c| c.key() == over_key(&id("job-1")))
    };
    assert!(!moves(rig.commit_all()), "it may still run");
    // Deaf, it gave its lease up by itself: the row may follow the record.
    rig.report("vm-1", 2, 1, EPOCH, vec![]);
    assert!(moves(rig.commit_all()));
}

#[test]
fn late_copies_after_a_takeover_are_no_more_than_hints() {
    let old = loaded_job(sample("job-1", "red", 2, 1.0));
    let mut rig = Rig::new(vec![old], vec![hired("vm-1", true), hired("vm-2b", true)]);
    rig.beat("vm-2b", 1, EPOCH, vec![]);
    let task = TaskId { job: id("job-1"), index: 0 };
    let copied = vec![TaskReport { task, attempt: 7, state: TaskState::Running }];
    // Of a machine that an earlier leader deleted: it is not brought back, and
    // nobody waits for it.
    rig.report("vm-9", 4, 70, EPOCH - 1, copied.clone());
    rig.report("vm-9", 4, 71, EPOCH - 1, copied.clone());
    assert!(!rig.leader.machines.contains_key(&machine("vm-9")));
    // Of a machine that has died meanwhile: no sign of life, nothing taken,
    // and the same copy puts its proof off only once.
    let first = rig.report("vm-1", 1, 50, EPOCH - 1, copied.clone());
    assert_eq!(first, ReportReply::Orders { token: EPOCH, orders: vec![] });
    let answered = rig.leader.machines[&machine("vm-1")].answered;
    rig.pass(3.0);
    assert_eq!(rig.report("vm-1", 1, 50, EPOCH - 1, copied.clone()), ReportReply::Elsewhere);
    assert_eq!(rig.report("vm-1", 1, 49, EPOCH - 1, copied.clone()), ReportReply::Elsewhere);
    let m = &rig.leader.machines[&machine("vm-1")];
    assert_eq!((m.answered, m.heard, m.slots.len()), (answered, None, 0));
    assert_eq!(rig.standing("job-1"), Some(Standing::Queued));
    // Once it has shown the token, copies from before it change nothing.
    rig.beat("vm-1", 51, EPOCH, copied.clone());
    rig.accept(sample("job-2", "blue", 1, 1.0));
    let held = rig.leader.machines[&machine("vm-1")].slots.len();
    assert_eq!(rig.report("vm-1", 1, 60, EPOCH - 1, vec![]), ReportReply::Elsewhere);
    assert_eq!(rig.leader.machines[&machine("vm-1")].slots.len(), held);
}

#[test]
fn a_list_as_old_as_the_takeover_brings_no_deleted_machine_back() {
    let mut rig = Rig::new(Vec::new(), Vec::new());
    let lag = rig.config.settings.cluster.cloud.list_lag_s;
    for (pause, entered) in [(0.1, false), (lag * 1.05, false), (lag * 1.05, true)] {
        rig.cloud.clear();
        rig.pass(pause);
        let list = rig.cloud.iter().find(|(_, c)| matches!(c, CloudCall::List { .. })).cloned();
        let machines = vec![in_list("vm-9", ListedState::Running)];
        let answer = Ok(CloudReply::List(ListPage { machines, more: false }));
        rig.leader.cloud_done(rig.now, list.expect("read again and again").0, answer);
        rig.collect();
        // Still listed when every list must be younger, it is there.
        assert_eq!(rig.leader.hires.contains_key("x-vm-9"), entered);
    }
}

#[test]
fn copies_of_an_ended_session_revive_nothing() {
    let mut rig = Rig::with_machines(&["vm-1", "vm-2b"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    let start = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    rig.beat("vm-1", 6, EPOCH, vec![listed(&start, TaskState::Running)]);
    let mut seq = 6;
    for _ in 0..20 {
        rig.pass(2.0);
        seq += 1;
        if !starts(&rig.beat("vm-2b", seq, EPOCH, vec![])).is_empty() {
            break;
        }
    }
    // Proven gone and started elsewhere. A report that was sent before, and
    // never came, comes now, well over a lease late.
    let late = rig.report("vm-1", 1, 9, EPOCH, vec![listed(&start, TaskState::Running)]);
    assert_eq!(late, ReportReply::Elsewhere);
    assert!(rig.leader.machines.get(&machine("vm-1")).is_none_or(|m| m.slots.is_empty()));
}

#[test]
fn a_machine_back_at_once_with_lower_numbers_holds_nothing_for_ever() {
    let mut rig = Rig::with_machines(&["vm-1", "vm-2"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    let start = starts(&rig.beat("vm-1", 500, EPOCH, vec![])).remove(0);
    rig.beat("vm-1", 501, EPOCH, vec![listed(&start, TaskState::Running)]);
    // Back with an empty list and numbers of a new life: it may as well be a
    // copy, so it frees nothing, and it is not kept here by a 200.
    for (session, seq) in [(1, 1), (1, 501)] {
        for token in [0, EPOCH] {
            assert_eq!(rig.report("vm-1", session, seq, token, vec![]), ReportReply::Elsewhere);
        }
    }
    assert_eq!(rig.leader.machines[&machine("vm-1")].slots.len(), 1);
    // Nor does it count as heard: like a silent one it is replaced, and the
    // cloud's answer is the proof.
    rig.cloud.clear();
    let silent = rig.config.tuning.silence.as_secs_f64();
    let mut seq = 1;
    for _ in 0..(silent / 2.0) as u64 + 2 {
        rig.pass(2.0);
        seq += 1;
        assert_eq!(rig.report("vm-1", 1, seq, 0, vec![]), ReportReply::Elsewhere);
        assert_eq!(starts(&rig.beat("vm-2", seq, EPOCH, vec![])), vec![]);
    }
    let delete = CloudCall::Delete(vec![machine("vm-1")]);
    let (ticket, _) = rig.cloud.iter().find(|(_, c)| *c == delete).cloned().expect("replaced");
    rig.leader.cloud_done(rig.now, ticket, Ok(CloudReply::Deleted));
    assert_eq!(starts(&rig.beat("vm-2", seq + 1, EPOCH, vec![])).len(), 1);
}

#[test]
fn a_machine_back_with_a_new_session_learns_the_token_and_works_again() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "red", 1, 1.0));
    let start = starts(&rig.beat("vm-1", 500, EPOCH, vec![])).remove(0);
    rig.beat("vm-1", 501, EPOCH, vec![listed(&start, TaskState::Running)]);
    assert_eq!(rig.report("vm-1", 2, 1, 0, vec![]), ReportReply::Orders { token: EPOCH, orders: vec![] });
    assert_eq!(rig.leader.machines[&machine("vm-1")].slots.len(), 1, "still only a hint");
    let again = rig.report("vm-1", 2, 2, EPOCH, vec![]);
    assert!(matches!(&again, ReportReply::Orders { orders, .. } if starts(orders).len() == 1), "{again:?}");
}

#[test]
fn no_job_waits_for_ever_behind_a_stream_of_urgent_work() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    // Needs a whole machine, and is the least urgent.
    let mut large = sample("job-1", "red", 1, 8.0);
    large.priority = Priority::BestEffort;
    let bound = rig.config.tuning.begin_within.as_secs_f64();
    let (mut seq, mut n, mut running) = (5, 2, Vec::new());
    // Two small tasks are always there, one of them half way through.
    let begin = rig.now;
    let mut begun = None;
    rig.accept(sample("job-2", "blue", 2, 4.0));
    running.extend(starts(&rig.beat("vm-1", 4, EPOCH, vec![])));
    rig.accept(large);
    while begun.is_none() && (rig.now - begin).as_secs_f64() < 2.0 * bound {
        rig.pass(2.0);
        n += 1;
        let mut urgent = sample(&format!("job-{n}"), "blue", 1, 4.0);
        urgent.priority = Priority::Critical;
        rig.accept(urgent);
        let mut tasks: Vec<TaskReport> = running.iter().map(|s| listed(s, TaskState::Running)).collect();
        if !running.is_empty() {
            tasks[0].state = DONE;
            running.remove(0);
        }
        let started = starts(&rig.beat("vm-1", seq, EPOCH, tasks));
        rig.commit_all();
        seq += 1;
        if started.iter().any(|s| s.0.job == id("job-1")) {
            begun = Some((rig.now - begin).as_secs_f64());
        }
        running.extend(started);
    }
    assert!(begun.is_some_and(|after| after < bound), "{begun:?}");
}

#[test]
fn work_that_is_over_is_no_demand_whatever_was_expected_of_it() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    let mut job = sample("job-1", "red", 2, 4.0);
    job.estimate_s = 600.0;
    rig.accept(job);
    let started = starts(&rig.beat("vm-1", 5, EPOCH, vec![]));
    rig.pass(1.1);
    let ideal = |rig: &Rig| rig.leader.demand.values().map(|d| d.ideal).sum::<f64>();
    assert!((ideal(&rig) - 8.0).abs() < 1e-9);
    rig.beat("vm-1", 6, EPOCH, started.iter().map(|s| listed(s, DONE)).collect());
    rig.commit_all();
    rig.pass(1.1);
    assert_eq!(ideal(&rig), 0.0, "long before the owner's estimate is over");
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
            Change::Put { key, value, .. } if *key == record_key(&id("job-2")) => {
                JobRecord::decode(value).expect("a record").begun == 2
            }
            _ => false,
        })
    };
    assert!(rig.commit_all().iter().any(begun));
    assert_eq!(starts(&rig.beat("vm-1", 7, EPOCH, vec![])).len(), 2);
    // With room it is accepted as begun, and needs no second write.
    rig.submit(sample("job-3", "red", 1, 1.0));
    let Change::Put { value, .. } = &rig.commits[0].1.changes[0] else { panic!("a record") };
    assert_eq!(JobRecord::decode(value).expect("a record").begun, 1);
}

#[test]
fn beside_a_silent_machine_only_tasks_that_may_have_begun_wait() {
    let mut part = loaded_job(sample("job-1", "red", 6, 1.0));
    part.record.begun = 2;
    let mut tied = loaded_job(sample("job-2", "blue", 2, 1.0));
    tied.record.spec.one_zone = true;
    tied.record.begun = 1;
    let mut rig = Rig::new(vec![part, tied], vec![hired("vm-1", true), hired("vm-2b", true)]);
    rig.beat("vm-1", 5, EPOCH, vec![]);
    assert_eq!(starts(&rig.beat("vm-1", 6, EPOCH, vec![])), vec![], "not begun by the record");
    rig.commit_all();
    let started = starts(&rig.beat("vm-1", 7, EPOCH, vec![]));
    let tasks: Vec<u32> = started.iter().map(|s| s.0.index).collect();
    assert_eq!(tasks, [2, 3, 4, 5], "0 and 1 may be on vm-2b; so may job-2's first, which ties the other");
    assert!(started.iter().all(|s| s.0.job == id("job-1")));
    // It reports, without them: they were nowhere.
    assert_eq!(starts(&rig.beat("vm-2b", 1, EPOCH, vec![])).len(), 3);
}

#[test]
fn demand_counts_no_longer_than_the_class_is_known_to_run() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    let mut job = sample("job-1", "red", 1, 4.0);
    job.estimate_s = 20.0;
    rig.accept(job);
    let start = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    let ideal = |rig: &Rig| rig.leader.demand.values().map(|d| d.ideal).sum::<f64>();
    for seq in 6..18 {
        rig.pass(2.0);
        rig.beat("vm-1", seq, EPOCH, vec![listed(&start, TaskState::Running)]);
    }
    // It runs on, but offered on time it would have been over.
    assert_eq!(ideal(&rig), 0.0);
}

#[test]
fn lower_priority_gives_way_only_when_an_aim_is_near() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    rig.accept(sample("job-1", "blue", 1, 8.0));
    let low = starts(&rig.beat("vm-1", 5, EPOCH, vec![])).remove(0);
    rig.beat("vm-1", 6, EPOCH, vec![listed(&low, TaskState::Running)]);
    let mut urgent = sample("job-2", "blue", 1, 4.0);
    urgent.priority = Priority::Critical;
    urgent.estimate_s = 10.0;
    urgent.deadline_s = Some(30.0);
    rig.accept(urgent);
    // It must start within 20 s; room may come free by itself until then.
    let report = rig.config.settings.cluster.workers.report_s;
    for seq in 7..9 {
        rig.pass(report);
        rig.beat("vm-1", seq, EPOCH, vec![listed(&low, TaskState::Running)]);
    }
    assert_eq!(rig.direct, vec![]);
    for seq in 9..14 {
        rig.pass(report);
        rig.beat("vm-1", seq, EPOCH, vec![listed(&low, TaskState::Running)]);
    }
    assert_eq!(rig.direct, [Order::Stop { task: low.0.clone(), attempt: low.1, grace_s: 0.0 }]);
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
        let wanted = ["vm-2b", "vm-3b"].map(|name| rig.leader.machines[&machine(name)].wanted);
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
        let asked = rig.cloud.iter().find(|(_, c)| matches!(c, CloudCall::Delete(_) | CloudCall::Hire(_)));
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
    let rented = rig.commits.iter().flat_map(|(_, t)| &t.changes).filter(|c| c.key().starts_with(HIRES));
    assert_eq!(rented.count() as f64, rig.config.settings.cluster.cloud.rps);
}

#[test]
fn a_backlog_asks_for_more_as_its_aims_come_near() {
    let mut rig = Rig::with_machines(&["vm-1"]);
    let mut job = sample("job-1", "red", 20, 1.0);
    (job.estimate_s, job.deadline_s) = (20.0, Some(150.0));
    rig.accept(job);
    let mut drains = Vec::new();
    for seq in 0..12 {
        rig.pass(10.0);
        rig.report("vm-9", 1, seq, EPOCH, vec![]);
        drains.push(rig.leader.demand.values().map(|d| d.drain).sum::<f64>());
    }
    // Boots take 30 s: at first the work may take four, at last two of them.
    let work = 20.0 * 20.0;
    let close = |a: f64, b: f64| (a - b).abs() < b * 0.02;
    assert!(close(drains[0], work / 120.0) && close(drains[11], work / 60.0), "{drains:?}");
    assert!(drains.windows(2).all(|pair| pair[0] <= pair[1] + 1e-9), "{drains:?}");
}

#[test]
fn without_a_grace_to_cover_old_jobs_wait_for_a_lease_only() {
    let old = loaded_job(sample("job-1", "red", 1, 1.0));
    let mut rig = Rig::new(vec![old], vec![hired("vm-1", true), hired("vm-2", true)]);
    rig.beat("vm-1", 5, EPOCH, vec![]);
    assert!(rig.leader.awaits_graces());
    rig.pass(1.0);
    let (over, mut seq) = (rig.now, 5);
    rig.leader.graces_are_over(over);
    rig.leader.graces_are_over(over + Duration::from_secs(9));
    assert!(!rig.leader.awaits_graces(), "the first proof is enough");
    while rig.now + Duration::from_secs(2) < over + rig.config.lease_proof() {
        rig.pass(2.0);
        seq += 1;
        assert_eq!(rig.beat("vm-1", seq, EPOCH, vec![]), vec![], "vm-2 may be in its lease");
    }
    rig.pass(2.1);
    assert!(rig.now < rig.leader.loaded_at + rig.config.takeover_proof());
    assert_eq!(starts(&rig.beat("vm-1", seq + 1, EPOCH, vec![])).len(), 1);
}

#[test]
fn a_machine_kept_clear_that_fails_is_replaced_by_another() {
    let mut rig = Rig::with_machines(&["vm-1", "vm-3"]);
    rig.accept(sample("job-1", "blue", 4, 4.0));
    let mut running: Vec<_> = ["vm-1", "vm-3"].map(|name| starts(&rig.beat(name, 5, EPOCH, vec![]))).into();
    let mut large = sample("job-2", "red", 1, 8.0);
    large.priority = Priority::BestEffort;
    rig.accept(large);
    let half = rig.config.tuning.begin_within.as_secs_f64() / 2.0;
    let mut seq = 5;
    let mut report = |rig: &mut Rig, at: usize, tasks: &[(TaskId, u64)]| {
        seq += 1;
        let tasks = tasks.iter().map(|s| listed(s, TaskState::Running)).collect();
        starts(&rig.beat(["vm-1", "vm-3"][at], seq, EPOCH, tasks))
    };
    for _ in 0..(half / 3.0) as u32 + 1 {
        rig.pass(3.0);
        (0..2).for_each(|at| drop(report(&mut rig, at, &running[at])));
    }
    let mut urgent = sample("job-3", "blue", 4, 4.0);
    urgent.priority = Priority::Critical;
    rig.accept(urgent);
    // Half of each comes free: the first is kept clear, the second is not.
    running.iter_mut().for_each(|tasks| drop(tasks.pop()));
    assert_eq!(report(&mut rig, 0, &running[0]), vec![]);
    let more = report(&mut rig, 1, &running[1]);
    running[1].extend(more);
    assert_eq!(running[1].len(), 2);
    // Nothing may be placed on the first any more; then it is the second.
    rig.leader.machines.get_mut(&machine("vm-1")).expect("there").condemned = true;
    running[1].pop();
    rig.pass(0.5);
    assert_eq!(report(&mut rig, 1, &running[1]), vec![]);
    assert_eq!(report(&mut rig, 1, &[])[0].0.job, id("job-2"));
}

/// An answer sent is no proof that it was received: the worker may have gone
/// back to the former leader, which answers on in its grace.
#[test]
fn an_answer_that_was_never_heeded_shortens_no_proof() {
    let old = loaded_job(sample("job-1", "red", 1, 1.0));
    let mut rig = Rig::new(vec![old], vec![hired("vm-1", true), hired("vm-2", true)]);
    rig.beat("vm-2", 5, EPOCH, vec![]);
    assert_eq!(
        rig.report("vm-1", 1, 5, EPOCH - 1, vec![]),
        ReportReply::Orders { token: EPOCH, orders: vec![] }
    );
    let mut seq = 5;
    while rig.now + Duration::from_secs(2) < rig.leader.loaded_at + rig.config.takeover_proof() {
        rig.pass(2.0);
        seq += 1;
        assert_eq!(starts(&rig.beat("vm-2", seq, EPOCH, vec![])), vec![]);
    }
    rig.pass(2.1);
    assert_eq!(starts(&rig.beat("vm-2", seq + 1, EPOCH, vec![])).len(), 1);
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
    let records = |rig: &Rig| rig.commits.iter().filter(|(_, t)| t.class == Class::Progress).count();
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
