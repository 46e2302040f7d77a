//! Several jobs that await many jobs which are over are submitted, while other jobs run and end.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::cluster::{BUILD, Cluster, next_deployment};
use crate::Verdict;
use crate::record::Record;
use crate::users::{self, ConnectedUser, Job};

const TEAM: &str = "sekretariat-ops-00";
const OTHER_TEAM: &str = "sekretariat-ops-01";
/// Jobs that are over, and that each of the new jobs awaits.
const AWAITED: u32 = 450;
/// New jobs, each of a user of its own, and the time between two of them.
const NEW_JOBS: u32 = 12;
const BETWEEN: Duration = Duration::from_millis(9_300);
/// Every poll of a job fails for this long while most others are answered: it is forgotten.
const FORGOTTEN: Duration = Duration::from_secs(90);
const END: Duration = Duration::from_secs(109);
/// Ordinary jobs that end soon; the others run on.
const ENDING: u32 = 4;

/// Submits a job as users do: for up to a minute in total, a second after each refusal.
async fn submit_as_users_do(controllers: Vec<SocketAddr>, first: usize, job: Job, record: Record) {
    let begin = record.now();
    for turn in 0.. {
        let to = (first + turn) % controllers.len();
        let received = users::submit(controllers[to], &job).await;
        record.line(&format!("submit {} at shed-{to}: {received:?}", job.id));
        let decided = matches!(received.status, 200 | 201 | 400 | 422);
        if decided || record.now() > begin + Duration::from_secs(60) {
            return record.say(&format!("{} ends its attempts: {received:?}", job.id));
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

pub async fn play(folder: &Path, trouble: bool) -> std::io::Result<Verdict> {
    let ended: Vec<Job> = (0..AWAITED).map(|n| Job::new(1000 + n, TEAM, Duration::from_secs(5))).collect();
    let cluster = Cluster::start(folder, &next_deployment(), BUILD, 8, 8, &[], &ended).await?;
    let record = cluster.record.clone();
    cluster.wait_until_ready(Duration::from_secs(20)).await?;
    // Ordinary jobs of another team: some end soon, some run on.
    let mut ordinary = Vec::new();
    for n in 0..20 {
        let run = if n < ENDING { 5 + u64::from(n) } else { 600 };
        ordinary.push(Job { class: "manual-rebuild", ..Job::new(10 + n, OTHER_TEAM, Duration::from_secs(run)) });
    }
    for job in &ordinary {
        cluster.submit(job).await?;
    }
    record.say("the ordinary jobs are accepted");
    let leader = cluster.leader().await.ok_or_else(|| std::io::Error::other("no leader"))?;
    let ending: Vec<String> = ordinary.iter().take(ENDING as usize).map(|job| job.id.clone()).collect();
    let is_running = |(_, received): &(String, users::Received)| received.standing.as_deref() == Some("running");
    while !users::poll_all(cluster.users()[leader], &ending).await.iter().all(is_running) {
        if record.now() > Duration::from_secs(25) {
            return Err(std::io::Error::other("the ordinary jobs do not run"));
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    record.say("they run");
    if trouble {
        let (controllers, record) = (cluster.users(), record.clone());
        tokio::spawn(async move {
            for n in 0..NEW_JOBS {
                let awaits = (0..AWAITED).map(|n| format!("job-{:06}", 1000 + n)).collect();
                let job = Job { awaits, class: "search-index", ..Job::new(500 + n, TEAM, Duration::from_secs(5)) };
                tokio::spawn(submit_as_users_do(controllers.clone(), n as usize, job, record.clone()));
                // The first ones come together, the others one after the other.
                tokio::time::sleep(if n < 5 { BETWEEN / 10 } else { BETWEEN }).await;
            }
        });
    }
    record.say(&format!("shed-{leader} leads; the connections of the ordinary jobs' users are there"));
    let mut connected: Vec<(String, ConnectedUser)> =
        ordinary.iter().map(|job| (job.id.clone(), ConnectedUser::new(cluster.users()[leader]))).collect();
    let mut failing_since: BTreeMap<String, Duration> = BTreeMap::new();
    let mut worst: BTreeMap<String, Duration> = BTreeMap::new();
    let (mut polls, mut answers) = (0u32, 0u32);
    while record.now() < END {
        let round = record.now();
        let mut asked = tokio::task::JoinSet::new();
        for (id, mut user) in connected.drain(..) {
            let record = record.clone();
            asked.spawn(async move {
                let at = record.now();
                let received = user.poll(&id).await;
                record.line(&format!("poll {id} at shed-{leader}: {received:?}"));
                (id, user, at, received)
            });
        }
        for (id, user, at, received) in asked.join_all().await {
            polls += 1;
            if received.status == 200 {
                answers += 1;
                failing_since.remove(&id);
            } else {
                let since = *failing_since.entry(id.clone()).or_insert(at);
                let longest = worst.entry(id.clone()).or_default();
                *longest = (*longest).max(record.now() - since);
            }
            connected.push((id, user));
        }
        record.say(&format!("failing: {:?}", failing_since.keys().collect::<Vec<_>>()));
        tokio::time::sleep_until(record.begin() + round + Duration::from_secs(5)).await;
    }
    for (id, time) in &worst {
        record.say(&format!("every question about {id} failed for {:.1} s", time.as_secs_f64()));
    }
    record.say(&format!("{answers} of {polls} questions were answered"));
    let longest = worst.values().max().copied().unwrap_or_default();
    let most_answered = answers * 2 > polls;
    Ok(if longest >= FORGOTTEN && most_answered { Verdict::Broken } else { Verdict::Held })
}
