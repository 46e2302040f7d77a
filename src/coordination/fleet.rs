//! Renting, draining and returning machines.
//!
//! Demand is measured for each group of jobs that may use the same machines.
//! Its mean and spread over the last boots give what is kept; what waits now
//! adds to it. Machines that no group wants and that stand idle are returned.

use std::collections::BTreeMap;
use std::time::Duration;

use ciborium::value::Value;
use tokio::time::Instant;

use super::cloud::{CloudCall, CloudError, CloudReply, CloudResult};
use super::leader::{Leader, Ticket};
use super::model::{Hire, Machine, Phase, Resources};
use crate::maps::HashSet;
use crate::protocol::cbor::json_size;
use crate::protocol::cloud::{
    HireRequest, ListPage, ListedState, MAX_DELETE, MAX_HIRE, MachineType, encode_catalog,
};
use crate::protocol::jobs::JobId;
use crate::protocol::state::{Change, Condition};
use crate::protocol::workers::MachineId;
use crate::storage::records::{CATALOG, EXPERIENCE, Experience, GroupExperience, HireRecord};
use crate::storage::service::{Class, StoreError};

/// The cloud bills at least this much of a machine.
const LEAST_BILLED: Duration = Duration::from_secs(60);
/// After the cloud has failed, what must be repeated waits this long.
const CLOUD_PAUSE: Duration = Duration::from_secs(2);
/// Deleted machines remembered, against late reports of theirs.
const GONE: usize = 1024;

/// Jobs that may use the same machines.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub(super) struct GroupKey {
    types: Vec<usize>,
    zone: Option<String>,
    spot: bool,
    gpus: bool,
    /// Its jobs may wait for as long as machines take to boot: nothing is kept
    /// ready for them beyond their usual demand.
    patient: bool,
}

/// Demand of one group over time, in CPUs (or GPUs, for jobs that need them).
///
/// What is measured is the work as if every task had started when it was
/// submitted and run for as long as its class is now known to run. A backlog, as
/// while the first machines boot, would otherwise be taken for demand that
/// stays; and so would, for as long as they said, the owners' estimates that
/// turned out too high. What is over is no demand, whatever was expected of it.
#[derive(Debug, Clone)]
pub(super) struct Demand {
    /// Work that would be running now.
    pub(super) ideal: f64,
    pub(super) mean: f64,
    /// Mean size of a job, and of its square: large jobs come in one piece.
    size: f64,
    size_square: f64,
    jobs: f64,
    born: Instant,
    at: Instant,
    active: f64,
    pending: f64,
    /// Since when there has been no work at all.
    quiet_since: Option<Instant>,
    /// What works off all that waits in time.
    pub(super) drain: f64,
    /// How long its jobs may wait for their first aim; nothing for those that may
    /// not wait while machines boot.
    patience: Duration,
    shape: Resources,
}

impl Demand {
    fn new(now: Instant) -> Self {
        Demand {
            ideal: 0.0,
            mean: 0.0,
            size: 0.0,
            size_square: 0.0,
            jobs: 0.0,
            born: now,
            at: now,
            active: 0.0,
            pending: 0.0,
            quiet_since: None,
            drain: 0.0,
            patience: Duration::ZERO,
            shape: Resources::default(),
        }
    }

    fn arrive(&mut self, units: f64) {
        self.jobs += 1.0;
        // A plain mean at first, later over about the last hundred jobs.
        let weight = 1.0 / self.jobs.min(100.0);
        self.size += (units - self.size) * weight;
        self.size_square += (units * units - self.size_square) * weight;
    }

    fn sample(&mut self, now: Instant, memory: Duration) {
        if self.active + self.pending + self.ideal > 0.0 {
            self.quiet_since = None;
        } else {
            self.quiet_since.get_or_insert(now);
        }
        let passed = now.saturating_duration_since(self.at).as_secs_f64().max(0.1);
        let age = now.saturating_duration_since(self.born).as_secs_f64() + passed;
        // Young, it is a plain mean; later, the past fades.
        let weight = (passed / age.min(memory.as_secs_f64())).clamp(0.0, 1.0);
        self.mean += (self.ideal - self.mean) * weight;
        self.at = now;
    }

    /// The standard deviation of work that comes in jobs of such sizes at
    /// random times: the square root of the mean times the size of the job
    /// that a unit of work typically belongs to.
    fn spread(&self) -> f64 {
        if self.size <= 0.0 { 0.0 } else { (self.mean * self.size_square / self.size).sqrt() }
    }
}

/// What to rent: type, zone, spot or not, how many.
type RentOption = (usize, String, bool, u32);

/// When a type, zone and kind may be tried again after a refusal.
#[derive(Debug, Clone, Copy)]
pub(super) struct Backoff {
    until: Instant,
    wait: Duration,
}

