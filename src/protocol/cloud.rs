//! Messages to and from the cloud, which provisions machines in node pools.

use ciborium::value::Value;

use super::cbor::{Fields, Malformed, MapBuilder, text_array};
use super::wire_words::{field, value as word};
use super::workers::MachineId;

/// Maximum number of machines in one node pool request.
pub const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// Maximum number of machines in one deletion request.
pub const MAX_MACHINES_PER_DELETION: usize = 100;
/// Maximum number of machines on one page of the cloud's inventory.
pub const MAX_MACHINES_PER_INVENTORY_PAGE: usize = 500;

/// An entry of the cloud's catalog: the resources and prices of a machine type.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineType {
    /// Unique name of the type.
    pub name: String,
    /// CPUs of one machine; may be fractional.
    pub cpus: f64,
    /// GPUs of one machine; 0 if the catalog does not list them.
    pub gpus: f64,
    /// Memory of one machine in GB.
    pub memory_gb: f64,
    /// Size in GB of the local image cache; 0 if the catalog does not list it.
    pub cache_gb: f64,
    /// Rate at which a machine fetches images, in GB per second; 0 if unknown.
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine, in the cloud's unit; only used in comparisons with other
    /// prices.
    pub price: f64,
    /// Price of a spot machine, in the same unit; equals `price` if the catalog does not list it.
    pub spot_price: f64,
    /// Time that a machine takes to boot, in seconds; 0 if unknown.
    pub boot_s: f64,
    /// Zones that offer the type.
    pub zones: Vec<String>,
}

impl MachineType {
    fn encode(&self) -> Value {
        MapBuilder::new()
            .set(field::NAME, self.name.as_str())
            .set(field::CPUS, self.cpus)
            .set(field::GPUS, self.gpus)
            .set(field::MEMORY_GB, self.memory_gb)
            .set(field::CACHE_GB, self.cache_gb)
            .set(field::FETCH_GB_PER_S, self.fetch_gb_per_s)
            .set(field::PRICE, self.price)
            .set(field::SPOT_PRICE, self.spot_price)
            .set(field::BOOT_S, self.boot_s)
            .set(field::ZONES, text_array(self.zones.iter().map(String::as_str)))
            .build()
    }

    fn decode(value: &Value) -> Result<Self, Malformed> {
        let fields = Fields::of(value)?;
        let price = fields.amount(field::PRICE)?;
        Ok(MachineType {
            name: fields.text(field::NAME)?.to_owned(),
            cpus: fields.amount(field::CPUS)?,
            gpus: fields.opt_amount(field::GPUS)?.unwrap_or(0.0),
            memory_gb: fields.amount(field::MEMORY_GB)?,
            cache_gb: fields.opt_amount(field::CACHE_GB)?.unwrap_or(0.0),
            fetch_gb_per_s: fields.opt_amount(field::FETCH_GB_PER_S)?.unwrap_or(0.0),
            price,
            spot_price: fields.opt_amount(field::SPOT_PRICE)?.unwrap_or(price),
            boot_s: fields.opt_amount(field::BOOT_S)?.unwrap_or(0.0),
            zones: fields.opt_texts(field::ZONES)?.unwrap_or_default(),
        })
    }
}

/// Encodes a catalog in the form of the cloud's own response. It is stored in this form too.
pub fn encode_catalog(types: &[MachineType]) -> Value {
    let types = types.iter().map(MachineType::encode).collect();
    MapBuilder::new().set(field::MACHINE_TYPES, Value::Array(types)).build()
}

/// Decodes a catalog from the cloud's response or from its stored record.
///
/// # Errors
///
/// [`Malformed`] if the value or one of its machine types lacks a required field or holds
/// an invalid one: a catalog is accepted completely or not at all.
pub fn decode_catalog(value: &Value) -> Result<Vec<MachineType>, Malformed> {
    Fields::of(value)?.list(field::MACHINE_TYPES)?.iter().map(MachineType::decode).collect()
}

/// A node pool request, which asks the cloud to provision machines.
///
/// Its name makes it idempotent: sending the same request again provisions no further
/// machines. Two different requests never have the same name.
#[derive(Debug, Clone, PartialEq)]
pub struct NodePoolRequest {
    /// Unique name of the request.
    pub name: String,
    /// Name of the machine type to provision.
    pub machine_type: String,
    /// Zone to provision them in.
    pub zone: String,
    /// Whether to provision spot machines instead of on-demand machines.
    pub spot: bool,
    /// Number of machines; at most [`MAX_MACHINES_PER_REQUEST`].
    pub machine_count: u32,
}

