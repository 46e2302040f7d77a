//! The structures of the settings file, and values derived directly from them.
//!
//! Names that differ from those in the file are mapped by `#[serde(rename)]`; documentation
//! gives the file's name in parentheses. A field without a default is required.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

/// One controller's settings file.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// This controller's name (`host_name`): not empty, and unique in the cluster. Only one
    /// process at a time runs under a name.
    #[serde(rename = "host_name")]
    pub name: String,
    /// The availability zone that this controller runs in (`domain`).
    #[serde(rename = "domain")]
    pub zone: String,
    /// Address of the HTTP server for workers, users and health checks (`serve_on`).
    #[serde(rename = "serve_on")]
    pub listen: SocketAddr,
    /// Address of the gRPC server for other controllers (`internal_addr`).
    #[serde(rename = "internal_addr")]
    pub peer_listen: SocketAddr,
    /// The other controllers (`known`). Default: none. The list may be incomplete; the leader
    /// then cannot conclude from the answers of its peers that no other controller replies to
    /// workers.
    #[serde(rename = "known", default)]
    pub peers: Vec<Peer>,
    /// The external services that controllers use (`external`).
    #[serde(rename = "external")]
    pub services: Services,
    /// Settings that all controllers of the cluster share.
    pub cluster: Cluster,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// The controller's name (`host_name`), as in its own settings.
    #[serde(rename = "host_name")]
    pub name: String,
    /// The controller's gRPC address.
    pub address: SocketAddr,
}

/// Addresses of the external services.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    /// The cloud provider's API for provisioning machines.
    pub cloud: SocketAddr,
    /// The state service (`state`): the consensus-backed key-value store.
    #[serde(rename = "state")]
    pub kv: SocketAddr,
}

/// Settings that all controllers of a cluster share.
#[derive(Debug, Clone, Deserialize)]
pub struct Cluster {
    /// Number of controllers, including this one; at least 1.
    pub size: u32,
    /// Maximum difference between two hosts' clocks, in milliseconds (`skew_ms`). Default: 0.
    /// Validated but not used: each process measures leases on its own monotonic clock.
    #[serde(rename = "skew_ms", default)]
    pub clock_skew_ms: f64,
    /// The teams that share the cluster. Default: none.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The users' service-level objectives. Default: none.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Time limits of the workers' protocol.
    pub workers: Workers,
    /// Limits of the state service (`state`).
    #[serde(rename = "state")]
    pub kv: KvSettings,
    /// Limits of the cloud's API.
    pub cloud: CloudLimits,
    /// Resource limits of the controller process (`quota`).
    #[serde(rename = "quota")]
    pub limits: ProcessLimits,
}

/// A team's quota: its guaranteed and its maximum resources.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// The unique name by which jobs refer to the team.
    pub name: String,
    /// Guaranteed CPUs. Default: 0 (no guarantee).
    #[serde(default)]
    pub cpus: f64,
    /// Maximum CPUs in use at once. Default: 0 (no limit).
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs. Default: 0 (no guarantee).
    #[serde(default)]
    pub gpus: f64,
    /// Maximum GPUs in use at once. Default: 0 (no limit).
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective for one class of jobs or for all jobs.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// The kind of objective: `wait` (jobs start within `within_s` of being ready), `finished`
    /// (jobs end within `within_s` of being ready) or `deadline` (jobs end within `times` their
    /// own deadline). Other kinds are ignored.
    pub kind: String,
    /// The class of jobs that the objective applies to. Default: all classes.
    pub class: Option<String>,
    /// The target time, in seconds. Without it, a `wait` or `finished` objective is ignored.
    pub within_s: Option<f64>,
    /// The share of jobs that should meet the objective. Not used: every job is scheduled as
    /// if it had to meet it.
    pub share: Option<f64>,
    /// The target multiple of a job's deadline. Default: 1.
    pub times: Option<f64>,
}

/// Time limits of the workers' protocol.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Time between two heartbeats of a worker, in seconds (`report_s`); above 0.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// A worker's lease, in seconds; longer than `report_s`. A worker that has received no
    /// response for this long kills its tasks.
    pub lease_s: f64,
    /// Time within which all tasks of a cancelled job must end, in seconds after the
    /// cancellation was confirmed; above 0.
    pub cancel_s: f64,
}

/// Limits of the state service: the initial ones, and those announced for later.
#[derive(Debug, Clone, Deserialize)]
pub struct KvSettings {
    /// Requests per second, of all controllers together; above 0.
    pub rps: f64,
    /// Puts and deletes per second, of all controllers together; above 0.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB; above 0.
    pub value_kb: f64,
    /// Maximum number of puts and deletes in one transaction; at least 4.
    pub txn_ops: usize,
    /// Limits that take effect at a later time, which is not announced. Default: the limits do
    /// not change.
    pub next: Option<AnnouncedLimits>,
}