/// One reading of the machine list, page by page.
#[derive(Debug)]
pub(super) struct ListRound {
    started: Instant,
    seen: HashSet<MachineId>,
}

/// Whether so many of all are the exception, and to be believed.
fn few(count: usize, all: usize) -> bool {
    count * 2 <= all.max(1) || count <= 2
}

impl Leader {
    pub(super) fn request_catalog(&mut self) {
        self.call_cloud(Ticket::Catalog, CloudCall::Catalog);
    }

    pub(super) fn cloud_answered(&mut self, now: Instant, ticket: Ticket, result: CloudResult) {
        if result == Err(CloudError::Failed) {
            self.cloud_failed_at = Some(now);
        }
        match (ticket, result) {
            (Ticket::Catalog, Ok(CloudReply::Catalog(types))) => self.take_catalog(now, types),
            (Ticket::Catalog, _) => self.catalog_at = Some(now),
            (Ticket::List, Ok(CloudReply::List(page))) => self.take_list(now, page),
            (Ticket::List, _) => self.listing = None,
            (Ticket::AskHire(name), result) => self.hire_answered(now, &name, result),
            (Ticket::Delete(machines), Ok(_)) => self.deleted(now, &machines),
            (Ticket::Delete(machines), Err(_)) => {
                // Perhaps carried out, perhaps not: asked again until it is.
                for machine in machines {
                    if let Some(m) = self.machines.get_mut(&machine) {
                        m.delete_asked = false;
                    }
                }
            }
            _ => {}
        }
    }

    /// Types keep their place, so that machines can refer to them by number.
    pub(super) fn take_catalog(&mut self, now: Instant, types: Vec<MachineType>) {
        self.catalog_at = Some(now);
        let first = self.catalog.is_empty();
        // Kept in the store, so that a takeover while the cloud is down can
        // tell what its machines are. Prices move; they are not worth a write.
        let shape = |k: &MachineType| MachineType { price: 0.0, spot_price: 0.0, ..k.clone() };
        let changed = types.iter().any(|t| !self.catalog.iter().any(|k| shape(k) == shape(t)));
        for kind in types {
            match self.catalog.iter_mut().find(|k| k.name == kind.name) {
                Some(known) => *known = kind,
                None => self.catalog.push(kind),
            }
        }
        if changed {
            self.write_catalog();
        }
        if first && !self.catalog.is_empty() {
            self.meet_all(now);
        }
    }

    /// Enters all recorded machines, once their types are known.
    pub(super) fn meet_all(&mut self, now: Instant) {
        let hires: Vec<String> = self.hires.keys().cloned().collect();
        for name in hires {
            self.meet_hired(now, &name);
        }
        self.check_whole();
    }

    fn write_catalog(&mut self) {
        self.write_note(CATALOG, encode_catalog(&self.catalog));
    }

    /// Writes one of the notes that leaders keep for the next, unless its last
    /// write is still under way or it does not fit.
    fn write_note(&mut self, key: &'static str, value: Value) {
        let limit = (self.config.settings.cluster.state.value_kb * 1024.0) as usize;
        let note = self.notes.entry(key).or_default();
        if note.writing || json_size(&value) + 64 > limit {
            return;
        }
        note.writing = true;
        let condition = Condition { key: key.to_owned(), version: note.version };
        let change = Change::Put { key: key.to_owned(), value, lease: None };
        self.commit(Ticket::Note(key), Class::Rest, vec![condition], vec![change]);
    }

    /// A machine type's number; one that no machine has, if it is not known.
    fn kind_of(&self, name: &str) -> usize {
        self.catalog.iter().position(|k| k.name == name).unwrap_or(usize::MAX)
    }

    /// Enters the machines of a fleet record into the picture.
    fn meet_hired(&mut self, now: Instant, name: &str) {
        let Some(hire) = self.hires.get(name) else { return };
        let request = hire.record.request.clone();
        let used = hire.record.used.clone();
        let ids = hire.record.machines.clone().unwrap_or_default();
        let kind = self.kind_of(&request.machine_type);
        // One that had tasks has booted and worked before this epoch: what is
        // billed at the least is behind it. Counted from each takeover anew, it
        // kept hundreds of idle machines where leaders followed one another.
        let worked = now.checked_sub(LEAST_BILLED).unwrap_or(now);
        for id in ids {
            if self.machines.contains_key(&id) || self.gone.contains(&id) {
                continue;
            }
            let was_used = used.contains(&id);
            let machine = Machine {
                id: id.clone(),
                kind,
                zone: request.zone.clone(),
                spot: request.spot,
                hire: name.to_owned(),
                phase: if was_used { Phase::Up } else { Phase::Booting },
                address: String::new(),
                rented: if was_used { worked } else { now },
                up_at: None,
                seen: None,
                hinted: None,
                heed: Default::default(),
                doubted: false,
                least_session: 0,
                heard: None,
                answered: None,
                // Nothing was ever started on a machine not marked as used.
                known: !was_used,
                used: was_used,
                marking: false,
                delete_asked: false,
                stops_sent: None,
                taken_at: None,
                slots: Default::default(),
                free: self.catalog.get(kind).map(Resources::of_type).unwrap_or_default(),
                foreign: false,
                images: Default::default(),
                failures: Vec::new(),
                condemned: false,
                idle_since: now,
                // One that had tasks was listed long ago: a takeover need not see
                // it listed first to conclude from its absence.
                unlisted: u32::from(was_used),
                listed: was_used,
                wanted: true,
                unwanted_since: None,
                draining: false,
            };
            self.machines.insert(id, machine);
            if was_used {
                // What unheard machines may hold is counted with the queue's order.
                self.queue_at = None;
            }
        }
    }

