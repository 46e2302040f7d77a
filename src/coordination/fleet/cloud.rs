//! The cloud client: an actor that makes all calls to the cloud and keeps their rate below the
//! cloud's limit.

mod actor;
mod codec;

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::Instant;

use crate::coordination::fleet::cloud::actor::{Actor, QUEUE_CAPACITY, Request};
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

/// The cloud's reply to a successful call.
#[derive(Debug, Clone, PartialEq)]
pub enum CloudReply {
    /// The machine types.
    Catalog(Vec<MachineType>),
    /// One page of the inventory.
    MachinesListed(InventoryPage),
    /// The machines that were provisioned.
    Provisioned(Vec<MachineId>),
    /// The cloud confirms that the machines, and with them all their tasks, are gone.
    Deleted,
}

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloudError {
    /// The cloud currently has no capacity for the requested offer: the machine type and zone, as
    /// spot or on-demand machines.
    NoCapacity,
    /// The cloud rejects the request as malformed.
    Rejected,
    /// The call was refused temporarily, or its outcome is unknown.
    Failed,
}

/// The result of a call.
pub type CloudResult = Result<CloudReply, CloudError>;

/// A handle that sends calls to the actor.
#[derive(Debug, Clone)]
pub struct Cloud(mpsc::Sender<Request>);

impl Cloud {
    /// Calls the cloud as soon as the rate limit allows it.
    ///
    /// # Errors
    ///
    /// The error in the cloud's response; [`CloudError::Failed`] also if there is no usable
    /// response, or the lease ends while the call is queued.
    pub async fn call(&self, call: CloudCall) -> CloudResult {
        let (reply, result) = oneshot::channel();
        if self.0.send(Request { call, reply }).await.is_err() {
            return Err(CloudError::Failed);
        }
        result.await.unwrap_or(Err(CloudError::Failed))
    }
}

/// Starts the actor, which makes calls with this deadline. `rate`: the cloud's limit, in calls a
/// second; the actor stays below it.
///
/// Calls are queued here, and the process may be suspended meanwhile. A queued call is not made
/// once the lease under which it was decided has expired (`lease_expiry`): a late deletion would
/// remove machines that the next leader uses.
pub fn start(
    address: SocketAddr,
    rate: f64,
    deadline: Duration,
    lease_expiry: watch::Receiver<Instant>,
) -> Cloud {
    let (sender, requests) = mpsc::channel::<Request>(QUEUE_CAPACITY);
    let actor = Actor::new(address, rate, deadline, lease_expiry, requests);
    tokio::spawn(actor.run());
    Cloud(sender)
}

#[cfg(test)]
mod tests;
