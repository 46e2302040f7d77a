//! The platform's settings file. It is read and validated once at startup, and its values do
//! not change while a controller runs.
//!
//! The structures mirror the TOML file. Where the file's field names differ from this
//! program's terms, `#[serde(rename)]` maps them; identifiers elsewhere use only the program's
//! terms. Unknown fields are ignored, since the platform may add some. Every error names the
//! file and, where it is known, the field.
//!
//! - `schema`: the structures, with the unit and default of each field
//! - `load`: reading and parsing the file
//! - `validate`: validation of the values

mod load;
mod schema;
mod validate;

use std::path::PathBuf;

use thiserror::Error;

pub use schema::{
    AnnouncedLimits, CloudLimits, Cluster, KvLimits, KvSettings, Objective, Peer, ProcessLimits, Services,
    Settings, Team, Workers,
};

/// An error in a settings file.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}", file.display())]
    Unreadable {
        /// The settings file.
        file: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The file is not TOML, lacks a field, or has a field of the wrong type.
    #[error("{}: {reason}", file.display())]
    Malformed {
        /// The settings file.
        file: PathBuf,
        /// The parser's message in one line, with the line and the field if they are known.
        reason: String,
    },
    /// A field has an invalid value.
    #[error("{}: field `{field}` {reason}", file.display())]
    InvalidField {
        /// The settings file.
        file: PathBuf,
        /// The field's path in the file, such as `cluster.teams[0].cpus`.
        field: String,
        /// What the value must be.
        reason: &'static str,
    },
}

#[cfg(test)]
pub mod tests;
