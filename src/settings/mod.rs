//! The platform's settings file: read once at the start, validated as a whole, and not
//! changed while a controller runs.
//!
//! The structures mirror the TOML file; where the file has words of its own they are
//! mapped to this program's terms by `#[serde(rename)]`, and stand nowhere else. Unknown
//! fields are ignored, as the platform may add some. Every error names the file and the
//! field.
//!
//! - `schema`: the structures, with units and defaults of each field
//! - `load`: reading and parsing the file
//! - `validate`: which values are refused

mod load;
mod schema;
mod validate;

use std::path::PathBuf;

use thiserror::Error;

pub use schema::{
    AnnouncedLimits, CloudLimits, Cluster, KvLimits, KvSettings, Objective, Peer, ProcessLimits, Services,
    Settings, Team, Workers,
};

/// Why a settings file cannot be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {source}", file.display())]
    Unreadable {
        /// The settings file.
        file: PathBuf,
        /// The operating system's reason.
        source: std::io::Error,
    },
    /// The file is not TOML, lacks a field, or has a field of the wrong type.
    #[error("{}: {reason}", file.display())]
    Malformed {
        /// The settings file.
        file: PathBuf,
        /// The parser's message in one line, with the line and the field where they are known.
        reason: String,
    },
    /// A field has a value that is refused.
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
