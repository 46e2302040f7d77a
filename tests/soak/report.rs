//! The result of a run.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use super::checker::Finding;

/// Result of a run.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// No rule was broken.
    Passed,
    /// Rules were broken.
    Failed(Vec<Finding>),
    /// The run gives no result: the harness's own timers were too late, or an I/O error ended it.
    NotJudged(String),
}

/// Result and statistics of a run.
#[derive(Debug, Clone)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Number of controllers.
    pub controllers: usize,
    /// Maximum number of machines in the fleet.
    pub machines: u64,
    /// How long the run took.
    pub duration: Duration,
    /// Number of task starts.
    pub starts: usize,
    /// Number of responses that users received.
    pub answers: usize,
    /// Number of faults that were injected.
    pub faults: usize,
    /// Number of commits that wrote the leader key.
    pub leaders: usize,
    /// Largest delay of the harness's own timers.
    pub lag: Duration,
    /// Outcome of the check.
    pub verdict: Verdict,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let verdict = match &self.verdict {
            Verdict::Passed => "no rule broken".to_owned(),
            Verdict::Failed(findings) => {
                let rules: BTreeSet<String> = findings.iter().map(|f| format!("{:?}", f.rule)).collect();
                format!("{} findings: {}", findings.len(), rules.into_iter().collect::<Vec<_>>().join(", "))
            }
            Verdict::NotJudged(reason) => format!("not judged: {reason}"),
        };
        write!(
            f,
            "{:>4}  {:>11}  {:>8}  {:>7.0}  {:>6}  {:>7}  {:>6}  {:>7}  {:>6}  {verdict}",
            self.seed,
            self.controllers,
            self.machines,
            self.duration.as_secs_f64(),
            self.starts,
            self.answers,
            self.faults,
            self.leaders,
            self.lag.as_millis()
        )
    }
}
