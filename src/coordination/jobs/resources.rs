//! Amounts of CPUs, GPUs and memory.

use crate::numeric::whole_u32;
use crate::protocol::cloud::MachineType;
use crate::protocol::jobs::JobSpec;

/// Amounts that a task needs, or that a machine or a team has.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    /// CPUs; may be fractional.
    pub cpus: f64,
    /// GPUs; may be fractional.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

/// Tolerance of comparisons, because sums of decimal fractions are inexact.
const EPSILON: f64 = 1e-6;

impl Resources {
    /// Unlimited resources.
    pub const UNBOUNDED: Resources =
        Resources { cpus: f64::INFINITY, gpus: f64::INFINITY, memory_gb: f64::INFINITY };

    /// Resources that one task of the job needs.
    pub fn of(spec: &JobSpec) -> Self {
        Resources { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }

    /// Resources of an empty machine of this type.
    pub fn of_type(machine_type: &MachineType) -> Self {
        let MachineType { cpus, gpus, memory_gb, .. } = *machine_type;
        Resources { cpus, gpus, memory_gb }
    }

    /// Whether each amount fits into the capacity.
    pub fn fits(&self, capacity: &Resources) -> bool {
        self.cpus <= capacity.cpus + EPSILON
            && self.gpus <= capacity.gpus + EPSILON
            && self.memory_gb <= capacity.memory_gb + EPSILON
    }

    /// How many times these amounts fit into the capacity.
    pub fn times_in(&self, capacity: &Resources) -> u32 {
        let times = |need: f64, has: f64| {
            if need <= 0.0 { f64::from(u32::MAX) } else { ((has + EPSILON) / need).floor().max(0.0) }
        };
        let least = times(self.cpus, capacity.cpus)
            .min(times(self.gpus, capacity.gpus))
            .min(times(self.memory_gb, capacity.memory_gb));
        whole_u32(least.min(f64::from(u32::MAX)))
    }

    /// The amounts that `count` times these amounts take together.
    #[must_use]
    pub fn times(&self, count: u32) -> Resources {
        let count = f64::from(count);
        Resources { cpus: self.cpus * count, gpus: self.gpus * count, memory_gb: self.memory_gb * count }
    }

    /// Adds another's amounts.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Subtracts another's amounts.
    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }
}