/// Announced limits of the state service. Those not set stay as in [`KvSettings`].
#[derive(Debug, Clone, Deserialize)]
pub struct AnnouncedLimits {
    /// Requests per second. Default: unchanged.
    pub rps: Option<f64>,
    /// Puts and deletes per second. Default: unchanged.
    pub write_rps: Option<f64>,
    /// Maximum size of a value, in KiB. Default: unchanged.
    pub value_kb: Option<f64>,
    /// Maximum number of puts and deletes in one transaction. Default: unchanged.
    pub txn_ops: Option<usize>,
}

/// A complete set of limits of the state service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KvLimits {
    /// Requests per second, of all controllers together.
    pub rps: f64,
    /// Puts and deletes per second, of all controllers together.
    pub write_rps: f64,
    /// Maximum size of a value, in KiB.
    pub value_kb: f64,
    /// Maximum number of puts and deletes in one transaction.
    pub txn_ops: usize,
}

impl KvSettings {
    /// The initial limits, which hold until the announced ones take effect.
    pub fn initial(&self) -> KvLimits {
        let KvSettings { rps, write_rps, value_kb, txn_ops, .. } = *self;
        KvLimits { rps, write_rps, value_kb, txn_ops }
    }

    /// The limits that hold once the announced ones have taken effect; the initial ones if none
    /// are announced.
    pub fn announced(&self) -> KvLimits {
        let present = self.initial();
        let Some(next) = &self.next else { return present };
        KvLimits {
            rps: next.rps.unwrap_or(present.rps),
            write_rps: next.write_rps.unwrap_or(present.write_rps),
            value_kb: next.value_kb.unwrap_or(present.value_kb),
            txn_ops: next.txn_ops.unwrap_or(present.txn_ops),
        }
    }

    /// The smaller of the initial and the announced value of each limit: what is allowed both
    /// before and after the change.
    pub fn strictest(&self) -> KvLimits {
        let (present, announced) = (self.initial(), self.announced());
        KvLimits {
            rps: present.rps.min(announced.rps),
            write_rps: present.write_rps.min(announced.write_rps),
            value_kb: present.value_kb.min(announced.value_kb),
            txn_ops: present.txn_ops.min(announced.txn_ops),
        }
    }
}

impl KvLimits {
    /// The maximum size of a value in bytes, rounded down.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "validated limits are positive and below 10^9 KiB: only the fraction is lost"
    )]
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * 1024.0) as usize
    }
}

/// Limits of the cloud's API.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second; above 0.
    pub rps: f64,
    /// Maximum age of the cloud's list of machines, in seconds; 0 or more.
    pub list_lag_s: f64,
}

/// Resource limits of the controller process. Queues, caches and tables are sized from the
/// limits on memory and sockets.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    /// CPU cores (`core_share`); above 0, and usually a fraction. Only policies read it.
    #[serde(rename = "core_share")]
    pub cpu_share: f64,
    /// Memory, in MB (`ram_mb`); above 0.
    #[serde(rename = "ram_mb")]
    pub memory_mb: f64,
    /// Open sockets for incoming and outgoing connections (`sockets`); at least 16.
    #[serde(rename = "sockets")]
    pub max_connections: usize,
}

impl ProcessLimits {
    /// Sockets reserved for outgoing connections, in addition to those reserved by
    /// [`Self::OUTGOING_DIVISOR`]. Both together reserve at most half of all sockets.
    const BASE_OUTGOING: usize = 16;
    /// One in this many sockets is reserved for outgoing connections.
    const OUTGOING_DIVISOR: usize = 16;

    /// Maximum number of incoming connections, from workers, users and health checks; at least
    /// half of all sockets. Every worker of the fleet holds a connection to the leader. The
    /// remaining sockets are for the state service, the cloud, commands pushed to workers and
    /// the other controllers, whose number grows more slowly than the fleet.
    pub fn incoming(&self) -> usize {
        let outgoing = self.max_connections / Self::OUTGOING_DIVISOR + Self::BASE_OUTGOING;
        self.max_connections.saturating_sub(outgoing).max(self.max_connections / 2)
    }
}

impl Workers {
    /// A worker's lease (`lease_s`).
    pub fn lease(&self) -> Duration {
        Duration::from_secs_f64(self.lease_s)
    }

    /// Time within which all tasks of a cancelled job must end (`cancel_s`).
    pub fn cancellation(&self) -> Duration {
        Duration::from_secs_f64(self.cancel_s)
    }

    /// Time between two heartbeats of a worker (`report_s`).
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.heartbeat_interval_s)
    }
}
