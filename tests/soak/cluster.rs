//! The components of a run and its faults: begins each fault at its time, and ends it.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use super::cloud::Cloud;
use super::collector::{TriggerResponse, next_trigger};
use super::history::{Event, Recorder};
use super::jobs::{self, Job};
use super::kv_server::{KvFault, KvRates, KvServer};
use super::network::Delivery;
use super::options::{Options, PROGRAM};
use super::processes::{ClusterSetup, Controllers};
use super::schedule::{Fault, PlannedFault, Target};
use super::users::{self, MassCancellation, Users};
use super::workers::WorkerContext;

/// Interval for ending faults that are due.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// All components of a run, and the scheduled ends of active faults.
pub struct Cluster {
    /// The controllers.
    pub controllers: Controllers,
    kv: KvServer,
    cloud: Cloud,
    mass_cancellation: watch::Sender<MassCancellation>,
    recorder: Recorder,
    /// When each active fault ends, and the action that ends it.
    fault_ends: Vec<(Instant, FaultEnd)>,
    /// When the last fault so far ends, whoever ends it.
    pub last_fault_end: Instant,
}

/// An action that ends a fault. The index, if any, is that of the affected controller.
#[derive(Debug, Clone, Copy)]
enum FaultEnd {
    Start(usize),
    Resume(usize),
    RestoreKv(usize),
    RestorePeers(usize),
    RestoreWorkers(usize),
    RestoreAllPeers,
}

impl Cluster {
    /// Starts all components.
    ///
    /// # Errors
    ///
    /// If no port is free, or a process cannot be started.
    pub async fn start(
        seed: u64,
        options: &Options,
        folder: &Path,
        jobs: &[Job],
        recorder: Recorder,
    ) -> std::io::Result<Self> {
        let count = if seed % 3 == 2 { 5 } else { 3 };
        let rates = KvRates::of_backlog(options.backlog, options.request_rate);
        let records = jobs::backlog_records(jobs);
        let kv = KvServer::start(seed, count, rates, &records, recorder.clone()).await?;
        let program = std::env::var_os(PROGRAM).map(PathBuf::from);
        let program = program.unwrap_or_else(|| PathBuf::from(env!("CARGO_BIN_EXE_shedtally")));
        let setup = ClusterSetup {
            seed,
            count,
            workers: options.workers,
            rates,
            latency_sensitive: seed % 2 == 1,
            folder,
            program: &program,
        };
        let mut controllers = Controllers::prepare(&setup, &kv).await?;
        let context = Arc::new(WorkerContext {
            jobs: jobs.to_vec(),
            controllers: controllers.worker_addresses(),
            recorder: recorder.clone(),
        });
        let cloud = Cloud::start(seed, options.workers, context).await?;
        controllers.connect_cloud(cloud.address);
        for index in 0..count {
            controllers.start(index).await?;
        }
        let (mass_cancellation, mass_cancellations) = watch::channel(MassCancellation::default());
        users::start(Arc::new(Users {
            jobs: jobs.to_vec(),
            controllers: controllers.user_addresses(),
            recorder: recorder.clone(),
            begin: Instant::now(),
            mass_cancellations,
            accepted: jobs.iter().map(|_| watch::channel(false).0).collect(),
            seed,
        }));
        Ok(Cluster {
            controllers,
            kv,
            cloud,
            mass_cancellation,
            recorder,
            fault_ends: Vec::new(),
            last_fault_end: Instant::now(),
        })
    }

    /// Waits until the given time. Meanwhile, ends faults that are due and restarts processes that
    /// have exited.
    pub async fn wait_until(&mut self, until: Instant) -> std::io::Result<()> {
        loop {
            let now = Instant::now();
            let due: Vec<FaultEnd> = self
                .fault_ends
                .iter()
                .filter(|(at, _)| now >= *at)
                .map(|(_, fault_end)| *fault_end)
                .collect();
            self.fault_ends.retain(|(at, _)| now < *at);
            for fault_end in due {
                self.end_fault(fault_end).await?;
            }
            for (controller, status) in self.controllers.take_exited() {
                self.recorder.record(Event::ProcessExited { controller, status });
                self.controllers.start(controller).await?;
            }
            if now >= until {
                return Ok(());
            }
            tokio::time::sleep_until(until.min(now + TICK_INTERVAL)).await;
        }
    }

