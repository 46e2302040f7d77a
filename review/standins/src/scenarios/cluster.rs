//! A whole small deployment of stand-ins and controllers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use shedtally::protocol::cbor::encode;
use shedtally::protocol::jobs::{JobSpec, JobState};
use shedtally::protocol::kv::{Change, encode_compare_and_swap};
use shedtally::storage::records::{JobRecord, archived_row_key, encode_row, job_record_key};
use shedtally::transport::client::HttpCall;
use tokio::sync::mpsc;

use crate::cloud::{Build, Cloud};
use crate::controllers::{Controllers, Deployment};
use crate::history::{Entry, Recorder};
use crate::kv_server::{KvRates, KvServer};
use crate::record::Record;
use crate::users::{self, Job};
use crate::workers::{JobFacts, World};

/// The records of jobs that were accepted before, as a controller writes them.
fn records(accepted: &[Job]) -> Vec<JobRecord> {
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64);
    let specs = accepted.iter().filter_map(|job| JobSpec::decode(&job.encode()).ok());
    specs.map(|spec| JobRecord::new(spec, now_ms)).collect()
}

/// Writes the records and archived rows of jobs that are done, as a controller leaves them.
async fn write_ended(state: SocketAddr, ended: &[Job]) -> std::io::Result<()> {
    for some in ended.chunks(10) {
        let mut changes = Vec::new();
        for mut record in records(some) {
            record.completed = true;
            record.started_high_water = record.spec.task_count;
            record.completed_ms = Some(record.submitted_ms);
            let id = record.spec.id.clone();
            let (record, row) = (record.encode_without_done_tasks(), encode_row(JobState::Done));
            for (key, value) in [(job_record_key(&id), record), (archived_row_key(&id), row)] {
                changes.push(Change::Put { key, value, lease: None });
            }
        }
        let body = encode(&encode_compare_and_swap(&[], &changes));
        let timeout = Duration::from_secs(2);
        let call = HttpCall { method: "POST", target: "/commit".into(), body, timeout };
        let response = crate::http::send(state, call).await;
        if response.as_ref().is_none_or(|response| response.status != 200) {
            return Err(std::io::Error::other(format!("ended jobs are not written: {response:?}")));
        }
    }
    Ok(())
}

/// A folder that is removed at the end.
pub struct TemporaryFolder(pub PathBuf);