    /// A machine that no record knows: entered first, then used or returned. Those
    /// that show up together share a record and its write; many do where machines
    /// were up before the first controller was.
    pub(super) fn meet_unexpected(
        &mut self,
        now: Instant,
        id: &MachineId,
        kind: &str,
        zone: &str,
        spot: bool,
    ) {
        if self.catalog.is_empty() || self.gone.contains(id) || self.strangers.contains_key(id) {
            return;
        }
        // It may be of a request whose answer is still on its way.
        let asked = |h: &Hire| {
            let r = &h.record.request;
            h.record.machines.is_none() && r.machine_type == kind && r.zone == zone && r.spot == spot
        };
        if self.hires.values().any(asked) {
            return;
        }
        let option = (kind.to_owned(), zone.to_owned(), spot);
        self.strangers.insert(id.clone(), option);
        self.strangers_since.get_or_insert(now);
    }

    /// Enters the machines that were not expected, each kind in one record. No
    /// record has named them, so nothing was ever started on them; the record says
    /// at once that they are used, which saves the write before their first start.
    pub(super) fn enter_strangers(&mut self, now: Instant) {
        let wait = self.config.settings.cluster.workers.report() / 4;
        if self.strangers_since.is_none_or(|since| now < since + wait) {
            return;
        }
        self.strangers_since = None;
        let mut groups: BTreeMap<(String, String, bool), Vec<MachineId>> = BTreeMap::new();
        for (id, option) in std::mem::take(&mut self.strangers) {
            if !self.machines.contains_key(&id) && !self.gone.contains(&id) {
                groups.entry(option).or_default().push(id);
            }
        }
        for ((machine_type, zone, spot), ids) in groups {
            for ids in ids.chunks(MAX_HIRE as usize) {
                self.next_hire += 1;
                let name = format!("x-{}-{}", self.epoch, self.next_hire);
                tracing::info!(count = ids.len(), %machine_type, %zone, spot, "machines that were not expected");
                let request = HireRequest {
                    name: name.clone(),
                    machine_type: machine_type.clone(),
                    zone: zone.clone(),
                    spot,
                    count: ids.len() as u32,
                };
                let record = HireRecord { request, machines: Some(ids.to_vec()), used: Default::default() };
                self.hires.insert(name.clone(), Hire::new(record, 0, now));
                self.meet_hired(now, &name);
                for id in ids {
                    if let Some(m) = self.machines.get_mut(id) {
                        m.marking = true;
                    }
                }
                if let Some(hire) = self.hires.get_mut(&name) {
                    hire.record.used = ids.iter().cloned().collect();
                }
                self.write_hire(&name);
            }
        }
    }

    pub(super) fn hire_written(&mut self, now: Instant, name: String, result: Result<u64, StoreError>) {
        let Some(hire) = self.hires.get_mut(&name) else { return };
        hire.writing = false;
        match result {
            Ok(version) => hire.version = version,
            Err(StoreError::Fenced) => return,
            Err(error) => {
                tracing::error!(hire = %name, ?error, "a fleet record cannot be written");
                hire.writing = true;
                return;
            }
        }
        if hire.dirty {
            // What was marked since is not recorded yet; wait for the next.
            return self.write_hire(&name);
        }
        if hire.record.machines.as_ref().is_some_and(Vec::is_empty) {
            self.hires.remove(&name);
            return;
        }
        for id in hire.record.used.clone() {
            if let Some(m) = self.machines.get_mut(&id) {
                m.used = true;
                m.marking = false;
            }
        }
        if self.hires.get(&name).is_some_and(|h| h.record.machines.is_none()) {
            self.ask_hire(now, &name);
        }
    }

