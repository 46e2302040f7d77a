//! Encoding of calls to the cloud as HTTP requests, and decoding of the responses.

use std::time::Duration;

use ciborium::value::Value;

use crate::coordination::fleet::cloud::{CloudCall, CloudError, CloudReply, CloudResult};
use crate::protocol::cbor::{Fields, Malformed, decode, encode};
use crate::protocol::cloud::{
    MAX_MACHINES_PER_INVENTORY_PAGE, decode_catalog, decode_inventory_page, decode_provisioned,
    encode_deletion,
};
use crate::transport::client::{ClientError, HttpCall};
use crate::transport::codec::Response;

/// The error text of a response with status 503 if the cloud has no capacity.
const NO_CAPACITY: &str = "no capacity";

/// Encodes a call as an HTTP request with this deadline.
pub(super) fn encode_call(call: &CloudCall, deadline: Duration) -> HttpCall {
    let (method, target, body) = match call {
        CloudCall::Catalog => ("GET", "/catalog".to_owned(), Vec::new()),
        CloudCall::ListMachines { from } if from.is_empty() => {
            ("GET", format!("/machines?page={MAX_MACHINES_PER_INVENTORY_PAGE}"), Vec::new())
        }
        CloudCall::ListMachines { from } => {
            ("GET", format!("/machines?from={from}&page={MAX_MACHINES_PER_INVENTORY_PAGE}"), Vec::new())
        }
        CloudCall::Provision(request) => ("POST", "/machines".to_owned(), encode(&request.encode())),
        CloudCall::Delete(machines) => {
            ("POST", "/machines/delete".to_owned(), encode(&encode_deletion(machines)))
        }
    };
    HttpCall { method, target, body, timeout: deadline }
}

/// Decodes the response to a call.
///
/// # Errors
///
/// [`CloudError::Rejected`] and [`CloudError::NoCapacity`] if the cloud says so;
/// [`CloudError::Failed`] in all other cases, including a missing or unreadable response.
pub(super) fn decode_reply(call: &CloudCall, result: Result<Response, ClientError>) -> CloudResult {
    let response = result.map_err(|_| CloudError::Failed)?;
    match response.status {
        200 => decode_success(call, &response.body),
        400 => Err(CloudError::Rejected),
        503 if is_no_capacity(&response.body) => Err(CloudError::NoCapacity),
        _ => Err(CloudError::Failed),
    }
}

fn decode_success(call: &CloudCall, body: &[u8]) -> CloudResult {
    let reply = match call {
        // The status is sufficient; the body is ignored.
        CloudCall::Delete(_) => Ok(CloudReply::Deleted),
        CloudCall::Catalog => decode_body(body, decode_catalog).map(CloudReply::Catalog),
        CloudCall::ListMachines { .. } => {
            decode_body(body, decode_inventory_page).map(CloudReply::MachinesListed)
        }
        CloudCall::Provision(_) => decode_body(body, decode_provisioned).map(CloudReply::Provisioned),
    };
    reply.map_err(|_| CloudError::Failed)
}

fn decode_body<T>(body: &[u8], decode_value: fn(&Value) -> Result<T, Malformed>) -> Result<T, Malformed> {
    decode_value(&decode(body)?)
}

fn is_no_capacity(body: &[u8]) -> bool {
    let Ok(body) = decode(body) else { return false };
    Fields::of(&body).is_ok_and(|fields| matches!(fields.opt_text("error"), Ok(Some(NO_CAPACITY))))
}
