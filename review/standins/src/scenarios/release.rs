//! Many jobs await one job; it ends, and soon after another job is called off.

use std::path::Path;
use std::time::Duration;

use super::cluster::{BUILD, Cluster, docfarm_deployment};
use crate::Verdict;
use crate::users::{self, ConnectedUser, Job};

const TEAM: &str = "sekretariat-ops-00";
const OTHER_TEAM: &str = "sekretariat-ops-01";
/// Jobs that await the first one.
const WAITING: u32 = 5900;
/// A job about which no question is answered for this long, once the troubles are over, is forgotten.
const FORGOTTEN: Duration = Duration::from_secs(75);
const END: Duration = Duration::from_secs(106);

pub async fn play(folder: &Path, trouble: bool) -> std::io::Result<Verdict> {
    // Without the trouble the awaited job does not end during the run.
    let first_run = Duration::from_secs(if trouble { 1 } else { 600 });
    let first = Job { class: "translate-merge", ..Job::new(1, TEAM, first_run) };
    let mut accepted = vec![first.clone()];
    for n in 0..WAITING {
        let job = Job::new(1000 + n, TEAM, Duration::from_secs(20));
        accepted.push(Job { class: "glossary-sync", awaits: vec![first.id.clone()], ..job });
    }
    let cluster = Cluster::start(folder, &docfarm_deployment(), BUILD, 65, 65, &accepted, &[]).await?;
    let record = cluster.record.clone();
    cluster.wait_until_ready(Duration::from_secs(20)).await?;
    let long = Job { class: "manual-rebuild", ..Job::new(2, OTHER_TEAM, Duration::from_secs(300)) };
    cluster.submit(&long).await?;
    record.say("the long job is accepted");
    // Its user asks on one connection, which stays at the leader.
    let leader = cluster.leader().await.ok_or_else(|| std::io::Error::other("no leader"))?;
    let to = cluster.users()[leader];
    let mut user = ConnectedUser::new(to);
    let mut last_first = String::new();
    for _ in 0..60 {
        let first_state = users::poll(to, &first.id).await;
        last_first = format!("{first_state:?}");
        record.line(&format!("poll {} at shed-{leader}: {last_first}", first.id));
        let standing = first_state.standing.as_deref();
        if standing == Some("done") || (!trouble && standing == Some("running")) {
            break;
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    record.say(&format!("the awaited job: {last_first}"));
    let controllers = cluster.users();
    let (canceller_record, id) = (record.clone(), long.id.clone());
    tokio::spawn(async move {
        for turn in 0..100 {
            let at = (leader + turn) % controllers.len();
            let received = users::cancel(controllers[at], &id).await;
            canceller_record.say(&format!("cancel {id} at shed-{at}: {received:?}"));
            if received.status == 200 {
                return;
            }
            tokio::time::sleep(Duration::from_secs(1)).await;
        }
    });
    tokio::time::sleep(Duration::from_millis(300)).await;
    let others: Vec<String> =
        (0..20).map(|n| accepted[(n * WAITING as usize / 20) + 5].id.clone()).collect();
    let (mut failing_since, mut worst) = (None, Duration::ZERO);
    let (mut other_polls, mut other_answers) = (0u32, 0u32);
    while record.now() < END {
        let asked = record.now();
        let received = user.poll(&long.id).await;
        record.say(&format!("poll {} at shed-{leader}: {received:?}", long.id));
        if received.status == 200 || received.status == 404 {
            failing_since = None;
        } else {
            let since = *failing_since.get_or_insert(asked);
            worst = worst.max(record.now() - since);
        }
        for (id, other) in users::poll_all(to, &others).await {
            record.line(&format!("poll {id} at shed-{leader}: {other:?}"));
            other_polls += 1;
            other_answers += u32::from(other.status == 200);
        }
        let next = record.begin() + asked + Duration::from_secs(5);
        tokio::time::sleep_until(next).await;
    }
    record.say(&format!(
        "all questions about the long job failed for {:.1} s; {other_answers} of {other_polls} about others were answered",
        worst.as_secs_f64()
    ));
    Ok(if worst >= FORGOTTEN { Verdict::Broken } else { Verdict::Held })
}
