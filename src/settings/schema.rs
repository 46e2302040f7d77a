//! The structures of the settings file, and the figures that follow directly from them.
//!
//! Field names that differ from the file's are mapped here by `#[serde(rename)]`. A field
//! without a default must be in the file.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;

/// One controller's settings file.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// This controller's name (`host_name`): not empty, and unique in the cluster. One
    /// process at a time runs under it.
    #[serde(rename = "host_name")]
    pub name: String,
    /// The availability zone that this controller runs in (`domain`).
    #[serde(rename = "domain")]
    pub zone: String,
    /// Where workers, users and health checks connect by HTTP (`serve_on`).
    #[serde(rename = "serve_on")]
    pub listen: SocketAddr,
    /// Where other controllers connect by gRPC (`internal_addr`).
    #[serde(rename = "internal_addr")]
    pub peer_listen: SocketAddr,
    /// The other controllers (`known`). Default: none. There may be fewer than the cluster
    /// has; then nothing is concluded from what the others say of themselves.
    #[serde(rename = "known", default)]
    pub peers: Vec<Peer>,
    /// The external services that controllers use (`external`).
    #[serde(rename = "external")]
    pub services: Services,
    /// What all controllers of the cluster have in common.
    pub cluster: Cluster,
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    /// Its name (`host_name`), as in its own settings.
    #[serde(rename = "host_name")]
    pub name: String,
    /// Its gRPC address.
    pub address: SocketAddr,
}

/// Addresses of the external services.
#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    /// The cloud provider's interface for renting machines.
    pub cloud: SocketAddr,
    /// The state service: the consensus-backed key-value store.
    #[serde(rename = "state")]
    pub kv: SocketAddr,
}

/// What all controllers of a cluster have in common.
#[derive(Debug, Clone, Deserialize)]
pub struct Cluster {
    /// Number of controllers, this one included; at least 1.
    pub size: u32,
    /// Largest difference between two hosts' clocks, in milliseconds (`skew_ms`). Default:
    /// 0. Validated only: leases are measured on each process's own monotonic clock.
    #[serde(rename = "skew_ms", default)]
    pub clock_skew_ms: f64,
    /// The teams that share the cluster. Default: none.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// The users' service-level objectives. Default: none.
    #[serde(default)]
    pub objectives: Vec<Objective>,
    /// Intervals of the workers' protocol.
    pub workers: Workers,
    /// Limits of the state service.
    #[serde(rename = "state")]
    pub kv: KvSettings,
    /// Limits of the cloud's interface.
    pub cloud: CloudLimits,
    /// What the controller's process may use (`quota`).
    #[serde(rename = "quota")]
    pub limits: ProcessLimits,
}

/// A team's quota: what it is guaranteed, and what it may use at most.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// The name by which jobs refer to the team; unique.
    pub name: String,
    /// Guaranteed CPUs. Default: 0, no guarantee.
    #[serde(default)]
    pub cpus: f64,
    /// Most CPUs in use at once. Default: 0, no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed GPUs. Default: 0, no guarantee.
    #[serde(default)]
    pub gpus: f64,
    /// Most GPUs in use at once. Default: 0, no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

/// A service-level objective of the users, for a class of jobs or for all.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    /// What is aimed at: `wait` (a start within `within_s` of being ready), `finished` (an
    /// end within `within_s` of being ready) or `deadline` (an end within `times` the job's
    /// own deadline). Others are ignored.
    pub kind: String,
    /// The class of jobs that it is for. Default: all classes.
    pub class: Option<String>,
    /// The time aimed at, in seconds. Without it a `wait` or `finished` objective is ignored.
    pub within_s: Option<f64>,
    /// The share of jobs that should reach the objective. Not used: every job is scheduled as
    /// if it had to.
    pub share: Option<f64>,
    /// The multiple of a job's deadline aimed at. Default: 1.
    pub times: Option<f64>,
}

/// Intervals of the workers' protocol.
#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    /// Time between two heartbeats of a worker, in seconds; above 0.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// A worker's lease, in seconds; longer than `report_s`. A worker that has had no answer
    /// for so long kills its tasks.
    pub lease_s: f64,
    /// Time within which all tasks of a cancelled job must have ended, in seconds from the
    /// cancellation's confirmation; above 0.
    pub cancel_s: f64,
}

/// Limits of the state service: those that hold at first, and those announced for later.
#[derive(Debug, Clone, Deserialize)]
pub struct KvSettings {
    /// Requests per second, of all controllers together; above 0.
    pub rps: f64,
    /// Puts and deletes per second, of all controllers together; above 0.
    pub write_rps: f64,
    /// Largest value, in KiB; above 0.
    pub value_kb: f64,
    /// Most puts and deletes in one transaction; at least 4.
    pub txn_ops: usize,
    /// Limits that will hold from some moment on. When that is, nobody announces. Default:
    /// the limits do not change.
    pub next: Option<AnnouncedLimits>,
}

