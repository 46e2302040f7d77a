//! The zones in which further tasks of a job may start, given the zones of its other tasks.

use crate::maps::HashMap;
use crate::protocol::jobs::JobSpec;

/// How many further tasks of one job may start in each zone.
#[derive(Debug)]
pub(super) enum ZoneLimits {
    /// The job does not limit the zones of its tasks together.
    Unlimited,
    /// All tasks must be in the same zone.
    OneZone {
        /// The zone of the tasks that are placed, if any is.
        zone: Option<String>,
    },
    /// No zone may hold more than a number of tasks.
    Spread {
        /// That number.
        max_per_zone: u32,
        /// The number of placed tasks by zone.
        placed: HashMap<String, u32>,
    },
}

impl ZoneLimits {
    /// The limits for a job whose placed tasks are in these zones.
    pub(super) fn new<'a>(spec: &JobSpec, placed: impl Iterator<Item = &'a str>) -> Self {
        let mut limits = if spec.one_zone {
            ZoneLimits::OneZone { zone: None }
        } else if spec.spread {
            let max_per_zone = spec.task_count.div_ceil(2);
            ZoneLimits::Spread { max_per_zone, placed: HashMap::default() }
        } else {
            return ZoneLimits::Unlimited;
        };
        for zone in placed {
            limits.add(zone, 1);
        }
        limits
    }

    /// How many further tasks may start in the zone.
    pub(super) fn allowed_in(&self, zone: &str) -> u32 {
        match self {
            ZoneLimits::Unlimited => u32::MAX,
            ZoneLimits::OneZone { zone: Some(only) } if only != zone => 0,
            ZoneLimits::OneZone { .. } => u32::MAX,
            ZoneLimits::Spread { max_per_zone, placed } => {
                max_per_zone.saturating_sub(placed.get(zone).copied().unwrap_or_default())
            }
        }
    }

    /// Counts tasks that are placed in the zone.
    pub(super) fn add(&mut self, zone: &str, count: u32) {
        match self {
            ZoneLimits::Unlimited => {}
            ZoneLimits::OneZone { zone: only } => {
                only.get_or_insert_with(|| zone.to_owned());
            }
            ZoneLimits::Spread { placed, .. } => *placed.entry(zone.to_owned()).or_default() += count,
        }
    }
}
