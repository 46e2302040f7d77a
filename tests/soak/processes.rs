//! The controllers of a run: one process of the built program each, with generated settings, and
//! a proxied link for each connection to or from a controller.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use rustix::process::{Pid, Signal, kill_process};
use tokio::net::TcpListener;

use super::jobs::{LIMITED_SHARE, LIMITED_TEAM, MACHINE_CPUS, ZONES};
use super::kv_server::{KvRates, KvServer, TXN_OPS, VALUE_KB};
use super::network::{Delivery, Link};
use super::workers::{HEARTBEAT_INTERVAL, LEASE};
use super::{CANCEL_WITHIN, cloud};

/// How traffic on a cut link is handled.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Cut {
    /// Traffic is delivered once the fault has ended.
    Held,
    /// Traffic is dropped; connections that carried any are closed once the fault has ended.
    Lost,
    /// Open connections are closed, and new ones are refused.
    Refused,
}

/// A controller process, and the links to and from it.
#[derive(Debug)]
struct Controller {
    /// `None` while the process is not running.
    child: Option<Child>,
    /// Number of process starts so far; used to number the log files.
    start_count: u32,
    /// From users.
    users: Link,
    /// From workers.
    workers: Link,
    /// To the key-value store.
    kv: Link,
    /// To the cloud.
    cloud: Link,
    /// From each other controller, by index; the entry at this controller's own index is unused.
    peers: Vec<Link>,
}

/// All controllers of a run. Dropping this kills their processes.
#[derive(Debug)]
pub struct Controllers {
    seed: u64,
    controllers: Vec<Controller>,
    program: PathBuf,
    folder: PathBuf,
    workers: u64,
    rates: KvRates,
    /// Whether an objective requires starts within less than a heartbeat interval, so that
    /// controllers defer responses to heartbeats (long polling).
    latency_sensitive: bool,
}

/// Number of loopback hosts that differ in one byte of the address.
const HOSTS_PER_BYTE: u64 = 250;

/// The loopback host on which a controller of the run with this seed listens. No other controller and
/// no outgoing connection uses it, so that nothing takes a port before the controller binds it.
fn listen_host(seed: u64, index: usize) -> Ipv4Addr {
    let byte = |number: u64| (number % HOSTS_PER_BYTE + 1) as u8;
    Ipv4Addr::new(127, byte(seed / HOSTS_PER_BYTE), byte(seed), byte(index as u64 + 1))
}

/// Returns two free addresses on a host.
async fn free_addresses(host: Ipv4Addr) -> std::io::Result<(SocketAddr, SocketAddr)> {
    let first = TcpListener::bind((host, 0)).await?;
    let second = TcpListener::bind((host, 0)).await?;
    Ok((first.local_addr()?, second.local_addr()?))
}

/// Setup that all controllers of a run share.
pub struct ClusterSetup<'a> {
    /// Seed of the run.
    pub seed: u64,
    /// Number of controllers.
    pub count: usize,
    /// Number of machines in the fleet.
    pub workers: u64,
    /// Rates of the key-value store.
    pub rates: KvRates,
    /// Whether an objective requires starts within less than a heartbeat interval.
    pub latency_sensitive: bool,
    /// Folder for settings and logs.
    pub folder: &'a Path,
    /// The program under test.
    pub program: &'a Path,
}

impl Controllers {
    /// Opens the links without starting any process.
    ///
    /// # Errors
    ///
    /// If no port is free.
    pub async fn prepare(setup: &ClusterSetup<'_>, kv: &KvServer) -> std::io::Result<Self> {
        let mut controllers = Vec::new();
        for index in 0..setup.count {
            let mut peers = Vec::new();
            for _ in 0..setup.count {
                peers.push(Link::open(None).await?);
            }
            controllers.push(Controller {
                child: None,
                start_count: 0,
                users: Link::open(None).await?,
                workers: Link::open(None).await?,
                kv: Link::open(Some(kv.addresses[index])).await?,
                cloud: Link::open(None).await?,
                peers,
            });
        }
        Ok(Controllers {
            seed: setup.seed,
            controllers,
            program: setup.program.to_owned(),
            folder: setup.folder.to_owned(),
            workers: setup.workers,
            rates: setup.rates,
            latency_sensitive: setup.latency_sensitive,
        })
    }

