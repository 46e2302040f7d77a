//! Executes the steps of the election by requests to the key-value store.

use tokio::sync::{mpsc, watch};
use tokio::time::Instant;

use crate::coordination::election::{
    AcquireOutcome, Election, LeaderRead, RenewOutcome, Role, Step, WatchOutcome, decode_leader_record,
};
use crate::numeric::whole_ms;
use crate::protocol::cbor::{MapBuilder, decode, encode};
use crate::protocol::kv::{
    Change, Compare, decode_commit_revision, decode_lease_id, decode_watch_revision, encode_compare_and_swap,
    encode_lease_request,
};
use crate::storage::kv::{KvClient, RequestClass, with_write_marker};
use crate::storage::records::LEADER;
use crate::transport::client::{ClientError, HttpCall};
use crate::transport::codec::Response;

/// Runs the election and sends each change of the role to `roles`, until its receiver is
/// dropped.
///
/// `address` is written to the leader key, for operators. `resigned_epoch` holds the last epoch
/// that this controller resigned; if it still leads in that epoch, its lease is revoked.
pub async fn run(
    election: Election,
    kv: KvClient,
    address: String,
    roles: mpsc::Sender<Role>,
    resigned_epoch: watch::Receiver<u64>,
) {
    let mut runner = Runner { election, kv, address };
    let mut published = Role::Leaderless;
    loop {
        runner.election.resign(*resigned_epoch.borrow());
        runner.run_next_step().await;
        let role = runner.election.role();
        if role != published && runner.election.is_confirmed() {
            log_role_change(&published, &role);
            published = role.clone();
            if roles.send(role).await.is_err() {
                return;
            }
        }
    }
}

fn log_role_change(before: &Role, after: &Role) {
    match (before, after) {
        // Only the lease was renewed.
        (Role::Leader { epoch: before, .. }, Role::Leader { epoch: after, .. }) if before == after => {}
        (_, Role::Leader { epoch, .. }) => tracing::info!(epoch, "leadership acquired"),
        (_, Role::Follower { leader, .. }) => tracing::info!(%leader, "following leader"),
        (_, Role::Leaderless) => tracing::info!("no leader known"),
    }
}

/// The election, and what is needed to execute its steps.
struct Runner {
    election: Election,
    kv: KvClient,
    address: String,
}

impl Runner {
    async fn run_next_step(&mut self) {
        match self.election.next_step(Instant::now()) {
            Step::Wait { until } => tokio::time::sleep_until(until).await,
            Step::ReadLeader => self.read_leader().await,
            Step::GrantLease => self.grant_lease().await,
            Step::Acquire { lease } => self.acquire(lease).await,
            Step::RevokeLease { lease } => self.revoke_lease(lease).await,
            Step::Renew { lease } => self.renew(lease).await,
            Step::Watch { from } => {
                self.watch(from).await;
                self.read_leader().await;
            }
        }
    }

    async fn read_leader(&mut self) {
        let read = match self.kv.get(RequestClass::Renewal, LEADER).await {
            Ok(Some(entry)) => decode_leader_record(&entry).map_or(LeaderRead::Failed, LeaderRead::Held),
            Ok(None) => LeaderRead::Vacant,
            Err(_) => LeaderRead::Failed,
        };
        self.election.on_read(Instant::now(), read);
    }

    async fn grant_lease(&mut self) {
        let sent = Instant::now();
        let ttl_ms = whole_ms(self.election.ttl());
        let body = encode(&encode_lease_request(ttl_ms));
        let lease = match self.send("POST", "/leases".to_owned(), body).await {
            Ok(response) if response.status == 200 => {
                decode(&response.body).ok().and_then(|value| decode_lease_id(&value).ok())
            }
            _ => None,
        };
        self.election.on_lease_granted(Instant::now(), sent, lease);
    }

    async fn acquire(&mut self, lease: u64) {
        let body = self.encode_acquire(lease);
        let outcome = match self.send("POST", "/commit".to_owned(), body).await {
            Ok(response) => decode_acquire_outcome(&response),
            Err(_) => AcquireOutcome::Unknown,
        };
        self.election.on_acquire(Instant::now(), outcome);
    }

    /// Encodes a transaction that writes the leader key if it is vacant.
    fn encode_acquire(&self, lease: u64) -> Vec<u8> {
        let record =
            MapBuilder::new().set("name", self.election.name()).set("address", self.address.as_str());
        let value = with_write_marker(record, self.election.incarnation());
        let vacant = Compare { key: LEADER.into(), version: 0 };
        let change = Change::Put { key: LEADER.into(), value, lease: Some(lease) };
        encode(&encode_compare_and_swap([&vacant], [&change]))
    }

    async fn revoke_lease(&mut self, lease: u64) {
        let answer = self.send("DELETE", format!("/leases/{lease}"), Vec::new()).await;
        let ended = answer.is_ok_and(|response| response.status == 200 || response.status == 404);
        self.election.on_lease_revoked(Instant::now(), lease, ended);
    }

    async fn renew(&mut self, lease: u64) {
        let sent = Instant::now();
        let outcome = match self.send("POST", format!("/leases/{lease}/extend"), Vec::new()).await {
            Ok(response) if response.status == 200 => RenewOutcome::Renewed,
            Ok(response) if response.status == 404 => RenewOutcome::LeaseExpired,
            _ => RenewOutcome::Failed,
        };
        self.election.on_renew(Instant::now(), sent, outcome);
    }

    async fn watch(&mut self, from: u64) {
        let wait = self.election.ttl();
        let call = HttpCall {
            method: "GET",
            target: format!("/watch?starts={LEADER}&from={from}&waitMs={}", wait.as_millis()),
            body: Vec::new(),
            timeout: wait * 2 + self.kv.deadline(),
        };
        let outcome = watch_outcome(self.kv.send_raw(RequestClass::Renewal, call).await);
        self.election.on_watch(Instant::now(), outcome);
    }

    async fn send(
        &self,
        method: &'static str,
        target: String,
        body: Vec<u8>,
    ) -> Result<Response, ClientError> {
        let call = HttpCall { method, target, body, timeout: self.kv.deadline() };
        self.kv.send_raw(RequestClass::Renewal, call).await
    }
}

fn decode_acquire_outcome(response: &Response) -> AcquireOutcome {
    match response.status {
        200 => match decode(&response.body).ok().and_then(|value| decode_commit_revision(&value).ok()) {
            Some(epoch) => AcquireOutcome::Won { epoch },
            None => AcquireOutcome::Unknown,
        },
        409 => AcquireOutcome::Lost,
        // The store rejects a put that names a lease which no longer exists.
        400 => AcquireOutcome::LeaseExpired,
        _ => AcquireOutcome::Unknown,
    }
}

fn watch_outcome(answer: Result<Response, ClientError>) -> WatchOutcome {
    match answer {
        Ok(response) if response.status == 200 => {
            match decode(&response.body).ok().and_then(|value| decode_watch_revision(&value).ok()) {
                Some(_) => WatchOutcome::Ended,
                None => WatchOutcome::Failed,
            }
        }
        // The store can no longer watch from that version. No retry is needed: the key is read
        // next, which shows any change.
        Ok(response) if response.status == 410 => WatchOutcome::Ended,
        Ok(_) | Err(ClientError::NotSent | ClientError::ConnectionLost(_)) => WatchOutcome::Failed,
        // The key is read next, which shows whether the store can be reached.
        Err(ClientError::TimedOut | ClientError::InvalidResponse(_)) => WatchOutcome::Ended,
    }
}
