//! Validation of the settings.
//!
//! The checks run in a fixed order, and the first failure is reported. Numbers are checked
//! before the relations between them, so that no relation is evaluated with a NaN.

use std::collections::HashSet;

use super::{Cluster, KvSettings, ProcessLimits, Settings, Team, Workers};

const POSITIVE: &str = "must be a number above 0 and below 1000000000";
const NOT_NEGATIVE: &str = "must be a number of at least 0";

/// Exclusive upper bound of all numbers with a fraction except the teams' CPUs and GPUs. It
/// keeps every duration computed from them in range.
const NUMBER_LIMIT: f64 = 1e9;
/// Smallest limit on the changes of a transaction that is accepted. A smaller transaction cannot
/// hold all changes that must be committed together.
const MIN_TRANSACTION_CHANGES: usize = 4;
/// Minimum allowed number of sockets. With fewer, the connection limits and queue sizes that are
/// derived from it would be too small to be useful.
const MIN_CONNECTIONS: usize = 16;

/// A field with an invalid value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct InvalidField {
    /// The field's path, with the names used in the file.
    pub(super) field: String,
    /// What the value must be.
    pub(super) reason: &'static str,
}

/// Returns an error for `field` unless `holds`.
fn require(holds: bool, field: impl Into<String>, reason: &'static str) -> Result<(), InvalidField> {
    if holds { Ok(()) } else { Err(InvalidField { field: field.into(), reason }) }
}

impl Settings {
    /// Validates all values.
    ///
    /// # Errors
    ///
    /// The first field with an invalid value.
    pub(super) fn validate(&self) -> Result<(), InvalidField> {
        let cluster = &self.cluster;
        check_positive_numbers(cluster)?;
        check_non_negative_numbers(cluster)?;
        check_workers(&cluster.workers)?;
        check_transaction_size(&cluster.kv)?;
        check_cluster_size(cluster)?;
        check_connections(&cluster.limits)?;
        self.check_controller_names()?;
        check_teams(&cluster.teams)
    }

    /// Checks that this controller has a name, and that its peers have different ones: the leader
    /// record identifies a controller only by its name.
    fn check_controller_names(&self) -> Result<(), InvalidField> {
        require(!self.name.is_empty(), "host_name", "must not be empty")?;
        let mut names = HashSet::from([self.name.as_str()]);
        let distinct = self.peers.iter().all(|peer| names.insert(&peer.name));
        require(distinct, "known.host_name", "must differ between controllers")
    }
}

/// Checks numbers that must not be 0: intervals, rates, sizes and shares.
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

/// Checks numbers that may be 0.
fn check_non_negative_numbers(cluster: &Cluster) -> Result<(), InvalidField> {
    let numbers =
        [("cluster.skew_ms", cluster.clock_skew_ms), ("cluster.cloud.list_lag_s", cluster.cloud.list_lag_s)];
    for (field, number) in numbers {
        require(number.is_finite() && (0.0..NUMBER_LIMIT).contains(&number), field, NOT_NEGATIVE)?;
    }
    Ok(())
}

/// Checks that a worker's lease is longer than its heartbeat interval, since heartbeats renew
/// the lease.
fn check_workers(workers: &Workers) -> Result<(), InvalidField> {
    let lease_outlasts_heartbeat = workers.lease_s > workers.heartbeat_interval_s;
    require(lease_outlasts_heartbeat, "cluster.workers.lease_s", "must be longer than report_s")
}

/// Checks the maximum size of transactions, both initial and announced.
fn check_transaction_size(kv: &KvSettings) -> Result<(), InvalidField> {
    const REASON: &str = "must be at least 4";
    let (present, announced) = (kv.initial().txn_ops, kv.announced().txn_ops);
    require(present >= MIN_TRANSACTION_CHANGES, "cluster.state.txn_ops", REASON)?;
    require(announced >= MIN_TRANSACTION_CHANGES, "cluster.state.next.txn_ops", REASON)
}

fn check_cluster_size(cluster: &Cluster) -> Result<(), InvalidField> {
    require(cluster.size > 0, "cluster.size", "must be at least 1")
}

fn check_connections(limits: &ProcessLimits) -> Result<(), InvalidField> {
    require(limits.max_connections >= MIN_CONNECTIONS, "cluster.quota.sockets", "must be at least 16")
}

/// Checks each team in the order of the file: its name, then its numbers.
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
