//! The controllers: processes of the built program, started with the command of the deploy file.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use tokio::net::TcpListener;

/// What differs between the settings of the scenarios.
#[derive(Clone)]
pub struct Deployment {
    /// Zones of the cluster.
    pub zones: Vec<&'static str>,
    /// Seconds between two reports of a worker.
    pub report_s: f64,
    /// Seconds of a worker's lease.
    pub lease_s: f64,
    /// Seconds within which a cancelled job's tasks have to be gone.
    pub cancel_s: f64,
    /// Requests a second of the state service.
    pub rps: f64,
    /// Changes a second of the state service.
    pub write_rps: f64,
    /// Names of the teams, with the CPUs that each is guaranteed and may use.
    pub teams: Vec<(&'static str, f64, f64)>,
    /// Lag of the cloud's list in seconds.
    pub list_lag_s: f64,
    /// Calls a second of the cloud.
    pub cloud_rps: f64,
    /// Memory of a controller in MB.
    pub ram_mb: f64,
    /// Sockets of a controller.
    pub sockets: u32,
}

/// Addresses of one controller as the others and the clients see them.
#[derive(Clone, Copy)]
pub struct Addresses {
    /// For users and workers.
    pub serve: SocketAddr,
    /// For the other controllers.
    pub internal: SocketAddr,
    /// Where this controller reaches the state service.
    pub state: SocketAddr,
    /// Where this controller reaches the cloud.
    pub cloud: SocketAddr,
}

/// The controllers of a run. Dropping them ends their processes.
pub struct Controllers {
    /// The addresses of each.
    pub addresses: Vec<Addresses>,
    files: Vec<PathBuf>,
    children: Vec<Option<Child>>,
    starts: Vec<u32>,
    program: Vec<String>,
    root: PathBuf,
    folder: PathBuf,
}

/// Two free addresses on a loopback host of its own.
async fn free_addresses(index: usize) -> std::io::Result<(SocketAddr, SocketAddr)> {
    let byte = |shift: u32| (std::process::id() >> shift & 0x7f) as u8 + 1;
    let host = Ipv4Addr::new(127, byte(7), byte(0), index as u8 + 1);
    let first = TcpListener::bind((host, 0)).await?;
    let second = TcpListener::bind((host, 0)).await?;
    Ok((first.local_addr()?, second.local_addr()?))
}

/// The repository's root: the folder of the deploy file, above the current one.
pub fn repository_root() -> std::io::Result<PathBuf> {
    let mut folder = std::env::current_dir()?;
    while !folder.join("deploy/service.toml").is_file() {
        if !folder.pop() {
            return Err(std::io::Error::other("no deploy/service.toml above the current folder"));
        }
    }
    Ok(folder)
}

/// The words of `run` in the deploy file.
fn run_command(root: &Path) -> std::io::Result<Vec<String>> {
    let text = std::fs::read_to_string(root.join("deploy/service.toml"))?;
    let run = text.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
    let run = run.ok_or_else(|| std::io::Error::other("no `run` in the deploy file"))?;
    Ok(run.split_whitespace().map(str::to_owned).collect())
}

impl Controllers {
    /// Chooses addresses and writes the settings; starts nothing. `state` and `cloud` say where each
    /// controller reaches the state service and the cloud.
    pub async fn prepare(
        count: usize,
        folder: &Path,
        deployment: &Deployment,
        state: &[SocketAddr],
        cloud: &[SocketAddr],
    ) -> std::io::Result<Self> {
        let root = repository_root()?;
        let mut addresses = Vec::new();
        for index in 0..count {
            let (serve, internal) = free_addresses(index).await?;
            addresses.push(Addresses { serve, internal, state: state[index], cloud: cloud[index] });
        }
        let mut files = Vec::new();
        for index in 0..count {
            let file = folder.join(format!("shed-{index}.toml"));
            std::fs::write(&file, settings(index, &addresses, deployment))?;
            files.push(file);
        }
        Ok(Controllers {
            children: (0..count).map(|_| None).collect(),
            starts: vec![0; count],
            program: run_command(&root)?,
            folder: folder.to_owned(),
            addresses,
            files,
            root,
        })
    }

