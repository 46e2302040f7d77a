//! How large a simulated cluster is, and how busy.

use super::*;

/// Sizes and rates of a simulated cluster.
#[derive(Debug, Clone, Copy)]
pub struct ClusterShape {
    /// Number of controllers.
    pub controllers: usize,
    /// Mean pause between two submissions, in seconds.
    pub mean_submit_interval_s: f64,
    /// Longest run time of a task, in seconds.
    pub max_run_s: f64,
    /// Tasks of the largest arrays.
    pub max_tasks: u32,
    /// Requests a second that users send beside those that they need.
    pub extra_requests: f64,
    /// Changes a second that the state service takes.
    pub writes: f64,
    /// Largest value of the state service, in KB; small ones split done tasks into blocks.
    pub value_kb: f64,
    /// Memory limit of a controller, in MB: bounds the terminal states that it remembers.
    pub memory_mb: f64,
    /// Most keys in one page of the state service.
    pub page: usize,
    /// The share of the jobs that may depend on others.
    pub dependent_share: f64,
    /// Lower limits of the state service are announced, to hold from [`Fault::LimitsFall`] on.
    pub limits_fall: bool,
}

impl ClusterShape {
    /// A quiet cluster under the sample settings.
    pub fn usual(controllers: usize) -> Self {
        ClusterShape {
            controllers,
            mean_submit_interval_s: 4.0,
            max_run_s: 25.0,
            max_tasks: 6,
            extra_requests: 1.0,
            writes: 80.0,
            value_kb: settings::tests::sample().cluster.kv.value_kb,
            memory_mb: settings::tests::sample().cluster.limits.memory_mb,
            page: 1000,
            dependent_share: 0.0,
            limits_fall: false,
        }
    }

    /// Many jobs depend on others, and the limits of the state service are going to fall.
    pub fn with_dependencies(self) -> Self {
        ClusterShape { dependent_share: 0.4, limits_fall: true, ..self }
    }

    /// Tens of small jobs, and users that send many extra requests.
    pub fn busy(controllers: usize) -> Self {
        ClusterShape {
            mean_submit_interval_s: 1.0,
            max_run_s: 8.0,
            extra_requests: 20.0,
            ..ClusterShape::usual(controllers)
        }
    }

    /// Hundreds of small jobs, some of several blocks, more rows than a page holds and more
    /// terminal states than a controller remembers.
    pub fn crowded(controllers: usize) -> Self {
        ClusterShape {
            mean_submit_interval_s: 0.25,
            max_run_s: 6.0,
            max_tasks: 16,
            extra_requests: 20.0,
            writes: 240.0,
            value_kb: 0.002,
            memory_mb: 8.0,
            page: 7,
            ..ClusterShape::usual(controllers)
        }
    }
}
