//! How the cost of the leader's hot paths grows with the fleet: `cargo bench`.
//!
//! Absolute times mean little on a shared machine. What is printed is each
//! cost as a multiple of the same cost on the smallest fleet, measured in the
//! same run: 1.0 means that it does not grow.

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

const EPOCH: u64 = 7;
const FLEETS: [usize; 3] = [50, 500, 4000];
/// Tasks that fit on each machine, with a little room left.
const EACH: usize = 3;

struct World {
    leader: Leader,
    now: Instant,
    seq: u64,
    running: Vec<Vec<(Command, TaskState)>>,
    jobs: u32,
}

fn name(machine: usize) -> MachineId {
    MachineId::parse(&format!("vm-{machine:06}")).expect("valid")
}

fn spec(job: u32, tasks: u32) -> JobSpec {
    JobSpec {
        id: JobId::parse(&format!("job-{job}")).expect("valid"),
        class: "build".into(),
        team: "red".into(),
        kind: JobKind::Array,
        priority: Priority::High,
        tasks,
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

impl World {
    /// A leader that has just read the records of a fleet.
    fn new(machines: usize) -> Self {
        let settings = Settings::parse(SETTINGS, Path::new("bench.toml")).expect("sound settings");
        let tuning = Tuning::load(&settings.cluster, None).expect("a sound policy");
        let now = Instant::now();
        let kind = MachineType {
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
            count: machines as u32,
        };
        let used = ids.iter().cloned().collect();
        let rentals = vec![(NodePoolRecord { request, machines: Some(ids), machines_used: used }, 3)];
        let loaded = Snapshot { node_pools: rentals, catalog: Some((vec![kind], 2)), ..Snapshot::default() };
        let mut leader = Leader::new(Arc::new(Config { settings, tuning }), EPOCH, now, 0, loaded);
        leader.extend_lease(now, now + Duration::from_secs(1 << 20));
        World { leader, now, seq: 0, running: vec![Vec::new(); machines], jobs: 0 }
    }

    /// Every write succeeds at once.
    fn settle(&mut self) {
        loop {
            let actions = self.leader.drain_effects();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                if let Effect::Commit { operation: ticket, .. } = action {
                    self.leader.handle_commit_result(self.now, ticket, Ok(ticket.0 + 100));
                }
            }
        }
    }

    fn submit(&mut self, tasks: u32) {
        self.jobs += 1;
        self.leader.submit(self.now, 0, ReplyId(u64::from(self.jobs)), spec(self.jobs, tasks));
        self.settle();
    }

    /// One report; starts are taken up, and forgotten tasks dropped.
    fn report(&mut self, machine: usize) {
        self.seq += 1;
        let tasks = self.running[machine].iter().filter_map(|(order, state)| match order {
            Command::Start { task, attempt } => {
                Some(TaskStatus { task: task.clone(), attempt: *attempt, state: *state })
            }
            _ => None,
        });
        let report = Heartbeat {
            machine: name(machine),
            address: "127.0.0.1:9".into(),
            machine_type: "m8".into(),
            zone: "z1".into(),
            spot: false,
            incarnation: 1,
            sequence: self.seq,
            fencing_token: EPOCH,
            preemption_notice_s: None,
            tasks: tasks.collect(),
        };
        if let HeartbeatReply::Commands { commands: orders, .. } =
            self.leader.handle_heartbeat(self.now, &report)
        {
            for order in orders {
                match &order {
                    Command::Start { .. } => self.running[machine].push((order, TaskState::Running)),
                    Command::Stop { task, .. } | Command::Reap { task, .. } => self.running[machine]
                        .retain(|(o, _)| !matches!(o, Command::Start { task: t, .. } if t == task)),
                }
            }
        }
    }

    fn all_report(&mut self) {
        for machine in 0..self.running.len() {
            self.report(machine);
        }
        self.settle();
    }

    fn pass(&mut self, seconds: f64) {
        self.now += Duration::from_secs_f64(seconds);
    }
}

/// The least time of several rounds for one operation.
fn least(rounds: u32, mut round: impl FnMut() -> (Duration, usize)) -> f64 {
    (0..rounds)
        .map(|_| {
            let (took, operations) = round();
            took.as_secs_f64() / operations.max(1) as f64
        })
        .fold(f64::MAX, f64::min)
}

/// Costs of: a takeover's report, one that changes nothing, one that places, a
/// poll, a second's tick.
fn costs(machines: usize) -> [f64; 5] {
    let takeover = least(5, || {
        let begin = Clock::now();
        let mut world = World::new(machines);
        world.all_report();
        (begin.elapsed(), machines)
    });
    let mut world = World::new(machines);
    world.all_report();
    // All full but for a rest that nothing fits in, and behind them a backlog of
    // several times as much: on the largest fleet a thousand jobs with 34,000
    // tasks.
    for _ in 0..machines / 2 {
        world.submit(40);
    }
    for _ in 0..3 {
        world.pass(1.1);
        world.leader.tick(world.now);
        world.settle();
        world.all_report();
    }
    assert!(world.running.iter().all(|tasks| tasks.len() == EACH), "every machine is full");
    let same = least(9, || {
        world.pass(0.1);
        let begin = Clock::now();
        world.all_report();
        (begin.elapsed(), machines)
    });
    let placing = least(5, || {
        for tasks in &mut world.running {
            tasks[0].1 = TaskState::Exited(ExitCause::Done);
        }
        world.pass(1.1);
        let begin = Clock::now();
        world.all_report();
        let took = begin.elapsed();
        world.pass(1.1);
        world.leader.tick(world.now);
        world.settle();
        world.all_report();
        (took, machines)
    });
    let poll = least(9, || {
        let ids: Vec<JobId> = (1..=world.jobs).map(|n| spec(n, 1).id).collect();
        let begin = Clock::now();
        for id in &ids {
            std::hint::black_box(world.leader.poll(world.now, id));
        }
        (begin.elapsed(), ids.len())
    });
    let tick = least(9, || {
        world.pass(1.1);
        let begin = Clock::now();
        world.leader.tick(world.now);
        let took = begin.elapsed();
        world.settle();
        (took, 1)
    });
    [takeover, same, placing, poll, tick]
}

fn main() {
    let all = FLEETS.map(costs);
    let names = [
        "a takeover, per machine",
        "a report that changes nothing",
        "a report that places a task",
        "a poll",
        "a second's tick, whole",
    ];
    println!("cost on a fleet of {FLEETS:?} machines, as a multiple of the first");
    for (at, name) in names.iter().enumerate() {
        let ratios = all.map(|costs| format!("{:7.2}", costs[at] / all[0][at]));
        println!("{name:32}{}", ratios.join(" "));
    }
    let in_reports = all.map(|costs| format!("{:7.1}", costs[4] / costs[1]));
    println!("{:32}{}  (in reports that change nothing)", "a second's tick", in_reports.join(" "));
    let placing = all.map(|costs| format!("{:7.1}", costs[2] / costs[1]));
    println!("{:32}{}  (in reports that change nothing)", "a report that places a task", placing.join(" "));
}
