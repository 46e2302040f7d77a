//! The faults of a simulated cluster, and how each is injected.

use super::*;

/// A fault. Where it names no controller, it strikes the one that leads according to the state
/// service. `lasts`, `back` and `hang` are seconds; `share` is the probability with which each
/// machine or event is struck.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    /// A controller's process ends, and is started again after `back`.
    Crash { controller: Option<usize>, back: f64 },
    /// All controllers crash at once.
    CrashAll { back: f64 },
    /// The state service answers nobody's requests but with an error.
    Outage { lasts: f64 },
    /// The state service refuses one controller; with `peers` the others do, too.
    Refused { lasts: f64, peers: bool },
    /// The same, but its requests hang.
    Cut { lasts: f64, peers: bool },
    /// Machines receive neither replies nor pushed commands.
    OneWayPartition { share: f64, lasts: f64 },
    /// Heartbeats of machines are lost; pushed commands arrive.
    HeartbeatsLost { share: f64, lasts: f64 },
    /// Machines are stalled, with what they run.
    Hung { share: f64, lasts: f64 },
    /// Machines end, as by a preemption without notice.
    Die { share: f64 },
    /// The cloud answers with errors.
    CloudDown { lasts: f64 },
    /// Transactions are carried out late, without an answer.
    LateWrites { share: f64, lasts: f64 },
    /// Copies of heartbeats arrive later, at any controller.
    LateHeartbeats { share: f64, lasts: f64 },
    /// Users cancel jobs that run; with `hang` their machines are stalled at once.
    CancelNow { count: usize, hang: f64 },
    /// Users cancel jobs when their last task ends.
    CancelAtEnd { share: f64, lasts: f64 },
    /// Jobs are submitted at once.
    Burst { jobs: usize },
    /// Transactions and reads are carried out at once; their answers are lost.
    LostAnswers { share: f64, lasts: f64 },
    /// Transactions are carried out at once, and once more later.
    DoubledWrites { share: f64, lasts: f64 },
    /// Answers of the state service and of other controllers take longer.
    SlowAnswers { share: f64, lasts: f64 },
    /// Copies of users' requests arrive again later, at any controller.
    LateRequests { share: f64, lasts: f64 },
    /// No controller reaches another.
    PeersRefuse { lasts: f64 },
    /// A controller is stalled while its clocks run on.
    Stall { controller: Option<usize>, lasts: f64 },
    /// The announced limits of the state service come into force, and stay.
    LimitsFall,
    /// The zone with workers and one controller is partitioned from everything.
    ZoneCut { lasts: f64 },
}

impl Simulation {
    /// Names of a random share of the machines that are up.
    fn some_machines(&mut self, now: Instant, share: f64) -> Vec<String> {
        let up = self.machines.iter().filter(|(_, m)| m.gone_at.is_none() && now >= m.up_at);
        let names: Vec<String> = up.map(|(name, _)| name.clone()).collect();
        names.into_iter().filter(|_| self.rng.random_bool(share)).collect()
    }

    /// Changes a random share of the machines that are up.
    fn strike_machines(&mut self, now: Instant, share: f64, strike: impl Fn(&mut Worker)) {
        for name in self.some_machines(now, share) {
            strike(self.machines.get_mut(&name).expect("there"));
        }
    }

    /// Injects a fault now.
    pub(super) fn inject_fault(&mut self, now: Instant, fault: Fault) {
        let leader = self.leader().unwrap_or(0);
        let until = |lasts: f64| now + seconds(lasts);
        let random = |share: f64, lasts: f64| RandomFault { share, until: until(lasts) };
        match fault {
            Fault::Crash { controller, back } => self.crash(controller.unwrap_or(leader), back),
            Fault::CrashAll { back } => (0..self.controllers.len()).for_each(|at| self.crash(at, back)),
            Fault::Outage { lasts } => self.outage_until = until(lasts),
            Fault::Refused { lasts, peers } => {
                self.controllers[leader].refused_until = until(lasts);
                self.isolate_if(peers, leader, until(lasts));
            }
            Fault::Cut { lasts, peers } => {
                self.controllers[leader].cut_until = until(lasts);
                self.isolate_if(peers, leader, until(lasts));
            }
            Fault::OneWayPartition { share, lasts } => {
                self.strike_machines(now, share, |worker| worker.one_way_partitioned_until = until(lasts));
            }
            Fault::HeartbeatsLost { share, lasts } => {
                self.strike_machines(now, share, |worker| worker.heartbeats_lost_until = until(lasts));
            }
            Fault::Hung { share, lasts } => {
                self.strike_machines(now, share, |worker| worker.hung_until = until(lasts));
            }
            Fault::Die { share } => {
                for name in self.some_machines(now, share) {
                    self.remove(now, &name);
                }
            }
            Fault::CloudDown { lasts } => self.cloud_down_until = until(lasts),
            Fault::LateWrites { share, lasts } => self.late_writes = random(share, lasts),
            Fault::LostAnswers { share, lasts } => self.lost_answers = random(share, lasts),
            Fault::DoubledWrites { share, lasts } => self.doubled_writes = random(share, lasts),
            Fault::SlowAnswers { share, lasts } => self.slow_answers = random(share, lasts),
            Fault::LateRequests { share, lasts } => self.late_requests = random(share, lasts),
            Fault::LateHeartbeats { share, lasts } => self.late_heartbeats = random(share, lasts),
            Fault::CancelAtEnd { share, lasts } => self.cancel_at_end = random(share, lasts),
            Fault::PeersRefuse { lasts } => self.peers_refuse_until = until(lasts),
            Fault::Stall { controller, lasts } => {
                let controller = &self.controllers[controller.unwrap_or(leader)];
                if controller.handle.is_some() {
                    controller.stalls.begin(until(lasts));
                }
            }
            Fault::CancelNow { count, hang } => self.cancel_running_jobs(now, count, until(hang)),
            Fault::Burst { jobs } => (0..jobs).for_each(|_| self.submit_random_job(now)),
            Fault::LimitsFall => {
                let limits = self.settings.cluster.kv.announced();
                self.state.limit(limits);
                self.allowance = Some(TokenBucket::new(limits.write_rps, limits.write_rps, now));
            }
            Fault::ZoneCut { lasts } => {
                self.zone_cut_until = until(lasts);
                let controller = &mut self.controllers[PARTITIONED_CONTROLLER];
                (controller.cut_until, controller.isolated_until) = (until(lasts), until(lasts));
            }
        }
    }

    /// Cuts a controller off from the others until then, if the fault includes that.
    fn isolate_if(&mut self, isolates: bool, at: usize, until: Instant) {
        if isolates {
            self.controllers[at].isolated_until = until;
        }
    }

    /// The users of the first `count` running jobs cancel them, and the machines that run these
    /// are stalled until then.
    fn cancel_running_jobs(&mut self, now: Instant, count: usize, hung_until: Instant) {
        let running: Vec<(String, String)> =
            self.on_machines().map(|(name, _, key)| (name.to_owned(), key.0.clone())).collect();
        let jobs: BTreeSet<String> = running.iter().map(|(_, job)| job.clone()).take(count).collect();
        for (name, job) in running.iter().filter(|(_, job)| jobs.contains(job)) {
            self.machines.get_mut(name).expect("there").hung_until = hung_until;
            let job = self.jobs.get_mut(job).expect("there");
            job.cancel_from.get_or_insert(now);
            job.cancel_from = job.cancel_from.min(Some(now));
            job.next = now;
        }
    }
}
