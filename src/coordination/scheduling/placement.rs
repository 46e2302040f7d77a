//! Placement: which tasks start on a machine that has just sent a heartbeat.
//!
//! Only the reply to a machine's heartbeat can carry a start. For each job, in the order of the
//! queue, the machine has to pass the filters and is compared with a sample of other machines
//! that recently had free capacity. It gets the task unless clearly better machines have
//! capacity for all waiting tasks of the job; those then get the tasks with their own next
//! heartbeats.

use tokio::time::Instant;

use crate::coordination::authority::{StartEvidence, Violation};
use crate::coordination::leader::Leader;
use crate::coordination::scheduling::ordering::MIN_FREE_CPUS;
use crate::coordination::scheduling::queue::QueuedJob;
use crate::coordination::scheduling::start_decision::first_startable_task;
use crate::coordination::workers::slot::SlotState;
use crate::numeric::whole_ms;
use crate::protocol::jobs::TaskId;
use crate::protocol::workers::{Command, MachineId};

/// Tolerance for floating-point errors in sums of CPUs.
const CPU_TOLERANCE: f64 = 1e-6;

/// The heartbeat whose reply carries the starts.
#[derive(Clone, Copy)]
struct HeartbeatRef<'a> {
    /// The machine that sent it.
    machine: &'a MachineId,
    /// Its sequence number.
    sequence: u64,
}

impl Leader {
    /// Starts at most `max_starts` tasks on a machine that has just sent the heartbeat with this
    /// sequence number, and appends their start commands to those of the reply.
    pub(crate) fn place_tasks(
        &mut self,
        now: Instant,
        machine: &MachineId,
        sequence: u64,
        max_starts: usize,
        commands: &mut Vec<Command>,
    ) {
        let Some(entry) = self.machines.get(machine).filter(|entry| entry.is_schedulable()) else { return };
        let is_spot = entry.spot;
        let heartbeat = HeartbeatRef { machine, sequence };
        self.order_queue(now);
        let queue = self.queue.take_jobs();
        let mut started = 0;
        for queued in &queue {
            let free = self.machines.get(machine).map(|entry| entry.free).unwrap_or_default();
            let min_cpus = self.queue.min_task_cpus().max(MIN_FREE_CPUS);
            if started >= max_starts || free.cpus < min_cpus - CPU_TOLERANCE {
                break;
            }
            // The machine may be reserved for a starved job even if the job does not fit now.
            if !queued.starved && !queued.fits(&free, is_spot) {
                continue;
            }
            started += self.start_tasks_of(now, queued, heartbeat, max_starts - started, commands);
            let has_started = self.jobs.get(&queued.job).is_none_or(|job| !job.tasks.assigned.is_empty());
            if queued.starved && !has_started && self.try_reserve(now, &queued.job, machine) {
                break;
            }
        }
        self.queue.put_jobs_back(queue);
    }

    /// Starts tasks of one job on the machine as long as they should start there, `max_starts` at
    /// most. Returns the number of started tasks.
    fn start_tasks_of(
        &mut self,
        now: Instant,
        queued: &QueuedJob,
        heartbeat: HeartbeatRef<'_>,
        max_starts: usize,
        commands: &mut Vec<Command>,
    ) -> usize {
        let mut started = 0;
        while started < max_starts && self.should_start(now, queued, heartbeat.machine) {
            let failover_complete = self.failover.is_complete();
            let Some(job) = self.jobs.get_mut(&queued.job) else { break };
            let first = first_startable_task(job, failover_complete);
            let Some(index) = job.next_pending(first) else { break };
            let task = TaskId { job: queued.job.clone(), index };
            let Some(command) = self.start_task(now, heartbeat, task) else { break };
            commands.push(command);
            started += 1;
            self.queue.release_reservation(&queued.job);
            if queued.starved {
                // The job is no longer starved: its other tasks wait like those of any other job.
                self.queue.invalidate();
                break;
            }
        }
        started
    }

    /// Adds a slot for the task on the machine and returns its start command, if the start is
    /// permitted.
    fn start_task(&mut self, now: Instant, heartbeat: HeartbeatRef<'_>, task: TaskId) -> Option<Command> {
        let HeartbeatRef { machine, sequence } = heartbeat;
        let Some(attempt) = self.attempts.peek() else {
            tracing::error!("attempt numbers of the epoch exhausted");
            return None;
        };
        let evidence = self.start_evidence(machine, &task)?;
        let permit = match self.term.start_permit(now, task.clone(), attempt, evidence) {
            Ok(permit) => permit,
            Err(refusal) => {
                self.record_violation(Violation::Start(refusal), &task.job);
                return None;
            }
        };
        self.attempts.advance();
        let lease_left = self.term.lease_expiry().saturating_duration_since(now);
        tracing::debug!(
            epoch = self.term.epoch(),
            lease_left_ms = whole_ms(lease_left),
            %machine,
            job = %task.job,
            task = task.index,
            attempt,
            "task start sent"
        );
        let expires_at = now + self.config.heartbeat_reply_validity();
        if let Some(started_on) = self.machines.get_mut(machine) {
            started_on.recent_starts.record(task.clone(), attempt, expires_at);
        }
        self.add_slot(now, machine, task, attempt, SlotState::StartSent { sequence }, true);
        Some(permit.into_command())
    }

    /// Collects the evidence from which the permit to start a task on a machine is decided.
    fn start_evidence(&self, machine: &MachineId, task: &TaskId) -> Option<StartEvidence> {
        let job = self.jobs.get(&task.job)?;
        let machine = self.machines.get(machine)?;
        let has_dependencies = !job.spec().dependencies.is_empty();
        let may_be_unreconciled = !self.failover.is_complete() && task.index < job.tasks.unreconciled_below;
        let is_counted = job.tasks.assigned.contains_key(&task.index) || machine.slots.contains_key(task);
        Some(StartEvidence {
            job_is_live: job.is_startable(),
            dependencies_are_done: !job.waits_for_dependencies()
                && (!has_dependencies || self.dependencies.is_ready(&task.job)),
            start_is_recorded: task.index < job.stored.started_high_water,
            task_is_done: job.record.done.contains(task.index),
            is_on_no_machine: !is_counted && !may_be_unreconciled,
            machine_use_is_recorded: machine.may_hold_tasks(),
            last_attempt: self.attempts.latest(),
        })
    }
}
