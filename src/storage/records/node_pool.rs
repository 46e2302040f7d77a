//! The record of a node pool request.

use std::collections::BTreeSet;

use ciborium::value::Value;

use crate::protocol::cbor::{Fields, Malformed, MapBuilder, text_array};
use crate::protocol::cloud::NodePoolRequest;
use crate::protocol::workers::MachineId;

/// A node pool request and what is known about its machines. The record is written before
/// the request is sent to the cloud, so that every leader knows of each request that may have
/// been carried out.
#[derive(Debug, Clone, PartialEq)]
pub struct NodePoolRecord {
    /// The request to the cloud.
    pub request: NodePoolRequest,
    /// The machines that the cloud has granted; `None` until it has answered.
    pub machines: Option<Vec<MachineId>>,
    /// Machines to which task starts may have been sent. A machine is added before its first
    /// start, so a new leader knows that no other machine holds tasks and does not wait for
    /// heartbeats of other machines.
    pub machines_used: BTreeSet<MachineId>,
}

impl NodePoolRecord {
    /// Encodes the record.
    pub fn encode(&self) -> Value {
        let machines =
            self.machines.as_ref().map(|machines| text_array(machines.iter().map(MachineId::as_str)));
        MapBuilder::new()
            .set("request", self.request.encode())
            .set_some("machines", machines)
            .set("used", text_array(self.machines_used.iter().map(MachineId::as_str)))
            .build()
    }

    /// Decodes a record.
    ///
    /// # Errors
    ///
    /// [`Malformed`] if a field is missing, has another type, or names an invalid machine.
    pub fn decode(value: &Value) -> Result<Self, Malformed> {
        let fields = Fields::of(value)?;
        let request = fields.get("request").ok_or(Malformed::Missing("request"))?;
        let parse = |name: &String| MachineId::parse(name).ok_or(Malformed::Invalid("machines"));
        let machines = fields.opt_texts("machines")?.map(|names| names.iter().map(parse).collect());
        let used = fields.opt_texts("used")?.unwrap_or_default();
        Ok(NodePoolRecord {
            request: NodePoolRequest::decode(request)?,
            machines: machines.transpose()?,
            machines_used: used.iter().map(parse).collect::<Result<_, _>>()?,
        })
    }
}
