//! The platform's settings file. Read once, checked whole, unknown fields
//! ignored; every complaint names the file and the field.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::Deserialize;
use thiserror::Error;

#[derive(Debug, Error)]
pub enum SettingsError {
    #[error("{}: cannot be read: {source}", file.display())]
    Unreadable { file: PathBuf, source: std::io::Error },
    #[error("{}: {reason}", file.display())]
    Invalid { file: PathBuf, reason: String },
    #[error("{}: field `{field}` {reason}", file.display())]
    Impossible { file: PathBuf, field: String, reason: &'static str },
}

#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    #[serde(rename = "host_name")]
    pub name: String,
    #[serde(rename = "domain")]
    pub zone: String,
    #[serde(rename = "serve_on")]
    pub listen: SocketAddr,
    #[serde(rename = "internal_addr")]
    pub peer_listen: SocketAddr,
    #[serde(rename = "known", default)]
    pub peers: Vec<Peer>,
    #[serde(rename = "external")]
    pub services: Services,
    pub cluster: Cluster,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Peer {
    #[serde(rename = "host_name")]
    pub name: String,
    pub address: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Services {
    pub cloud: SocketAddr,
    pub state: SocketAddr,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Cluster {
    pub size: u32,
    #[serde(rename = "skew_ms", default)]
    pub clock_off_ms: f64,
    #[serde(default)]
    pub teams: Vec<Team>,
    #[serde(default)]
    pub objectives: Vec<Objective>,
    pub workers: Workers,
    pub state: State,
    pub cloud: Cloud,
    #[serde(rename = "quota")]
    pub limits: Limits,
}

/// What a team is guaranteed and may use at most; 0 means none.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    pub name: String,
    #[serde(default)]
    pub cpus: f64,
    #[serde(default)]
    pub cpus_max: f64,
    #[serde(default)]
    pub gpus: f64,
    #[serde(default)]
    pub gpus_max: f64,
}

/// An aim of the users, for a class of jobs or for all.
#[derive(Debug, Clone, Deserialize)]
pub struct Objective {
    pub kind: String,
    pub class: Option<String>,
    pub within_s: Option<f64>,
    pub share: Option<f64>,
    pub times: Option<f64>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Workers {
    pub report_s: f64,
    pub lease_s: f64,
    pub cancel_s: f64,
}

/// What the state service takes at present, and what it will take from some moment on.
#[derive(Debug, Clone, Deserialize)]
pub struct State {
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    /// Limits that will hold from some moment on, which nobody announces.
    pub next: Option<NextState>,
}

/// Limits that the state service will have; those that are not named stay as they are.
#[derive(Debug, Clone, Deserialize)]
pub struct NextState {
    pub rps: Option<f64>,
    pub write_rps: Option<f64>,
    pub value_kb: Option<f64>,
    pub txn_ops: Option<usize>,
}

/// One set of limits of the state service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StateLimits {
    /// Requests a second.
    pub rps: f64,
    /// Puts and deletes a second.
    pub write_rps: f64,
    /// Largest value, in KiB.
    pub value_kb: f64,
    /// Most puts and deletes in one transaction.
    pub txn_ops: usize,
}

impl State {
    /// The limits that hold when the service begins.
    pub fn present(&self) -> StateLimits {
        let State { rps, write_rps, value_kb, txn_ops, .. } = *self;
        StateLimits { rps, write_rps, value_kb, txn_ops }
    }

    /// The limits that hold once they have changed; the present ones if none are announced.
    pub fn announced(&self) -> StateLimits {
        let present = self.present();
        let Some(next) = &self.next else { return present };
        StateLimits {
            rps: next.rps.unwrap_or(present.rps),
            write_rps: next.write_rps.unwrap_or(present.write_rps),
            value_kb: next.value_kb.unwrap_or(present.value_kb),
            txn_ops: next.txn_ops.unwrap_or(present.txn_ops),
        }
    }

    /// What is allowed before and after the limits change.
    pub fn within_both(&self) -> StateLimits {
        let (present, announced) = (self.present(), self.announced());
        StateLimits {
            rps: present.rps.min(announced.rps),
            write_rps: present.write_rps.min(announced.write_rps),
            value_kb: present.value_kb.min(announced.value_kb),
            txn_ops: present.txn_ops.min(announced.txn_ops),
        }
    }
}

impl StateLimits {
    /// The largest value in bytes.
    pub fn value_bytes(&self) -> usize {
        (self.value_kb * 1024.0) as usize
    }
}

#[derive(Debug, Clone, Deserialize)]
pub struct Cloud {
    pub rps: f64,
    pub list_lag_s: f64,
}

#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    #[serde(rename = "core_share")]
    pub cpu_share: f64,
    #[serde(rename = "ram_mb")]
    pub memory_mb: f64,
    #[serde(rename = "sockets")]
    pub max_connections: usize,
}

impl Limits {
    /// Connections for workers, users and health checks: every worker of the
    /// fleet holds one at the leader. The rest is for the state service, the cloud,
    /// orders sent straight to workers and the other controllers, whose numbers
    /// grow less than the fleet.
    pub fn incoming(&self) -> usize {
        let kept = self.max_connections / 16 + 16;
        self.max_connections.saturating_sub(kept).max(self.max_connections / 2)
    }
}

impl Workers {
    pub fn lease(&self) -> Duration {
        Duration::from_secs_f64(self.lease_s)
    }

