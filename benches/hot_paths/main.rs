//! Measures how the cost of the leader's hot paths grows with the size of the fleet. Run with
//! `cargo bench`.
//!
//! Absolute times are unreliable on a shared machine. Each cost is therefore printed as a
//! multiple of the same cost on the smallest fleet in the same run: 1.0 means no growth.

#![allow(clippy::cast_possible_truncation, reason = "counts are small here")]

mod dependency_graph;

use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant as Clock};

use shedtally::coordination::config::Config;
use shedtally::coordination::jobs::job::ReplyId;
use shedtally::coordination::leader::{Leader, effects::Effect};
use shedtally::coordination::recovery::snapshot::Snapshot;
use shedtally::coordination::workers::heartbeats::HeartbeatReply;
use shedtally::policy::Tuning;
use shedtally::protocol::cloud::{MachineType, NodePoolRequest};
use shedtally::protocol::jobs::{JobId, JobKind, JobSpec, Priority};
use shedtally::protocol::workers::{Command, ExitCause, Heartbeat, MachineId, TaskState, TaskStatus};
use shedtally::settings::Settings;
use shedtally::storage::records::NodePoolRecord;
use tokio::time::Instant;

/// Settings of the leader.
const SETTINGS: &str = r#"
host_name = "c-0"
domain = "z1"
serve_on = "127.0.0.1:0"
internal_addr = "127.0.0.1:0"
[external]
cloud = "127.0.0.1:2"
state = "127.0.0.1:3"
[cluster]
size = 1
[[cluster.teams]]
name = "red"
[cluster.workers]
report_s = 3.0
lease_s = 30.0
cancel_s = 50.0
[cluster.state]
rps = 1000.0
write_rps = 1000.0
value_kb = 8.0
txn_ops = 12
[cluster.cloud]
rps = 3.0
list_lag_s = 4.0
[cluster.quota]
core_share = 0.1
ram_mb = 64.0
sockets = 500
"#;

/// Epoch of the leader.
const EPOCH: u64 = 7;
/// A committed write gets the number of its operation plus this as its version.
const VERSION_OFFSET: u64 = 100;
/// Numbers of machines in the measured fleets.
const FLEET_SIZES: [usize; 3] = [50, 500, 4000];
/// Tasks that fit on each machine; they leave a small remainder free.
const TASKS_PER_MACHINE: usize = 3;

/// A leader and a fleet whose machines execute its commands.
struct Fixture {
    /// The leader that is measured.
    leader: Leader,
    /// The leader's clock.
    now: Instant,
    /// Sequence number of the last heartbeat.
    sequence: u64,
    /// For each machine, the start commands and states of its tasks.
    running: Vec<Vec<(Command, TaskState)>>,
    /// Number of jobs submitted.
    jobs: u32,
}

/// Name of the machine with this index.
fn name(machine: usize) -> MachineId {
    MachineId::parse(&format!("vm-{machine:06}")).expect("valid")
}

/// A job array with tasks of which [`TASKS_PER_MACHINE`] fit on a machine.
fn spec(job: u32, tasks: u32) -> JobSpec {
    JobSpec {
        id: JobId::parse(&format!("job-{job}")).expect("valid"),
        class: "build".into(),
        team: "red".into(),
        kind: JobKind::Array,
        priority: Priority::High,
        task_count: tasks,
        cpus: 2.5,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "img-1".into(),
        image_gb: 0.5,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        estimated_run_s: 20.0,
        checkpoint_interval_s: 0.0,
        checkpoint_save_s: 0.0,
        deadline_s: None,
        dependencies: Vec::new(),
    }
}

impl Fixture {
    /// Creates a leader that has just read the records of a fleet of this many machines.
    fn new(machines: usize) -> Self {
        let settings = Settings::parse(SETTINGS, Path::new("bench.toml")).expect("valid settings");
        let tuning = Tuning::load(&settings.cluster, None).expect("valid policy");
        let now = Instant::now();
        let machine_type = MachineType {
            name: "m8".into(),
            cpus: 8.0,
            gpus: 0.0,
            memory_gb: 32.0,
            cache_gb: 20.0,
            fetch_gb_per_s: 1.0,
            price: 1.0,
            spot_price: 0.4,
            boot_s: 30.0,
            zones: vec!["z1".into()],
        };
        let ids: Vec<MachineId> = (0..machines).map(name).collect();
        let request = NodePoolRequest {
            name: "1-1".into(),
            machine_type: "m8".into(),
            zone: "z1".into(),
            spot: false,
            machine_count: machines as u32,
        };
        let used = ids.iter().cloned().collect();
        let node_pools = vec![(NodePoolRecord { request, machines: Some(ids), machines_used: used }, 3)];
        let snapshot = Snapshot { node_pools, catalog: Some((vec![machine_type], 2)), ..Snapshot::default() };
        let mut leader = Leader::new(Arc::new(Config { settings, tuning }), EPOCH, now, 0, snapshot);
        leader.extend_lease(now, now + Duration::from_secs(1 << 20));
        Fixture { leader, now, sequence: 0, running: vec![Vec::new(); machines], jobs: 0 }
    }

    /// Completes all pending writes successfully.
    fn commit_writes(&mut self) {
        loop {
            let effects = self.leader.drain_effects();
            if effects.is_empty() {
                return;
            }
            for effect in effects {
                if let Effect::Commit { operation, .. } = effect {
                    self.leader.handle_commit_result(self.now, operation, Ok(operation.0 + VERSION_OFFSET));
                }
            }
        }
    }