    /// Starts a controller unless it runs.
    pub fn start(&mut self, index: usize) -> std::io::Result<()> {
        if self.children[index].is_some() {
            return Ok(());
        }
        self.starts[index] += 1;
        let log = File::create(self.folder.join(format!("shed-{index}-{}.log", self.starts[index])))?;
        let child = Command::new(self.root.join(&self.program[0]))
            .args(&self.program[1..])
            .arg(&self.files[index])
            .current_dir(&self.root)
            .env("LOG_LEVEL", "info")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.children[index] = Some(child);
        Ok(())
    }

    /// Starts all controllers.
    pub fn start_all(&mut self) -> std::io::Result<()> {
        (0..self.children.len()).try_for_each(|index| self.start(index))
    }

    /// Ends a controller without a signal that it could handle.
    pub fn kill(&mut self, index: usize) {
        if let Some(mut child) = self.children[index].take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal, by name, to a controller's process.
    pub fn signal(&self, index: usize, name: &str) {
        if let Some(child) = &self.children[index] {
            let _ = Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
        }
    }

    /// The controllers whose processes have ended by themselves.
    pub fn ended(&mut self) -> Vec<(usize, String)> {
        let mut ended = Vec::new();
        for (index, slot) in self.children.iter_mut().enumerate() {
            if let Some(status) = slot.as_mut().and_then(|child| child.try_wait().ok().flatten()) {
                *slot = None;
                ended.push((index, status.to_string()));
            }
        }
        ended
    }

    /// Seconds of processor time that a controller's process has used.
    pub fn processor_s(&self, index: usize) -> Option<f64> {
        let id = self.children[index].as_ref()?.id();
        let text = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
        let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
        Some(ticks / 100.0)
    }

    /// Where users and workers reach the controllers.
    pub fn serve_addresses(&self) -> Vec<SocketAddr> {
        self.addresses.iter().map(|addresses| addresses.serve).collect()
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        (0..self.children.len()).for_each(|index| self.kill(index));
    }
}

fn settings(index: usize, addresses: &[Addresses], deployment: &Deployment) -> String {
    let zone = |index: usize| deployment.zones[index % deployment.zones.len()];
    let mut text = format!(
        "host_name = \"shed-{index}\"\ndomain = \"{}\"\nserve_on = \"{}\"\ninternal_addr = \"{}\"\n\n",
        zone(index),
        addresses[index].serve,
        addresses[index].internal
    );
    for other in (0..addresses.len()).filter(|other| *other != index) {
        text += &format!(
            "[[known]]\nhost_name = \"shed-{other}\"\ndomain = \"{}\"\naddress = \"{}\"\n\n",
            zone(other),
            addresses[other].internal
        );
    }
    text += &format!(
        "[external]\ncloud = \"{}\"\nstate = \"{}\"\n\n[cluster]\nsize = {}\nzones = {:?}\nskew_ms = 25.0\n\n",
        addresses[index].cloud,
        addresses[index].state,
        addresses.len(),
        deployment.zones
    );
    for (name, guaranteed, limit) in &deployment.teams {
        text += &format!(
            "[[cluster.teams]]\nname = \"{name}\"\ncpus = {guaranteed:?}\ncpus_max = {limit:?}\ngpus = 0.0\ngpus_max = 0.0\n\n"
        );
    }
    let Deployment { report_s, lease_s, cancel_s, rps, write_rps, list_lag_s, cloud_rps, ram_mb, sockets, .. } =
        deployment;
    text += &format!(
        "[cluster.workers]\nreport_s = {report_s:?}\nlease_s = {lease_s:?}\ngang_wait_s = 40.0\ngang_peer_s = 4.0\ncancel_s = {cancel_s:?}\n\n\
         [cluster.state]\nrps = {rps:?}\nwrite_rps = {write_rps:?}\nvalue_kb = 8.0\ntxn_ops = 24\n\n\
         [cluster.cloud]\nrps = {cloud_rps:?}\nlist_lag_s = {list_lag_s:?}\n\n\
         [cluster.quota]\ncore_share = 0.064\nram_mb = {ram_mb:?}\nsockets = {sockets}\n"
    );
    text
}