    /// Within this time of a confirmed cancellation everything of the job is gone.
    pub fn cancellation(&self) -> Duration {
        Duration::from_secs_f64(self.cancel_s)
    }

    pub fn report(&self) -> Duration {
        Duration::from_secs_f64(self.report_s)
    }
}

impl Settings {
    pub fn load(file: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(file)
            .map_err(|source| SettingsError::Unreadable { file: file.to_owned(), source })?;
        Self::parse(&text, file)
    }

    pub fn parse(text: &str, file: &Path) -> Result<Self, SettingsError> {
        let settings: Settings = toml::from_str(text).map_err(|error| SettingsError::Invalid {
            file: file.to_owned(),
            reason: one_line(text, &error),
        })?;
        match settings.impossible() {
            Some((field, reason)) => Err(SettingsError::Impossible { file: file.to_owned(), field, reason }),
            None => Ok(settings),
        }
    }

    /// The first field whose value cannot be meant.
    fn impossible(&self) -> Option<(String, &'static str)> {
        const POSITIVE: &str = "must be a number above 0";
        const NOT_NEGATIVE: &str = "must be a number of at least 0";
        let c = &self.cluster;
        let announced = c.state.announced();
        let positive = [
            ("cluster.workers.report_s", c.workers.report_s),
            ("cluster.workers.lease_s", c.workers.lease_s),
            ("cluster.workers.cancel_s", c.workers.cancel_s),
            ("cluster.state.rps", c.state.rps),
            ("cluster.state.write_rps", c.state.write_rps),
            ("cluster.state.value_kb", c.state.value_kb),
            ("cluster.state.next.rps", announced.rps),
            ("cluster.state.next.write_rps", announced.write_rps),
            ("cluster.state.next.value_kb", announced.value_kb),
            ("cluster.cloud.rps", c.cloud.rps),
            ("cluster.quota.core_share", c.limits.cpu_share),
            ("cluster.quota.ram_mb", c.limits.memory_mb),
        ];
        // A bound keeps every duration computed from these in range.
        if let Some((field, _)) = positive.iter().find(|(_, v)| !(v.is_finite() && *v > 0.0 && *v < 1e9)) {
            return Some(((*field).to_owned(), POSITIVE));
        }
        let not_negative =
            [("cluster.skew_ms", c.clock_off_ms), ("cluster.cloud.list_lag_s", c.cloud.list_lag_s)];
        if let Some((field, _)) = not_negative.iter().find(|(_, v)| !(v.is_finite() && *v >= 0.0 && *v < 1e9))
        {
            return Some(((*field).to_owned(), NOT_NEGATIVE));
        }
        if c.workers.lease_s <= c.workers.report_s {
            return Some(("cluster.workers.lease_s".into(), "must be longer than report_s"));
        }
        if c.state.txn_ops < 4 {
            return Some(("cluster.state.txn_ops".into(), "must be at least 4"));
        }
        if announced.txn_ops < 4 {
            return Some(("cluster.state.next.txn_ops".into(), "must be at least 4"));
        }
        if c.size == 0 {
            return Some(("cluster.size".into(), "must be at least 1"));
        }
        if c.limits.max_connections < 16 {
            return Some(("cluster.quota.sockets".into(), "must be at least 16"));
        }
        if self.name.is_empty() {
            return Some(("host_name".into(), "must not be empty"));
        }
        let mut names = HashSet::from([self.name.as_str()]);
        if self.peers.iter().any(|peer| !names.insert(&peer.name)) {
            return Some(("known.host_name".into(), "must differ between controllers"));
        }
        let mut teams = HashSet::new();
        for (at, team) in c.teams.iter().enumerate() {
            if !teams.insert(team.name.as_str()) {
                return Some((format!("cluster.teams[{at}].name"), "must differ between teams"));
            }
            for (field, value) in [
                ("cpus", team.cpus),
                ("cpus_max", team.cpus_max),
                ("gpus", team.gpus),
                ("gpus_max", team.gpus_max),
            ] {
                if !(value.is_finite() && value >= 0.0) {
                    return Some((format!("cluster.teams[{at}].{field}"), NOT_NEGATIVE));
                }
            }
        }
        None
    }
}

/// The parser's message without its excerpt, with the line it speaks of.
fn one_line(text: &str, error: &toml::de::Error) -> String {
    let message = error.message().replace('\n', " ");
    match error.span() {
        Some(span) => {
            let before = text.get(..span.start).unwrap_or(text);
            let number = before.matches('\n').count() + 1;
            let line = text.lines().nth(number - 1).unwrap_or_default();
            match line.split_once('=') {
                Some((field, _)) => format!("line {number}: field `{}`: {message}", field.trim()),
                None => format!("line {number}: {message}"),
            }
        }
        None => message,
    }
}

#[cfg(test)]
pub mod tests;
