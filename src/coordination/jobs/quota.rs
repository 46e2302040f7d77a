//! Quotas of teams: what they are guaranteed, their limits, and what they use.

use crate::coordination::jobs::resources::Resources;
use crate::maps::HashMap;
use crate::settings;

/// Names a team's quota.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct QuotaId(usize);

/// One team's quota and use.
#[derive(Debug)]
pub struct TeamQuota {
    /// What its work gets before other teams' work beyond theirs.
    pub guaranteed: Resources,
    /// The most that it may use; infinite where the settings give no limit.
    pub limit: Resources,
    /// Everything that may be on a machine: started, fetching, running, saving, or on a
    /// machine that cannot be reached.
    pub used: Resources,
}

/// The quotas of all teams in the settings.
#[derive(Debug)]
pub struct Quotas {
    quotas: Vec<TeamQuota>,
    by_team: HashMap<String, QuotaId>,
}

impl Quotas {
    /// The quotas that the settings name, nothing of them used.
    pub fn new(teams: &[settings::Team]) -> Self {
        let quotas = teams.iter().map(TeamQuota::new).collect();
        let by_team = teams.iter().enumerate().map(|(at, team)| (team.name.clone(), QuotaId(at))).collect();
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
        self.quotas.iter().enumerate().map(|(at, quota)| (QuotaId(at), quota))
    }

    /// Counts resources as used by the team.
    pub fn charge(&mut self, quota: QuotaId, resources: &Resources) {
        self.quotas[quota.0].used.add(resources);
    }

    /// Counts resources as used no longer.
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
