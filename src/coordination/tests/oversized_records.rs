//! Tests of jobs whose description was admitted, and exceeds the limit on a value that was announced
//! and has since taken effect.

use super::records::{apply_transaction, read_entry};
use super::*;
use crate::coordination::recovery::snapshot::read_snapshot;
use crate::protocol::cbor::max_json_size;
use crate::storage::in_memory_kv::{FakeKvServer, InMemoryKv, kv_client};
use crate::storage::records::{job_progress_key, node_pool_key};

/// The limits that take effect in these tests.
fn announced_limits() -> settings::AnnouncedLimits {
    settings::AnnouncedLimits { rps: None, write_rps: None, value_kb: Some(2.0), txn_ops: Some(4) }
}

/// A leader and its store, whose limits fall when the test says so.
struct Cluster {
    harness: Harness,
    store: InMemoryKv,
    are_limits_lower: bool,
}

impl Cluster {
    /// A leader with one machine of 8 CPUs that is up and recorded as used.
    fn new() -> Self {
        let mut config = Config { settings: settings::tests::sample(), tuning: policy::tests::tuning() };
        config.settings.cluster.kv.next = Some(announced_limits());
        let (record, version) = single_machine_pool("vm-1", true);
        let mut store = InMemoryKv::with_pages_of(500);
        store.seed(&node_pool_key(&record.request.name), record.encode(), version);
        let mut harness = Harness::with_config(Vec::new(), vec![(record, version)], config);
        harness.heartbeat("vm-1", 1, EPOCH, vec![]);
        Cluster { harness, store, are_limits_lower: false }
    }

    /// The announced limits take effect.
    fn lower_limits(&mut self) {
        self.store.limit(self.harness.config.settings.cluster.kv.announced());
        self.are_limits_lower = true;
    }

    /// Carries out all transactions, and those that follow from their results.
    fn commit_all(&mut self) {
        let limits = self.harness.config.settings.cluster.kv.announced();
        while !self.harness.commits.is_empty() {
            for (operation, transaction) in std::mem::take(&mut self.harness.commits) {
                let result = apply_transaction(&mut self.store, &transaction);
                if self.are_limits_lower && result.is_ok() {
                    assert!(transaction.changes.len() <= limits.txn_ops);
                }
                self.harness.leader.handle_commit_result(self.harness.now, operation, result);
            }
            self.harness.collect_effects();
        }
    }

    /// Submits the job, which must be admitted.
    fn accept(&mut self, spec: JobSpec) {
        let reply = self.harness.submit(spec);
        self.commit_all();
        assert_eq!(self.harness.answer(reply).map(|answer| answer.status), Some(201));
    }

    /// Sends a heartbeat of the machine and carries out the writes that follow; returns the starts.
    fn heartbeat(&mut self, sequence: u64, tasks: Vec<TaskStatus>) -> Vec<StartedTask> {
        let commands = self.harness.heartbeat("vm-1", sequence, EPOCH, tasks);
        self.commit_all();
        starts(&commands)
    }

    fn stored_record(&mut self, job: &str) -> JobRecord {
        let entry = read_entry(&mut self.store, &job_record_key(&id(job))).expect("a record");
        JobRecord::decode(&entry.value).expect("readable")
    }

    fn has_stored_progress(&mut self, job: &str) -> bool {
        read_entry(&mut self.store, &job_progress_key(&id(job))).is_some()
    }

    /// What a new leader reads about a job.
    async fn snapshot_of(&mut self, job: &str) -> JobSnapshot {
        let server = FakeKvServer::start(&[]).await;
        for key in [job_record_key(&id(job)), live_row_key(&id(job)), job_progress_key(&id(job))] {
            if let Some(entry) = read_entry(&mut self.store, &key) {
                server.seed(&key, entry.value, entry.version).await;
            }
        }
        let snapshot = read_snapshot(&kv_client(server.address(), 4), 8.0, &()).await.expect("served");
        snapshot.jobs.into_iter().next().expect("the job is live")
    }
}

