//! Team quotas: guaranteed resources, limits and current use.

use crate::coordination::jobs::resources::Resources;
use crate::maps::HashMap;
use crate::settings;

/// Identifies a team's quota: its index in the settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct QuotaId(usize);

/// One team's quota and use.
#[derive(Debug)]
pub struct TeamQuota {
    /// Resources that its jobs get before other teams' jobs exceed their own guarantee.
    pub guaranteed: Resources,
    /// Maximum that it may use; infinite where the settings give no limit.
    pub limit: Resources,
    /// Resources of all its tasks that may be on a machine: started, fetching, running,
    /// saving, or on an unreachable machine.
    pub used: Resources,
}

/// The quotas of all teams in the settings.
#[derive(Debug)]
pub struct Quotas {
    quotas: Vec<TeamQuota>,
    by_team: HashMap<String, QuotaId>,
}

impl Quotas {
    /// The quotas in the settings, with nothing used yet.
    pub fn new(teams: &[settings::Team]) -> Self {
        let quotas = teams.iter().map(TeamQuota::new).collect();
        let by_team =
            teams.iter().enumerate().map(|(index, team)| (team.name.clone(), QuotaId(index))).collect();
        Quotas { quotas, by_team }
    }

    /// The quota of the team with that name, if there is such a team.
    pub fn find(&self, team: &str) -> Option<QuotaId> {
        self.by_team.get(team).copied()
    }

    /// A team's quota.
    pub fn get(&self, quota: QuotaId) -> &TeamQuota {
        &self.quotas[quota.0]
    }

    /// All quotas, in the order of the settings.
    pub fn iter(&self) -> impl Iterator<Item = (QuotaId, &TeamQuota)> {
        self.quotas.iter().enumerate().map(|(index, quota)| (QuotaId(index), quota))
    }

    /// Counts resources as used by the team.
    pub fn charge(&mut self, quota: QuotaId, resources: &Resources) {
        self.quotas[quota.0].used.add(resources);
    }

    /// Counts resources as no longer used by the team.
    pub fn release(&mut self, quota: QuotaId, resources: &Resources) {
        self.quotas[quota.0].used.sub(resources);
    }
}

impl TeamQuota {
    fn new(team: &settings::Team) -> Self {
        let unlimited_if_zero = |limit: f64| if limit > 0.0 { limit } else { f64::INFINITY };
        TeamQuota {
            guaranteed: Resources { cpus: team.cpus, gpus: team.gpus, memory_gb: 0.0 },
            limit: Resources {
                cpus: unlimited_if_zero(team.cpus_max),
                gpus: unlimited_if_zero(team.gpus_max),
                memory_gb: f64::INFINITY,
            },
            used: Resources::default(),
        }
    }

    /// Whether it uses more CPUs or GPUs than it is guaranteed.
    pub fn exceeds_guarantee(&self) -> bool {
        !self.used.fits(&Resources { memory_gb: f64::INFINITY, ..self.guaranteed })
    }
}
