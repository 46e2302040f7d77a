//! Messages to and from the cloud.

use ciborium::value::Value;

use super::cbor::{Fields, Malformed, MapBuilder, texts};
use super::workers::MachineId;

/// Most machines in one rental request.
pub const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// Most names in one deletion.
pub const MAX_MACHINES_PER_DELETION: usize = 100;
/// Most machines on one page of the list.
pub const INVENTORY_PAGE: usize = 500;

#[derive(Debug, Clone, PartialEq)]
pub struct MachineType {
    pub name: String,
    pub cpus: f64,
    pub gpus: f64,
    pub memory_gb: f64,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub price: f64,
    pub spot_price: f64,
    pub boot_s: f64,
    pub zones: Vec<String>,
}

impl MachineType {
    fn encode(&self) -> Value {
        MapBuilder::new()
            .set("name", self.name.as_str())
            .set("cores", self.cpus)
            .set("accelerators", self.gpus)
            .set("ramGb", self.memory_gb)
            .set("localGb", self.cache_gb)
            .set("fetchGbPerS", self.fetch_gb_per_s)
            .set("price", self.price)
            .set("spotPrice", self.spot_price)
            .set("startupS", self.boot_s)
            .set("halls", texts(self.zones.iter().map(String::as_str)))
            .build()
    }

    fn decode(value: &Value) -> Result<Self, Malformed> {
        let f = Fields::of(value)?;
        let price = f.amount("price")?;
        Ok(MachineType {
            name: f.text("name")?.to_owned(),
            cpus: f.amount("cores")?,
            gpus: f.opt_amount("accelerators")?.unwrap_or(0.0),
            memory_gb: f.amount("ramGb")?,
            cache_gb: f.opt_amount("localGb")?.unwrap_or(0.0),
            fetch_gb_per_s: f.opt_amount("fetchGbPerS")?.unwrap_or(0.0),
            price,
            spot_price: f.opt_amount("spotPrice")?.unwrap_or(price),
            boot_s: f.opt_amount("startupS")?.unwrap_or(0.0),
            zones: f.opt_texts("halls")?.unwrap_or_default(),
        })
    }
}

/// The same form as the cloud's own answer; used for the record.
pub fn encode_catalog(types: &[MachineType]) -> Value {
    MapBuilder::new().set("builds", Value::Array(types.iter().map(MachineType::encode).collect())).build()
}

pub fn decode_catalog(value: &Value) -> Result<Vec<MachineType>, Malformed> {
    Fields::of(value)?.list("builds")?.iter().map(MachineType::decode).collect()
}

/// A request to rent machines. Its name is never used twice.
#[derive(Debug, Clone, PartialEq)]
pub struct NodePoolRequest {
    pub name: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub count: u32,
}

impl NodePoolRequest {
    pub fn encode(&self) -> Value {
        MapBuilder::new()
            .set("hire", self.name.as_str())
            .set("build", self.machine_type.as_str())
            .set("hall", self.zone.as_str())
            .set("loaners", self.spot)
            .set("howMany", self.count)
            .build()
    }
}

fn machine_id(value: &Value) -> Result<MachineId, Malformed> {
    value.as_text().and_then(MachineId::parse).ok_or(Malformed::Invalid("benches"))
}

pub fn decode_provisioned(value: &Value) -> Result<Vec<MachineId>, Malformed> {
    Fields::of(value)?.list("benches")?.iter().map(machine_id).collect()
}

pub fn encode_delete(machines: &[MachineId]) -> Value {
    MapBuilder::new().set("benches", texts(machines.iter().map(MachineId::as_str))).build()
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListedState {
    Starting,
    Running,
    Failed,
}

#[derive(Debug, Clone, PartialEq)]
pub struct ListedMachine {
    pub machine: MachineId,
    pub address: String,
    pub machine_type: String,
    pub zone: String,
    pub spot: bool,
    pub state: ListedState,
    pub age_s: f64,
}

#[derive(Debug, Clone, PartialEq)]
pub struct InventoryPage {
    pub machines: Vec<ListedMachine>,
    pub more: bool,
}

pub fn decode_inventory_page(value: &Value) -> Result<InventoryPage, Malformed> {
    let f = Fields::of(value)?;
    let machines = f.list("benches")?.iter().map(decode_listed).collect::<Result<_, _>>()?;
    Ok(InventoryPage { machines, more: f.opt_bool("more")?.unwrap_or(false) })
}

fn decode_listed(value: &Value) -> Result<ListedMachine, Malformed> {
    let f = Fields::of(value)?;
    Ok(ListedMachine {
        machine: MachineId::parse(f.text("nameId")?).ok_or(Malformed::Invalid("nameId"))?,
        address: f.opt_text("address")?.unwrap_or_default().to_owned(),
        machine_type: f.text("build")?.to_owned(),
        zone: f.text("hall")?.to_owned(),
        spot: f.opt_bool("loaners")?.unwrap_or(false),
        state: match f.text("standing")? {
            "starting" => ListedState::Starting,
            "running" => ListedState::Running,
            "failed" => ListedState::Failed,
            _ => return Err(Malformed::Invalid("standing")),
        },
        age_s: f.opt_amount("heldS")?.unwrap_or(0.0),
    })
}
