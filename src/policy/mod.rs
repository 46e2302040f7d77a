//! The policy: the scheduler's tuning parameters, written in a small typed expression
//! language.
//!
//! A policy is a text file of lines `name = expression`, at most one per name; `#` starts a
//! comment. Parameters that a file does not set keep their value from `default.policy`, which
//! also explains each of them.
//!
//! ```text
//! lease = max(workers.lease / 8, 3 s)
//! sample = if quota.cores < 0.2 then 3 else 10
//! ```
//!
//! - **Types.** A value is a number, a time (`500 ms`, `3 s`, `2 min`, `1 h`) or a rate.
//!   Values of different types cannot be added or compared. A time times a rate is a number;
//!   a number divided by a time is a rate.
//! - **Operators.** `+ - * /`, unary minus, parentheses, `min(…)`, `max(…)`, and
//!   `if … then … else …` with comparisons joined by `and` and `or`, which have equal
//!   precedence and associate to the left.
//! - **Variables.** Numbers from the settings file, listed in `variables`.
//!
//! A policy is evaluated once, before the controller starts; there are no loops and no
//! state. Each parameter has a type and bounds (`parameters`). A value that violates them is
//! rejected with its file, line and column. No value can break a safety invariant: what the
//! invariants depend on is not configurable.
//!
//! - `tokens`: the tokenizer, and errors with a column
//! - `expression`: grammar, parser and evaluation
//! - `values`: types and arithmetic
//! - `parameters`: the parameters that a policy can set
//! - `variables`: the variables that a policy can read

mod expression;
mod parameters;
mod tokens;
mod values;
mod variables;

use std::path::{Path, PathBuf};
use std::time::Duration;

use thiserror::Error;

use crate::settings::Cluster;
use expression::Assignment;
use parameters::Parameter;
use tokens::ExpressionError;

/// The policy that applies without a policy file. It sets every parameter.
const DEFAULT: &str = include_str!("default.policy");
/// The default policy's name in errors.
const DEFAULT_NAME: &str = "default.policy";

/// An error in a policy.
#[derive(Debug, Error)]
pub enum PolicyError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}", file.display())]
    Unreadable {
        /// The policy file.
        file: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// A line does not parse, cannot be evaluated, or sets an invalid value.
    #[error("{}:{line}:{column}: {reason}", file.display())]
    Invalid {
        /// The policy file.
        file: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// The column in bytes, counted from 1.
        column: usize,
        /// What is wrong.
        reason: String,
    },
}

/// The values of all parameters.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Tuning {
    /// Time to live of the leader's lease.
    pub lease: Duration,
    /// Maximum number of machines scored for each placement (power-of-k sampling).
    pub sampled_machines: usize,
    /// Weight, in a machine's score, of the work expected to be lost with a spot machine.
    pub spot_risk: f64,
    /// Maximum work that a task may lose when it is preempted for another team's guarantee, in
    /// seconds of run time; 0 disables such preemption.
    pub preempt_loss_s: f64,
    /// Maximum work that a task may lose when it is preempted for a task of higher priority,
    /// in seconds of run time; 0 disables such preemption.
    pub preempt_lower_loss_s: f64,
    /// Capacity to scale out to, as a multiple of the mean demand.
    pub mean_ratio: f64,
    /// The same multiple for work that may wait longer than a machine takes to boot.
    pub delay_tolerant_ratio: f64,
    /// Additional capacity beyond the multiple of the mean, in standard deviations of demand.
    pub headroom: f64,
    /// Time over which demand statistics are taken, as a multiple of the longest boot time. For
    /// work that may wait for longer, they are taken over that wait, up to `start_within`.
    pub demand_memory_boots: f64,
    /// Factor applied to spot prices when offers are compared; above 1, spot machines count
    /// as more expensive than they are.
    pub spot_price_weight: f64,
    /// Idle time after which an unneeded machine is deleted, as a multiple of its boot time.
    /// Machines are not deleted for being idle within the cloud's minimum billing period.
    pub idle_boots: f64,
    /// Time after which a machine that has not come up is deleted, as a multiple of its boot
    /// time; at least the cloud's minimum billing period.
    pub boot_limit_boots: f64,
    /// Time without a heartbeat after which a machine is suspected to have failed and is replaced.
    pub suspicion_timeout: Duration,
    /// Time within which every job should start its first task if any capacity exists. A job
    /// that has not started after half of this time is scheduled before all others.
    pub start_within: Duration,
    /// Time for which done tasks are collected before they are written to records.
    pub done_task_batch_delay: Duration,
    /// Interval between reconciliations of rows with records.
    pub reconcile_interval: Duration,
}

impl Tuning {
    /// Loads the default policy and overrides it with the parameters that `file` sets.
    ///
    /// # Errors
    ///
    /// [`PolicyError::Unreadable`] if the file cannot be read, [`PolicyError::Invalid`] for
    /// its first line that is invalid with these settings. The default policy itself is
    /// rejected if these settings put one of its parameters out of bounds.
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

    /// Applies the text of a policy. `file` is used only in errors.
    fn apply(&mut self, cluster: &Cluster, text: &str, file: &Path) -> Result<(), PolicyError> {
        let mut names_set = Vec::new();
        for (index, line) in text.lines().enumerate() {
            self.apply_line(cluster, line, &mut names_set).map_err(|error| PolicyError::Invalid {
                file: file.to_owned(),
                line: index + 1,
                column: error.column + 1,
                reason: error.reason,
            })?;
        }
        Ok(())
    }

    /// Applies one line. `names_set` holds the parameters that earlier lines set.
    fn apply_line(
        &mut self,
        cluster: &Cluster,
        line: &str,
        names_set: &mut Vec<&'static str>,
    ) -> Result<(), ExpressionError> {
        let Some(assignment) = Assignment::parse(line)? else { return Ok(()) };
        let Assignment { name, name_column, value_column, .. } = &assignment;
        let Some(parameter) = Parameter::find(name) else {
            return Err(ExpressionError::new(*name_column, format!("there is no parameter `{name}`")));
        };
        if names_set.contains(&parameter.name) {
            return Err(ExpressionError::new(*name_column, format!("`{name}` is set a second time")));
        }
        names_set.push(parameter.name);
        let value = assignment.evaluate(&|variable| variables::value_of(cluster, variable))?;
        parameter
            .set(self, value, &cluster.workers)
            .map_err(|reason| ExpressionError::new(*value_column, reason))
    }
}

#[cfg(test)]
pub mod tests;