    /// Submits a job with this many tasks.
    fn submit(&mut self, tasks: u32) {
        self.jobs += 1;
        self.leader.submit(self.now, 0, ReplyId(u64::from(self.jobs)), spec(self.jobs, tasks));
        self.commit_writes();
    }

    /// Sends a heartbeat of a machine, and executes the commands of the response.
    fn heartbeat(&mut self, machine: usize) {
        self.sequence += 1;
        let tasks = self.running[machine].iter().filter_map(|(command, state)| match command {
            Command::Start { task, attempt } => {
                Some(TaskStatus { task: task.clone(), attempt: *attempt, state: *state })
            }
            _ => None,
        });
        let heartbeat = Heartbeat {
            machine: name(machine),
            address: "127.0.0.1:9".into(),
            machine_type: "m8".into(),
            zone: "z1".into(),
            spot: false,
            incarnation: 1,
            sequence: self.sequence,
            fencing_token: EPOCH,
            preemption_notice_s: None,
            tasks: tasks.collect(),
        };
        if let HeartbeatReply::Commands { commands, .. } = self.leader.handle_heartbeat(self.now, &heartbeat)
        {
            for command in commands {
                match &command {
                    Command::Start { .. } => self.running[machine].push((command, TaskState::Running)),
                    Command::Stop { task, .. } | Command::Reap { task, .. } => self.running[machine]
                        .retain(|(start, _)| !matches!(start, Command::Start { task: t, .. } if t == task)),
                }
            }
        }
    }

    /// Sends a heartbeat of each machine.
    fn all_heartbeats(&mut self) {
        for machine in 0..self.running.len() {
            self.heartbeat(machine);
        }
        self.commit_writes();
    }

    /// Advances the leader's clock.
    fn advance_clock(&mut self, seconds: f64) {
        self.now += Duration::from_secs_f64(seconds);
    }
}

/// The measured operations.
const COST_NAMES: [&str; 5] = [
    "a failover, per machine",
    "a heartbeat that changes nothing",
    "a heartbeat that places a task",
    "a poll",
    "a tick (one per second), in total",
];

/// The minimum time per operation over several rounds, in seconds. A round returns the total
/// time of its operations, and their number.
fn min_cost(rounds: u32, mut round: impl FnMut() -> (Duration, usize)) -> f64 {
    (0..rounds)
        .map(|_| {
            let (duration, operations) = round();
            duration.as_secs_f64() / operations.max(1) as f64
        })
        .fold(f64::MAX, f64::min)
}

/// Costs in seconds, in the order of [`COST_NAMES`].
fn costs(machines: usize) -> [f64; COST_NAMES.len()] {
    let failover = min_cost(5, || {
        let started = Clock::now();
        let mut fixture = Fixture::new(machines);
        fixture.all_heartbeats();
        (started.elapsed(), machines)
    });
    let mut fixture = Fixture::new(machines);
    fixture.all_heartbeats();
    // Fills every machine except for a remainder that no task fits into, and leaves several times
    // as many tasks waiting: on the largest fleet, 68,000 tasks of 2,000 jobs.
    for _ in 0..machines / 2 {
        fixture.submit(40);
    }
    for _ in 0..3 {
        fixture.advance_clock(1.1);
        fixture.leader.tick(fixture.now);
        fixture.commit_writes();
        fixture.all_heartbeats();
    }
    assert!(fixture.running.iter().all(|tasks| tasks.len() == TASKS_PER_MACHINE), "every machine is full");
    let unchanged = min_cost(9, || {
        fixture.advance_clock(0.1);
        let started = Clock::now();
        fixture.all_heartbeats();
        (started.elapsed(), machines)
    });
    let placing = min_cost(5, || {
        for tasks in &mut fixture.running {
            tasks[0].1 = TaskState::Exited(ExitCause::Done);
        }
        fixture.advance_clock(1.1);
        let started = Clock::now();
        fixture.all_heartbeats();
        let duration = started.elapsed();
        fixture.advance_clock(1.1);
        fixture.leader.tick(fixture.now);
        fixture.commit_writes();
        fixture.all_heartbeats();
        (duration, machines)
    });
    let poll = min_cost(9, || {
        let ids: Vec<JobId> = (1..=fixture.jobs).map(|n| spec(n, 1).id).collect();
        let started = Clock::now();
        for id in &ids {
            std::hint::black_box(fixture.leader.poll(fixture.now, id));
        }
        (started.elapsed(), ids.len())
    });
    let tick = min_cost(9, || {
        fixture.advance_clock(1.1);
        let started = Clock::now();
        fixture.leader.tick(fixture.now);
        let duration = started.elapsed();
        fixture.commit_writes();
        (duration, 1)
    });
    [failover, unchanged, placing, poll, tick]
}

/// Measures all fleet sizes and prints the ratios.
fn main() {
    let all = FLEET_SIZES.map(costs);
    println!("cost on a fleet of {FLEET_SIZES:?} machines, as a multiple of the first");
    for (index, name) in COST_NAMES.iter().enumerate() {
        let ratios = all.map(|costs| format!("{:7.2}", costs[index] / all[0][index]));
        println!("{name:34}{}", ratios.join(" "));
    }
    let ticks = all.map(|costs| format!("{:7.1}", costs[4] / costs[1]));
    println!("{:34}{}  (in heartbeats that change nothing)", "a tick (one per second)", ticks.join(" "));
    let placing = all.map(|costs| format!("{:7.1}", costs[2] / costs[1]));
    println!(
        "{:34}{}  (in heartbeats that change nothing)",
        "a heartbeat that places a task",
        placing.join(" ")
    );
    dependency_graph::print_costs();
}
