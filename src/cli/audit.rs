//! `audit`: compares all stored records with their summary rows, and repairs the cases in
//! which the right state can be derived.
//!
//! What is judged, and how it is repaired, is in `coordination::recovery::reconciler`; a
//! leader makes the same comparison in the background. A repair holds the leader's lease,
//! so that no controller can lead meanwhile, and writes under its epoch.

use std::io::Write;
use std::time::Duration;

use tokio::sync::{mpsc, watch};

use super::error::CliError;
use super::exit_status::ExitStatus;
use crate::coordination::config::Config;
use crate::coordination::election::{self, Election, Role};
use crate::coordination::recovery::reconciler::{self, Examined, Finding};
use crate::protocol::jobs::JobId;
use crate::storage::kv::{self, KvClient, KvError};
use crate::storage::records::LEADER;
use crate::transport::client::HttpCall;

/// A request to the state service is given up after the leader's lease divided by this. It
/// is longer than a controller's own, as no renewal waits behind it.
const KV_DEADLINES_PER_LEASE: u32 = 3;

/// What an audit has counted so far.
#[derive(Debug, Default)]
struct AuditCounts {
    /// Jobs that a record or a row names.
    jobs: u32,
    /// Findings that are not repaired.
    inconsistent: u32,
    /// Jobs whose tasks wait for other jobs.
    waiting_for_dependencies: u32,
    /// Records that name the size of their blocks of done tasks.
    naming_blocks: u32,
}

/// Compares what the store holds and writes one line a finding to `out`; with `repair` also
/// repairs what can be derived soundly.
///
/// The status is [`ExitStatus::Success`] only if nothing inconsistent is left.
///
/// # Errors
///
/// [`CliError::StateServiceUnavailable`] if the store cannot be read,
/// [`CliError::ControllerLeads`] if a repair is asked for while a controller leads, and
/// [`CliError::Output`] if `out` cannot be written.
pub(super) async fn audit(
    config: Config,
    repair: bool,
    out: &mut impl Write,
) -> Result<ExitStatus, CliError> {
    let cluster = &config.settings.cluster;
    let lease_ttl = config.tuning.lease;
    // The client stops once this sender is dropped: kept to the end of the audit. An audit
    // never takes the leader's share of the request rate.
    let (_is_leader, is_leader_seen) = watch::channel(false);
    let kv = kv::start(
        config.settings.services.kv,
        &cluster.kv,
        cluster.size,
        lease_ttl / KV_DEADLINES_PER_LEASE,
        is_leader_seen,
    );

    let epoch = if repair { Some(acquire_leadership(&kv, lease_ttl).await?) } else { None };
    let mut counts = AuditCounts::default();
    audit_jobs(&kv, epoch, &mut counts, out).await?;
    audit_node_pools(&kv, &mut counts, out).await?;
    if epoch.is_some() {
        release_leadership(&kv).await;
    }
    write_summary(&counts, out).map_err(CliError::Output)?;
    Ok(if counts.inconsistent == 0 { ExitStatus::Success } else { ExitStatus::Failure })
}

/// Takes the leader's lease under a name of its own, and returns the epoch. Waits for one
/// lease time at most.
///
/// The election's channels end with this function, so its task ends when it reports the next
/// change, at the latest the first renewal. From then on the lease runs out by itself unless
/// it is released before, and the store refuses writes of an epoch whose lease has expired.
async fn acquire_leadership(kv: &KvClient, lease_ttl: Duration) -> Result<u64, CliError> {
    let name = format!("audit-{:08x}", rand::random::<u32>());
    let (role_sender, mut roles) = mpsc::channel(4);
    let (_resigned_epoch, resigned_epoch_seen) = watch::channel(0);
    let election = Election::new(&name, &name, lease_ttl);
    // An audit serves no other controllers.
    let address = String::new();
    tokio::spawn(election::run(election, kv.clone(), address, role_sender, resigned_epoch_seen));
    match tokio::time::timeout(lease_ttl, roles.recv()).await {
        Ok(Some(Role::Leader { epoch, .. })) => Ok(epoch),
        Ok(Some(Role::Follower { leader, .. })) => Err(CliError::ControllerLeads { leader }),
        _ => Err(CliError::StateServiceUnavailable),
    }
}