    /// Points the controllers' cloud links to the address that the cloud listens on.
    pub fn connect_cloud(&self, address: SocketAddr) {
        self.controllers.iter().for_each(|c| c.cloud.set_target(Some(address)));
    }

    /// Number of controllers.
    pub fn count(&self) -> usize {
        self.controllers.len()
    }

    /// The address at which users reach each controller.
    pub fn user_addresses(&self) -> Vec<SocketAddr> {
        self.controllers.iter().map(|c| c.users.address).collect()
    }

    /// The address at which workers reach each controller.
    pub fn worker_addresses(&self) -> Vec<SocketAddr> {
        self.controllers.iter().map(|c| c.workers.address).collect()
    }

    /// Starts a controller's process unless it is running, and points its incoming links to it.
    ///
    /// # Errors
    ///
    /// If its settings or log file cannot be written, or the process cannot be started.
    pub async fn start(&mut self, index: usize) -> std::io::Result<()> {
        if self.controllers[index].child.is_some() {
            return Ok(());
        }
        let host = listen_host(self.seed, index);
        let (serve_address, internal_address) = free_addresses(host).await?;
        self.controllers[index].start_count += 1;
        let file = self.folder.join(format!("c-{index}.toml"));
        std::fs::write(&file, self.settings(index, serve_address, internal_address))?;
        let log =
            File::create(self.folder.join(format!("c-{index}-{}.log", self.controllers[index].start_count)))?;
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(&file)
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        let controller = &mut self.controllers[index];
        controller.child = Some(child);
        controller.users.set_target(Some(serve_address));
        controller.workers.set_target(Some(serve_address));
        controller.peers.iter().for_each(|link| link.set_target(Some(internal_address)));
        Ok(())
    }

    /// The settings file of a controller.
    fn settings(&self, index: usize, serve_address: SocketAddr, internal_address: SocketAddr) -> String {
        let controller = &self.controllers[index];
        let peers_settings = (0..self.count()).filter(|other| *other != index).map(|other| {
            let (zone, link) = (zone_of(other), &self.controllers[other].peers[index]);
            format!(
                "[[known]]\nhost_name = \"c-{other}\"\ndomain = \"{zone}\"\naddress = \"{}\"\n",
                link.address
            )
        });
        let fleet_cpus = self.workers as f64 * MACHINE_CPUS;
        let latency_objective =
            "[[cluster.objectives]]\nkind = \"wait\"\nclass = \"viewer\"\nwithin_s = 0.5\nshare = 0.9\n";
        format!(
            "host_name = \"c-{index}\"\ndomain = \"{zone}\"\nserve_on = \"{serve_address}\"\ninternal_addr = \"{internal_address}\"\n\
             {peers}\
             [external]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n\
             [cluster]\nsize = {size}\nzones = [\"z1\", \"z2\"]\nskew_ms = 25.0\n\
             [[cluster.teams]]\nname = \"{LIMITED_TEAM}\"\ncpus = {guaranteed}\ncpus_max = {limit}\n\
             [[cluster.teams]]\nname = \"blue\"\ncpus = 0.0\ncpus_max = 0.0\n\
             {objectives}\
             [cluster.workers]\nreport_s = {report}\nlease_s = {lease}\ncancel_s = {cancel}\n\
             [cluster.state]\nrps = {rps:.1}\nwrite_rps = {write_rps:.1}\nvalue_kb = {VALUE_KB:.1}\ntxn_ops = {TXN_OPS}\n\
             [cluster.cloud]\nrps = 20.0\nlist_lag_s = {lag}\n\
             [cluster.quota]\ncore_share = 0.5\nram_mb = 256.0\nsockets = {sockets}\n",
            rps = self.rates.requests,
            write_rps = self.rates.writes,
            zone = zone_of(index),
            peers = peers_settings.collect::<String>(),
            cloud = controller.cloud.address,
            state = controller.kv.address,
            size = self.count(),
            guaranteed = fleet_cpus * LIMITED_SHARE / 4.0,
            limit = fleet_cpus * LIMITED_SHARE,
            objectives = if self.latency_sensitive { latency_objective } else { "" },
            report = HEARTBEAT_INTERVAL.as_secs_f64(),
            lease = LEASE.as_secs_f64(),
            cancel = CANCEL_WITHIN.as_secs_f64(),
            lag = cloud::LIST_LAG.as_secs_f64(),
            sockets = self.workers * 8 + 800,
        )
    }

