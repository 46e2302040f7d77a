//! `status`: prints the metrics of a running controller.

use ciborium::value::Value;

use super::error::CliError;
use super::exit_status::ExitStatus;
use crate::protocol::cbor::decode;
use crate::protocol::{BODY_LIMIT, HEAD_LIMIT};
use crate::settings::Settings;
use crate::transport::client::{HttpCall, PreparedCall};
use crate::transport::codec::Limits;

/// Asks the controller that these settings are for (at `serve_on`) for its metrics, and
/// prints them. Waits for an answer for at most one heartbeat interval.
///
/// # Errors
///
/// [`CliError::NoAnswer`] if the controller cannot be reached or is late,
/// [`CliError::NoMetrics`] if its answer is not a 200 with CBOR.
pub(super) async fn status(settings: Settings) -> Result<ExitStatus, CliError> {
    let address = settings.listen;
    let call = HttpCall {
        method: "GET",
        target: "/status".into(),
        body: Vec::new(),
        timeout: settings.cluster.workers.heartbeat_interval(),
    };
    let limits = Limits { head: HEAD_LIMIT, body: BODY_LIMIT };
    let (answer, _) = PreparedCall::without_pool(address, limits, call).run().await;
    let answer = answer.map_err(|source| CliError::NoAnswer { address, source })?;
    match decode(&answer.body) {
        Ok(metrics) if answer.status == 200 => {
            print_metrics("", &metrics);
            Ok(ExitStatus::Success)
        }
        _ => Err(CliError::NoMetrics { address, status: answer.status }),
    }
}

/// Prints one line a metric, the names of nested maps joined by dots. Values of other types
/// (null, bytes, arrays) are left out.
fn print_metrics(name: &str, value: &Value) {
    match value {
        Value::Map(entries) => {
            for (key, inner) in entries {
                print_metrics(&nested_name(name, key), inner);
            }
        }
        Value::Text(text) => println!("{name}: {text}"),
        Value::Integer(number) => println!("{name}: {}", i128::from(*number)),
        Value::Float(number) => println!("{name}: {number}"),
        Value::Bool(truth) => println!("{name}: {truth}"),
        _ => {}
    }
}

/// The name of a map's entry, behind that of the map unless it is the outermost.
fn nested_name(outer: &str, key: &Value) -> String {
    let key = key.as_text().unwrap_or("?");
    if outer.is_empty() { key.to_owned() } else { format!("{outer}.{key}") }
}