    fn ask_hire(&mut self, now: Instant, name: &str) {
        let Some(hire) = self.hires.get_mut(name) else { return };
        if hire.asking || hire.version == 0 {
            return;
        }
        hire.asking = true;
        hire.asked_at = now;
        let request = hire.record.request.clone();
        self.call_cloud(Ticket::AskHire(name.to_owned()), CloudCall::Hire(request));
    }

    fn hire_answered(&mut self, now: Instant, name: &str, result: CloudResult) {
        let Some(hire) = self.hires.get_mut(name) else { return };
        hire.asking = false;
        hire.asked_at = now;
        let request = hire.record.request.clone();
        let short = match result {
            Ok(CloudReply::Hired(machines)) => {
                let short = (machines.len() as u32) < request.count;
                hire.record.machines = Some(machines);
                short
            }
            Err(CloudError::NoCapacity | CloudError::Rejected) => {
                hire.record.machines = Some(Vec::new());
                true
            }
            // Unknown: the same request again, which then tells what it got.
            _ => return,
        };
        let kind = self.kind_of(&request.machine_type);
        let option = (kind, request.zone.clone(), request.spot);
        self.write_hire(name);
        self.meet_hired(now, name);
        if short {
            let boot = self.catalog.get(kind).map_or(30.0, |k| k.boot_s).max(1.0);
            let first = Duration::from_secs_f64(boot / 2.0);
            let wait = self.backoff.get(&option).map_or(first, |b| (b.wait * 2).min(first * 2));
            self.backoff.insert(option, Backoff { until: now + wait, wait });
        } else {
            self.backoff.remove(&option);
        }
    }

    fn deleted(&mut self, now: Instant, machines: &[MachineId]) {
        for id in machines {
            // The answer proves that the machine and all on it are gone.
            self.clear_slots(now, id);
            let Some(m) = self.machines.remove(id) else { continue };
            if self.gone.insert(id.clone()) {
                self.gone_order.push_back(id.clone());
            }
            while self.gone_order.len() > GONE {
                if let Some(old) = self.gone_order.pop_front() {
                    self.gone.remove(&old);
                }
            }
            if let Some(hire) = self.hires.get_mut(&m.hire) {
                if let Some(list) = &mut hire.record.machines {
                    list.retain(|other| other != id);
                }
                hire.record.used.remove(id);
            }
            self.write_hire(&m.hire);
        }
        self.check_whole();
    }

    pub(super) fn delete(&mut self, machines: Vec<MachineId>) {
        for chunk in machines.chunks(MAX_DELETE) {
            for id in chunk {
                if let Some(m) = self.machines.get_mut(id) {
                    m.phase = Phase::Deleting;
                    m.delete_asked = true;
                }
            }
            self.call_cloud(Ticket::Delete(chunk.to_vec()), CloudCall::Delete(chunk.to_vec()));
        }
    }

    fn take_list(&mut self, now: Instant, page: ListPage) {
        let Some(mut round) = self.listing.take() else { return };
        let mut failed = Vec::new();
        // A list as old as the takeover may still show what an earlier leader
        // has deleted.
        let young = round.started >= self.loaded_at + self.list_lag() * 2;
        for listed in &page.machines {
            round.seen.insert(listed.machine.clone());
            match self.machines.get_mut(&listed.machine) {
                Some(m) => {
                    m.listed = true;
                    m.unlisted = 0;
                    if m.address.is_empty() {
                        m.address.clone_from(&listed.address);
                    }
                    if listed.state == ListedState::Failed && m.phase != Phase::Deleting {
                        failed.push(m.id.clone());
                    }
                }
                None if !young => {}
                None => {
                    self.meet_unexpected(
                        now,
                        &listed.machine,
                        &listed.machine_type,
                        &listed.zone,
                        listed.spot,
                    );
                }
            }
        }
        if !failed.is_empty() {
            tracing::info!(count = failed.len(), "machines have stopped on their own");
            self.delete(failed);
        }
        match page.machines.last() {
            Some(last) if page.more => {
                let from = last.machine.as_str().to_owned();
                self.listing = Some(round);
                self.call_cloud(Ticket::List, CloudCall::List { from });
            }
            _ => {
                self.listed_at = Some(now);
                self.judge_unlisted(now, &round);
            }
        }
    }

    /// A machine that was listed and is no more is gone, unless the list is
    /// older than an earlier one. Its deletion proves it, and costs nothing.
    fn judge_unlisted(&mut self, now: Instant, round: &ListRound) {
        let cluster = &self.config.settings.cluster;
        let lag = Duration::from_secs_f64(cluster.cloud.list_lag_s);
        let quiet = cluster.workers.report().mul_f64(1.5);
        let loaded_at = self.loaded_at;
        let mut lost = Vec::new();
        for m in self.machines.values_mut() {
            if round.seen.contains(&m.id) || m.phase == Phase::Deleting {
                continue;
            }
            let old_enough = m.listed || m.rented + lag * 4 < round.started;
            let silent = m.heard.unwrap_or(loaded_at) + quiet < now;
            if old_enough && silent {
                m.unlisted += 1;
                if m.unlisted >= 2 {
                    lost.push(m.id.clone());
                }
            }
        }
        if !lost.is_empty() {
            tracing::info!(count = lost.len(), "machines are not listed any more");
            self.delete(lost);
        }
    }

