//! Run time estimates of tasks: the owners' estimates, corrected by measured run times.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::leader::Leader;
use crate::coordination::workers::slot::Slot;
use crate::maps::HashMap;
use crate::protocol::jobs::{JobSpec, TaskId};

/// Maximum number of classes whose ratio is remembered; later ones are ignored.
const MAX_CLASSES: usize = 256;
/// Maximum number of classes whose ratio is stored for the next leader.
const MAX_STORED_CLASSES: usize = 64;
/// Weight of a single run in the ratio of its class (exponential smoothing).
const SMOOTHING: f64 = 0.02;
/// Minimum and maximum ratio of measured to estimated run time that a single run contributes.
const RATIO_BOUNDS: (f64, f64) = (0.05, 20.0);
/// Upper bound for the expected run time of any task, in seconds.
const MAX_RUN_S: f64 = 1e6;

/// Ratios of measured run times to the owners' estimates, by class.
#[derive(Debug, Default)]
pub(crate) struct RunEstimates {
    /// Smoothed ratio of measured to estimated run time, by the name of the class.
    ratios: HashMap<String, f64>,
}

impl RunEstimates {
    /// Restores the ratios that an earlier leader stored.
    pub(crate) fn restore(&mut self, ratios: Vec<(String, f64)>) {
        self.ratios = ratios.into_iter().collect();
    }

    /// Returns the ratios to store for the next leader, by class.
    pub(crate) fn to_stored(&self) -> Vec<(String, f64)> {
        let stored = self.ratios.iter().take(MAX_STORED_CLASSES);
        stored.map(|(class, ratio)| (class.clone(), *ratio)).collect()
    }

    /// Expected run time of a task of the job, in seconds: the owner's estimate, multiplied by the
    /// ratio of its class.
    pub(crate) fn expected_run_s(&self, spec: &JobSpec) -> f64 {
        let ratio = self.ratios.get(&spec.class).copied().unwrap_or(1.0);
        (spec.estimated_run_s * ratio).min(MAX_RUN_S)
    }

    /// Updates the ratio of the class with the run time of a completed task. Does nothing for a
    /// job without an estimate.
    pub(crate) fn record(&mut self, spec: &JobSpec, run_s: f64) {
        let is_full = self.ratios.len() >= MAX_CLASSES && !self.ratios.contains_key(&spec.class);
        if spec.estimated_run_s <= 0.0 || is_full {
            return;
        }
        let (min_ratio, max_ratio) = RATIO_BOUNDS;
        let measured = (run_s / spec.estimated_run_s).clamp(min_ratio, max_ratio);
        let ratio = self.ratios.entry(spec.class.clone()).or_insert(1.0);
        *ratio += (measured - *ratio) * SMOOTHING;
    }
}

impl Leader {
    /// How long the task is expected to stay on its machine; `None` if it does not end by itself.
    /// A task that has run for longer than expected is assumed to need as long again as it is late.
    pub(crate) fn time_to_end(&self, now: Instant, task: &TaskId, slot: &Slot) -> Option<Duration> {
        if slot.stop_grace_s.is_some() || !slot.assigned {
            return Some(Duration::ZERO);
        }
        let job = self.jobs.get(&task.job).filter(|job| !job.is_service())?;
        let expected = Duration::from_secs_f64(self.run_estimates.expected_run_s(job.spec()));
        let elapsed = now.saturating_duration_since(slot.since);
        Some(expected.abs_diff(elapsed))
    }
}
