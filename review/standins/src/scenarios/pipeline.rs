//! A pipeline of jobs with one deadline, whose last job gets its deadline.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use tokio::sync::mpsc;

use super::cluster::{BUILD, Cluster, small_deployment};
use crate::Verdict;
use crate::record::Record;
use crate::users::{self, Job};

const TEAM: &str = "archive-crew-00";
const OTHER_TEAM: &str = "archive-crew-01";
/// Steps of the pipeline; each has a full and a short variant that may run side by side.
const STEPS: u32 = 29;
/// Estimate for a task of the first step, in seconds; it doubles with each step.
const FIRST_ESTIMATE_S: f64 = 0.003;
/// The deadline of the whole pipeline: 30 days, more than all its steps take by the estimates.
const DUE_S: f64 = 30.0 * 86_400.0;
/// A job about which no question is answered for this long counts as forgotten.
const FORGOTTEN: Duration = Duration::from_secs(75);
/// When the run ends.
const END: Duration = Duration::from_secs(112);

/// The jobs of the pipeline in the order in which they are submitted.
fn pipeline(trouble: bool) -> Vec<Job> {
    let mut number = 100;
    let mut next = |estimate_s: f64, awaits: Vec<String>| {
        number += 1;
        let run = Duration::from_secs(60);
        Job { estimate_s, awaits, class: "speaker-tag", cores: 1.0, ..Job::new(number, TEAM, run) }
    };
    let mut jobs = vec![next(60.0, Vec::new())];
    for step in 0..STEPS {
        let gathered = jobs.last().map(|job| job.id.clone()).into_iter().collect::<Vec<_>>();
        let estimate = FIRST_ESTIMATE_S * 2f64.powi(step as i32);
        let full = next(estimate, gathered.clone());
        let short = next(estimate / 2.0, gathered);
        let both = vec![full.id.clone(), short.id.clone()];
        jobs.extend([full, short, next(1.0, both)]);
    }
    if let Some(last) = jobs.last_mut().filter(|_| trouble) {
        last.due_s = Some(DUE_S);
    }
    jobs
}

/// Submits a job as users do: a request without an answer is repeated after a second, for up to a minute
/// in total, at whatever controller the load balancer chooses.
async fn submit_as_users_do(controllers: Vec<SocketAddr>, job: Job, record: Record) {
    let begin = record.now();
    for to in (0..controllers.len()).cycle() {
        let received = users::submit(controllers[to], &job).await;
        record.say(&format!("submit {} at shed-{to}: {received:?}", job.id));
        let decided = matches!(received.status, 200 | 201 | 400 | 422);
        if decided || record.now() > begin + Duration::from_secs(60) {
            return;
        }
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
}

pub async fn play(folder: &Path, trouble: bool) -> std::io::Result<Verdict> {
    let mut cluster = Cluster::start(folder, &small_deployment(), BUILD, 4, 8, &[], &[]).await?;
    let record = cluster.record.clone();
    cluster.wait_until_ready(Duration::from_secs(30)).await?;
    let others: Vec<Job> = (1..=6).map(|n| Job::new(n, OTHER_TEAM, Duration::from_secs(40))).collect();
    for job in &others {
        cluster.submit(job).await?;
    }
    let jobs = pipeline(trouble);
    let (last, earlier) = jobs.split_last().ok_or_else(|| std::io::Error::other("no jobs"))?;
    for job in earlier {
        cluster.submit(job).await?;
    }
    record.say(&format!("{} jobs accepted; the last one of the pipeline follows", others.len() + earlier.len()));
    // Users ask about their jobs every 5 s, here at all controllers at once.
    let (answered, mut answers) = mpsc::unbounded_channel();
    for id in others.iter().chain(earlier).map(|job| job.id.clone()) {
        for (index, to) in cluster.users().into_iter().enumerate() {
            let (id, record, answered) = (id.clone(), record.clone(), answered.clone());
            tokio::spawn(async move {
                loop {
                    let received = users::poll(to, &id).await;
                    record.line(&format!("poll {id} at shed-{index}: {received:?}"));
                    let is_answer = received.status == 200 || received.status == 404;
                    let _ = answered.send((id.clone(), record.now(), is_answer, received));
                    tokio::time::sleep(Duration::from_secs(5)).await;
                }
            });
        }
    }
    let trouble_at = record.now();
    tokio::spawn(submit_as_users_do(cluster.users(), last.clone(), record.clone()));
    let mut last_answer: BTreeMap<String, Duration> = BTreeMap::new();
    let mut unanswered: BTreeMap<String, u32> = BTreeMap::new();
    let mut broken = Vec::new();
    let mut next_status = trouble_at;
    while record.now() < END {
        tokio::time::sleep(Duration::from_millis(200)).await;
        while let Ok((id, at, is_answer, received)) = answers.try_recv() {
            if received.status == 404 {
                broken.push(format!("{id} was accepted and receives 404"));
            }
            if is_answer {
                last_answer.insert(id.clone(), at);
                unanswered.insert(id, 0);
            } else {
                *unanswered.entry(id).or_default() += 1;
            }
        }
        for (controller, status) in cluster.controllers.ended() {
            record.say(&format!("shed-{controller} ended by itself: {status}"));
        }
        if record.now() >= next_status {
            next_status += Duration::from_secs(10);
            let leader = cluster.leader().await;
            let used: Vec<Option<f64>> = (0..3).map(|index| cluster.controllers.processor_s(index)).collect();
            record.say(&format!("leader {leader:?}, processor time of the controllers {used:?}"));
        }
    }
    let end = record.now();
    for job in others.iter().chain(earlier) {
        let since = last_answer.get(&job.id).copied().unwrap_or(trouble_at).max(trouble_at);
        let questions = unanswered.get(&job.id).copied().unwrap_or(0);
        if end - since >= FORGOTTEN && questions >= 10 {
            let seconds = (end - since).as_secs_f64();
            broken.push(format!("{}: no answer for {seconds:.1} s, to {questions} questions", job.id));
        }
    }
    for line in broken.iter().take(8) {
        record.say(&format!("forgotten: {line}"));
    }
    record.say(&format!("{} jobs forgotten of {}", broken.len(), others.len() + earlier.len()));
    Ok(if broken.is_empty() { Verdict::Held } else { Verdict::Broken })
}
