//! The command line.

use std::ffi::OsString;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use ciborium::value::Value;
use clap::{Parser, Subcommand};
use tokio::sync::{mpsc, watch};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::{Layer, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;

use crate::coordination::config::Config;
use crate::coordination::controller::Controller;
use crate::coordination::election::{self, Election, Role};
use crate::coordination::fleet::cloud;
use crate::coordination::recovery::reconciler::{self, Finding};
use crate::policy::Tuning;
use crate::protocol::cbor::decode;
use crate::protocol::{BODY_LIMIT, HEAD_LIMIT};
use crate::settings::{Settings, State, StateLimits};
use crate::storage::kv;
use crate::storage::records::LEADER;
use crate::transport::client::{Call, PreparedCall};
use crate::transport::codec::Limits;
use crate::transport::{peer, server};

/// A cluster scheduler. Run with --config, it is one of several controllers
/// and goes on until it is killed.
#[derive(Debug, Parser)]
#[command(name = "shedtally", version, about, args_conflicts_with_subcommands = true)]
struct Arguments {
    /// Run as a controller with this settings file
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Use this policy instead of the default one
    #[arg(long, value_name = "FILE", requires = "config")]
    policy: Option<PathBuf>,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check a settings file, and a policy, and say what is wrong with them
    Check {
        /// The settings file
        file: PathBuf,
        /// A policy to check against it
        #[arg(long, value_name = "FILE")]
        policy: Option<PathBuf>,
    },
    /// Compare all records and rows; exit code 0 only if they are consistent
    Audit {
        /// The settings file of a controller
        file: PathBuf,
        /// Repair what can be derived soundly; refused while a controller leads
        #[arg(long)]
        repair: bool,
    },
    /// Print the figures of the controller that these settings are for
    Status {
        /// The settings file of the controller
        file: PathBuf,
    },
}

/// Exit code for input that cannot be used.
const BAD_INPUT: u8 = 2;

pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments = match Arguments::try_parse_from(arguments) {
        Ok(arguments) => arguments,
        Err(error) => {
            let _ = error.print();
            return ExitCode::from(u8::try_from(error.exit_code()).unwrap_or(BAD_INPUT));
        }
    };
    match (arguments.command, arguments.config) {
        (Some(Command::Check { file, policy }), _) => match read_input(&file, policy.as_deref()) {
            Ok(config) => {
                println!("{}: ok", file.display());
                println!("{}", describe_limits(&config.settings.cluster.state));
                if let Some(policy) = policy {
                    println!("{}: ok", policy.display());
                }
                ExitCode::SUCCESS
            }
            Err(code) => code,
        },
        (Some(Command::Audit { file, repair }), _) => match read_input(&file, None) {
            Ok(config) => operate(audit(config, repair, &mut std::io::stdout())),
            Err(code) => code,
        },
        (Some(Command::Status { file }), _) => match read_input(&file, None) {
            Ok(config) => operate(status(config.settings)),
            Err(code) => code,
        },
        (None, Some(file)) => run(&file, arguments.policy.as_deref()),
        (None, None) => {
            eprintln!("shedtally: --config FILE or a command is needed; see --help");
            ExitCode::from(BAD_INPUT)
        }
    }
}

/// The state service's limits, and those that will hold.
fn describe_limits(state: &State) -> String {
    let describe = |limits: StateLimits| {
        format!(
            "{} requests and {} changes a second, values up to {} KiB, {} changes a transaction",
            limits.rps, limits.write_rps, limits.value_kb, limits.txn_ops
        )
    };
    let present = describe(state.present());
    match state.next {
        Some(_) => format!("state service: {present}; later: {}", describe(state.announced())),
        None => format!("state service: {present}"),
    }
}

/// Reads settings and policy; says in one line what is wrong with them.
fn read_input(file: &Path, policy: Option<&Path>) -> Result<Config, ExitCode> {
    let complain = |error: &dyn std::fmt::Display| {
        eprintln!("shedtally: {error}");
        ExitCode::from(BAD_INPUT)
    };
    let settings = Settings::load(file).map_err(|error| complain(&error))?;
    let tuning = Tuning::load(&settings.cluster, policy).map_err(|error| complain(&error))?;
    Ok(Config { settings, tuning })
}

