//! `audit`: compares all stored records with their summary rows, and repairs the
//! inconsistencies whose correct state can be derived.
//!
//! `coordination::recovery::reconciler` classifies and repairs inconsistencies; a leader runs
//! the same comparison in the background. An audit with repairs holds the leader's lease, so
//! that no controller can lead in the meantime, and writes under the epoch of that lease.

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

/// A request to the state service times out after the leader's lease divided by this. The
/// timeout is longer than a controller's because no lease renewal waits for the request.
const KV_DEADLINES_PER_LEASE: u32 = 3;

/// Running totals of an audit.
#[derive(Debug, Default)]
struct AuditCounts {
    /// Jobs that have a record or a row.
    jobs: u32,
    /// Inconsistencies that were not repaired.
    inconsistent: u32,
    /// Jobs whose tasks wait for other jobs.
    waiting_for_dependencies: u32,
    /// Records that state the size of their blocks of done tasks.
    naming_blocks: u32,
}

/// Compares all records and rows in the store and writes one line per inconsistency to `out`.
/// With `repair`, also repairs those whose correct state can be derived.
///
/// Returns [`ExitStatus::Success`] only if no inconsistency is left.
///
/// # Errors
///
/// [`CliError::StateServiceUnavailable`] if the store cannot be read,
/// [`CliError::ControllerLeads`] if a repair is requested while a controller leads, and
/// [`CliError::Output`] if `out` cannot be written.
pub(super) async fn audit(
    config: Config,
    repair: bool,
    out: &mut impl Write,
) -> Result<ExitStatus, CliError> {
    let cluster = &config.settings.cluster;
    let lease_ttl = config.tuning.lease;
    // The sender lives until the end of the audit because the client stops when it is
    // dropped. It stays false: an audit never takes the leader's share of the request rate.
    let (_is_leader_sender, is_leader_receiver) = watch::channel(false);
    let kv = kv::start(
        config.settings.services.kv,
        &cluster.kv,
        cluster.size,
        lease_ttl / KV_DEADLINES_PER_LEASE,
        is_leader_receiver,
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

/// Acquires the leader's lease under a name unique to this audit, and returns the epoch.
/// Waits for at most one lease duration.
///
/// This function drops its ends of the election's channels when it returns, so the election
/// task ends when it reports its next role change, at the latest after the first renewal. The
/// lease then expires unless it is released first, and the store refuses writes of an epoch
/// whose lease has expired.
async fn acquire_leadership(kv: &KvClient, lease_ttl: Duration) -> Result<u64, CliError> {
    let name = format!("audit-{:08x}", rand::random::<u32>());
    let (role_sender, mut roles) = mpsc::channel(4);
    let (_resigned_epoch_sender, resigned_epoch_receiver) = watch::channel(0);
    let election = Election::new(&name, &name, lease_ttl);
    // An audit runs no gRPC server for other controllers.
    let address = String::new();
    tokio::spawn(election::run(election, kv.clone(), address, role_sender, resigned_epoch_receiver));
    match tokio::time::timeout(lease_ttl, roles.recv()).await {
        Ok(Some(Role::Leader { epoch, .. })) => Ok(epoch),
        Ok(Some(Role::Follower { leader, .. })) => Err(CliError::ControllerLeads { leader }),
        _ => Err(CliError::StateServiceUnavailable),
    }
}

/// Releases the audit's lease, so that controllers need not wait for it to expire.
async fn release_leadership(kv: &KvClient) {
    if let Ok(Some(entry)) = kv.get(kv::RequestClass::Renewal, LEADER).await
        && let Some(lease) = entry.lease
    {
        let target = format!("/leases/{lease}");
        let call = HttpCall { method: "DELETE", target, body: Vec::new(), timeout: kv.deadline() };
        // If the request fails, the lease expires on its own.
        let _ = kv.send_raw(kv::RequestClass::Renewal, call).await;
    }
}

/// Examines every job that has a record or a row. With an `epoch`, also repairs under it.
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

/// The text that operators see for a finding; `None` if the job is consistent.
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

/// Repairs a job, and returns whether it was repaired. Writes nothing if there is no epoch,
/// if the finding is ambiguous, or if the record or the rows have changed since they were
/// read.
async fn repair_job(kv: &KvClient, epoch: Option<u64>, examined: &Examined) -> bool {
    match epoch.and_then(|epoch| examined.repair(epoch)) {
        Some(transaction) => kv.compare_and_swap(transaction).await.is_ok(),
        None => false,
    }
}

fn write_finding(out: &mut impl Write, job: &JobId, problem: &str, repaired: bool) -> std::io::Result<()> {
    writeln!(out, "{job}: {problem}{}", if repaired { "; repaired" } else { "" })
}

/// Reports node pool records that cannot be decoded. They are never repaired, since it is
/// not known which machines they describe.
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

/// Writes the totals. The line on waiting jobs and on records that state their block size is
/// left out if both numbers are 0.
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

/// Maps any read error to [`CliError::StateServiceUnavailable`]: an audit cannot continue after
/// a failed read, whatever the cause.
fn unavailable(_: KvError) -> CliError {
    CliError::StateServiceUnavailable
}