impl TemporaryFolder {
    fn create() -> std::io::Result<Self> {
        let folder = std::env::temp_dir().join(format!("shedtally-review-{}", std::process::id()));
        std::fs::create_dir_all(&folder)?;
        Ok(TemporaryFolder(folder))
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

/// The components of a run.
pub struct Cluster {
    pub record: Record,
    pub controllers: Controllers,
    pub state: KvServer,
    pub cloud: Cloud,
    pub world: Arc<World>,
    history: mpsc::UnboundedReceiver<Entry>,
    _folder: TemporaryFolder,
}

/// The deployment of the site file `omtf-transcribe`, with three controllers.
pub fn small_deployment() -> Deployment {
    Deployment {
        zones: vec!["taichung-1"],
        report_s: 3.0,
        lease_s: 21.0,
        cancel_s: 46.0,
        rps: 250.0,
        write_rps: 50.0,
        teams: vec![("archive-crew-00", 40.0, 400.0), ("archive-crew-01", 40.0, 400.0)],
        list_lag_s: 5.0,
        cloud_rps: 2.0,
        ram_mb: 72.0,
        sockets: 1200,
    }
}

/// The deployment of the site file `ppdn-docfarm-next`.
pub fn next_deployment() -> Deployment {
    Deployment {
        rps: 150.0,
        write_rps: 20.0,
        teams: vec![("sekretariat-ops-00", 800.0, 3500.0), ("sekretariat-ops-01", 800.0, 3500.0)],
        cloud_rps: 3.0,
        ram_mb: 56.0,
        sockets: 800,
        ..docfarm_deployment()
    }
}

/// The deployment of the site file `ppdn-docfarm-fleet`.
pub fn docfarm_deployment() -> Deployment {
    Deployment {
        zones: vec!["cyberjaya-a", "cyberjaya-b", "penang-dr"],
        report_s: 5.0,
        lease_s: 27.0,
        cancel_s: 52.0,
        rps: 600.0,
        write_rps: 70.0,
        teams: vec![("sekretariat-ops-00", 3000.0, 9000.0), ("sekretariat-ops-01", 3000.0, 9000.0)],
        list_lag_s: 4.0,
        cloud_rps: 6.0,
        ram_mb: 188.0,
        sockets: 2726,
    }
}

/// Its larger machine type.
pub const BUILD: Build = Build { name: "zhong-16", cores: 16.0, ram_gb: 64.0, startup_s: 30.0, boot_s: 30.0 };
/// A machine type of the same size that boots faster.
pub const FAST_BUILD: Build = Build { startup_s: 15.0, boot_s: 10.0, ..BUILD };

impl Cluster {
    /// Starts everything with `up` machines, `capacity` at most. The `accepted` jobs were accepted before:
    /// the state service holds their records, and the workers know them. The `ended` jobs
    /// are done, with an archived row each.
    pub async fn start(
        folder: &Path,
        deployment: &Deployment,
        build: Build,
        up: usize,
        capacity: usize,
        accepted: &[Job],
        ended: &[Job],
    ) -> std::io::Result<Self> {
        const CONTROLLERS: usize = 3;
        let record = Record::create(folder)?;
        let temporary = TemporaryFolder::create()?;
        let (recorder, history) = Recorder::new(record.begin());
        // The ended jobs are written by this program, at once; the controllers keep to their rate.
        let writes = if ended.is_empty() { deployment.write_rps } else { 4000.0 };
        let rates = KvRates { requests: deployment.rps, writes };
        let state = KvServer::start(1, CONTROLLERS, rates, &records(accepted), recorder).await?;
        write_ended(state.addresses[0], ended).await?;
        let world = Arc::new(World {
            jobs: Mutex::new(BTreeMap::new()),
            controllers: Mutex::new(Vec::new()),
            record: record.clone(),
            report: Duration::from_secs_f64(deployment.report_s),
            lease: Duration::from_secs_f64(deployment.lease_s),
        });
        let lag_s = deployment.list_lag_s;
        // The cloud needs the controllers' addresses before its machines report.
        let cloud_port = crate::http::listen(1, 1, |_, _| ()).await?;
        cloud_port.abort_handle.abort();
        let placeholder = [cloud_port.address; CONTROLLERS];
        let chosen =
            Controllers::prepare(CONTROLLERS, &temporary.0, deployment, &state.addresses, &placeholder).await?;
        if let Ok(mut list) = world.controllers.lock() {
            *list = chosen.serve_addresses();
        }
        drop(chosen);
        let cloud = Cloud::start(build, deployment.zones.clone(), lag_s, up, capacity, world.clone()).await?;
        let clouds = [cloud.address; CONTROLLERS];
        let mut controllers =
            Controllers::prepare(CONTROLLERS, &temporary.0, deployment, &state.addresses, &clouds).await?;
        if let Ok(mut list) = world.controllers.lock() {
            *list = controllers.serve_addresses();
        }
        controllers.start_all()?;
        let cluster = Cluster { record, controllers, state, cloud, world, history, _folder: temporary };
        accepted.iter().for_each(|job| cluster.upload(job));
        Ok(cluster)
    }

    /// Where users reach the controllers.
    pub fn users(&self) -> Vec<SocketAddr> {
        self.controllers.serve_addresses()
    }

    /// Waits until all controllers are ready and jobs can be accepted.
    pub async fn wait_until_ready(&self, limit: Duration) -> std::io::Result<()> {
        loop {
            let mut ready = 0;
            for to in self.users() {
                ready += usize::from(users::is_ready(to).await);
            }
            if ready == self.users().len() {
                self.record.say("all controllers are ready");
                return Ok(());
            }
            if self.record.now() > limit {
                return Err(std::io::Error::other("the controllers are not ready"));
            }
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    }

    /// Uploads a job for the workers and submits it until it is accepted, as users do: for up to a
    /// minute, at one controller after the other.
    pub async fn submit(&self, job: &Job) -> std::io::Result<()> {
        self.upload(job);
        let controllers = self.users();
        for turn in 0..60 {
            let to = turn % controllers.len();
            let received = users::submit(controllers[to], job).await;
            self.record.line(&format!("submit {} at shed-{to}: {received:?}", job.id));
            match received.status {
                200 | 201 => return Ok(()),
                400 | 422 => break,
                _ => tokio::time::sleep(Duration::from_secs(1)).await,
            }
        }
        Err(std::io::Error::other(format!("{} is not accepted", job.id)))
    }

    /// Uploads a job's description for the workers.
    pub fn upload(&self, job: &Job) {
        let run = (!job.service).then_some(job.run);
        let facts = JobFacts { cores: job.cores, ram_gb: job.ram_gb, tasks: job.tasks, run, mistaken: job.mistaken, bundle: job.bundle, pull_gb: job.pull_gb };
        if let Ok(mut jobs) = self.world.jobs.lock() {
            jobs.insert(job.id.clone(), facts);
        }
    }

    /// The name of the leader according to the state service.
    pub async fn leader(&self) -> Option<usize> {
        self.state.leader().await?.strip_prefix("shed-")?.parse().ok()
    }

    /// What the state service has committed since the last call.
    pub fn committed(&mut self) -> Vec<Entry> {
        let mut entries = Vec::new();
        while let Ok(entry) = self.history.try_recv() {
            entries.push(entry);
        }
        entries
    }
}
