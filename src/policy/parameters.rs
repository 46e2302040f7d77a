//! The table of parameters that a policy can set, with their types and bounds.

use std::ops::RangeInclusive;
use std::time::Duration;

use super::Tuning;
use super::values::{Type, Value};
use crate::settings::Workers;

/// One day in seconds: the upper bound of times that no setting bounds.
const DAY_S: f64 = 86_400.0;

/// A parameter that a policy can set.
pub(super) struct Parameter {
    /// The name in the policy language.
    pub(super) name: &'static str,
    kind: Type,
    /// The allowed values, times in seconds. They may depend on the settings of the workers'
    /// protocol.
    bounds: fn(&Workers) -> RangeInclusive<f64>,
    /// Stores a value that is within the bounds.
    store: fn(&mut Tuning, f64),
}

/// All parameters, in the order of the default policy.
pub(super) const PARAMETERS: &[Parameter] = &[
    // A shorter lease would expire after a single slow response; with a longer one, workers'
    // leases would expire before a new leader could reach the workers.
    time("lease", |w| w.lease_s * 0.08..=w.lease_s * 0.5, |t, value| t.lease = seconds(value)),
    number("sample", |_| 1.0..=100.0, |t, value| t.sampled_machines = truncate(value)),
    number("spot_risk", |_| 0.0..=100.0, |t, value| t.spot_risk = value),
    time(
        "begin_within",
        |w| w.heartbeat_interval_s * 4.0..=DAY_S,
        |t, value| t.start_within = seconds(value),
    ),
    time("preempt_loss", |_| 0.0..=DAY_S, |t, value| t.preempt_loss_s = value),
    time("preempt_lower_loss", |_| 0.0..=DAY_S, |t, value| t.preempt_lower_loss_s = value),
    number("mean_ratio", |_| 0.1..=10.0, |t, value| t.mean_ratio = value),
    number("patient_ratio", |_| 0.1..=10.0, |t, value| t.delay_tolerant_ratio = value),
    number("headroom", |_| 0.0..=10.0, |t, value| t.headroom = value),
    number("memory_boots", |_| 0.1..=100.0, |t, value| t.demand_memory_boots = value),
    number("spot_price_weight", |_| 0.01..=100.0, |t, value| t.spot_price_weight = value),
    number("idle_boots", |_| 0.0..=100.0, |t, value| t.idle_boots = value),
    number("boot_limit_boots", |_| 1.0..=100.0, |t, value| t.boot_limit_boots = value),
    time(
        "silence",
        |w| w.heartbeat_interval_s * 2.0..=w.lease_s * 2.0,
        |t, value| t.suspicion_timeout = seconds(value),
    ),
    time("batch", |w| 0.0..=w.heartbeat_interval_s, |t, value| t.done_task_batch_delay = seconds(value)),
    time("reconcile", |_| 5.0..=DAY_S, |t, value| t.reconcile_interval = seconds(value)),
];

const fn time(
    name: &'static str,
    bounds: fn(&Workers) -> RangeInclusive<f64>,
    store: fn(&mut Tuning, f64),
) -> Parameter {
    Parameter { name, kind: Type::Time, bounds, store }
}

const fn number(
    name: &'static str,
    bounds: fn(&Workers) -> RangeInclusive<f64>,
    store: fn(&mut Tuning, f64),
) -> Parameter {
    Parameter { name, kind: Type::Number, bounds, store }
}

fn seconds(value: f64) -> Duration {
    Duration::from_secs_f64(value)
}

/// The value without its fractional part.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "bounds are checked before, and are far below the type's: only the fraction is lost"
)]
fn truncate(value: f64) -> usize {
    value as usize
}

impl Parameter {
    /// The parameter with this name, if it exists.
    pub(super) fn find(name: &str) -> Option<&'static Parameter> {
        PARAMETERS.iter().find(|parameter| parameter.name == name)
    }

    /// Sets this parameter in `tuning` if the value has the right type and is within bounds.
    ///
    /// # Errors
    ///
    /// What is wrong with the value, in words for the author of the policy.
    pub(super) fn set(&self, tuning: &mut Tuning, value: Value, workers: &Workers) -> Result<(), String> {
        let Parameter { name, kind, .. } = self;
        if value.kind != *kind {
            return Err(format!("`{name}` is a {kind}, but this is a {}", value.kind));
        }
        let bounds = (self.bounds)(workers);
        if !bounds.contains(&value.number) {
            let unit = if *kind == Type::Time { " s" } else { "" };
            let (least, most) = bounds.into_inner();
            let number = value.number;
            return Err(format!("`{name}` must be from {least}{unit} to {most}{unit}, not {number}{unit}"));
        }
        (self.store)(tuning, value.number);
        Ok(())
    }
}