    async fn end_fault(&mut self, fault_end: FaultEnd) -> std::io::Result<()> {
        match fault_end {
            FaultEnd::Start(index) => self.controllers.start(index).await?,
            FaultEnd::Resume(index) => self.controllers.pause(index, false),
            FaultEnd::RestoreKv(index) => self.controllers.cut_kv(index, None),
            FaultEnd::RestorePeers(index) => self.controllers.cut_peers(index, None),
            FaultEnd::RestoreWorkers(index) => self.controllers.cut_workers(index, None),
            FaultEnd::RestoreAllPeers => self.controllers.delay_peers(Delivery::Immediate),
        }
        Ok(())
    }

    /// Injects the planned faults in order, each at its time or, if it has a trigger, after the next
    /// response of that kind.
    pub async fn inject_faults(
        &mut self,
        planned: &[PlannedFault],
        mut triggers: mpsc::UnboundedReceiver<TriggerResponse>,
    ) -> std::io::Result<()> {
        let begin = Instant::now() - self.recorder.now();
        for PlannedFault { at, trigger, fault } in planned {
            self.wait_until(begin + *at).await?;
            while triggers.try_recv().is_ok() {}
            let responder = match trigger {
                Some(trigger) => next_trigger(&mut triggers, *trigger).await,
                None => None,
            };
            let leader = self.leader().await;
            self.recorder.record(Event::Fault { description: format!("{fault:?}, c-{leader} leads") });
            self.begin_fault(*fault, leader, responder);
            self.last_fault_end = self.last_fault_end.max(Instant::now() + fault.duration());
        }
        Ok(())
    }

    /// Index of the leader according to the key-value store; 0 if there is none.
    async fn leader(&self) -> usize {
        let name = self.kv.leader().await;
        name.and_then(|name| name.strip_prefix("c-")?.parse().ok()).unwrap_or(0)
    }

    fn schedule_fault_end(&mut self, after: Duration, fault_end: FaultEnd) {
        self.fault_ends.push((Instant::now() + after, fault_end));
    }

    fn begin_fault(&mut self, fault: Fault, leader: usize, responder: Option<usize>) {
        let resolve = |target| match target {
            Target::Leader => leader,
            Target::Responder => responder.unwrap_or(leader),
            Target::Index(index) => index,
        };
        match fault {
            Fault::Kill { target, restart_after } => self.kill(resolve(target), restart_after),
            Fault::KillAll { restart_after } => {
                (0..self.controllers.count()).for_each(|index| self.kill(index, restart_after));
            }
            Fault::Stall { target, duration } => {
                self.controllers.pause(resolve(target), true);
                self.schedule_fault_end(duration, FaultEnd::Resume(resolve(target)));
            }
            Fault::CutKv { target, cut, peers, duration } => {
                self.controllers.cut_kv(resolve(target), Some(cut));
                self.schedule_fault_end(duration, FaultEnd::RestoreKv(resolve(target)));
                if peers {
                    self.controllers.cut_peers(resolve(target), Some(cut));
                    self.schedule_fault_end(duration, FaultEnd::RestorePeers(resolve(target)));
                }
            }
            Fault::CutPeers { target, cut, duration } => {
                self.controllers.cut_peers(resolve(target), Some(cut));
                self.schedule_fault_end(duration, FaultEnd::RestorePeers(resolve(target)));
            }
            Fault::CutWorkers { target, cut, duration } => {
                self.controllers.cut_workers(resolve(target), Some(cut));
                self.schedule_fault_end(duration, FaultEnd::RestoreWorkers(resolve(target)));
            }
            Fault::WorkerResponses { target, delivery, duration } => {
                self.controllers.set_worker_responses(resolve(target), delivery);
                self.schedule_fault_end(duration, FaultEnd::RestoreWorkers(resolve(target)));
            }
            Fault::DelayPeers { by, duration } => {
                self.controllers.delay_peers(Delivery::Delayed(by));
                self.schedule_fault_end(duration, FaultEnd::RestoreAllPeers);
            }
            Fault::RefuseKv { target, duration } => {
                self.kv.inject(KvFault::Refuse { controller: resolve(target), duration });
            }
            Fault::KvStore(fault) => self.kv.inject(fault),
            Fault::CloudOutage { duration } => self.cloud.begin_outage(duration),
            Fault::Machines { share, fault } => self.cloud.inject_machine_fault(share, fault),
            Fault::TerminateMachines { share } => self.cloud.terminate_machines(share),
            Fault::CancelMany { share } => self.mass_cancellation.send_modify(|cancellation| {
                cancellation.number += 1;
                cancellation.share = share;
            }),
        }
    }

    fn kill(&mut self, index: usize, restart_after: Duration) {
        self.controllers.kill(index);
        self.schedule_fault_end(restart_after, FaultEnd::Start(index));
    }
}