/// A job that allows sixteen machine types with long names, one of which the cloud has. Its record
/// exceeds 2 KiB.
fn job_with_long_description(tasks: u32, cpus: f64) -> JobSpec {
    let long_names = (1..16).map(|number| format!("{number:0>110}"));
    let spec = JobSpec {
        machine_types: Some(std::iter::once("m8".to_owned()).chain(long_names).collect()),
        ..sample("job-1", "red", tasks, cpus)
    };
    assert!(max_json_size(&spec.encode().build()) > 2048);
    spec
}

/// Guards against a finished job that is called queued for good because its record fits no value.
#[test]
fn a_job_with_a_description_above_the_fallen_limit_becomes_done() {
    let mut cluster = Cluster::new();
    cluster.accept(job_with_long_description(2, 1.0));
    let started = cluster.heartbeat(2, vec![]);
    assert_eq!(started.len(), 2);
    cluster.lower_limits();
    cluster.heartbeat(3, started.iter().map(|start| task_status(start, DONE)).collect());
    assert_eq!(cluster.stored_record("job-1").terminal_state(), Some(JobState::Done));
    assert!(!cluster.harness.leader.is_fenced());
}

/// Guards against a cancellation that is answered 503 for good for the same reason.
#[test]
fn a_cancellation_of_a_job_with_a_description_above_the_fallen_limit_is_answered() {
    let mut cluster = Cluster::new();
    cluster.accept(job_with_long_description(2, 1.0));
    assert_eq!(cluster.heartbeat(2, vec![]).len(), 2);
    cluster.lower_limits();
    let reply = cluster.harness.cancel("job-1");
    cluster.commit_all();
    let answer = cluster.harness.answer(reply).expect("answered");
    assert_eq!((answer.status, answered_state(&answer).as_str()), (200, "cancelled"));
    assert_eq!(cluster.stored_record("job-1").terminal_state(), Some(JobState::Cancelled));
}

/// Guards against an accepted job that never starts, and against done tasks and starts that a new
/// leader does not know, because the record fits no value while the job is live.
#[tokio::test]
async fn the_progress_of_a_job_with_a_description_above_the_fallen_limit_is_kept() {
    let mut cluster = Cluster::new();
    cluster.accept(sample("job-0", "blue", 1, 8.0));
    let first = cluster.heartbeat(2, vec![]);
    cluster.accept(job_with_long_description(2, 4.0));
    assert_eq!(cluster.stored_record("job-1").started_high_water, 0, "no machine has room");
    cluster.lower_limits();
    let mut started = cluster.heartbeat(3, first.iter().map(|start| task_status(start, DONE)).collect());
    for sequence in 4..8 {
        cluster.harness.advance(1.0);
        started.extend(cluster.heartbeat(sequence, running_statuses(&started)));
    }
    assert_eq!(started.len(), 2, "the job starts");
    let snapshot = cluster.snapshot_of("job-1").await;
    assert_eq!(snapshot.record.started_high_water, 2, "a new leader knows that its tasks may run");
    let tasks = vec![task_status(&started[0], DONE), task_status(&started[1], TaskState::Running)];
    cluster.heartbeat(8, tasks.clone());
    cluster.harness.advance(10.0);
    cluster.commit_all();
    let snapshot = cluster.snapshot_of("job-1").await;
    assert_eq!(snapshot.record.done.len(), 1, "a new leader knows the done task");
    assert_eq!(snapshot.record.spec, job_with_long_description(2, 4.0));
    // The next leader goes on from there, ends the job and leaves nothing of the progress behind.
    let node_pools = vec![single_machine_pool("vm-1", true)];
    let catalog = Some((catalog(), 2));
    cluster.harness.replace_leader(Snapshot {
        jobs: vec![snapshot],
        node_pools,
        catalog,
        ..Snapshot::default()
    });
    cluster.heartbeat(9, vec![task_status(&started[1], DONE)]);
    assert_eq!(cluster.stored_record("job-1").terminal_state(), Some(JobState::Done));
    assert!(!cluster.has_stored_progress("job-1"));
}