/// Limits that the state service will have. Those not named stay as in [`KvSettings`].
#[derive(Debug, Clone, Deserialize)]
pub struct AnnouncedLimits {
    /// Requests per second. Default: as now.
    pub rps: Option<f64>,
    /// Puts and deletes per second. Default: as now.
    pub write_rps: Option<f64>,
    /// Largest value, in KiB. Default: as now.
    pub value_kb: Option<f64>,
    /// Most puts and deletes in one transaction. Default: as now.
    pub txn_ops: Option<usize>,
}

/// One complete set of limits of the state service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct KvLimits {
    /// Requests per second, of all controllers together.
    pub rps: f64,
    /// Puts and deletes per second, of all controllers together.
    pub write_rps: f64,
    /// Largest value, in KiB.
    pub value_kb: f64,
    /// Most puts and deletes in one transaction.
    pub txn_ops: usize,
}

impl KvSettings {
    /// The limits that hold when the service begins.
    pub fn in_force(&self) -> KvLimits {
        let KvSettings { rps, write_rps, value_kb, txn_ops, .. } = *self;
        KvLimits { rps, write_rps, value_kb, txn_ops }
    }

    /// The limits that hold once they have changed; the present ones if none are announced.
    pub fn announced(&self) -> KvLimits {
        let present = self.in_force();
        let Some(next) = &self.next else { return present };
        KvLimits {
            rps: next.rps.unwrap_or(present.rps),
            write_rps: next.write_rps.unwrap_or(present.write_rps),
            value_kb: next.value_kb.unwrap_or(present.value_kb),
            txn_ops: next.txn_ops.unwrap_or(present.txn_ops),
        }
    }

    /// The smaller of both: what is allowed before and after the limits change.
    pub fn strictest(&self) -> KvLimits {
        let (present, announced) = (self.in_force(), self.announced());
        KvLimits {
            rps: present.rps.min(announced.rps),
            write_rps: present.write_rps.min(announced.write_rps),
            value_kb: present.value_kb.min(announced.value_kb),
            txn_ops: present.txn_ops.min(announced.txn_ops),
        }
    }
}

impl KvLimits {
    /// The largest value in bytes, rounded down.
    #[allow(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "validated limits are positive and below 10^9 KiB: only the fraction is lost"
    )]
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * 1024.0) as usize
    }
}

/// Limits of the cloud's interface.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second; above 0.
    pub rps: f64,
    /// How old the cloud's list of machines may be, in seconds; 0 or more.
    pub list_lag_s: f64,
}

/// What the controller's process may use. Queues, caches and tables are sized from these.
#[derive(Debug, Clone, Deserialize)]
pub struct ProcessLimits {
    /// CPU cores (`core_share`); above 0, and usually a fraction.
    #[serde(rename = "core_share")]
    pub cpu_share: f64,
    /// Memory, in MB (`ram_mb`); above 0.
    #[serde(rename = "ram_mb")]
    pub memory_mb: f64,
    /// Open sockets, incoming and outgoing (`sockets`); at least 16.
    #[serde(rename = "sockets")]
    pub max_connections: usize,
}

impl ProcessLimits {
    /// Sockets kept for outgoing connections, besides [`Self::OUTGOING_RATIO`].
    const OUTGOING: usize = 16;
    /// One in so many sockets is kept for outgoing connections.
    const OUTGOING_RATIO: usize = 16;

    /// Connections for workers, users and health checks: every worker of the fleet holds one
    /// at the leader. The rest is for the state service, the cloud, commands pushed to
    /// workers and the other controllers, whose numbers grow less than the fleet. Never less
    /// than half of all.
    pub fn incoming(&self) -> usize {
        let outgoing = self.max_connections / Self::OUTGOING_RATIO + Self::OUTGOING;
        self.max_connections.saturating_sub(outgoing).max(self.max_connections / 2)
    }
}

impl Workers {
    /// A worker's lease (`lease_s`).
    pub fn lease(&self) -> Duration {
        Duration::from_secs_f64(self.lease_s)
    }

    /// Time within which all tasks of a cancelled job must have ended (`cancel_s`).
    pub fn cancellation(&self) -> Duration {
        Duration::from_secs_f64(self.cancel_s)
    }

    /// Time between two heartbeats of a worker (`report_s`).
    pub fn heartbeat_interval(&self) -> Duration {
        Duration::from_secs_f64(self.heartbeat_interval_s)
    }
}
