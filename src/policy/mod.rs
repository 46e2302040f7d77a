//! The policy: what operators tune, written in a small typed expression language.
//!
//! A policy is a text file of lines `name = expression`, at most one for a name; `#` starts a
//! comment. Names that a file leaves out keep their value from `default.policy`, which also
//! explains each of them.
//!
//! ```text
//! lease = max(workers.lease / 8, 3 s)
//! sample = if quota.cores < 0.2 then 3 else 10
//! ```
//!
//! - **Types.** A value is a number, a time (`500 ms`, `3 s`, `2 min`, `1 h`) or a rate.
//!   Values of different types are neither added nor compared; a time times a rate is a
//!   number, a number by a time is a rate.
//! - **Operators.** `+ - * /`, a sign, parentheses, `min(…)`, `max(…)`, and
//!   `if … then … else …` with comparisons joined by `and` and `or`. These two bind equally
//!   and from left to right.
//! - **Variables.** Figures of the settings file, listed in `variables`.
//!
//! A policy is evaluated once, before the controller starts; there are no loops and no
//! state. Each parameter has a type and bounds (`parameters`), and one that is out of them
//! is refused with its file, line and column. No value can break a safety invariant: what
//! those rest on is not configurable.
//!
//! - `tokens`: splitting a line, and errors with a column
//! - `expression`: grammar, parser and evaluation
//! - `values`: types and arithmetic
//! - `parameters`: the names that a policy sets
//! - `variables`: the names that a policy reads

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

/// The policy in force where no file is given. It sets every parameter.
const DEFAULT: &str = include_str!("default.policy");
/// The default policy's name in errors.
const DEFAULT_NAME: &str = "default.policy";

/// Why a policy cannot be used.
#[derive(Debug, Error)]
pub enum PolicyError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}", file.display())]
    Unreadable {
        /// The policy file.
        file: PathBuf,
        /// The operating system's reason.
        source: std::io::Error,
    },
    /// A line does not parse, cannot be evaluated, or sets a value that is refused.
    #[error("{}:{line}:{column}: {reason}", file.display())]
    Invalid {
        /// The policy file.
        file: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// The column in bytes, counted from 1.
        column: usize,
        /// What is wrong there.
        reason: String,
    },
}

/// The parameters in force, as a policy sets them.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Tuning {
    /// Time to live of the leader's lease.
    pub lease: Duration,
    /// Machines that are scored for each placement (power-of-k sampling).
    pub sampled_machines: usize,
    /// Weight, in a machine's score, of the work that would be lost with a spot instance.
    pub spot_risk: f64,
    /// Most work that a task may lose when it is preempted for another team's guarantee, in
    /// seconds of run time; 0: never preempted for that.
    pub preempt_loss_s: f64,
    /// Most work that a task may lose when it is preempted for one of higher priority, in
    /// seconds of run time; 0: never preempted for that.
    pub preempt_lower_loss_s: f64,
    /// Capacity to scale out to, as a multiple of the mean demand.
    pub mean_ratio: f64,
    /// The same multiple for work that may wait longer than machines take to boot.
    pub delay_tolerant_ratio: f64,
    /// Capacity kept beyond the mean, in standard deviations of demand.
    pub headroom: f64,
    /// How long demand is remembered, as a multiple of the longest boot time.
    pub demand_memory_boots: f64,
    /// Factor on spot prices when offers are compared; above 1, spot instances count as
    /// dearer than they are.
    pub spot_price_weight: f64,
    /// Idle time before a machine that is not needed is returned, in boot times.
    pub idle_boots: f64,
    /// Time after which a machine that has not come up is given up, in boot times.
    pub boot_limit_boots: f64,
    /// Time without a heartbeat after which a machine is replaced.
    pub suspicion_timeout: Duration,
    /// Time within which every job should start its first task, if there is capacity at
    /// all. From half of it on, a job that has not started goes before all others.
    pub start_within: Duration,
    /// How long done tasks are gathered before they are written to records.
    pub done_task_batch_delay: Duration,
    /// Interval of the reconciliation of rows with records.
    pub reconcile_interval: Duration,
}

impl Tuning {
    /// The default policy, with what `file` sets differently.
    ///
    /// # Errors
    ///
    /// [`PolicyError::Unreadable`] if the file cannot be read, [`PolicyError::Invalid`] for
    /// the first line in it that cannot be used with these settings. The default policy
    /// itself may be refused too, if the settings are such that a parameter gets out of its
    /// bounds.
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

    /// Sets what a policy's text sets. `file` is only named in errors.
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

    /// Sets what one line sets, if anything. `names_set`: what earlier lines have set.
    fn apply_line(
        &mut self,
        cluster: &Cluster,
        line: &str,
        names_set: &mut Vec<&'static str>,
    ) -> Result<(), ExpressionError> {
        let Some(assignment) = Assignment::parse(line)? else { return Ok(()) };
        let Assignment { name, name_column, value_column, .. } = &assignment;
        let Some(parameter) = Parameter::find(name) else {
            return Err(ExpressionError::new(
                *name_column,
                format!("there is nothing named `{name}` to set"),
            ));
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
