//! `status`: prints the metrics of a running controller.

use ciborium::value::Value;

use super::error::CliError;
use super::exit_status::ExitStatus;
use crate::protocol::cbor::decode;
use crate::protocol::{BODY_LIMIT, HEAD_LIMIT};
use crate::settings::Settings;
use crate::transport::client::{HttpCall, PreparedCall};
use crate::transport::codec::Limits;

/// Requests the metrics of the controller that listens on these settings' `serve_on` address,
/// and prints them. Waits for the response for at most one heartbeat interval.
///
/// # Errors
///
/// [`CliError::NoResponse`] if the controller cannot be reached or does not respond in time,
/// [`CliError::NoMetrics`] if its response is not a 200 with a CBOR body.
pub(super) async fn status(settings: Settings) -> Result<ExitStatus, CliError> {
    let address = settings.listen;
    let call = HttpCall {
        method: "GET",
        target: "/status".into(),
        body: Vec::new(),
        timeout: settings.cluster.workers.heartbeat_interval(),
    };
    let limits = Limits { head: HEAD_LIMIT, body: BODY_LIMIT };
    let (response, _) = PreparedCall::without_pool(address, limits, call).run().await;
    let response = response.map_err(|source| CliError::NoResponse { address, source })?;
    match decode(&response.body) {
        Ok(metrics) if response.status == 200 => {
            print_metrics("", &metrics);
            Ok(ExitStatus::Success)
        }
        _ => Err(CliError::NoMetrics { address, status: response.status }),
    }
}

/// Prints one line per metric, with the names of nested maps joined by dots. Nulls, bytes,
/// arrays and tags are left out.
fn print_metrics(name: &str, value: &Value) {
    match value {
        Value::Map(entries) => {
            for (key, nested) in entries {
                print_metrics(&nested_name(name, key), nested);
            }
        }
        Value::Text(text) => println!("{name}: {text}"),
        Value::Integer(number) => println!("{name}: {}", i128::from(*number)),
        Value::Float(number) => println!("{name}: {number}"),
        Value::Bool(truth) => println!("{name}: {truth}"),
        _ => {}
    }
}

/// The name of a map's entry, prefixed with the name of the map unless the map is the
/// outermost.
fn nested_name(outer: &str, key: &Value) -> String {
    let key = key.as_text().unwrap_or("?");
    if outer.is_empty() { key.to_owned() } else { format!("{outer}.{key}") }
}