    /// Kills a controller's process with SIGKILL; its incoming links then refuse connections.
    pub fn kill(&mut self, index: usize) {
        let controller = &mut self.controllers[index];
        let Some(mut child) = controller.child.take() else { return };
        let _ = child.kill();
        let _ = child.wait();
        controller.users.set_target(None);
        controller.workers.set_target(None);
        controller.peers.iter().for_each(|link| link.set_target(None));
    }

    /// Stops a controller's process with SIGSTOP, or resumes it with SIGCONT.
    pub fn pause(&mut self, index: usize, paused: bool) {
        let controller = &mut self.controllers[index];
        let Some(child) = &controller.child else { return };
        let signal = if paused { Signal::STOP } else { Signal::CONT };
        if let Some(pid) = i32::try_from(child.id()).ok().and_then(Pid::from_raw) {
            let _ = kill_process(pid, signal);
        }
    }

    fn cut(link: &Link, cut: Option<Cut>) {
        match cut {
            None => link.restore(),
            Some(Cut::Held) => link.set_delivery(Delivery::Held, Delivery::Held),
            Some(Cut::Lost) => link.set_delivery(Delivery::Lost, Delivery::Lost),
            Some(Cut::Refused) => link.set_refusing(true),
        }
    }

    /// Cuts a controller off from the key-value store, or restores the link.
    pub fn cut_kv(&self, index: usize, cut: Option<Cut>) {
        Self::cut(&self.controllers[index].kv, cut);
    }

    /// Cuts a controller off from the workers, or restores the link.
    pub fn cut_workers(&self, index: usize, cut: Option<Cut>) {
        Self::cut(&self.controllers[index].workers, cut);
    }

    /// Sets how responses to workers are delivered. Heartbeats still arrive.
    pub fn set_worker_responses(&self, index: usize, delivery: Delivery) {
        self.controllers[index].workers.set_delivery(Delivery::Immediate, delivery);
    }

    /// Cuts a controller off from the others in both directions, or restores the links.
    pub fn cut_peers(&self, index: usize, cut: Option<Cut>) {
        for other in (0..self.count()).filter(|other| *other != index) {
            Self::cut(&self.controllers[index].peers[other], cut);
            Self::cut(&self.controllers[other].peers[index], cut);
        }
    }

    /// Sets how all traffic between controllers is delivered.
    pub fn delay_peers(&self, delivery: Delivery) {
        for controller in &self.controllers {
            controller.peers.iter().for_each(|link| link.set_delivery(delivery, delivery));
        }
    }

    /// Ends all faults of the controllers and their links: resumes stopped processes, restores links
    /// and restarts killed controllers.
    ///
    /// # Errors
    ///
    /// As [`Controllers::start`].
    pub async fn recover(&mut self) -> std::io::Result<()> {
        for index in 0..self.count() {
            self.pause(index, false);
            self.cut_kv(index, None);
            self.cut_workers(index, None);
            self.cut_peers(index, None);
            self.start(index).await?;
        }
        Ok(())
    }

    /// Returns the controllers whose processes have exited without being killed since the last
    /// call, with their exit status.
    pub fn take_exited(&mut self) -> Vec<(usize, String)> {
        let mut exited = Vec::new();
        for (index, controller) in self.controllers.iter_mut().enumerate() {
            let status = controller.child.as_mut().and_then(|child| child.try_wait().ok().flatten());
            if let Some(status) = status {
                controller.child = None;
                exited.push((index, status.to_string()));
            }
        }
        exited
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for index in 0..self.controllers.len() {
            self.kill(index);
        }
    }
}

fn zone_of(controller: usize) -> &'static str {
    ZONES[controller % ZONES.len()]
}
