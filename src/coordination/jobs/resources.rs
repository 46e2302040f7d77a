//! Amounts of CPUs, GPUs and memory.

use crate::protocol::cloud::MachineType;
use crate::protocol::jobs::JobSpec;

/// Amounts that a task takes, or that a machine or team has.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
}

/// Sums of decimals are off by a little; this much is forgiven.
const EPSILON: f64 = 1e-6;

impl Resources {
    /// More than anybody may use.
    pub const UNBOUNDED: Resources =
        Resources { cpus: f64::INFINITY, gpus: f64::INFINITY, memory_gb: f64::INFINITY };

    pub fn of(spec: &JobSpec) -> Self {
        Resources { cpus: spec.cpus, gpus: spec.gpus, memory_gb: spec.memory_gb }
    }

    pub fn of_type(kind: &MachineType) -> Self {
        Resources { cpus: kind.cpus, gpus: kind.gpus, memory_gb: kind.memory_gb }
    }

    pub fn fits(&self, room: &Resources) -> bool {
        self.cpus <= room.cpus + EPSILON
            && self.gpus <= room.gpus + EPSILON
            && self.memory_gb <= room.memory_gb + EPSILON
    }

    /// How many such tasks the room takes.
    pub fn times_in(&self, room: &Resources) -> u32 {
        let part = |need: f64, have: f64| {
            if need <= 0.0 { f64::from(u32::MAX) } else { ((have + EPSILON) / need).floor().max(0.0) }
        };
        part(self.cpus, room.cpus)
            .min(part(self.gpus, room.gpus))
            .min(part(self.memory_gb, room.memory_gb))
            .min(f64::from(u32::MAX)) as u32
    }

    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }
}
