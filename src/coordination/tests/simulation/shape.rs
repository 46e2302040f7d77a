//! The size and load of a simulated cluster.

use super::*;

/// Sizes, rates and limits of a simulated cluster.
#[derive(Debug, Clone, Copy)]
pub struct ClusterShape {
    /// Number of controllers.
    pub controllers: usize,
    /// Mean interval between two submissions, in seconds.
    pub mean_submit_interval_s: f64,
    /// Maximum run time of a task, in seconds.
    pub max_run_s: f64,
    /// Number of tasks of the largest arrays.
    pub max_tasks: u32,
    /// Requests per second that users send in addition to their regular ones.
    pub extra_request_rate: f64,
    /// Changes per second that the state service accepts.
    pub writes: f64,
    /// Maximum size of a value in the state service, in KB. If it is small, done tasks are split
    /// into blocks.
    pub value_kb: f64,
    /// Memory limit of a controller, in MB; bounds the terminal states that it remembers.
    pub memory_mb: f64,
    /// Sockets that a controller may open, which bounds its queues and concurrent reads.
    pub sockets: usize,
    /// Maximum number of keys in one page of the state service.
    pub page: usize,
    /// Interval between two polls of a user, in seconds, whatever the answers are; `None` if users
    /// repeat a failed poll sooner.
    pub poll_interval_s: Option<f64>,
    /// Probability that a job may depend on others.
    pub dependent_probability: f64,
    /// Whether lower limits of the state service are announced, which take effect with
    /// [`Fault::LimitsLowered`].
    pub limits_lowered: bool,
}

impl ClusterShape {
    /// A cluster with few jobs under the sample settings.
    pub fn usual(controllers: usize) -> Self {
        ClusterShape {
            controllers,
            mean_submit_interval_s: 4.0,
            max_run_s: 25.0,
            max_tasks: 6,
            extra_request_rate: 1.0,
            writes: 80.0,
            value_kb: settings::tests::sample().cluster.kv.value_kb,
            memory_mb: settings::tests::sample().cluster.limits.memory_mb,
            sockets: settings::tests::sample().cluster.limits.max_connections,
            page: 1000,
            poll_interval_s: None,
            dependent_probability: 0.0,
            limits_lowered: false,
        }
    }

    /// The state service and the sockets of a cluster with thousands of unfinished jobs, which
    /// the test adds ([`Simulation::add_accepted_jobs`]).
    pub fn large(controllers: usize) -> Self {
        ClusterShape { writes: 240.0, memory_mb: 188.0, sockets: 13_600, ..ClusterShape::usual(controllers) }
    }

    /// As [`Self::large`], with small values, so that the done tasks of an array are split into
    /// blocks, and users that poll at the interval of the protocol.
    pub fn backlog(controllers: usize) -> Self {
        ClusterShape { value_kb: 0.002, poll_interval_s: Some(5.0), ..ClusterShape::large(controllers) }
    }

    /// Many jobs depend on others, and lower limits of the state service are announced.
    pub fn with_dependencies(self) -> Self {
        ClusterShape { dependent_probability: 0.4, limits_lowered: true, ..self }
    }

    /// Tens of small jobs, and users that send many extra requests.
    pub fn busy(controllers: usize) -> Self {
        ClusterShape {
            mean_submit_interval_s: 1.0,
            max_run_s: 8.0,
            extra_request_rate: 20.0,
            ..ClusterShape::usual(controllers)
        }
    }

    /// Hundreds of small jobs, some with several blocks of done tasks, more rows than a page holds
    /// and more terminal states than a controller remembers.
    pub fn crowded(controllers: usize) -> Self {
        ClusterShape {
            mean_submit_interval_s: 0.25,
            max_run_s: 6.0,
            max_tasks: 16,
            extra_request_rate: 20.0,
            writes: 240.0,
            value_kb: 0.002,
            memory_mb: 8.0,
            page: 7,
            ..ClusterShape::usual(controllers)
        }
    }
}
