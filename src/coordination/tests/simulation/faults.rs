//! What goes wrong in a simulated cluster, and how it is brought about.

use super::*;

/// What goes wrong; where no controller is named, it is the one that leads by the
/// state service's own word.
#[derive(Debug, Clone, Copy)]
pub enum Fault {
    Crash {
        controller: Option<usize>,
        back: f64,
    },
    CrashAll {
        back: f64,
    },
    Outage {
        lasts: f64,
    },
    /// The state service refuses one controller; with `peers` the others, too.
    Refused {
        lasts: f64,
        peers: bool,
    },
    /// The same, but its requests hang.
    Cut {
        lasts: f64,
        peers: bool,
    },
    Deaf {
        share: f64,
        lasts: f64,
    },
    Mute {
        share: f64,
        lasts: f64,
    },
    Hung {
        share: f64,
        lasts: f64,
    },
    Die {
        share: f64,
    },
    CloudDown {
        lasts: f64,
    },
    LateWrites {
        share: f64,
        lasts: f64,
    },
    LateHeartbeats {
        share: f64,
        lasts: f64,
    },
    /// Users call off jobs that run; with `hang` their machines hang at once.
    CancelNow {
        count: usize,
        hang: f64,
    },
    CancelAtEnd {
        share: f64,
        lasts: f64,
    },
    Burst {
        jobs: usize,
    },
    /// Transactions and reads are carried out at once; their answers are lost.
    LostAnswers {
        share: f64,
        lasts: f64,
    },
    /// Transactions are carried out at once, and once more later.
    DoubledWrites {
        share: f64,
        lasts: f64,
    },
    /// Answers of the state service and of other controllers take longer.
    SlowAnswers {
        share: f64,
        lasts: f64,
    },
    /// Copies of users' requests arrive again later, at any controller.
    LateRequests {
        share: f64,
        lasts: f64,
    },
    /// No controller reaches another.
    PeersRefuse {
        lasts: f64,
    },
    /// A controller stands still while its clocks run on.
    Stall {
        controller: Option<usize>,
        lasts: f64,
    },
    /// The announced limits of the state service come into force, and stay.
    LimitsFall,
    /// The zone with workers and one controller in it is cut off from everything.
    ZoneCut {
        lasts: f64,
    },
}

impl Simulation {
    pub(super) fn some_machines(&mut self, now: Instant, share: f64) -> Vec<String> {
        let up = self.machines.iter().filter(|(_, m)| m.gone_at.is_none() && now >= m.up_at);
        let names: Vec<String> = up.map(|(name, _)| name.clone()).collect();
        names.into_iter().filter(|_| self.rng.random_bool(share)).collect()
    }

    pub(super) fn inject_fault(&mut self, now: Instant, fault: Fault) {
        let lead = self.leader().unwrap_or(0);
        let until = |lasts: f64| now + seconds(lasts);
        match fault {
            Fault::Crash { controller, back } => self.crash(controller.unwrap_or(lead), back),
            Fault::CrashAll { back } => (0..self.controllers.len()).for_each(|at| self.crash(at, back)),
            Fault::Outage { lasts } => self.outage_until = until(lasts),
            Fault::Refused { lasts, peers } => {
                self.controllers[lead].refused_until = until(lasts);
                if peers {
                    self.controllers[lead].isolated_until = until(lasts);
                }
            }
            Fault::Cut { lasts, peers } => {
                self.controllers[lead].cut_until = until(lasts);
                if peers {
                    self.controllers[lead].isolated_until = until(lasts);
                }
            }
            Fault::Deaf { share, lasts } => {
                for name in self.some_machines(now, share) {
                    self.machines.get_mut(&name).expect("there").deaf_until = until(lasts);
                }
            }
            Fault::Mute { share, lasts } => {
                for name in self.some_machines(now, share) {
                    self.machines.get_mut(&name).expect("there").mute_until = until(lasts);
                }
            }
            Fault::Hung { share, lasts } => {
                for name in self.some_machines(now, share) {
                    self.machines.get_mut(&name).expect("there").hung_until = until(lasts);
                }
            }
            Fault::Die { share } => {
                for name in self.some_machines(now, share) {
                    self.remove(now, &name);
                }
            }
            Fault::CloudDown { lasts } => self.cloud_down_until = until(lasts),
            Fault::LateWrites { share, lasts } => self.late_writes = (share, until(lasts)),
            Fault::LostAnswers { share, lasts } => self.lost_answers = (share, until(lasts)),
            Fault::DoubledWrites { share, lasts } => self.doubled_writes = (share, until(lasts)),
            Fault::SlowAnswers { share, lasts } => self.slow_answers = (share, until(lasts)),
            Fault::LateRequests { share, lasts } => self.late_requests = (share, until(lasts)),
            Fault::PeersRefuse { lasts } => self.peers_refuse_until = until(lasts),
            Fault::Stall { controller, lasts } => {
                let c = &self.controllers[controller.unwrap_or(lead)];
                if c.handle.is_some() {
                    c.stalls.begin(until(lasts));
                }
            }
            Fault::LateHeartbeats { share, lasts } => self.late_heartbeats = (share, until(lasts)),
            Fault::CancelAtEnd { share, lasts } => self.cancel_at_end = (share, until(lasts)),
            Fault::CancelNow { count, hang } => {
                let running: Vec<(String, String)> =
                    self.on_machines().map(|(name, _, key)| (name.to_owned(), key.0.clone())).collect();
                let jobs: BTreeSet<String> = running.iter().map(|(_, job)| job.clone()).take(count).collect();
                for (name, job) in running.iter().filter(|(_, job)| jobs.contains(job)) {
                    self.machines.get_mut(name).expect("there").hung_until = until(hang);
                    let job = self.jobs.get_mut(job).expect("there");
                    job.cancel_from.get_or_insert(now);
                    job.cancel_from = job.cancel_from.min(Some(now));
                    job.next = now;
                }
            }
            Fault::Burst { jobs } => (0..jobs).for_each(|_| self.submit_random_job(now)),
            Fault::LimitsFall => {
                let limits = self.settings.cluster.state.announced();
                self.state.limit(limits);
                self.allowance = Some(TokenBucket::new(limits.write_rps, limits.write_rps, now));
            }
            Fault::ZoneCut { lasts } => {
                self.zone_cut_until = until(lasts);
                let c = &mut self.controllers[1];
                (c.cut_until, c.isolated_until) = (until(lasts), until(lasts));
            }
        }
    }
}
