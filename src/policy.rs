//! What an operator may tune: ratios to figures of the settings. No value here
//! can loosen a rule; those are fixed where they are enforced.

/// The figures in force.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Tuning {
    /// The leader's lease as part of the workers' lease.
    pub lease_ratio: f64,
    /// Machines compared for each placement.
    pub sample: usize,
    /// Capacity kept beyond the mean demand, in standard deviations of it.
    pub headroom: f64,
    /// Mean demand is multiplied by this before renting.
    pub mean_ratio: f64,
    /// How long demand is remembered, as a multiple of the longest boot.
    pub memory_ratio: f64,
    /// Idle time before a machine is returned, as part of the boot time.
    pub idle_ratio: f64,
    /// A machine is given up as never starting after this many boot times.
    pub boot_limit_ratio: f64,
    /// A silent machine is replaced after this part of the workers' lease.
    pub silence_ratio: f64,
    /// Done tasks are gathered for this part of a report interval.
    pub batch_ratio: f64,
    /// Most work, in seconds, that a task may lose to another team's guarantee.
    pub preempt_loss_s: f64,
    /// The same for a task that gives way to one of higher priority.
    pub preempt_lower_loss_s: f64,
    /// Weight of the work that may be lost with a spot machine.
    pub spot_risk: f64,
    /// Reconciler rounds, in seconds.
    pub reconcile_s: f64,
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            lease_ratio: 0.2,
            sample: 5,
            headroom: 0.3,
            mean_ratio: 1.0,
            memory_ratio: 0.7,
            idle_ratio: 0.3,
            boot_limit_ratio: 3.0,
            silence_ratio: 0.45,
            batch_ratio: 0.15,
            preempt_loss_s: 8.0,
            preempt_lower_loss_s: 25.0,
            spot_risk: 1.0,
            reconcile_s: 30.0,
        }
    }
}
