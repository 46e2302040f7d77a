//! The command line.

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::{Parser, Subcommand};
use tokio::sync::{mpsc, watch};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::layer::{Layer, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;

use crate::coordination::cloud;
use crate::coordination::election::{self, Election};
use crate::coordination::leader::Config;
use crate::coordination::node::Node;
use crate::policy::Tuning;
use crate::protocol::{BODY_LIMIT, HEAD_LIMIT};
use crate::settings::{Settings, SettingsError};
use crate::storage::service;
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
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Check a settings file and say what is wrong with it
    Check { file: PathBuf },
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
        (Some(Command::Check { file }), _) => match Settings::load(&file) {
            Ok(_) => {
                println!("{}: ok", file.display());
                ExitCode::SUCCESS
            }
            Err(error) => complain(&error),
        },
        (None, Some(file)) => run(&file),
        (None, None) => {
            eprintln!("shedtally: --config FILE or a command is needed; see --help");
            ExitCode::from(BAD_INPUT)
        }
    }
}

fn complain(error: &SettingsError) -> ExitCode {
    eprintln!("shedtally: {error}");
    ExitCode::from(BAD_INPUT)
}

fn run(file: &Path) -> ExitCode {
    let settings = match Settings::load(file) {
        Ok(settings) => settings,
        Err(error) => return complain(&error),
    };
    start_logging();
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("shedtally: cannot start: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(serve(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("shedtally: {error}");
            ExitCode::FAILURE
        }
    }
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

async fn serve(settings: Settings) -> Result<(), String> {
    let tuning = Tuning::default();
    let listener = server::listen(settings.listen)
        .await
        .map_err(|error| format!("cannot listen on {}: {error}", settings.listen))?;
    let cluster = &settings.cluster;
    let ttl = cluster.workers.lease().mul_f64(tuning.lease_ratio);
    let (leads, leading) = watch::channel(false);
    let store =
        service::start(settings.services.state, cluster.state.clone(), cluster.size, ttl / 6, leading);
    let cloud = cloud::start(settings.services.cloud, cluster.cloud.rps, Duration::from_secs(4));
    let incarnation = format!("{:016x}", rand::random::<u64>());
    tracing::info!(name = %settings.name, zone = %settings.zone, %incarnation, "starting");
    let election = Election::new(&settings.name, &incarnation, ttl);
    let (roles_in, roles) = mpsc::channel(16);
    tokio::spawn(election::run(election, store.clone(), settings.peer_listen.to_string(), roles_in));

    let options = server::ServerOptions {
        limits: Limits { head: HEAD_LIMIT, body: BODY_LIMIT },
        // The rest is for the outside systems and the other controllers.
        connections: cluster.limits.max_connections * 4 / 5,
        idle: cluster.workers.lease() * 4,
        patience: cluster.workers.lease() / 4,
    };
    let peer_listen = settings.peer_listen;
    let config = Arc::new(Config { settings, tuning });
    let (node, inputs, front) = Node::new(config, store, cloud, leads, roles);
    let peers = front.clone();
    tokio::spawn(async move {
        if let Err(error) = peer::serve(peer_listen, BODY_LIMIT, peers).await {
            tracing::error!(%error, "cannot serve other controllers");
        }
    });
    tokio::spawn(server::serve(listener, options, front));
    node.run(inputs).await;
    Err("the controller's own parts have ended".to_owned())
}
