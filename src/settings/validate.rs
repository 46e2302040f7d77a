//! Which settings are refused.
//!
//! The checks run in a fixed order, and the first that fails is reported. Numbers are
//! checked before relations between them, so that no relation sees a NaN.

use std::collections::HashSet;

use super::{Cluster, KvSettings, ProcessLimits, Settings, Team, Workers};

const POSITIVE: &str = "must be a number above 0";
const NOT_NEGATIVE: &str = "must be a number of at least 0";

/// Numbers must be below this. The bound keeps every duration computed from them in range.
const NUMBER_LIMIT: f64 = 1e9;
/// A transaction of fewer changes cannot hold what belongs together.
const MIN_TRANSACTION_CHANGES: usize = 4;
/// With fewer sockets, the connections and queues sized from them are too few to be of use.
const MIN_CONNECTIONS: usize = 16;

/// A field with a value that is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct InvalidField {
    /// The field's path in the file, in the file's words.
    pub(super) field: String,
    /// What the value must be.
    pub(super) reason: &'static str,
}

/// Passes if `holds`, else names the field.
fn require(holds: bool, field: impl Into<String>, reason: &'static str) -> Result<(), InvalidField> {
    if holds { Ok(()) } else { Err(InvalidField { field: field.into(), reason }) }
}

impl Settings {
    /// Checks all values.
    ///
    /// # Errors
    ///
    /// The first field whose value is refused.
    pub(super) fn validate(&self) -> Result<(), InvalidField> {
        let cluster = &self.cluster;
        check_positive_numbers(cluster)?;
        check_non_negative_numbers(cluster)?;
        check_workers(&cluster.workers)?;
        check_state(&cluster.kv)?;
        check_cluster_size(cluster)?;
        check_limits(&cluster.limits)?;
        self.check_controller_names()?;
        check_teams(&cluster.teams)
    }

    /// The names of this controller and its peers: the leader record tells controllers apart
    /// by nothing else.
    fn check_controller_names(&self) -> Result<(), InvalidField> {
        require(!self.name.is_empty(), "host_name", "must not be empty")?;
        let mut names = HashSet::from([self.name.as_str()]);
        let distinct = self.peers.iter().all(|peer| names.insert(&peer.name));
        require(distinct, "known.host_name", "must differ between controllers")
    }
}

/// Numbers of which 0 makes no sense: intervals, rates, sizes and shares.
fn check_positive_numbers(cluster: &Cluster) -> Result<(), InvalidField> {
    let announced = cluster.kv.announced();
    let numbers = [
        ("cluster.workers.report_s", cluster.workers.heartbeat_interval_s),
        ("cluster.workers.lease_s", cluster.workers.lease_s),
        ("cluster.workers.cancel_s", cluster.workers.cancel_s),
        ("cluster.state.rps", cluster.kv.rps),
        ("cluster.state.write_rps", cluster.kv.write_rps),
        ("cluster.state.value_kb", cluster.kv.value_kb),
        ("cluster.state.next.rps", announced.rps),
        ("cluster.state.next.write_rps", announced.write_rps),
        ("cluster.state.next.value_kb", announced.value_kb),
        ("cluster.cloud.rps", cluster.cloud.rps),
        ("cluster.quota.core_share", cluster.limits.cpu_share),
        ("cluster.quota.ram_mb", cluster.limits.memory_mb),
    ];
    for (field, number) in numbers {
        require(number.is_finite() && number > 0.0 && number < NUMBER_LIMIT, field, POSITIVE)?;
    }
    Ok(())
}

/// Numbers that may be 0.
fn check_non_negative_numbers(cluster: &Cluster) -> Result<(), InvalidField> {
    let numbers =
        [("cluster.skew_ms", cluster.clock_skew_ms), ("cluster.cloud.list_lag_s", cluster.cloud.list_lag_s)];
    for (field, number) in numbers {
        require(number.is_finite() && (0.0..NUMBER_LIMIT).contains(&number), field, NOT_NEGATIVE)?;
    }
    Ok(())
}

/// A lease is extended by heartbeats, so one must fit into it.
fn check_workers(workers: &Workers) -> Result<(), InvalidField> {
    let lease_outlasts_heartbeat = workers.lease_s > workers.heartbeat_interval_s;
    require(lease_outlasts_heartbeat, "cluster.workers.lease_s", "must be longer than report_s")
}

/// The size of transactions, before and after the limits change.
fn check_state(state: &KvSettings) -> Result<(), InvalidField> {
    const REASON: &str = "must be at least 4";
    let (present, announced) = (state.in_force().txn_ops, state.announced().txn_ops);
    require(present >= MIN_TRANSACTION_CHANGES, "cluster.state.txn_ops", REASON)?;
    require(announced >= MIN_TRANSACTION_CHANGES, "cluster.state.next.txn_ops", REASON)
}

fn check_cluster_size(cluster: &Cluster) -> Result<(), InvalidField> {
    require(cluster.size > 0, "cluster.size", "must be at least 1")
}

fn check_limits(limits: &ProcessLimits) -> Result<(), InvalidField> {
    require(limits.max_connections >= MIN_CONNECTIONS, "cluster.quota.sockets", "must be at least 16")
}

/// Each team in the file's order: its name, then its numbers.
fn check_teams(teams: &[Team]) -> Result<(), InvalidField> {
    let mut names = HashSet::new();
    for (index, team) in teams.iter().enumerate() {
        let field = |name: &str| format!("cluster.teams[{index}].{name}");
        require(names.insert(team.name.as_str()), field("name"), "must differ between teams")?;
        let numbers = [
            ("cpus", team.cpus),
            ("cpus_max", team.cpus_max),
            ("gpus", team.gpus),
            ("gpus_max", team.gpus_max),
        ];
        for (name, number) in numbers {
            require(number.is_finite() && number >= 0.0, field(name), NOT_NEGATIVE)?;
        }
    }
    Ok(())
}
