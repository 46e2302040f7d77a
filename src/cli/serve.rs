//! `--config FILE`: composes a controller of its actors and runs it.
//!
//! [`serve`] reads as a list of actors to start. Each is a task on one single-threaded
//! runtime; they share nothing but the channels and handles named there:
//!
//! | actor | inputs | outputs | ends |
//! | --- | --- | --- | --- |
//! | key-value client | requests of its handle, `is_leader` (how much of the request rate is this controller's) | replies | when the controller actor has dropped `is_leader`, or no handle is left |
//! | cloud client | requests of its handle, `lease_expiry` (nothing is sent after it) | replies | when the controller actor has dropped its handle |
//! | election | key-value client, `resigned_epoch` (an epoch that the controller gave up early) | `roles` | when `roles` has no receiver any more |
//! | controller | `roles`, requests and heartbeats of the servers, its own events | `is_leader`, `lease_expiry`, `resigned_epoch`, replies | when the election has ended |
//! | gRPC server | calls of other controllers | requests and heartbeats to the controller | when its listener fails; that is logged, and the rest goes on |
//! | HTTP server | requests of workers, users and health checks | requests and heartbeats to the controller | never by itself |
//!
//! Only the controller actor is awaited, the other tasks are detached: when it ends, the
//! runtime is dropped and they with it. In normal operation it never ends. There is no
//! orderly shutdown: a controller may be killed at any time, since all state that must
//! outlive it is in the state service, and its lease runs out by itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::{Layer, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;

use super::error::CliError;
use super::exit_status::ExitStatus;
use crate::coordination::config::Config;
use crate::coordination::controller::{Controller, ControllerHandle};
use crate::coordination::election::{self, Election, Role};
use crate::coordination::fleet::cloud::{self, Cloud};
use crate::protocol::{BODY_LIMIT, HEAD_LIMIT};
use crate::settings::{Cluster, Settings};
use crate::storage::kv::{self, KvClient};
use crate::transport::codec::Limits;
use crate::transport::server::ServerOptions;
use crate::transport::{peer, server};

/// A request to the state service is given up after the leader's lease divided by this, so
/// that a renewal without an answer can be repeated before the lease expires.
const KV_DEADLINES_PER_LEASE: u32 = 6;
/// A request to the cloud is given up after this time.
const CLOUD_DEADLINE: Duration = Duration::from_secs(4);
/// Role changes that may wait for the controller actor.
const QUEUED_ROLES: usize = 16;
/// An HTTP connection is closed after this many worker leases without a request: a worker
/// that has been silent for so long has no lease either.
const LEASES_PER_IDLE_TIMEOUT: u32 = 2;
/// A request must arrive, and its answer be taken, within a worker's lease divided by this.
const TRANSFER_TIMEOUTS_PER_LEASE: u32 = 4;

/// Runs a controller until one of its actors ends, which none does in normal operation.
///
/// # Errors
///
/// [`CliError::Listen`] if the address for workers and users cannot be bound,
/// [`CliError::ControllerEnded`] if the controller actor ended. It never returns `Ok`.
pub(super) async fn serve(config: Config) -> Result<ExitStatus, CliError> {
    let config = Arc::new(config);
    let settings = &config.settings;
    let listener = bind(settings.listen).await?;

    // Named after what flows: the election tells the controller its role, and the controller
    // tells the others what follows from it.
    let (role_sender, roles) = mpsc::channel(QUEUED_ROLES);
    let (is_leader, is_leader_seen) = watch::channel(false);
    let (lease_expiry, lease_expiry_seen) = watch::channel(Instant::now());
    let (resigned_epoch, resigned_epoch_seen) = watch::channel(0);

    let kv = start_kv_client(&config, is_leader_seen);
    let cloud = start_cloud_client(settings, lease_expiry_seen);
    let incarnation = new_incarnation();
    log_start(settings, &incarnation);
    start_election(&config, &incarnation, kv.clone(), role_sender, resigned_epoch_seen);
    let (controller, inputs, handle) =
        Controller::new(config.clone(), kv, cloud, is_leader, lease_expiry, resigned_epoch, roles);
    start_peer_server(settings.peer_listen, handle.clone());
    start_http_server(listener, &settings.cluster, handle);

    controller.run(inputs).await;
    Err(CliError::ControllerEnded)
}

/// Binds the address for workers and users before anything is started: with one that is in
/// use the process must end and not take part in the election.
async fn bind(address: SocketAddr) -> Result<TcpListener, CliError> {
    server::listen(address).await.map_err(|source| CliError::Listen { address, source })
}

/// A random name of this run of the process. It tells the leader records of this run from
/// those of earlier ones under the same controller name.
fn new_incarnation() -> String {
    format!("{:016x}", rand::random::<u64>())
}

fn log_start(settings: &Settings, incarnation: &str) {
    let build = env!("CARGO_PKG_VERSION");
    tracing::info!(name = %settings.name, zone = %settings.zone, build, %incarnation, "controller starting");
}

fn start_kv_client(config: &Config, is_leader: watch::Receiver<bool>) -> KvClient {
    let Settings { services, cluster, .. } = &config.settings;
    let deadline = config.tuning.lease / KV_DEADLINES_PER_LEASE;
    kv::start(services.kv, &cluster.kv, cluster.size, deadline, is_leader)
}

fn start_cloud_client(settings: &Settings, lease_expiry: watch::Receiver<Instant>) -> Cloud {
    cloud::start(settings.services.cloud, settings.cluster.cloud.rps, CLOUD_DEADLINE, lease_expiry)
}

fn start_election(
    config: &Config,
    incarnation: &str,
    kv: KvClient,
    roles: mpsc::Sender<Role>,
    resigned_epoch: watch::Receiver<u64>,
) {
    let settings = &config.settings;
    let election = Election::new(&settings.name, incarnation, config.tuning.lease);
    let address = settings.peer_listen.to_string();
    tokio::spawn(election::run(election, kv, address, roles, resigned_epoch));
}

/// Serves other controllers. Without this server a controller goes on: its workers and users
/// still reach it.
fn start_peer_server(address: SocketAddr, handle: ControllerHandle) {
    tokio::spawn(async move {
        if let Err(error) = peer::serve(address, BODY_LIMIT, handle).await {
            tracing::error!(%error, "gRPC server failed");
        }
    });
}

/// Serves workers, users and health checks.
fn start_http_server(listener: TcpListener, cluster: &Cluster, handle: ControllerHandle) {
    let worker_lease = cluster.workers.lease();
    let options = ServerOptions {
        limits: Limits { head: HEAD_LIMIT, body: BODY_LIMIT },
        max_connections: cluster.limits.incoming(),
        idle_timeout: worker_lease * LEASES_PER_IDLE_TIMEOUT,
        io_timeout: worker_lease / TRANSFER_TIMEOUTS_PER_LEASE,
    };
    tokio::spawn(server::serve(listener, options, handle));
}

/// Sends log lines to standard error, at the level that `LOG_LEVEL` names: `error`, `debug`,
/// or, for anything else and by default, `info`.
pub(super) fn start_logging() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => tracing::Level::ERROR,
        Ok("debug") => tracing::Level::DEBUG,
        _ => tracing::Level::INFO,
    };
    // Of libraries only errors are of use to operators.
    let levels = Targets::new().with_default(tracing::Level::ERROR).with_target("shedtally", level);
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false);
    tracing_subscriber::registry().with(lines.with_filter(levels)).init();
}
