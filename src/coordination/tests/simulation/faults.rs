//! The faults of a simulated cluster, and how each is injected.

use super::*;

/// A fault. A fault that affects a single controller affects the leader according to the state
/// service, unless the fault names another controller. `lasts`, `restart_after` and `hang` are
/// seconds; `probability` applies to each machine or event.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// A controller is killed, and started again after `restart_after`.
    Kill { controller: Option<usize>, restart_after: f64 },
    /// All controllers are killed at once.
    KillAll { restart_after: f64 },
    /// The state service answers all requests with an error.
    Outage { lasts: f64 },
    /// The state service answers the leader's requests with an error; with `peers` the leader is
    /// also isolated from the other controllers.
    StateServiceRefuses { lasts: f64, peers: bool },
    /// As [`Fault::StateServiceRefuses`], but the leader's requests are lost, so that they time
    /// out.
    StateServiceUnreachable { lasts: f64, peers: bool },
    /// Machines receive neither replies nor pushed commands.
    OneWayPartition { probability: f64, lasts: f64 },
    /// Heartbeats of machines are lost; pushed commands arrive.
    HeartbeatsLost { probability: f64, lasts: f64 },
    /// Machines and their tasks are stalled.
    Hang { probability: f64, lasts: f64 },
    /// Machines are terminated with all tasks on them, as in a preemption without notice.
    TerminateMachines { probability: f64 },
    /// The cloud refuses every request.
    CloudOutage { lasts: f64 },
    /// Transactions get no response, and are applied later.
    DelayedWrites { probability: f64, lasts: f64 },
    /// Copies of heartbeats arrive later, at random controllers.
    DuplicatedHeartbeats { probability: f64, lasts: f64 },
    /// Replies to heartbeats arrive at their worker a second time before the worker drops them, and
    /// pushed commands a second time later.
    DuplicatedCommands { probability: f64, lasts: f64 },
    /// Users cancel the jobs of the first `count` running tasks; the machines that run tasks of
    /// these jobs are stalled for `hang`.
    CancelNow { count: usize, hang: f64 },
    /// Users cancel jobs at the moment when their last task is done.
    CancelAtEnd { probability: f64, lasts: f64 },
    /// Many jobs are submitted at the same time.
    Burst { jobs: usize },
    /// Transactions and reads are carried out immediately; their responses are lost.
    LostResponses { probability: f64, lasts: f64 },
    /// Transactions are applied immediately, and a second time later.
    DuplicatedWrites { probability: f64, lasts: f64 },
    /// Responses of the state service and replies of other controllers take longer.
    DelayedResponses { probability: f64, lasts: f64 },
    /// Copies of users' requests arrive later, at random controllers.
    DuplicatedRequests { probability: f64, lasts: f64 },
    /// Calls between controllers are lost.
    PeersUnreachable { lasts: f64 },
    /// A controller is stalled while its clocks go on.
    Stall { controller: Option<usize>, lasts: f64 },
    /// The announced limits of the state service take effect permanently.
    LimitsLowered,
    /// Zone `z2`, with its workers and one controller, is partitioned from everything else.
    ZonePartition { lasts: f64 },
}

impl Simulation {
    /// Selects each running machine with this probability, and returns the names of those
    /// selected.
    fn random_machines(&mut self, now: Instant, probability: f64) -> Vec<String> {
        let up = self.machines.iter().filter(|(_, m)| m.gone_at.is_none() && now >= m.up_at);
        let names: Vec<String> = up.map(|(name, _)| name.clone()).collect();
        names.into_iter().filter(|_| self.rng.random_bool(probability)).collect()
    }

    /// Applies a change to each running machine with this probability.
    fn change_random_machines(&mut self, now: Instant, probability: f64, change: impl Fn(&mut Worker)) {
        for name in self.random_machines(now, probability) {
            change(self.machines.get_mut(&name).expect("the machine exists"));
        }
    }

