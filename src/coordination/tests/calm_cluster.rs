//! A cluster in which nothing fails: scripted workers run what the leader starts, and a scripted
//! cloud provisions what it requests. Time passes in steps of a second.

use std::collections::{BTreeMap, BTreeSet};

use super::*;

/// How long a worker needs from the start of a task to its end, unless the task is a replica.
pub(super) const RUN: Duration = Duration::from_secs(20);

/// A machine of the scripted cloud, with its worker.
struct ScriptedMachine {
    offer: NodePoolRequest,
    up_at: Instant,
    next_heartbeat: Instant,
    sequence: u64,
    tasks: Vec<(StartedTask, Instant, TaskState)>,
}

/// The leader, the machines and what was started on them.
pub(super) struct CalmCluster {
    pub(super) harness: Harness,
    types: Vec<MachineType>,
    machines: BTreeMap<MachineId, ScriptedMachine>,
    last_machine: u32,
    /// Whether the cloud has machines; true unless the test changes it.
    pub(super) has_capacity: bool,
    /// When each task was first started.
    pub(super) first_starts: BTreeMap<TaskId, Instant>,
    /// The tasks that are done.
    pub(super) done: BTreeSet<TaskId>,
}

impl CalmCluster {
    /// A cluster without machines, whose cloud offers these types.
    pub(super) fn new(types: Vec<MachineType>) -> Self {
        let mut cluster = CalmCluster {
            harness: Harness::new(Vec::new(), Vec::new()),
            types,
            machines: BTreeMap::new(),
            last_machine: 0,
            has_capacity: true,
            first_starts: BTreeMap::new(),
            done: BTreeSet::new(),
        };
        let snapshot = Snapshot { catalog: Some((cluster.types.clone(), 2)), ..Snapshot::default() };
        cluster.harness.replace_leader(snapshot);
        cluster.step();
        cluster
    }

    /// Adds an on-demand machine that is up.
    pub(super) fn add_machine(&mut self, machine_type: &str, zone: &str) -> MachineId {
        let request = NodePoolRequest {
            name: String::new(),
            machine_type: machine_type.into(),
            zone: zone.into(),
            spot: false,
            machine_count: 1,
        };
        self.provision(&request, self.harness.now).remove(0)
    }

    /// Takes a machine away without notice.
    pub(super) fn take_away(&mut self, machine: &MachineId) {
        self.machines.remove(machine);
    }

    /// Lets seconds pass.
    pub(super) fn run(&mut self, seconds: u64) {
        for _ in 0..seconds {
            self.step();
        }
    }

    /// The machines on which tasks of the job are, with one entry for each task.
    pub(super) fn machines_of(&self, job: &str) -> Vec<MachineId> {
        let holds = |machine: &ScriptedMachine| {
            let of_job = |(start, _, state): &&(StartedTask, Instant, TaskState)| {
                start.task.job == id(job) && !state.has_exited()
            };
            machine.tasks.iter().filter(of_job).count()
        };
        let held = self.machines.iter().flat_map(|(id, machine)| vec![id.clone(); holds(machine)]);
        held.collect()
    }

    fn step(&mut self) {
        self.harness.advance(1.0);
        let due: Vec<MachineId> = self
            .machines
            .iter()
            .filter(|(_, machine)| self.harness.now >= machine.up_at.max(machine.next_heartbeat))
            .map(|(id, _)| id.clone())
            .collect();
        for machine in due {
            self.exchange_heartbeat(&machine);
        }
        self.harness.commit_all();
        self.answer_cloud_calls();
        self.harness.commit_all();
    }