/// Runs an operator's command to its end.
fn operate(command: impl Future<Output = Result<ExitCode, String>>) -> ExitCode {
    let outcome = runtime().and_then(|runtime| runtime.block_on(command));
    outcome.unwrap_or_else(|reason| {
        eprintln!("shedtally: {reason}");
        ExitCode::FAILURE
    })
}

fn runtime() -> Result<tokio::runtime::Runtime, String> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| format!("cannot start: {error}"))
}

/// Compares what the store holds; with `repair` mends the sound cases under a
/// lease of its own, so that no controller can lead meanwhile.
async fn audit(config: Config, repair: bool, out: &mut impl Write) -> Result<ExitCode, String> {
    let unwritable = |error: std::io::Error| error.to_string();
    let cluster = &config.settings.cluster;
    let unavailable = |_| "the state service does not answer".to_owned();
    let ttl = config.tuning.lease;
    let (_leads, leading) = watch::channel(false);
    let store =
        kv::start(config.settings.services.state, cluster.state.clone(), cluster.size, ttl / 3, leading);
    let epoch = if repair {
        let name = format!("audit-{:08x}", rand::random::<u32>());
        let (roles_in, mut roles) = mpsc::channel(4);
        let election = Election::new(&name, &name, ttl);
        let (_abandoned, never) = watch::channel(0);
        tokio::spawn(election::run(election, store.clone(), String::new(), roles_in, never));
        match tokio::time::timeout(ttl, roles.recv()).await {
            Ok(Some(Role::Leader { epoch, .. })) => Some(epoch),
            Ok(Some(Role::Follower { leader, .. })) => {
                return Err(format!("{leader} leads; stop the controllers before a repair"));
            }
            _ => return Err("the state service does not answer".to_owned()),
        }
    } else {
        None
    };
    let (mut jobs, mut open, mut waiting, mut named) = (0, 0, 0, 0);
    for job in reconciler::all_jobs(&store).await.map_err(unavailable)? {
        jobs += 1;
        let examined = reconciler::examine(&store, &job).await.map_err(unavailable)?;
        waiting += u32::from(examined.waits_for_dependencies);
        named += u32::from(examined.names_blocks);
        let what = match examined.finding {
            Finding::Consistent => continue,
            Finding::RowBehind(standing) => {
                format!("the row lags behind the record, which says {}", standing.as_str())
            }
            Finding::Stranded => "a row says over, the record says live".to_owned(),
            Finding::Suspect(reason) => format!("{reason}; left alone"),
        };
        let repaired = match epoch.and_then(|epoch| examined.repair(epoch)) {
            Some(transaction) => store.compare_and_swap(transaction).await.is_ok(),
            None => false,
        };
        open += u32::from(!repaired);
        writeln!(out, "{job}: {what}{}", if repaired { "; repaired" } else { "" }).map_err(unwritable)?;
    }
    for key in reconciler::unreadable_node_pools(&store).await.map_err(unavailable)? {
        open += 1;
        writeln!(out, "{key}: an unreadable fleet record; left alone").map_err(unwritable)?;
    }
    if epoch.is_some() {
        release(&store).await;
    }
    if waiting + named > 0 {
        writeln!(out, "{waiting} jobs wait for others, {named} records name their blocks")
            .map_err(unwritable)?;
    }
    writeln!(out, "{jobs} jobs, {open} inconsistent").map_err(unwritable)?;
    Ok(if open == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Gives the audit's lease back, so that controllers need not wait for its end.
async fn release(store: &kv::KvClient) {
    if let Ok(Some(entry)) = store.get(kv::RequestClass::Renewal, LEADER).await
        && let Some(lease) = entry.lease
    {
        let target = format!("/leases/{lease}");
        let call = Call { method: "DELETE", target, body: Vec::new(), deadline: store.deadline() };
        let _ = store.send_raw(kv::RequestClass::Renewal, call).await;
    }
}

async fn status(settings: Settings) -> Result<ExitCode, String> {
    let call = Call {
        method: "GET",
        target: "/status".into(),
        body: Vec::new(),
        deadline: settings.cluster.workers.report(),
    };
    let limits = Limits { head: HEAD_LIMIT, body: BODY_LIMIT };
    let (answer, _) = PreparedCall::without_pool(settings.listen, limits, call).run().await;
    let answer = answer.map_err(|error| format!("{}: {error}", settings.listen))?;
    match decode(&answer.body) {
        Ok(value) if answer.status == 200 => {
            print_figures("", &value);
            Ok(ExitCode::SUCCESS)
        }
        _ => Err(format!("{}: no figures in the answer (status {})", settings.listen, answer.status)),
    }
}

/// One line a figure, nested names joined by dots.
fn print_figures(prefix: &str, value: &Value) {
    let Value::Map(entries) = value else {
        return match value {
            Value::Text(text) => println!("{prefix}: {text}"),
            Value::Integer(number) => println!("{prefix}: {}", i128::from(*number)),
            Value::Float(number) => println!("{prefix}: {number}"),
            Value::Bool(truth) => println!("{prefix}: {truth}"),
            _ => {}
        };
    };
    for (key, inner) in entries {
        let key = key.as_text().unwrap_or("?");
        print_figures(&if prefix.is_empty() { key.to_owned() } else { format!("{prefix}.{key}") }, inner);
    }
}

fn run(file: &Path, policy: Option<&Path>) -> ExitCode {
    let config = match read_input(file, policy) {
        Ok(config) => config,
        Err(code) => return code,
    };
    start_logging();
    operate(serve(config))
}

/// Levels as the platform names them; anything else means `info`.
fn start_logging() {
    let level = match std::env::var("LOG_LEVEL").as_deref() {
        Ok("error") => tracing::Level::ERROR,
        Ok("debug") => tracing::Level::DEBUG,
        _ => tracing::Level::INFO,
    };
    // Libraries are heard only where something is wrong with them.
    let levels = Targets::new().with_default(tracing::Level::ERROR).with_target("shedtally", level);
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(std::io::stderr)
        .with_ansi(false)
        .without_time()
        .with_target(false);
    tracing_subscriber::registry().with(lines.with_filter(levels)).init();
}

async fn serve(config: Config) -> Result<ExitCode, String> {
    let settings = &config.settings;
    let listener = server::listen(settings.listen)
        .await
        .map_err(|error| format!("cannot listen on {}: {error}", settings.listen))?;
    let cluster = &settings.cluster;
    let ttl = config.tuning.lease;
    let (leads, leading) = watch::channel(false);
    let store = kv::start(settings.services.state, cluster.state.clone(), cluster.size, ttl / 6, leading);
    let (term, until) = watch::channel(tokio::time::Instant::now());
    let cloud = cloud::start(settings.services.cloud, cluster.cloud.rps, Duration::from_secs(4), until);
    let incarnation = format!("{:016x}", rand::random::<u64>());
    let build = env!("CARGO_PKG_VERSION");
    tracing::info!(name = %settings.name, zone = %settings.zone, build, %incarnation, "starting");
    let election = Election::new(&settings.name, &incarnation, ttl);
    let (roles_in, roles) = mpsc::channel(16);
    let (abandoned, given_up) = watch::channel(0);
    let address = settings.peer_listen.to_string();
    tokio::spawn(election::run(election, store.clone(), address, roles_in, given_up));

    let options = server::ServerOptions {
        limits: Limits { head: HEAD_LIMIT, body: BODY_LIMIT },
        connections: cluster.limits.incoming(),
        // A worker that has been silent for so long has no lease either.
        idle: cluster.workers.lease() * 2,
        patience: cluster.workers.lease() / 4,
    };
    let peer_listen = settings.peer_listen;
    let config = Arc::new(config);
    let (node, inputs, handle) = Controller::new(config, store, cloud, leads, term, abandoned, roles);
    let peers = handle.clone();
    tokio::spawn(async move {
        if let Err(error) = peer::serve(peer_listen, BODY_LIMIT, peers).await {
            tracing::error!(%error, "cannot serve other controllers");
        }
    });
    tokio::spawn(server::serve(listener, options, handle));
    node.run(inputs).await;
    Err("the controller's own parts have ended".to_owned())
}

#[cfg(test)]
mod tests;