    /// Injects a fault now.
    pub(super) fn inject_fault(&mut self, now: Instant, fault: Fault) {
        let leader = self.leader().unwrap_or(0);
        let until = |lasts: f64| now + seconds(lasts);
        let random = |probability: f64, lasts: f64| RandomFault { probability, until: until(lasts) };
        match fault {
            Fault::Kill { controller, restart_after } => {
                self.kill(controller.unwrap_or(leader), restart_after);
            }
            Fault::KillAll { restart_after } => {
                (0..self.controllers.len()).for_each(|controller| self.kill(controller, restart_after));
            }
            Fault::Outage { lasts } => self.outage_until = until(lasts),
            Fault::StateServiceRefuses { lasts, peers } => {
                self.controllers[leader].refused_until = until(lasts);
                self.isolate_if(peers, leader, until(lasts));
            }
            Fault::StateServiceUnreachable { lasts, peers } => {
                self.controllers[leader].state_service_unreachable_until = until(lasts);
                self.isolate_if(peers, leader, until(lasts));
            }
            Fault::OneWayPartition { probability, lasts } => {
                self.change_random_machines(now, probability, |worker| {
                    worker.one_way_partitioned_until = until(lasts);
                });
            }
            Fault::HeartbeatsLost { probability, lasts } => {
                self.change_random_machines(now, probability, |worker| {
                    worker.heartbeats_lost_until = until(lasts);
                });
            }
            Fault::Hang { probability, lasts } => {
                self.change_random_machines(now, probability, |worker| worker.hung_until = until(lasts));
            }
            Fault::TerminateMachines { probability } => {
                for name in self.random_machines(now, probability) {
                    self.remove(now, &name);
                }
            }
            Fault::CloudOutage { lasts } => self.cloud_outage_until = until(lasts),
            Fault::DelayedWrites { probability, lasts } => self.delayed_writes = random(probability, lasts),
            Fault::LostResponses { probability, lasts } => self.lost_responses = random(probability, lasts),
            Fault::DuplicatedWrites { probability, lasts } => {
                self.duplicated_writes = random(probability, lasts);
            }
            Fault::DelayedResponses { probability, lasts } => {
                self.delayed_responses = random(probability, lasts);
            }
            Fault::DuplicatedRequests { probability, lasts } => {
                self.duplicated_requests = random(probability, lasts);
            }
            Fault::DuplicatedHeartbeats { probability, lasts } => {
                self.duplicated_heartbeats = random(probability, lasts);
            }
            Fault::DuplicatedCommands { probability, lasts } => {
                self.duplicated_commands = random(probability, lasts);
            }
            Fault::CancelAtEnd { probability, lasts } => self.cancel_at_end = random(probability, lasts),
            Fault::PeersUnreachable { lasts } => self.peers_unreachable_until = until(lasts),
            Fault::Stall { controller, lasts } => {
                let controller = &self.controllers[controller.unwrap_or(leader)];
                if controller.handle.is_some() {
                    controller.stalls.begin(until(lasts));
                }
            }
            Fault::CancelNow { count, hang } => self.cancel_running_jobs(now, count, until(hang)),
            Fault::Burst { jobs } => (0..jobs).for_each(|_| self.submit_random_job(now)),
            Fault::LimitsLowered => {
                let limits = self.settings.cluster.kv.announced();
                self.state.limit(limits);
                self.write_limiter = Some(TokenBucket::new(limits.write_rps, limits.write_rps, now));
            }
            Fault::ZonePartition { lasts } => {
                self.zone_partitioned_until = until(lasts);
                let controller = &mut self.controllers[PARTITIONED_CONTROLLER];
                (controller.state_service_unreachable_until, controller.isolated_until) =
                    (until(lasts), until(lasts));
            }
        }
    }

    /// Isolates a controller from the others until this time, if `should_isolate` is set.
    fn isolate_if(&mut self, should_isolate: bool, controller: usize, until: Instant) {
        if should_isolate {
            self.controllers[controller].isolated_until = until;
        }
    }

    /// Cancels the jobs of the first `count` running tasks, and stalls the machines that run tasks
    /// of these jobs.
    fn cancel_running_jobs(&mut self, now: Instant, count: usize, hung_until: Instant) {
        let running: Vec<(String, String)> =
            self.on_machines().map(|(name, _, key)| (name.to_owned(), key.0.clone())).collect();
        let jobs: BTreeSet<String> = running.iter().map(|(_, job)| job.clone()).take(count).collect();
        for (name, job) in running.iter().filter(|(_, job)| jobs.contains(job)) {
            self.machines.get_mut(name).expect("the machine exists").hung_until = hung_until;
            let job = self.jobs.get_mut(job).expect("the job exists");
            job.cancel_from.get_or_insert(now);
            job.cancel_from = job.cancel_from.min(Some(now));
            job.next = now;
        }
    }
}
