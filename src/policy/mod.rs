//! What operators tune: a small typed expression language over the figures of
//! the settings, and the values that it sets.
//!
//! Every value has bounds that are checked before a controller starts. None can
//! loosen a rule: what the rules need is fixed where it is enforced.

mod expression;

use std::path::{Path, PathBuf};
use std::time::Duration;

use thiserror::Error;

use crate::settings::Cluster;
use expression::{Fault, Type, Value};

/// The policy in force where no file is given.
const DEFAULT: &str = include_str!("default.policy");
const DEFAULT_NAME: &str = "default.policy";

#[derive(Debug, Error)]
pub enum PolicyError {
    #[error("{}: cannot be read: {source}", file.display())]
    Unreadable { file: PathBuf, source: std::io::Error },
    #[error("{}:{line}:{column}: {reason}", file.display())]
    Unsound { file: PathBuf, line: usize, column: usize, reason: String },
}

/// The figures in force.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Tuning {
    /// Life of the leader's lease.
    pub lease: Duration,
    /// Machines compared for each placement.
    pub sample: usize,
    /// Weight of the work that may be lost with a spot machine.
    pub spot_risk: f64,
    /// Most work, in seconds, that a task may lose to another team's guarantee.
    pub preempt_loss_s: f64,
    /// The same for a task that gives way to one of higher priority.
    pub preempt_lower_loss_s: f64,
    /// Mean demand is multiplied by this before renting.
    pub mean_ratio: f64,
    /// The same for work that may wait longer than machines take to boot.
    pub patient_ratio: f64,
    /// Capacity kept beyond it, in standard deviations of demand.
    pub headroom: f64,
    /// How long demand is remembered, as a multiple of the longest boot.
    pub memory_ratio: f64,
    /// Spot prices are multiplied by this when offers are compared.
    pub spot_price_weight: f64,
    /// Idle time before a machine is returned, in boot times.
    pub idle_ratio: f64,
    /// A machine is given up as never starting after this many boot times.
    pub boot_limit_ratio: f64,
    /// A machine silent for this long is replaced.
    pub silence: Duration,
    /// Every job begins within this time if capacity exists at all.
    pub begin_within: Duration,
    /// How long done tasks are gathered before they are recorded.
    pub batch: Duration,
    /// How often rows are compared with records.
    pub reconcile: Duration,
}