    /// Sends a machine's heartbeat and carries out the commands in the reply.
    fn exchange_heartbeat(&mut self, id: &MachineId) {
        let (now, harness) = (self.harness.now, &mut self.harness);
        let Some(machine) = self.machines.get_mut(id) else { return };
        machine.sequence += 1;
        for (start, since, state) in &mut machine.tasks {
            let is_array = harness.leader.jobs.get(&start.task.job).is_some_and(|job| !job.is_service());
            if is_array && *state == TaskState::Running && now >= *since + RUN {
                *state = DONE;
                self.done.insert(start.task.clone());
            }
        }
        let tasks = machine.tasks.iter().map(|(start, _, state)| task_status(start, *state)).collect();
        let heartbeat = Heartbeat {
            machine_type: machine.offer.machine_type.clone(),
            zone: machine.offer.zone.clone(),
            spot: machine.offer.spot,
            ..heartbeat_message(id.as_str(), machine.sequence, tasks)
        };
        let reply = harness.leader.handle_heartbeat(now, &heartbeat);
        let interval = harness.config.settings.cluster.workers.heartbeat_interval();
        let HeartbeatReply::Commands { commands, .. } = reply else { return };
        // A change is reported soon, the rest after an interval.
        machine.next_heartbeat = now + if commands.is_empty() { interval } else { Duration::from_secs(1) };
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    self.first_starts.entry(task.clone()).or_insert(now);
                    machine.tasks.push((StartedTask { task, attempt }, now, TaskState::Running));
                }
                Command::Stop { task, .. } => {
                    for (_, _, state) in machine.tasks.iter_mut().filter(|(start, ..)| start.task == task) {
                        *state = TaskState::Exited(ExitCause::Stopped { saved: false });
                    }
                }
                Command::Reap { task, .. } => machine.tasks.retain(|(start, ..)| start.task != task),
            }
        }
        harness.collect_effects();
    }

    fn answer_cloud_calls(&mut self) {
        for (operation, call) in std::mem::take(&mut self.harness.cloud_calls) {
            if !self.has_capacity && matches!(call, CloudCall::Provision(_)) {
                self.harness.leader.handle_cloud_result(
                    self.harness.now,
                    operation,
                    Err(CloudError::NoCapacity),
                );
                self.harness.collect_effects();
                continue;
            }
            let reply = match call {
                CloudCall::Catalog => CloudReply::Catalog(self.types.clone()),
                CloudCall::ListMachines { .. } => {
                    let machines = self.machines.iter().map(|(id, machine)| self.listing(id, machine));
                    CloudReply::MachinesListed(InventoryPage { machines: machines.collect(), more: false })
                }
                CloudCall::Provision(request) => {
                    let listed = self.types.iter().find(|listed| listed.name == request.machine_type);
                    let boot_s = listed.expect("a type of the catalog").boot_s;
                    let up_at = self.harness.now + Duration::from_secs_f64(boot_s);
                    CloudReply::Provisioned(self.provision(&request, up_at))
                }
                CloudCall::Delete(machines) => {
                    self.machines.retain(|id, _| !machines.contains(id));
                    CloudReply::Deleted
                }
            };
            self.harness.leader.handle_cloud_result(self.harness.now, operation, Ok(reply));
            self.harness.collect_effects();
        }
    }

    fn listing(&self, id: &MachineId, machine: &ScriptedMachine) -> ListedMachine {
        let is_up = self.harness.now >= machine.up_at;
        let state = if is_up { ListedState::Running } else { ListedState::Starting };
        ListedMachine {
            machine_type: machine.offer.machine_type.clone(),
            zone: machine.offer.zone.clone(),
            spot: machine.offer.spot,
            ..inventory_entry(id.as_str(), state)
        }
    }

    fn provision(&mut self, request: &NodePoolRequest, up_at: Instant) -> Vec<MachineId> {
        let mut provisioned = Vec::new();
        for _ in 0..request.machine_count {
            self.last_machine += 1;
            let id = machine(&format!("vm-{:06}", self.last_machine));
            let scripted = ScriptedMachine {
                offer: request.clone(),
                up_at,
                next_heartbeat: up_at,
                sequence: 0,
                tasks: Vec::new(),
            };
            self.machines.insert(id.clone(), scripted);
            provisioned.push(id);
        }
        provisioned
    }
}
