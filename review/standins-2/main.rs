//! Runs one case of the review: starts the controllers as separate processes, with stand-ins of the
//! state service, the cloud, the workers and the users, and judges what these have seen.
//!
//! usage: world CASE PROGRAM RECORD FOLDER, with TROUBLE=0 for a run without the disruption.
//! Exit code 0: the rule held. 1: it was broken. 2: the case could not run.

mod base;
mod cases;
mod platform;

use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use base::{Record, V, map, send, t};
use platform::{Cloud, LEASE_S, REPORT_S, StateService};

/// How a run ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

/// A controller's process; dropping it kills the process.
pub struct Controller {
    pub name: String,
    pub address: SocketAddr,
    child: Child,
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What differs between the cases' settings.
pub struct Setup {
    pub controllers: usize,
    /// Lines of further tables, such as objectives and teams.
    pub tables: String,
    /// Lines that follow those of `[cluster.state]`.
    pub state: String,
    pub zones: &'static str,
}

/// A small deployment.
pub struct World {
    pub trouble: bool,
    pub record: Record,
    pub state: StateService,
    pub cloud: Cloud,
    pub controllers: Vec<Controller>,
}

/// A free port on a loopback host that only this controller of this run uses, so that nothing takes
/// the port before the controller does.
fn free_address(index: usize) -> SocketAddr {
    let byte = |number: usize| (number % 250 + 1) as u8;
    let run = std::process::id() as usize;
    let host = Ipv4Addr::new(127, byte(run / 250), byte(run), byte(index + 1));
    let listener = TcpListener::bind((host, 0)).expect("a free port");
    listener.local_addr().expect("bound")
}

impl World {
    /// Starts the controllers.
    pub fn start(&mut self, setup: &Setup, program: &str, folder: &str) -> std::io::Result<()> {
        let addresses: Vec<(SocketAddr, SocketAddr)> =
            (0..setup.controllers).map(|index| (free_address(index), free_address(index))).collect();
        for (index, (serve_on, internal)) in addresses.iter().enumerate() {
            let known: String = addresses
                .iter()
                .enumerate()
                .filter(|(other, _)| *other != index)
                .map(|(other, (_, internal))| {
                    format!("[[known]]\nhost_name = \"shed-{other}\"\ndomain = \"a\"\naddress = \"{internal}\"\n\n")
                })
                .collect();
            let settings = format!(
                "host_name = \"shed-{index}\"\ndomain = \"a\"\nserve_on = \"{serve_on}\"\n\
                 internal_addr = \"{internal}\"\n\n{known}\
                 [external]\ncloud = \"{cloud}\"\nstate = \"{state}\"\n\n\
                 [cluster]\nsize = {size}\nzones = [{zones}]\nskew_ms = 25.0\n\n{tables}\n\
                 [cluster.workers]\nreport_s = {REPORT_S:.1}\nlease_s = {LEASE_S:.1}\ngang_wait_s = 40.0\n\
                 gang_peer_s = 4.0\ncancel_s = 43.0\n\n\
                 [cluster.state]\nrps = 80.0\nwrite_rps = 30.0\nvalue_kb = 8.0\ntxn_ops = 24\n{state_lines}\n\
                 [cluster.cloud]\nrps = 4.0\nlist_lag_s = 2.0\n\n\
                 [cluster.quota]\ncore_share = 0.5\nram_mb = 128.0\nsockets = 1200\n",
                cloud = self.cloud.address,
                state = self.state.address,
                size = setup.controllers,
                zones = setup.zones,
                tables = setup.tables,
                state_lines = setup.state,
            );
            let file = format!("{folder}/shed-{index}.toml");
            std::fs::write(&file, settings)?;
            let log = File::create(format!("{folder}/shed-{index}.log"))?;
            let child = Command::new(program)
                .args(["--config", &file])
                .env("LOG_LEVEL", std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into()))
                .stdin(Stdio::null())
                .stdout(Stdio::null())
                .stderr(log)
                .spawn()?;
            let mut pids = File::options().create(true).append(true).open(format!("{folder}/pids"))?;
            writeln!(pids, "{}", child.id())?;
            self.controllers.push(Controller { name: format!("shed-{index}"), address: *serve_on, child });
        }
        self.cloud.set_controllers(self.controllers.iter().map(|c| (c.name.clone(), c.address)).collect());
        Ok(())
    }

