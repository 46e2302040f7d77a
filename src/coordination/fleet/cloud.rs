//! The client of the cloud: an actor that owns all calls to it and keeps their rate below the
//! cloud's limit.

mod actor;
mod codec;

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::coordination::fleet::cloud::actor::{Actor, QUEUE, Request};
use crate::protocol::cloud::{InventoryPage, MachineType, NodePoolRequest};
use crate::protocol::workers::MachineId;

/// A call to the cloud.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudCall {
    /// Read the machine types that the cloud offers.
    Catalog,
    /// Read one page of the inventory.
    ListMachines {
        /// The name after which the page begins; empty for the first page.
        from: String,
    },
    /// Provision machines for a node pool.
    Provision(NodePoolRequest),
    /// Delete machines.
    Delete(Vec<MachineId>),
}

/// The cloud's reply to the call of the same name.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    /// The machine types.
    Catalog(Vec<MachineType>),
    /// One page of the inventory.
    MachinesListed(InventoryPage),
    /// The machines that were provisioned.
    Provisioned(Vec<MachineId>),
    /// The deletion was accepted.
    Deleted,
}

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloudError {
    /// The cloud has no machine of this type, zone and kind now.
    NoCapacity,
    /// The cloud refuses the request as malformed.
    Rejected,
    /// Refused for now, or the outcome is unknown.
    Failed,
}

/// The result of a call.
pub type CloudResult = Result<CloudReply, CloudError>;

/// Sends calls to the actor.
#[derive(Debug, Clone)]
pub struct Cloud(mpsc::Sender<Request>);

impl Cloud {
    /// Calls the cloud, once the rate allows.
    ///
    /// # Errors
    ///
    /// What the cloud answers; [`CloudError::Failed`] also if the lease ends while the call
    /// waits for its turn.
    pub async fn call(&self, call: CloudCall) -> CloudResult {
        let (reply, answer) = oneshot::channel();
        if self.0.send(Request { call, reply }).await.is_err() {
            return Err(CloudError::Failed);
        }
        answer.await.unwrap_or(Err(CloudError::Failed))
    }
}

/// Starts the actor, which makes up to `rate` calls a second, each with this deadline.
///
/// Calls wait here for their turn, and the process may be suspended meanwhile. A call that was
/// decided under a lease that has ended since (`lease_expiry`) is not made: a late deletion
/// would take machines that the next leader uses.
pub fn start(
    address: SocketAddr,
    rate: f64,
    deadline: Duration,
    lease_expiry: watch::Receiver<Instant>,
) -> Cloud {
    let (sender, requests) = mpsc::channel::<Request>(QUEUE);
    let actor = Actor::new(address, rate, deadline, lease_expiry, requests);
    tokio::spawn(actor.run());
    Cloud(sender)
}

#[cfg(test)]
mod tests;
