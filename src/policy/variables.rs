//! The variables that policy expressions can read.

use super::values::{Type, Value};
use crate::settings::Cluster;

/// The value of a variable, taken from the settings; `None` if there is no such variable.
pub(super) fn value_of(cluster: &Cluster, name: &str) -> Option<Value> {
    let (kind, number) = match name {
        "workers.report" => (Type::Time, cluster.workers.heartbeat_interval_s),
        "workers.lease" => (Type::Time, cluster.workers.lease_s),
        "workers.cancel" => (Type::Time, cluster.workers.cancel_s),
        "cloud.lag" => (Type::Time, cluster.cloud.list_lag_s),
        "cloud.rps" => (Type::Rate, cluster.cloud.rps),
        "state.rps" => (Type::Rate, cluster.kv.rps),
        "state.write_rps" => (Type::Rate, cluster.kv.write_rps),
        "cluster.size" => (Type::Number, f64::from(cluster.size)),
        "quota.cores" => (Type::Number, cluster.limits.cpu_share),
        _ => return None,
    };
    Some(Value { kind, number })
}