    /// Waits until a controller is ready and leads; false if that takes too long.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            let ready = |c: &Controller| {
                matches!(send(c.address, "GET", "/ready", None, Duration::from_secs(1)), Some((200, _)))
            };
            if self.state.leader().is_some() && self.controllers.iter().all(ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        self.record.note("no controller leads");
        false
    }

    /// The number of the controller that leads.
    pub fn leader(&self) -> usize {
        let name = self.state.leader().unwrap_or_default();
        self.controllers.iter().position(|c| c.name == name).unwrap_or(0)
    }

    /// One request of a user; notes question and answer.
    pub fn ask(&self, node: usize, method: &str, target: &str, body: Option<&V>) -> (u16, V) {
        let wait = Duration::from_secs(if method == "GET" { 2 } else { 5 });
        let asked = self.record.seconds();
        let (status, answer) =
            send(self.controllers[node].address, method, target, body, wait).unwrap_or((0, V::Null));
        let standing = answer.get("standing").text();
        let error = answer.get("error").text();
        self.record.note(&format!(
            "user: {method} {target} at shed-{node}, asked at {asked:.3}: {status} {standing}{error}"
        ));
        (status, answer)
    }

    /// Submits a job, with repeats as the page says; true once it is accepted.
    pub fn submit(&self, body: &V) -> bool {
        for attempt in 0..30 {
            let (status, _) = self.ask(attempt % self.controllers.len(), "POST", "/api/jobs", Some(body));
            match status {
                200 | 201 => return true,
                400 | 422 => return false,
                _ => std::thread::sleep(Duration::from_secs(1)),
            }
        }
        false
    }

    /// The job's standing, asked at the first controller that answers with 200.
    pub fn standing(&self, job: &str) -> String {
        for node in 0..self.controllers.len() {
            let (status, answer) = self.ask(node, "GET", &format!("/api/jobs/{job}"), None);
            if status == 200 {
                return answer.get("standing").text().to_owned();
            }
        }
        String::new()
    }

    /// Asks about the job every second until it has this standing; false if the time runs out.
    pub fn wait_for(&self, job: &str, standing: &str, seconds: u64) -> bool {
        let end = Instant::now() + Duration::from_secs(seconds);
        while Instant::now() < end {
            if self.standing(job) == standing {
                return true;
            }
            std::thread::sleep(Duration::from_secs(1));
        }
        false
    }

    /// Whether a task of the job is on a machine now.
    pub fn is_on_a_machine(&self, job: &str) -> bool {
        let prefix = format!("{job}/");
        self.cloud.machines().iter().any(|(_, _, _, _, tasks, _)| tasks.iter().any(|task| task.starts_with(&prefix)))
    }
}

/// A job as a user submits it.
pub struct Job {
    pub id: &'static str,
    pub docket: &'static str,
    pub crew: &'static str,
    pub form: &'static str,
    pub urgency: &'static str,
    pub sheets: u64,
    pub cores: f64,
    pub ram_gb: f64,
    pub bundle: &'static str,
    pub pull_gb: f64,
    pub builds: V,
    pub hall: V,
    pub reckon_s: f64,
}

impl Job {
    /// A service of one replica, for any machine.
    pub fn service(docket: &'static str, cores: f64, bundle: &'static str) -> Job {
        Job {
            id: "",
            docket,
            crew: "docs",
            form: "daemon",
            urgency: "critical",
            sheets: 1,
            cores,
            ram_gb: 1.0,
            bundle,
            pull_gb: 0.5,
            builds: V::Null,
            hall: V::Null,
            reckon_s: 0.0,
        }
    }

    pub fn body(&self) -> V {
        map(vec![
            ("nameId", t(self.id)),
            ("docket", t(self.docket)),
            ("crew", t(self.crew)),
            ("form", t(self.form)),
            ("urgency", t(self.urgency)),
            ("sheets", V::Int(self.sheets.into())),
            ("cores", V::Float(self.cores)),
            ("accelerators", V::Float(0.0)),
            ("ramGb", V::Float(self.ram_gb)),
            ("bundle", t(self.bundle)),
            ("pullGb", V::Float(self.pull_gb)),
            ("builds", self.builds.clone()),
            ("hall", self.hall.clone()),
            ("together", V::Bool(false)),
            ("scatter", V::Bool(false)),
            ("loaners", V::Bool(false)),
            ("reckonS", V::Float(self.reckon_s)),
            ("bookmarkS", V::Float(0.0)),
            ("stashS", V::Float(0.0)),
            ("dueS", V::Null),
        ])
    }
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, program, record, folder] = arguments.as_slice() else {
        eprintln!("usage: world CASE PROGRAM RECORD FOLDER");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(record);
    record.note(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    let verdict = cases::run(case, trouble, record.clone(), program, folder);
    let (word, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("THE RULE WAS BROKEN", 1),
        Verdict::NotRun => ("the case could not run", 2),
    };
    record.note(word);
    println!("case {case}: {word}");
    std::process::exit(code);
}
