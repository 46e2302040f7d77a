//! The catalog: the cloud's machine types, as last read.

use std::time::Duration;

use tokio::time::Instant;

use crate::coordination::jobs::resources::Resources;
use crate::protocol::cloud::MachineType;
use crate::protocol::jobs::JobSpec;

/// Identifies a machine type by its index in the catalog. Types keep their index, so an id never
/// changes its meaning within an epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachineTypeId(usize);

/// The boot time assumed for an unknown machine type, in seconds.
const UNKNOWN_BOOT_S: f64 = 30.0;
/// The minimum boot time assumed for any machine type, in seconds.
const MIN_BOOT_S: f64 = 1.0;

impl MachineTypeId {
    /// The id of types that are not in the catalog.
    const UNKNOWN: MachineTypeId = MachineTypeId(usize::MAX);
}

/// How a read of the catalog has changed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CatalogChange {
    /// Whether a type is new, or differs in more than its prices.
    pub(crate) has_changed: bool,
    /// Whether the catalog was empty before and no longer is.
    pub(crate) is_first: bool,
}

/// The machine types, and when they were last read from the cloud.
#[derive(Debug, Default)]
pub(crate) struct Catalog {
    /// The types, indexed by id. A type is never removed or moved, even if the cloud no longer
    /// lists it.
    types: Vec<MachineType>,
    /// When the last read succeeded or failed; `None` if the catalog was not read in this epoch.
    read_at: Option<Instant>,
}

impl Catalog {
    /// Restores the types that an earlier leader stored.
    pub(crate) fn restore(&mut self, types: Vec<MachineType>) {
        self.types = types;
    }

    /// Updates the types with those that the cloud lists now. Prices change often, so a change of
    /// prices alone is no reason to store the catalog again.
    pub(crate) fn update(&mut self, now: Instant, types: Vec<MachineType>) -> CatalogChange {
        self.read_at = Some(now);
        let was_empty = self.types.is_empty();
        let without_prices =
            |listed: &MachineType| MachineType { price: 0.0, spot_price: 0.0, ..listed.clone() };
        let is_known = |listed: &MachineType| {
            self.types.iter().any(|known| without_prices(known) == without_prices(listed))
        };
        let has_changed = types.iter().any(|listed| !is_known(listed));
        for listed in types {
            match self.types.iter_mut().find(|known| known.name == listed.name) {
                Some(known) => *known = listed,
                None => self.types.push(listed),
            }
        }
        CatalogChange { has_changed, is_first: was_empty && !self.types.is_empty() }
    }

    /// Records a failed read. The next read is due after the usual time.
    pub(crate) fn record_failed_read(&mut self, now: Instant) {
        self.read_at = Some(now);
    }

    /// Whether the last read is longer ago than `max_age`.
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

    /// The id of the type with that name; [`MachineTypeId::UNKNOWN`] if the name is not known.
    pub(crate) fn id_of(&self, name: &str) -> MachineTypeId {
        self.find(name).unwrap_or(MachineTypeId::UNKNOWN)
    }

    /// The id of the type with that name, if it is known.
    pub(crate) fn find(&self, name: &str) -> Option<MachineTypeId> {
        self.types.iter().position(|machine_type| machine_type.name == name).map(MachineTypeId)
    }

    /// The capacity of a machine of the type; none if the type is not known.
    pub(crate) fn resources(&self, id: MachineTypeId) -> Resources {
        self.get(id).map(Resources::of_type).unwrap_or_default()
    }

    /// The CPUs of a machine of the type; none if the type is not known.
    pub(crate) fn cpus(&self, id: MachineTypeId) -> f64 {
        self.get(id).map_or(0.0, |machine_type| machine_type.cpus)
    }

    /// How long a machine of the type takes to boot, in seconds; at least a second.
    pub(crate) fn boot_s(&self, id: MachineTypeId) -> f64 {
        self.get(id).map_or(UNKNOWN_BOOT_S, |machine_type| machine_type.boot_s).max(MIN_BOOT_S)
    }

    /// The longest boot time of all types, at least a second.
    pub(crate) fn longest_boot(&self) -> Duration {
        let boot_times = self.types.iter().map(|machine_type| machine_type.boot_s);
        Duration::from_secs_f64(boot_times.fold(MIN_BOOT_S, f64::max))
    }

    /// The types on which a task of the job can run.
    pub(crate) fn feasible_types(&self, spec: &JobSpec) -> Vec<MachineTypeId> {
        let task = Resources::of(spec);
        let is_feasible = |machine_type: &MachineType| {
            task.fits(&Resources::of_type(machine_type))
                && spec.machine_types.as_ref().is_none_or(|names| names.contains(&machine_type.name))
                && spec.zone.as_ref().is_none_or(|zone| machine_type.zones.contains(zone))
        };
        let feasible = self.types.iter().enumerate().filter(|(_, machine_type)| is_feasible(machine_type));
        feasible.map(|(index, _)| MachineTypeId(index)).collect()
    }

    /// Whether the job allows the type: it has no list of machine types, or its list contains the type.
    pub(crate) fn is_allowed_by(&self, spec: &JobSpec, id: MachineTypeId) -> bool {
        self.get(id).is_some_and(|machine_type| {
            spec.machine_types.as_ref().is_none_or(|names| names.contains(&machine_type.name))
        })
    }

    /// How long a machine of the type takes to fetch the job's image, in seconds; 0 if the type or
    /// its fetch rate is not known.
    pub(crate) fn image_fetch_s(&self, spec: &JobSpec, id: MachineTypeId) -> f64 {
        match self.get(id) {
            Some(machine_type) if machine_type.fetch_gb_per_s > 0.0 => {
                spec.image_gb / machine_type.fetch_gb_per_s
            }
            _ => 0.0,
        }
    }
}