    /// Whether the cloud has failed a moment ago.
    pub(super) fn cloud_is_down(&self, now: Instant) -> bool {
        self.cloud_failed_at.is_some_and(|at| now < at + Duration::from_secs(10))
    }

    /// How old the machine list usually is.
    fn list_lag(&self) -> Duration {
        Duration::from_secs_f64(self.config.settings.cluster.cloud.list_lag_s.max(1.0))
    }

    /// Once a second.
    pub(super) fn fleet_tick(&mut self, now: Instant) {
        let lag = self.list_lag();
        let catalog_age = if self.catalog.is_empty() { Duration::from_secs(1) } else { lag * 10 };
        let asked = self.tickets.values().any(|t| matches!(t, Ticket::Catalog));
        if !asked && self.catalog_at.is_none_or(|at| now > at + catalog_age) {
            self.request_catalog();
        }
        if self.catalog.is_empty() {
            return;
        }
        if self.listing.is_none() && self.listed_at.is_none_or(|at| now > at + lag) {
            self.listing = Some(ListRound { started: now, seen: HashSet::default() });
            self.call_cloud(Ticket::List, CloudCall::List { from: String::new() });
        }
        let unresolved: Vec<String> = self
            .hires
            .values()
            .filter(|h| h.record.machines.is_none() && !h.writing && !h.asking)
            .filter(|h| h.version > 0 && now >= h.asked_at + CLOUD_PAUSE)
            .map(|h| h.record.request.name.clone())
            .collect();
        for name in unresolved {
            self.ask_hire(now, &name);
        }
        self.spot_seconds += self.machines.values().filter(|m| m.spot && m.phase == Phase::Up).count() as f64;
        self.measure_demand(now);
        let boot = self.longest_boot();
        if now > self.experience_at + boot / 5 {
            self.experience_at = now;
            self.write_experience(now);
        }
        self.note_silence(now);
        let wanted = self.rent(now);
        for m in self.machines.values_mut() {
            m.wanted = wanted.contains(&m.id);
            m.unwanted_since = if m.wanted { None } else { m.unwanted_since.or(Some(now)) };
        }
        self.consolidate(now);
        self.give_back(now, &wanted);
    }