/// A name that a policy may set.
struct Setting {
    name: &'static str,
    kind: Type,
    /// Bounds, given the cluster.
    least: fn(&Cluster) -> f64,
    most: fn(&Cluster) -> f64,
    set: fn(&mut Tuning, f64),
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

const SETTINGS: &[Setting] = &[
    Setting {
        name: "lease",
        kind: Type::Time,
        // Shorter, a single slow answer would end it; longer, workers would
        // give up before a new leader can reach them.
        least: |c| c.workers.lease_s * 0.08,
        most: |c| c.workers.lease_s * 0.5,
        set: |t, v| t.lease = seconds(v),
    },
    Setting {
        name: "sample",
        kind: Type::Number,
        least: |_| 1.0,
        most: |_| 100.0,
        set: |t, v| t.sample = v as usize,
    },
    Setting {
        name: "spot_risk",
        kind: Type::Number,
        least: |_| 0.0,
        most: |_| 100.0,
        set: |t, v| t.spot_risk = v,
    },
    Setting {
        name: "preempt_loss",
        kind: Type::Time,
        least: |_| 0.0,
        most: |_| 86_400.0,
        set: |t, v| t.preempt_loss_s = v,
    },
    Setting {
        name: "preempt_lower_loss",
        kind: Type::Time,
        least: |_| 0.0,
        most: |_| 86_400.0,
        set: |t, v| t.preempt_lower_loss_s = v,
    },
    Setting {
        name: "mean_ratio",
        kind: Type::Number,
        least: |_| 0.1,
        most: |_| 10.0,
        set: |t, v| t.mean_ratio = v,
    },
    Setting {
        name: "patient_ratio",
        kind: Type::Number,
        least: |_| 0.1,
        most: |_| 10.0,
        set: |t, v| t.patient_ratio = v,
    },
    Setting {
        name: "headroom",
        kind: Type::Number,
        least: |_| 0.0,
        most: |_| 10.0,
        set: |t, v| t.headroom = v,
    },
    Setting {
        name: "memory_boots",
        kind: Type::Number,
        least: |_| 0.1,
        most: |_| 100.0,
        set: |t, v| t.memory_ratio = v,
    },
    Setting {
        name: "spot_price_weight",
        kind: Type::Number,
        least: |_| 0.01,
        most: |_| 100.0,
        set: |t, v| t.spot_price_weight = v,
    },
    Setting {
        name: "idle_boots",
        kind: Type::Number,
        least: |_| 0.0,
        most: |_| 100.0,
        set: |t, v| t.idle_ratio = v,
    },
    Setting {
        name: "boot_limit_boots",
        kind: Type::Number,
        least: |_| 1.0,
        most: |_| 100.0,
        set: |t, v| t.boot_limit_ratio = v,
    },
    Setting {
        name: "silence",
        kind: Type::Time,
        least: |c| c.workers.report_s * 2.0,
        most: |c| c.workers.lease_s * 2.0,
        set: |t, v| t.silence = seconds(v),
    },
    Setting {
        name: "begin_within",
        kind: Type::Time,
        least: |c| c.workers.report_s * 4.0,
        most: |_| 86_400.0,
        set: |t, v| t.begin_within = seconds(v),
    },
    Setting {
        name: "batch",
        kind: Type::Time,
        least: |_| 0.0,
        most: |c| c.workers.report_s,
        set: |t, v| t.batch = seconds(v),
    },
    Setting {
        name: "reconcile",
        kind: Type::Time,
        least: |_| 5.0,
        most: |_| 86_400.0,
        set: |t, v| t.reconcile = seconds(v),
    },
];

/// The settings' figures that a policy may use.
fn figure(cluster: &Cluster, name: &str) -> Option<Value> {
    let time = |value| Some(Value { kind: Type::Time, value });
    let rate = |value| Some(Value { kind: Type::Rate, value });
    let number = |value| Some(Value { kind: Type::Number, value });
    match name {
        "workers.report" => time(cluster.workers.report_s),
        "workers.lease" => time(cluster.workers.lease_s),
        "workers.cancel" => time(cluster.workers.cancel_s),
        "cloud.lag" => time(cluster.cloud.list_lag_s),
        "cloud.rps" => rate(cluster.cloud.rps),
        "state.rps" => rate(cluster.state.rps),
        "state.write_rps" => rate(cluster.state.write_rps),
        "cluster.size" => number(f64::from(cluster.size)),
        "quota.cores" => number(cluster.limits.cpu_share),
        _ => None,
    }
}

impl Tuning {
    /// The default policy, with what the file sets differently.
    pub fn load(cluster: &Cluster, file: Option<&Path>) -> Result<Self, PolicyError> {
        let mut tuning = Tuning::default();
        tuning.apply(cluster, DEFAULT, Path::new(DEFAULT_NAME))?;
        if let Some(file) = file {
            let text = std::fs::read_to_string(file)
                .map_err(|source| PolicyError::Unreadable { file: file.to_owned(), source })?;
            tuning.apply(cluster, &text, file)?;
        }
        Ok(tuning)
    }

    fn apply(&mut self, cluster: &Cluster, text: &str, file: &Path) -> Result<(), PolicyError> {
        let mut set = Vec::new();
        for (at, line) in text.lines().enumerate() {
            let unsound = |fault: Fault| PolicyError::Unsound {
                file: file.to_owned(),
                line: at + 1,
                column: fault.column + 1,
                reason: fault.reason,
            };
            let Some(assignment) = expression::parse_line(line).map_err(unsound)? else { continue };
            let name = assignment.name.as_str();
            let fault = |reason: String| unsound(Fault { column: assignment.name_column, reason });
            let setting = SETTINGS
                .iter()
                .find(|s| s.name == name)
                .ok_or_else(|| fault(format!("there is nothing named `{name}` to set")))?;
            if set.contains(&setting.name) {
                return Err(fault(format!("`{name}` is set a second time")));
            }
            set.push(setting.name);
            let found = assignment.evaluate(&|figure_name| figure(cluster, figure_name)).map_err(unsound)?;
            let here = |reason: String| unsound(Fault { column: assignment.value_column, reason });
            if found.kind != setting.kind {
                return Err(here(format!("`{name}` is a {}, but this is a {}", setting.kind, found.kind)));
            }
            let (least, most) = ((setting.least)(cluster), (setting.most)(cluster));
            if !(found.value >= least && found.value <= most) {
                let unit = if setting.kind == Type::Time { " s" } else { "" };
                return Err(here(format!(
                    "`{name}` must be from {least}{unit} to {most}{unit}, not {}{unit}",
                    found.value
                )));
            }
            (setting.set)(self, found.value);
        }
        Ok(())
    }
}

#[cfg(test)]
pub mod tests;