impl NodePoolRequest {
    /// Encodes the request in the form that is sent to the cloud and stored.
    pub fn encode(&self) -> Value {
        MapBuilder::new()
            .set(field::NODE_POOL, self.name.as_str())
            .set(field::MACHINE_TYPE, self.machine_type.as_str())
            .set(field::ZONE, self.zone.as_str())
            .set(field::SPOT, self.spot)
            .set(field::MACHINE_COUNT, self.machine_count)
            .build()
    }

    /// Decodes a request written by [`NodePoolRequest::encode`].
    ///
    /// # Errors
    ///
    /// [`Malformed`] if a field is missing or invalid.
    pub fn decode(value: &Value) -> Result<Self, Malformed> {
        let fields = Fields::of(value)?;
        Ok(NodePoolRequest {
            name: fields.text(field::NODE_POOL)?.to_owned(),
            machine_type: fields.text(field::MACHINE_TYPE)?.to_owned(),
            zone: fields.text(field::ZONE)?.to_owned(),
            spot: fields.bool(field::SPOT)?,
            machine_count: u32::try_from(fields.count(field::MACHINE_COUNT)?)
                .map_err(|_| Malformed::Invalid(field::MACHINE_COUNT))?,
        })
    }
}

fn decode_machine_id(value: &Value) -> Result<MachineId, Malformed> {
    value.as_text().and_then(MachineId::parse).ok_or(Malformed::Invalid(field::MACHINES))
}

/// Decodes the machines that the cloud provisioned for a node pool request.
///
/// # Errors
///
/// [`Malformed`] if the list is missing or one of its identifiers is invalid.
pub fn decode_provisioned(value: &Value) -> Result<Vec<MachineId>, Malformed> {
    Fields::of(value)?.list(field::MACHINES)?.iter().map(decode_machine_id).collect()
}

/// Encodes a deletion request for at most [`MAX_MACHINES_PER_DELETION`] machines.
pub fn encode_deletion(machines: &[MachineId]) -> Value {
    MapBuilder::new().set(field::MACHINES, text_array(machines.iter().map(MachineId::as_str))).build()
}

/// State of a machine in the cloud's inventory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    /// It is booting.
    Starting,
    /// It is up, which does not prove that its worker runs.
    Running,
    /// It has stopped by itself.
    Failed,
}

impl ListedState {
    fn decode(fields: &Fields<'_>) -> Result<Self, Malformed> {
        match fields.text(field::STATE)? {
            word::MACHINE_STARTING => Ok(ListedState::Starting),
            word::MACHINE_RUNNING => Ok(ListedState::Running),
            word::MACHINE_FAILED => Ok(ListedState::Failed),
            _ => Err(Malformed::Invalid(field::STATE)),
        }
    }
}

/// A machine in the cloud's inventory.
#[derive(Debug, Clone, PartialEq)]
pub struct ListedMachine {
    /// Identifier of the machine.
    pub machine: MachineId,
    /// Network address of its worker; empty if the cloud does not know it yet.
    pub address: String,
    /// Name of its machine type.
    pub machine_type: String,
    /// Zone of the machine.
    pub zone: String,
    /// Whether it is a spot machine.
    pub spot: bool,
    /// Its state in the cloud.
    pub state: ListedState,
    /// Seconds since it was provisioned; 0 if the cloud does not say.
    pub age_s: f64,
}

impl ListedMachine {
    fn decode(value: &Value) -> Result<Self, Malformed> {
        let fields = Fields::of(value)?;
        Ok(ListedMachine {
            machine: MachineId::parse(fields.text(field::ID)?).ok_or(Malformed::Invalid(field::ID))?,
            address: fields.opt_text(field::ADDRESS)?.unwrap_or_default().to_owned(),
            machine_type: fields.text(field::MACHINE_TYPE)?.to_owned(),
            zone: fields.text(field::ZONE)?.to_owned(),
            spot: fields.opt_bool(field::SPOT)?.unwrap_or(false),
            state: ListedState::decode(&fields)?,
            age_s: fields.opt_amount(field::AGE_S)?.unwrap_or(0.0),
        })
    }
}

/// One page of the cloud's inventory.
#[derive(Debug, Clone, PartialEq)]
pub struct InventoryPage {
    /// The machines on this page; at most [`MAX_MACHINES_PER_INVENTORY_PAGE`].
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows.
    pub more: bool,
}

/// Decodes one page of the cloud's inventory.
///
/// # Errors
///
/// [`Malformed`] if the list or a required field of a machine is missing or invalid.
pub fn decode_inventory_page(value: &Value) -> Result<InventoryPage, Malformed> {
    let fields = Fields::of(value)?;
    let machines = fields.list(field::MACHINES)?.iter().map(ListedMachine::decode);
    Ok(InventoryPage {
        machines: machines.collect::<Result<_, _>>()?,
        more: fields.opt_bool(field::MORE)?.unwrap_or(false),
    })
}
