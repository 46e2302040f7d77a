//! Fixtures of the leader's tests: functions that build its inputs and read its outputs.

use proptest::test_runner::{Config as ProptestConfig, RngSeed};

use super::*;

/// Epoch of the leader under test; also its fencing token.
pub(super) const EPOCH: u64 = 40;

/// Wall-clock time of every submission, in milliseconds.
pub(super) const NOW_MS: u64 = 1_000_000;

/// State of a task that has ended successfully.
pub(super) const DONE: TaskState = TaskState::Exited(ExitCause::Done);

/// The configuration of a property test: the same cases in each run, unless `PROPTEST_RNG_SEED` names
/// others.
pub(in crate::coordination) fn reproducible_cases(cases: u32) -> ProptestConfig {
    let config = ProptestConfig { failure_persistence: None, cases, ..ProptestConfig::default() };
    match config.rng_seed {
        RngSeed::Random => ProptestConfig { rng_seed: RngSeed::Fixed(1), ..config },
        RngSeed::Fixed(_) => config,
    }
}

/// Parses a job id; panics if it is invalid.
pub(super) fn id(text: &str) -> JobId {
    JobId::parse(text).expect("valid id")
}

/// Parses a machine name; panics if it is invalid.
pub(super) fn machine(text: &str) -> MachineId {
    MachineId::parse(text).expect("valid name")
}

/// The zone of a test machine: `z2` if its name ends in `b`, otherwise `z1`.
fn zone_of(name: &str) -> String {
    if name.ends_with('b') { "z2".into() } else { "z1".into() }
}

/// A catalog of one machine type with 8 CPUs, in two zones.
pub(in crate::coordination) fn catalog() -> Vec<MachineType> {
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

/// The record of a node pool of one machine, with its version in the store; `used` marks the
/// machine as one that may have had tasks.
pub(in crate::coordination) fn single_machine_pool(name: &str, used: bool) -> (NodePoolRecord, u64) {
    let request = NodePoolRequest {
        name: format!("1-{name}"),
        machine_type: "m8".into(),
        zone: zone_of(name),
        spot: false,
        machine_count: 1,
    };
    let id = machine(name);
    let record = NodePoolRecord {
        request,
        machines: Some(vec![id.clone()]),
        machines_used: used.then_some(id).into_iter().collect(),
    };
    (record, 3)
}

/// A job as a new leader reads it; each of its tasks may have been started.
pub(in crate::coordination) fn loaded_job(spec: JobSpec) -> JobSnapshot {
    let started = spec.task_count;
    let record = JobRecord { started_high_water: started, ..JobRecord::new(spec, NOW_MS) };
    JobSnapshot {
        record,
        record_version: 5,
        progress_version: None,
        live_row_version: 5,
        block_versions: Vec::new(),
    }
}

/// A job as a new leader reads it; none of its tasks has been started. Its versions are those
/// of [`loaded_job`].
pub(super) fn unstarted_job(spec: JobSpec) -> JobSnapshot {
    JobSnapshot { record: JobRecord::new(spec, NOW_MS), ..loaded_job(sample("job-0", "red", 1, 1.0)) }
}

/// A heartbeat of a machine's first incarnation with the fencing token of [`EPOCH`].
pub(in crate::coordination) fn heartbeat_message(
    name: &str,
    sequence: u64,
    tasks: Vec<TaskStatus>,
) -> Heartbeat {
    Heartbeat {
        machine: machine(name),
        address: "127.0.0.1:9".into(),
        machine_type: "m8".into(),
        zone: zone_of(name),
        spot: false,
        incarnation: 1,
        sequence,
        fencing_token: EPOCH,
        preemption_notice_s: None,
        tasks,
    }
}

/// An attempt of a task that the leader has commanded a machine to start.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct StartedTask {
    pub(super) task: TaskId,
    /// The attempt number, which is unique among the starts of the task.
    pub(super) attempt: u64,
}

/// The start commands among these commands.
pub(super) fn starts(commands: &[Command]) -> Vec<StartedTask> {
    commands
        .iter()
        .filter_map(|command| match command {
            Command::Start { task, attempt } => Some(StartedTask { task: task.clone(), attempt: *attempt }),
            _ => None,
        })
        .collect()
}

/// The jobs of started tasks, in the same order.
pub(super) fn job_ids(starts: &[StartedTask]) -> Vec<JobId> {
    starts.iter().map(|start| start.task.job.clone()).collect()
}

/// The statuses that a worker reports for started tasks once they run.
pub(super) fn running_statuses(starts: &[StartedTask]) -> Vec<TaskStatus> {
    starts.iter().map(|start| task_status(start, TaskState::Running)).collect()
}

/// The status that a worker reports for a started task in this state.
pub(super) fn task_status(start: &StartedTask, state: TaskState) -> TaskStatus {
    TaskStatus { task: start.task.clone(), attempt: start.attempt, state }
}

/// The command that stops a started task at once.
pub(super) fn stop(start: &StartedTask) -> Command {
    Command::Stop { task: start.task.clone(), attempt: start.attempt, grace_s: 0.0 }
}

/// The job state that an answer contains.
pub(super) fn answered_state(answer: &Answer) -> String {
    let value = decode(&answer.body).expect("CBOR");
    Fields::of(&value)
        .and_then(|f| f.text("standing").map(str::to_owned))
        .expect("an answer with the field `standing`")
}

/// A machine as the cloud's inventory lists it.
pub(super) fn inventory_entry(name: &str, state: ListedState) -> ListedMachine {
    ListedMachine {
        machine: machine(name),
        address: String::new(),
        machine_type: "m8".into(),
        zone: "z1".into(),
        spot: false,
        state,
        age_s: 1.0,
    }
}
