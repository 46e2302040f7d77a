//! A cheap machine comes up while a task runs on an ordinary one; then a job with that task's image comes.

use std::path::Path;
use std::time::Duration;

use super::cluster::{Cluster, FAST_BUILD, small_deployment};
use crate::Verdict;
use crate::users::{self, Job};

const TEAM: &str = "archive-crew-00";
const OTHER_TEAM: &str = "archive-crew-01";
/// "no job is left waiting for 90 s while a machine that fits has room and its team is under its limit"
const WAITING: Duration = Duration::from_secs(90);
const END: Duration = Duration::from_secs(113);

pub async fn play(folder: &Path, trouble: bool) -> std::io::Result<Verdict> {
    // One ordinary machine is up. The cloud has one more, or none without the trouble.
    let capacity = if trouble { 2 } else { 1 };
    let cluster = Cluster::start(folder, &small_deployment(), FAST_BUILD, 1, capacity, &[], &[]).await?;
    let record = cluster.record.clone();
    cluster.wait_until_ready(Duration::from_secs(20)).await?;
    let leader = cluster.leader().await.ok_or_else(|| std::io::Error::other("no leader"))?;
    let to = cluster.users()[leader];
    let long = Job {
        class: "speaker-tag",
        urgency: "high",
        cores: 4.0,
        ram_gb: 8.0,
        loaners: true,
        bundle: "img-03",
        pull_gb: 3.0,
        ..Job::new(1, OTHER_TEAM, Duration::from_secs(200))
    };
    cluster.submit(&long).await?;
    while users::poll(to, &long.id).await.standing.as_deref() != Some("running") {
        if record.now() > Duration::from_secs(25) {
            return Err(std::io::Error::other("the long task does not run"));
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    record.say("the long task runs");
    tokio::time::sleep(Duration::from_secs(1)).await;
    let machines: Vec<String> = cluster.cloud.workers().await.into_iter().map(|(name, _)| name).collect();
    let short = Job {
        id: "job-000002".into(),
        team: TEAM,
        tasks: 3,
        cores: 2.0,
        run: Duration::from_secs(5),
        estimate_s: 5.0,
        ..long
    };
    cluster.submit(&short).await?;
    let accepted = record.now();
    record.say(&format!("{} is accepted; up are {machines:?}, of 16 cores each, 4 taken", short.id));
    let mut waited = Duration::ZERO;
    while record.now() < END && waited < WAITING {
        tokio::time::sleep(Duration::from_secs(5)).await;
        let received = users::poll(to, &short.id).await;
        record.say(&format!("poll {}: {received:?}", short.id));
        if received.standing.as_deref() != Some("queued") {
            break;
        }
        waited = record.now() - accepted;
    }
    record.say(&format!("{} waited for {:.1} s without a start", short.id, waited.as_secs_f64()));
    Ok(if waited >= WAITING { Verdict::Broken } else { Verdict::Held })
}
