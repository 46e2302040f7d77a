//! The controllers: the built program, one process each, with settings written for the run
//! and a link for each pair of parts that speak to each other.

use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};

use super::jobs::{LIMITED_PART, LIMITED_TEAM, MACHINE_CPUS, ZONES};
use super::network::{Link, Passage};
use super::state_service::{StateService, TXN_OPS, VALUE_KB};
use super::workers::{LEASE, REPORT};
use super::{CANCEL, cloud};

/// How a controller's ways to others are cut.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Cut {
    Held,
    Lost,
    Refused,
}

/// A controller, its process and the links to and from it.
#[derive(Debug)]
struct Controller {
    child: Option<Child>,
    paused: bool,
    starts: u32,
    users: Link,
    workers: Link,
    state: Link,
    cloud: Link,
    /// From each other controller, in their order; its own place is never used.
    peers: Vec<Link>,
}

/// All controllers of a run. Dropping them ends their processes.
#[derive(Debug)]
pub struct Controllers {
    controllers: Vec<Controller>,
    program: PathBuf,
    folder: PathBuf,
    workers: u64,
    /// Users aim at a start within less than a report interval, so that answers to reports
    /// are held.
    prompt: bool,
}

/// Where a controller is to listen. Connections go out from another loopback address, so
/// none of them takes the port before the controller does.
async fn free_address() -> std::io::Result<SocketAddr> {
    tokio::net::TcpListener::bind("127.0.1.1:0").await?.local_addr()
}

/// What all controllers of a run have in common.
pub struct Site<'a> {
    pub count: usize,
    pub workers: u64,
    pub prompt: bool,
    pub folder: &'a Path,
    pub program: &'a Path,
}

impl Controllers {
    /// Opens the links; nothing runs yet.
    pub async fn prepare(site: &Site<'_>, state: &StateService) -> std::io::Result<Self> {
        let mut controllers = Vec::new();
        for at in 0..site.count {
            let mut peers = Vec::new();
            for _ in 0..site.count {
                peers.push(Link::open(None).await?);
            }
            controllers.push(Controller {
                child: None,
                paused: false,
                starts: 0,
                users: Link::open(None).await?,
                workers: Link::open(None).await?,
                state: Link::open(Some(state.addresses[at])).await?,
                cloud: Link::open(None).await?,
                peers,
            });
        }
        Ok(Controllers {
            controllers,
            program: site.program.to_owned(),
            folder: site.folder.to_owned(),
            workers: site.workers,
            prompt: site.prompt,
        })
    }

    pub fn lead_to_cloud(&self, address: SocketAddr) {
        self.controllers.iter().for_each(|c| c.cloud.lead_to(Some(address)));
    }

    pub fn count(&self) -> usize {
        self.controllers.len()
    }

    pub fn for_users(&self) -> Vec<SocketAddr> {
        self.controllers.iter().map(|c| c.users.address).collect()
    }

    pub fn for_workers(&self) -> Vec<SocketAddr> {
        self.controllers.iter().map(|c| c.workers.address).collect()
    }

    /// Starts a controller's process; its links lead there from now on.
    pub async fn start(&mut self, at: usize) -> std::io::Result<()> {
        if self.controllers[at].child.is_some() {
            return Ok(());
        }
        let (serving, internal) = (free_address().await?, free_address().await?);
        self.controllers[at].starts += 1;
        let file = self.folder.join(format!("c-{at}.toml"));
        std::fs::write(&file, self.settings(at, serving, internal))?;
        let log = File::create(self.folder.join(format!("c-{at}-{}.log", self.controllers[at].starts)))?;
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(&file)
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        let controller = &mut self.controllers[at];
        controller.child = Some(child);
        controller.paused = false;
        controller.users.lead_to(Some(serving));
        controller.workers.lead_to(Some(serving));
        controller.peers.iter().for_each(|link| link.lead_to(Some(internal)));
        Ok(())
    }