    fn measure_demand(&mut self, now: Instant) {
        for demand in self.demand.values_mut() {
            (demand.ideal, demand.active, demand.pending, demand.drain) = (0.0, 0.0, 0.0, 0.0);
        }
        let start_delay = self.config.settings.cluster.workers.report().mul_f64(0.5);
        let ids: Vec<JobId> = self.jobs.values().filter(|j| j.is_live()).map(|j| j.id().clone()).collect();
        for id in ids {
            let Some(job) = self.jobs.get(&id) else { continue };
            let spec = job.spec();
            let Some(team) = job.team.and_then(|t| self.teams.get(t)) else { continue };
            let gpus = spec.gpus > 0.0;
            let unit = if gpus { spec.gpus } else { spec.cpus };
            let limit = if gpus { team.limit.gpus } else { team.limit.cpus };
            let patience = self.starts_aimed_at(spec).min().unwrap_or_default();
            let patient = patience > self.longest_boot().mul_f64(1.5);
            let types = self.fitting_types(spec);
            let key = GroupKey { types, zone: spec.zone.clone(), spot: spec.spot, gpus, patient };
            let shape = Resources::of(spec);
            let run = self.expected_run(spec);
            let active = unit * job.active.len() as f64;
            let pending = unit * f64::from(job.pending());
            // What waits is to be worked off while, or soon after, what is rented
            // for it boots, since more would come up to find nothing to do; and
            // over a longer time if the job's aims leave it.
            let boot = self.longest_boot();
            let due = self.latest_start(job, now) + Duration::from_secs_f64(run);
            let time = due.saturating_duration_since(now).clamp(boot * 2, boot * 4);
            // What a team asks beyond its limit cannot run at once.
            let offered = job.offered.unwrap_or_else(|| (unit * f64::from(job.unfinished())).min(limit));
            let arriving = job.offered.is_none();
            let ideal_end = job.submitted + Duration::from_secs_f64(run) + start_delay;
            let runs_ideally = job.is_service() || now < ideal_end;
            let demand = self.demand.entry(key).or_insert_with(|| Demand::new(now));
            demand.patience = if patient { patience } else { Duration::ZERO };
            demand.active += active;
            demand.pending += pending.min(limit);
            demand.drain += pending * run / time.as_secs_f64();
            demand.ideal += if runs_ideally { offered } else { 0.0 };
            if arriving {
                demand.arrive(offered);
                let weight = (offered / (offered + demand.size * 4.0)).clamp(0.0, 1.0);
                let blend = |old: f64, new: f64| if old > 0.0 { old + (new - old) * weight } else { new };
                demand.shape = Resources {
                    cpus: blend(demand.shape.cpus, shape.cpus),
                    gpus: blend(demand.shape.gpus, shape.gpus),
                    memory_gb: blend(demand.shape.memory_gb, shape.memory_gb),
                };
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.offered = Some(offered);
                }
            }
        }
        let memory = self.longest_boot().mul_f64(self.config.tuning.memory_ratio);
        let longest = self.config.tuning.begin_within;
        for demand in self.demand.values_mut() {
            // Work that may wait evens out by itself for that long: machines that come
            // and go with each of its jobs would spend their time on booting.
            demand.sample(now, memory.max(demand.patience.min(longest)));
        }
        self.demand.retain(|_, d| d.mean > 0.05 || d.active + d.pending > 0.0);
    }

    /// What a later leader could not find out by itself: demand so far and how
    /// estimates have turned out.
    fn write_experience(&mut self, now: Instant) {
        let groups = self.demand.iter().map(|(key, demand)| {
            let types = key.types.iter().filter_map(|&t| self.catalog.get(t)).map(|k| k.name.as_str());
            GroupExperience {
                types: types.map(str::to_owned).collect(),
                zone: key.zone.clone(),
                spot: key.spot,
                gpus: key.gpus,
                patient: key.patient,
                mean: demand.mean,
                size: demand.size,
                size_square: demand.size_square,
                jobs: demand.jobs,
                age_s: now.saturating_duration_since(demand.born).as_secs_f64(),
            }
        });
        let experience = Experience {
            groups: groups.take(32).collect(),
            ratios: self.class_ratio.iter().take(64).map(|(c, r)| (c.clone(), *r)).collect(),
        };
        self.write_note(EXPERIENCE, experience.encode());
    }

    /// Takes over what an earlier leader had learnt.
    pub(super) fn take_experience(&mut self, now: Instant, experience: Experience) {
        self.class_ratio = experience.ratios.into_iter().collect();
        for group in experience.groups {
            let types = group.types.iter().map(|name| self.catalog.iter().position(|k| k.name == *name));
            let Some(types) = types.collect::<Option<Vec<_>>>() else { continue };
            let key = GroupKey {
                types,
                zone: group.zone,
                spot: group.spot,
                gpus: group.gpus,
                patient: group.patient,
            };
            let mut demand = Demand::new(now);
            demand.mean = group.mean;
            demand.size = group.size;
            demand.size_square = group.size_square;
            demand.jobs = group.jobs;
            demand.born = now.checked_sub(Duration::from_secs_f64(group.age_s.min(1e6))).unwrap_or(now);
            self.demand.insert(key, demand);
        }
    }

    /// How often a spot machine is lost, per second of its life: what was seen,
    /// beside one loss in one machine's hour to begin with.
    pub(super) fn spot_loss_rate(&self) -> f64 {
        (self.spot_losses + 1.0) / (self.spot_seconds + 3600.0)
    }

    pub(super) fn longest_boot(&self) -> Duration {
        Duration::from_secs_f64(self.catalog.iter().map(|k| k.boot_s).fold(1.0, f64::max))
    }

    /// Units of a group's work that a machine type takes.
    fn units(&self, kind: usize, demand: &Demand, gpus: bool) -> f64 {
        let Some(kind) = self.catalog.get(kind) else { return 0.0 };
        let tasks = f64::from(demand.shape.times_in(&Resources::of_type(kind)).min(10_000));
        tasks * if gpus { demand.shape.gpus } else { demand.shape.cpus }
    }

    /// Covers every group's need with machines, the cheapest first, and rents
    /// what is missing. Returns the machines that are wanted.
    fn rent(&mut self, now: Instant) -> HashSet<MachineId> {
        let tuning = &self.config.tuning;
        let headroom = tuning.headroom;
        let spot_weight = tuning.spot_price_weight;
        let mut groups: Vec<(GroupKey, Demand)> =
            self.demand.iter().map(|(k, d)| (k.clone(), d.clone())).collect();
        // Those with the fewest choices first.
        groups.sort_by_key(|(k, _)| (k.types.len(), k.zone.is_none(), k.spot, k.clone()));
        // What does not hear us does no work, and goes back once it is empty;
        // unless it is most of them, when the fault is more likely on this side.
        let silence = self.silence(now);
        let doubted = self.machines.values().filter(|m| m.doubted).count();
        let trust_doubt = few(doubted, self.machines.len());
        let mut left: Vec<(MachineId, usize, String, bool, f64)> = self
            .machines
            .values()
            .filter(|m| m.phase != Phase::Deleting && !m.condemned && m.taken_at.is_none())
            .filter(|m| !silence.is_silent(m))
            .filter(|m| !(m.doubted && trust_doubt))
            .map(|m| (m.id.clone(), m.kind, m.zone.clone(), m.spot, 1.0))
            .collect();
        let price = |kind: usize, spot: bool| -> f64 {
            self.catalog.get(kind).map_or(f64::MAX, |k| {
                (if spot { k.spot_price * spot_weight } else { k.price }) / k.cpus.max(1.0)
            })
        };
        // At one price those with the most on them, so that the others empty.
        // Prices are not negative: their bits are in the same order.
        left.sort_by_cached_key(|(id, kind, _, spot, _)| {
            let load = self.machines.get(id).map_or(0, |m| m.slots.len());
            (price(*kind, *spot).to_bits(), std::cmp::Reverse(load), id.clone())
        });
        // Machines asked for but not named yet count as if they were there.
        let mut coming: Vec<(usize, String, bool, f64)> = self
            .hires
            .values()
            .filter(|h| h.record.machines.is_none())
            .map(|h| {
                let r = &h.record.request;
                let kind = self.kind_of(&r.machine_type);
                (kind, r.zone.clone(), r.spot, f64::from(r.count))
            })
            .collect();
        let mut wanted = HashSet::default();
        let mut orders: Vec<RentOption> = Vec::new();
        let rentals = self.config.settings.cluster.cloud.rps.max(1.0);
        for (key, demand) in groups {
            // What may wait queues for a while instead of finding machines ready.
            let usual = if key.patient {
                demand.mean * tuning.patient_ratio
            } else {
                demand.mean * tuning.mean_ratio + demand.spread() * headroom
            };
            let backlog = demand.mean + demand.drain;
            let at_once = demand.active + demand.pending;
            let mut need = usual.max(backlog.min(at_once));
            if demand.quiet_since.is_some_and(|since| now > since + self.longest_boot()) {
                // Nothing has come for as long as a machine takes to boot:
                // what is kept warm costs more than it saves.
                need = 0.0;
            }
            tracing::debug!(
                spot = key.spot,
                mean = demand.mean,
                spread = demand.spread(),
                active = demand.active,
                pending = demand.pending,
                need,
                "demand"
            );
            let allows = |kind: usize, zone: &str, spot: bool| {
                key.types.contains(&kind)
                    && key.zone.as_deref().is_none_or(|z| z == zone)
                    && (key.spot || !spot)
            };
            // What ordinary machines cover.
            let mut dear = 0.0;
            for (id, kind, zone, spot, part) in &mut left {
                if need <= 0.0 {
                    break;
                }
                let units = self.units(*kind, &demand, key.gpus);
                if *part <= 0.0 || units <= 0.0 || !allows(*kind, zone, *spot) {
                    continue;
                }
                let taken = (need / units).min(*part);
                *part -= taken;
                need -= taken * units;
                if !*spot {
                    dear += taken * units;
                }
                // For a small rest no whole machine is kept.
                if taken > 0.2 || wanted.is_empty() {
                    wanted.insert(id.clone());
                }
            }
            for (kind, zone, spot, count) in &mut coming {
                let units = self.units(*kind, &demand, key.gpus);
                if need + dear > 0.0 && units > 0.0 && allows(*kind, zone, *spot) {
                    let taken = ((need + dear) / units).min(*count);
                    *count -= taken;
                    need -= taken * units;
                }
            }
            if need > 0.0 {
                // After a wave hundreds of machines are missing: as many rentals as
                // the cloud takes in a second, instead of one.
                let room = (rentals as usize).saturating_sub(orders.len()).max(1);
                for _ in 0..room {
                    let Some(option) = self.choose_option(now, &key, &demand, need, &orders) else { break };
                    need -= f64::from(option.3) * self.units(option.0, &demand, key.gpus);
                    orders.push(option);
                }
            } else if key.spot && need + dear > 0.0 {
                // Ordinary machines do what spot ones could: take those when
                // they are to be had; the others then empty and go back.
                let option = self.choose_option(now, &key, &demand, need + dear, &orders);
                orders.extend(option.filter(|o| o.2));
            }
        }
        for (kind, zone, spot, count) in orders {
            self.hire(now, kind, zone, spot, count);
        }
        wanted
    }

    /// The cheapest way to get what is missing, beside what is chosen already;
    /// evens out zones at one price.
    fn choose_option(
        &self,
        now: Instant,
        key: &GroupKey,
        demand: &Demand,
        need: f64,
        chosen: &[RentOption],
    ) -> Option<RentOption> {
        let busy = |kind: usize, zone: &str, spot: bool| {
            chosen.iter().any(|o| o.0 == kind && o.1 == zone && o.2 == spot)
                || self.hires.values().any(|h| {
                    let r = &h.record.request;
                    h.record.machines.is_none()
                        && r.zone == zone
                        && r.spot == spot
                        && self.catalog.get(kind).is_some_and(|k| k.name == r.machine_type)
                })
                || self.backoff.get(&(kind, zone.to_owned(), spot)).is_some_and(|b| now < b.until)
        };
        let mut best: Option<(f64, usize, RentOption)> = None;
        for &at in &key.types {
            let kind = self.catalog.get(at)?;
            let units = self.units(at, demand, key.gpus);
            if units <= 0.0 {
                continue;
            }
            let count = (need / units - 0.05).ceil().max(0.0) as u32;
            if count == 0 {
                continue;
            }
            for zone in kind.zones.iter().filter(|z| key.zone.as_ref().is_none_or(|k| k == *z)) {
                let coming = chosen.iter().filter(|o| o.1 == *zone).map(|o| o.3 as usize).sum::<usize>();
                let here = self.machines.values().filter(|m| m.zone == *zone).count() + coming;
                for spot in [true, false] {
                    if (spot && !key.spot) || busy(at, zone, spot) {
                        continue;
                    }
                    let weight = self.config.tuning.spot_price_weight;
                    let cost = f64::from(count) * if spot { kind.spot_price * weight } else { kind.price };
                    let better = best
                        .as_ref()
                        .is_none_or(|(c, n, _)| cost < c * 0.99 || (cost < c * 1.01 && here < *n));
                    if better {
                        best = Some((cost, here, (at, zone.clone(), spot, count.min(MAX_HIRE))));
                    }
                }
            }
        }
        best.map(|(_, _, option)| option)
    }

    fn hire(&mut self, now: Instant, kind: usize, zone: String, spot: bool, count: u32) {
        let Some(machine_type) = self.catalog.get(kind).map(|k| k.name.clone()) else { return };
        self.next_hire += 1;
        // Epoch and counter: never used twice, by whichever controller.
        let name = format!("{}-{}", self.epoch, self.next_hire);
        tracing::info!(hire = %name, %machine_type, %zone, spot, count, "renting");
        let request = HireRequest { name: name.clone(), machine_type, zone, spot, count };
        let record = HireRecord { request, machines: None, used: Default::default() };
        self.hires.insert(name.clone(), Hire::new(record, 0, now));
        self.write_hire(&name);
    }

    /// Returns what is idle and not wanted, and what is of no use any more.
    fn give_back(&mut self, now: Instant, wanted: &HashSet<MachineId>) {
        let tuning = &self.config.tuning;
        let silence = self.silence(now);
        let cloud_down = self.cloud_is_down(now);
        let mut back = Vec::new();
        for m in self.machines.values() {
            let boot = Duration::from_secs_f64(self.catalog.get(m.kind).map_or(30.0, |k| k.boot_s).max(1.0));
            let idle = m.slots.is_empty() && m.known;
            let reason = match m.phase {
                Phase::Deleting => None,
                Phase::Booting => {
                    let limit = boot.mul_f64(tuning.boot_limit_ratio).max(LEAST_BILLED);
                    if now > m.rented + limit { Some("never started") } else { None }
                }
                Phase::Up if silence.is_gone(m) => Some("silent"),
                Phase::Up if idle && (m.condemned || m.taken_at.is_some()) => Some("sick or taken"),
                Phase::Up => {
                    let long = now > m.idle_since + boot.mul_f64(tuning.idle_ratio);
                    let billed = now > m.rented + LEAST_BILLED;
                    (idle && long && billed && !cloud_down && !wanted.contains(&m.id)).then_some("idle")
                }
            };
            if m.phase == Phase::Deleting {
                // Perhaps not carried out: asked again, but not all the time.
                let pause = self.cloud_failed_at.is_some_and(|at| now < at + CLOUD_PAUSE);
                if !m.delete_asked && !pause {
                    back.push(m.id.clone());
                }
            } else if let Some(reason) = reason {
                let lost = reason == "silent" || m.taken_at.is_some();
                self.spot_losses += f64::from(u8::from(m.spot && lost && m.phase == Phase::Up));
                tracing::info!(machine = %m.id, reason, "returning");
                back.push(m.id.clone());
            }
        }
        if !back.is_empty() {
            self.delete(back);
        }
    }
}
