//! The cloud's machine types as far as they are known.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::jobs::resources::Resources;
use crate::protocol::cloud::MachineType;
use crate::protocol::jobs::JobSpec;

/// Names a machine type of the catalog. Types keep their place, so it never changes its
/// meaning within an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachineTypeId(usize);

impl MachineTypeId {
    /// A type that the catalog does not have.
    const UNKNOWN: MachineTypeId = MachineTypeId(usize::MAX);
}

/// What reading the catalog has changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CatalogChange {
    /// A type is new, or differs in more than its prices.
    pub(crate) has_changed: bool,
    /// There were no types before, and there are now.
    pub(crate) is_first: bool,
}

/// The machine types, and when they were last read of the cloud.
#[derive(Debug, Default)]
pub(crate) struct Catalog {
    types: Vec<MachineType>,
    read_at: Option<Instant>,
}

impl Catalog {
    /// Takes over the types that an earlier leader has stored.
    pub(crate) fn restore(&mut self, types: Vec<MachineType>) {
        self.types = types;
    }

    /// Takes over the cloud's answer. Prices move all the time and are no reason to store
    /// the catalog again.
    pub(crate) fn update(&mut self, now: Instant, types: Vec<MachineType>) -> CatalogChange {
        self.read_at = Some(now);
        let was_empty = self.types.is_empty();
        let without_prices = |kind: &MachineType| MachineType { price: 0.0, spot_price: 0.0, ..kind.clone() };
        let is_known =
            |kind: &MachineType| self.types.iter().any(|known| without_prices(known) == without_prices(kind));
        let has_changed = types.iter().any(|kind| !is_known(kind));
        for kind in types {
            match self.types.iter_mut().find(|known| known.name == kind.name) {
                Some(known) => *known = kind,
                None => self.types.push(kind),
            }
        }
        CatalogChange { has_changed, is_first: was_empty && !self.types.is_empty() }
    }

    /// The cloud was asked and did not answer: it is asked again after the usual time.
    pub(crate) fn record_failed_read(&mut self, now: Instant) {
        self.read_at = Some(now);
    }

    /// Whether the last reading is longer ago than `max_age`.
    pub(crate) fn is_older_than(&self, now: Instant, max_age: Duration) -> bool {
        self.read_at.is_none_or(|at| now > at + max_age)
    }

    /// Whether no type is known yet.
    pub(crate) fn is_empty(&self) -> bool {
        self.types.is_empty()
    }

    /// All types, in the order of their ids.
    pub(crate) fn types(&self) -> &[MachineType] {
        &self.types
    }

    /// A type, if it is known.
    pub(crate) fn get(&self, id: MachineTypeId) -> Option<&MachineType> {
        self.types.get(id.0)
    }

    /// The id of the type with that name; one that names no type if it is not known.
    pub(crate) fn id_of(&self, name: &str) -> MachineTypeId {
        self.find(name).unwrap_or(MachineTypeId::UNKNOWN)
    }

    /// The id of the type with that name, if it is known.
    pub(crate) fn find(&self, name: &str) -> Option<MachineTypeId> {
        self.types.iter().position(|kind| kind.name == name).map(MachineTypeId)
    }

    /// What a machine of the type has; nothing if the type is not known.
    pub(crate) fn resources(&self, id: MachineTypeId) -> Resources {
        self.get(id).map(Resources::of_type).unwrap_or_default()
    }

    /// The CPUs of a machine of the type; none if the type is not known.
    pub(crate) fn cpus(&self, id: MachineTypeId) -> f64 {
        self.get(id).map_or(0.0, |kind| kind.cpus)
    }

    /// The longest boot time of all types, at least a second.
    pub(crate) fn longest_boot(&self) -> Duration {
        Duration::from_secs_f64(self.types.iter().map(|kind| kind.boot_s).fold(1.0, f64::max))
    }

    /// The types on which a task of the job can run.
    pub(crate) fn feasible_types(&self, spec: &JobSpec) -> Vec<MachineTypeId> {
        let need = Resources::of(spec);
        let is_feasible = |kind: &MachineType| {
            need.fits(&Resources::of_type(kind))
                && spec.machine_types.as_ref().is_none_or(|types| types.contains(&kind.name))
                && spec.zone.as_ref().is_none_or(|zone| kind.zones.contains(zone))
        };
        let feasible = self.types.iter().enumerate().filter(|(_, kind)| is_feasible(kind));
        feasible.map(|(at, _)| MachineTypeId(at)).collect()
    }

    /// Whether the job allows machines of the type by its name.
    pub(crate) fn is_allowed_by(&self, spec: &JobSpec, id: MachineTypeId) -> bool {
        self.get(id)
            .is_some_and(|kind| spec.machine_types.as_ref().is_none_or(|types| types.contains(&kind.name)))
    }

    /// Whether a task of the job fits on an empty machine of the type.
    pub(crate) fn fits_empty(&self, spec: &JobSpec, id: MachineTypeId) -> bool {
        self.get(id).is_some_and(|kind| Resources::of(spec).fits(&Resources::of_type(kind)))
    }

    /// How long a machine of the type takes to fetch the job's image, in seconds.
    pub(crate) fn image_fetch_s(&self, spec: &JobSpec, id: MachineTypeId) -> f64 {
        match self.get(id) {
            Some(kind) if kind.fetch_gb_per_s > 0.0 => spec.image_gb / kind.fetch_gb_per_s,
            _ => 0.0,
        }
    }
}