    fn settings(&self, at: usize, serving: SocketAddr, internal: SocketAddr) -> String {
        let this = &self.controllers[at];
        let known = (0..self.count()).filter(|other| *other != at).map(|other| {
            let (zone, link) = (zone_of(other), &self.controllers[other].peers[at]);
            format!(
                "[[known]]\nhost_name = \"c-{other}\"\ndomain = \"{zone}\"\naddress = \"{}\"\n",
                link.address
            )
        });
        let fleet = self.workers as f64 * MACHINE_CPUS;
        let prompt =
            "[[cluster.objectives]]\nkind = \"wait\"\nclass = \"viewer\"\nwithin_s = 0.5\nshare = 0.9\n";
        format!(
            "host_name = \"c-{at}\"\ndomain = \"{zone}\"\nserve_on = \"{serving}\"\ninternal_addr = \"{internal}\"\n\
             {known}\
             [external]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n\
             [cluster]\nsize = {size}\nzones = [\"z1\", \"z2\"]\nskew_ms = 25.0\n\
             [[cluster.teams]]\nname = \"{LIMITED_TEAM}\"\ncpus = {guaranteed}\ncpus_max = {limit}\n\
             [[cluster.teams]]\nname = \"blue\"\ncpus = 0.0\ncpus_max = 0.0\n\
             {objectives}\
             [cluster.workers]\nreport_s = {report}\nlease_s = {lease}\ncancel_s = {cancel}\n\
             [cluster.state]\nrps = 4000.0\nwrite_rps = 1500.0\nvalue_kb = {VALUE_KB:.1}\ntxn_ops = {TXN_OPS}\n\
             [cluster.cloud]\nrps = 20.0\nlist_lag_s = {lag}\n\
             [cluster.quota]\ncore_share = 0.5\nram_mb = 256.0\nsockets = {sockets}\n",
            zone = zone_of(at),
            known = known.collect::<String>(),
            cloud = this.cloud.address,
            state = this.state.address,
            size = self.count(),
            guaranteed = fleet * LIMITED_PART / 4.0,
            limit = fleet * LIMITED_PART,
            objectives = if self.prompt { prompt } else { "" },
            report = REPORT.as_secs_f64(),
            lease = LEASE.as_secs_f64(),
            cancel = CANCEL.as_secs_f64(),
            lag = cloud::LIST_LAG.as_secs_f64(),
            sockets = self.workers * 8 + 800,
        )
    }

    /// Ends a process without a word; its links lead nowhere.
    pub fn kill(&mut self, at: usize) {
        let controller = &mut self.controllers[at];
        let Some(mut child) = controller.child.take() else { return };
        let _ = child.kill();
        let _ = child.wait();
        controller.users.lead_to(None);
        controller.workers.lead_to(None);
        controller.peers.iter().for_each(|link| link.lead_to(None));
    }

    /// Lets a process stand still, or go on.
    pub fn pause(&mut self, at: usize, paused: bool) {
        let controller = &mut self.controllers[at];
        let Some(child) = &controller.child else { return };
        let signal = if paused { Signal::STOP } else { Signal::CONT };
        if let Some(pid) = i32::try_from(child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
            controller.paused = paused;
        }
    }

    fn cut(link: &Link, cut: Option<Cut>) {
        match cut {
            None => link.mend(),
            Some(Cut::Held) => link.set(Passage::Held, Passage::Held),
            Some(Cut::Lost) => link.set(Passage::Lost, Passage::Lost),
            Some(Cut::Refused) => link.refuse(true),
        }
    }

    pub fn cut_state(&self, at: usize, cut: Option<Cut>) {
        Self::cut(&self.controllers[at].state, cut);
    }

    pub fn cut_workers(&self, at: usize, cut: Option<Cut>) {
        Self::cut(&self.controllers[at].workers, cut);
    }

    /// Answers to workers arrive later, or never; their reports arrive.
    pub fn spoil_answers(&self, at: usize, back: Passage) {
        self.controllers[at].workers.set(Passage::Open, back);
    }

    /// Cuts a controller from the others, both ways.
    pub fn cut_peers(&self, at: usize, cut: Option<Cut>) {
        for other in (0..self.count()).filter(|other| *other != at) {
            Self::cut(&self.controllers[at].peers[other], cut);
            Self::cut(&self.controllers[other].peers[at], cut);
        }
    }

    /// What controllers say to each other comes late.
    pub fn delay_peers(&self, passage: Passage) {
        for controller in &self.controllers {
            controller.peers.iter().for_each(|link| link.set(passage, passage));
        }
    }

    /// All troubles end: whoever stands still goes on, whoever is gone comes back.
    pub async fn calm(&mut self) -> std::io::Result<()> {
        for at in 0..self.count() {
            self.pause(at, false);
            self.cut_state(at, None);
            self.cut_workers(at, None);
            self.cut_peers(at, None);
            self.start(at).await?;
        }
        Ok(())
    }

    /// Controllers whose processes have ended by themselves since the last look.
    pub fn ended(&mut self) -> Vec<(usize, String)> {
        let mut ended = Vec::new();
        for (at, controller) in self.controllers.iter_mut().enumerate() {
            let status = controller.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = status {
                controller.child = None;
                ended.push((at, status.to_string()));
            }
        }
        ended
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for at in 0..self.controllers.len() {
            self.kill(at);
        }
    }
}

fn zone_of(controller: usize) -> &'static str {
    ZONES[controller % ZONES.len()]
}