/// Gives the audit's lease back, so that controllers need not wait for its expiry.
async fn release_leadership(kv: &KvClient) {
    if let Ok(Some(entry)) = kv.get(kv::RequestClass::Renewal, LEADER).await
        && let Some(lease) = entry.lease
    {
        let target = format!("/leases/{lease}");
        let call = HttpCall { method: "DELETE", target, body: Vec::new(), timeout: kv.deadline() };
        // If it fails the lease expires by itself.
        let _ = kv.send_raw(kv::RequestClass::Renewal, call).await;
    }
}

/// Examines every job that a record or a row names; repairs under `epoch` if there is one.
async fn audit_jobs(
    kv: &KvClient,
    epoch: Option<u64>,
    counts: &mut AuditCounts,
    out: &mut impl Write,
) -> Result<(), CliError> {
    for job in reconciler::all_jobs(kv).await.map_err(unavailable)? {
        let examined = reconciler::examine(kv, &job).await.map_err(unavailable)?;
        counts.jobs += 1;
        counts.waiting_for_dependencies += u32::from(examined.waits_for_dependencies);
        counts.naming_blocks += u32::from(examined.names_blocks);
        let Some(problem) = describe_finding(&examined.finding) else { continue };
        let repaired = repair_job(kv, epoch, &examined).await;
        counts.inconsistent += u32::from(!repaired);
        write_finding(out, &job, &problem, repaired).map_err(CliError::Output)?;
    }
    Ok(())
}

/// What operators read of a finding; `None` if the job is consistent.
fn describe_finding(finding: &Finding) -> Option<String> {
    match finding {
        Finding::Consistent => None,
        Finding::RowBehind(state) => {
            Some(format!("the row lags behind the record, which says {}", state.as_str()))
        }
        Finding::Stranded => Some("a row says over, the record says live".to_owned()),
        Finding::Suspect(reason) => Some(format!("{reason}; left alone")),
    }
}

/// Whether the job was repaired. Without an epoch, for ambiguous findings, and if record
/// and rows have changed since they were read, nothing is written.
async fn repair_job(kv: &KvClient, epoch: Option<u64>, examined: &Examined) -> bool {
    match epoch.and_then(|epoch| examined.repair(epoch)) {
        Some(transaction) => kv.compare_and_swap(transaction).await.is_ok(),
        None => false,
    }
}

fn write_finding(out: &mut impl Write, job: &JobId, problem: &str, repaired: bool) -> std::io::Result<()> {
    writeln!(out, "{job}: {problem}{}", if repaired { "; repaired" } else { "" })
}

/// Reports the records of node pools that cannot be decoded. They are never repaired: which
/// machines they stand for is not known.
async fn audit_node_pools(
    kv: &KvClient,
    counts: &mut AuditCounts,
    out: &mut impl Write,
) -> Result<(), CliError> {
    for key in reconciler::unreadable_node_pools(kv).await.map_err(unavailable)? {
        counts.inconsistent += 1;
        writeln!(out, "{key}: an unreadable fleet record; left alone").map_err(CliError::Output)?;
    }
    Ok(())
}

/// Writes the totals; those of waiting jobs and named blocks only if there are any.
fn write_summary(counts: &AuditCounts, out: &mut impl Write) -> std::io::Result<()> {
    let AuditCounts { jobs, inconsistent, waiting_for_dependencies, naming_blocks } = counts;
    if waiting_for_dependencies + naming_blocks > 0 {
        writeln!(
            out,
            "{waiting_for_dependencies} jobs wait for others, {naming_blocks} records name their blocks"
        )?;
    }
    writeln!(out, "{jobs} jobs, {inconsistent} inconsistent")
}

/// Whatever the cause, an audit that cannot read has nothing to say about the records.
fn unavailable(_: KvError) -> CliError {
    CliError::StateServiceUnavailable
}
