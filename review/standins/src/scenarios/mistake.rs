//! Jobs that were submitted with a mistake fail on every machine, and are called off by their user.

use std::path::Path;
use std::time::Duration;

use super::cluster::{BUILD, Cluster, small_deployment};
use crate::Verdict;
use crate::users::{self, Job};

const TEAM: &str = "archive-crew-00";
const OTHER_TEAM: &str = "archive-crew-01";
/// Machines that are up; the cloud has no more.
const MACHINES: usize = 4;
/// "no job is left waiting for 90 s while a machine that fits has room and its team is under its limit"
const WAITING: Duration = Duration::from_secs(90);
const END: Duration = Duration::from_secs(113);

pub async fn play(folder: &Path, trouble: bool) -> std::io::Result<Verdict> {
    let cluster = Cluster::start(folder, &small_deployment(), BUILD, MACHINES, MACHINES, &[], &[]).await?;
    let record = cluster.record.clone();
    cluster.wait_until_ready(Duration::from_secs(20)).await?;
    let leader = cluster.leader().await.ok_or_else(|| std::io::Error::other("no leader"))?;
    let to = cluster.users()[leader];
    // A service with a replica on each machine, which leaves 7 of 16 cores free there.
    let service = Job {
        service: true,
        tasks: MACHINES as u32,
        cores: 9.0,
        urgency: "critical",
        class: "viewer",
        ..Job::new(1, OTHER_TEAM, Duration::ZERO)
    };
    cluster.submit(&service).await?;
    while users::poll(to, &service.id).await.standing.as_deref() != Some("running") {
        if record.now() > Duration::from_secs(20) {
            return Err(std::io::Error::other("the service does not run"));
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    tokio::time::sleep(Duration::from_millis(2500)).await;
    record.say("the service runs");
    if trouble {
        let mistaken: Vec<Job> = (0..2)
            .map(|n| Job { tasks: 14, mistaken: true, ..Job::new(10 + n, TEAM, Duration::from_millis(500)) })
            .collect();
        for job in &mistaken {
            cluster.submit(job).await?;
            tokio::time::sleep(Duration::from_millis(5500)).await;
            // Its user sees that nothing gets done and calls it off.
            let received = users::cancel(to, &job.id).await;
            record.say(&format!("cancel {}: {received:?}", job.id));
        }
    }
    let good = Job::new(100, OTHER_TEAM, Duration::from_secs(5));
    cluster.submit(&good).await?;
    let accepted = record.now();
    record.say(&format!("{} is accepted; each machine has 7 cores free", good.id));
    let mut waited = Duration::ZERO;
    while record.now() < END.min(accepted + WAITING + Duration::from_secs(1)) {
        tokio::time::sleep(Duration::from_secs(5)).await;
        let received = users::poll(to, &good.id).await;
        record.say(&format!("poll {}: {received:?}", good.id));
        if received.standing.as_deref() != Some("queued") {
            break;
        }
        waited = record.now() - accepted;
        if waited >= WAITING {
            break;
        }
    }
    record.say(&format!("{} waited for {:.1} s without a start", good.id, waited.as_secs_f64()));
    Ok(if waited >= WAITING { Verdict::Broken } else { Verdict::Held })
}
