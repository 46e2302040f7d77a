//! `--config FILE`: starts the actors of a controller and runs it.
//!
//! [`serve`] starts each actor as a task on one single-threaded runtime. Actors share only
//! the channels and handles that [`serve`] creates:
//!
//! | actor | inputs | outputs | ends |
//! | --- | --- | --- | --- |
//! | key-value client | requests of its handle, `is_leader` (determines this controller's share of the request rate) | replies | when the controller actor drops `is_leader`, or the last handle is dropped |
//! | cloud client | requests of its handle, `lease_expiry` (no request is sent after it) | replies | when the controller actor drops its handle |
//! | election | key-value client, `resigned_epoch` (an epoch that the controller resigned before its lease expired) | `roles` | when the receiver of `roles` is dropped |
//! | controller | `roles`, requests and heartbeats of the servers, its own events | `is_leader`, `lease_expiry`, `resigned_epoch`, replies | when the election ends |
//! | gRPC server | calls of other controllers | requests and heartbeats to the controller | when its listener fails; the failure is logged and the other actors keep running |
//! | HTTP server | requests of workers, users and health checks | requests and heartbeats to the controller | never on its own |
//!
//! Only the controller actor is awaited; the other tasks are detached. When it ends, which
//! does not happen in normal operation, the runtime and with it all other tasks are dropped.
//! There is no graceful shutdown: a controller may be killed at any time, since all state
//! that must outlive it is in the state service, and its lease expires on its own.

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

/// A request to the state service times out after the leader's lease divided by this, so
/// that an unanswered renewal can be retried before the lease expires.
const KV_DEADLINES_PER_LEASE: u32 = 6;
/// Timeout of a request to the cloud.
const CLOUD_DEADLINE: Duration = Duration::from_secs(4);
/// Capacity of the channel of role changes to the controller actor.
const ROLE_CHANNEL_CAPACITY: usize = 16;
/// An HTTP connection is closed after this many worker leases without a request: the lease of
/// a worker that has been silent for so long has expired.
const LEASES_PER_IDLE_TIMEOUT: u32 = 2;
/// Receiving a request and sending its response each time out after a worker's lease divided
/// by this.
const TRANSFER_TIMEOUTS_PER_LEASE: u32 = 4;

/// Runs a controller until its controller actor ends, which does not happen in normal
/// operation.
///
/// # Errors
///
/// [`CliError::Listen`] if the address for workers and users cannot be bound,
/// [`CliError::ControllerEnded`] if the controller actor ends. Never returns `Ok`.
pub(super) async fn serve(config: Config) -> Result<ExitStatus, CliError> {
    let config = Arc::new(config);
    let settings = &config.settings;
    let listener = bind(settings.listen).await?;

    // The election sends role changes to the controller, which sends the values derived from
    // its role to the other actors.
    let (role_sender, roles) = mpsc::channel(ROLE_CHANNEL_CAPACITY);
    let (is_leader, is_leader_receiver) = watch::channel(false);
    let (lease_expiry, lease_expiry_receiver) = watch::channel(Instant::now());
    let (resigned_epoch, resigned_epoch_receiver) = watch::channel(0);

    let kv = start_kv_client(&config, is_leader_receiver);
    let cloud = start_cloud_client(settings, lease_expiry_receiver);
    let incarnation = new_incarnation();
    log_start(settings, &incarnation);
    start_election(&config, &incarnation, kv.clone(), role_sender, resigned_epoch_receiver);
    let (controller, inputs, handle) =
        Controller::new(config.clone(), kv, cloud, is_leader, lease_expiry, resigned_epoch, roles);
    if let Err(error) = controller.start_watchdog() {
        tracing::error!(%error, "no watchdog of the actor's turns");
    }
    start_peer_server(settings.peer_listen, handle.clone());
    start_http_server(listener, &settings.cluster, handle);

    controller.run(inputs).await;
    Err(CliError::ControllerEnded)
}

/// Binds the address for workers and users before any actor is started: if the address is in
/// use, the process must exit without taking part in the election.
async fn bind(address: SocketAddr) -> Result<TcpListener, CliError> {
    server::listen(address).await.map_err(|source| CliError::Listen { address, source })
}

/// A random identifier of this process. It distinguishes the leader records of this process
/// from those of earlier processes with the same controller name.
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

/// Starts the gRPC server for other controllers. If it fails the controller keeps running,
/// since workers and users can still reach it.
fn start_peer_server(address: SocketAddr, handle: ControllerHandle) {
    tokio::spawn(async move {
        if let Err(error) = peer::serve(address, BODY_LIMIT, handle).await {
            tracing::error!(%error, "gRPC server failed");
        }
    });
}

/// Starts the HTTP server for workers, users and health checks.
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

/// Configures logging to standard error at the level set by `LOG_LEVEL`: `error`, `debug`, or
/// `info` for any other value and by default.
pub(super) fn start_logging() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => tracing::Level::ERROR,
        Ok("debug") => tracing::Level::DEBUG,
        _ => tracing::Level::INFO,
    };
    // Libraries log only errors: their other messages are of no use to operators.
    let levels = Targets::new().with_default(tracing::Level::ERROR).with_target("shedtally", level);
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false);
    tracing_subscriber::registry().with(lines.with_filter(levels)).init();
}
