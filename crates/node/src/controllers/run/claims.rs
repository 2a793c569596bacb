//! Renews the lease, claims shards and hands them over.

use std::sync::Arc;

use journal::claim::Ownership;
use journal::copy;
use journal::key;
use journal::log::Setup;
use platform::edge;
use platform::edge::Compare;
use platform::edge::Priority;
use platform::edge::Txn;
use platform::edge::Write;
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::clock::Millis;
use wire::event::Event;
use wire::id;

use crate::controllers::claims;
use crate::controllers::claims::Action;
use crate::controllers::claims::Claims;
use crate::controllers::claims::Facts;
use crate::controllers::claims::Health;
use crate::controllers::claims::lease::Renewer;
use crate::controllers::claims::lease::Request;
use crate::controllers::copies;
use crate::controllers::members::heartbeat::Owner;
use crate::controllers::run::members;
use crate::core::Core;

/// The time between two decisions, equal to the interval of claims. Each decision lists all VMs
/// again.
const DECISION_INTERVAL: Millis = Millis::new(100);
/// How often possibly stale records are checked.
const CLEANUP_INTERVAL: Millis = Millis::new(1_000);
/// How long the next owner may take to answer the notice of a handover.
const TIMEOUT: Millis = Millis::new(500);

/// How a claim or a handover ended.
enum Completion {
    Claimed(id::Shard, bool),
    Released(id::Shard, id::Vm),
}

/// The state of the task.
struct Task {
    core: Arc<Core>,
    renewer: Renewer,
    claims: Claims,
    shards: Vec<id::Shard>,
    /// Shards that are being claimed or handed over.
    busy: Vec<id::Shard>,
    /// Shards whose record may name this VM although it doesn't serve them.
    stale_records: Vec<id::Shard>,
    last_cleanup: Millis,
    completions: mpsc::UnboundedSender<Completion>,
}

/// Runs until the node has stopped, and then revokes the lease, which frees the remaining shards.
pub async fn run(core: Arc<Core>) {
    let (sender, mut completions) = mpsc::unbounded_channel();
    let now = core.clock.now();
    let mut task = Task {
        renewer: Renewer::new(core.settings.platform.lease),
        claims: Claims::new(now),
        shards: shards(&core),
        busy: Vec::new(),
        stale_records: Vec::new(),
        last_cleanup: now,
        completions: sender,
        core: core.clone(),
    };
    loop {
        task.renew().await;
        task.decide();
        task.remove_stale_records().await;
        tokio::select! {
            () = sleep(DECISION_INTERVAL.as_duration()) => {}
            Some(completion) = completions.recv() => task.on_completion(completion),
            () = core.stopped.cancelled() => break,
        }
    }
    if let Some(lease) = task.renewer.lease() {
        let _expires_anyway = core.platform.revoke(lease).await;
    }
}

/// Waits until each shard of the own data centre has an owner, for a lease time at most. A shard
/// without an owner by then had an owner that died, or the platform is down.
pub async fn wait_for_owners(core: &Core) {
    let own = &core.settings.vm.centre;
    let shards = core.settings.centres.iter().find(|c| c.name == *own);
    let wanted = shards.map_or(0, |centre| usize::from(centre.shards));
    let mut views = core.view.subscribe();
    let all = views.wait_for(|view| {
        let own_shards = view.owners.iter().filter(|o| o.shard.centre == *own);
        own_shards.count() >= wanted
    });
    let _timed_out = timeout(core.settings.platform.lease.as_duration(), all).await;
}

impl Task {
    async fn renew(&mut self) {
        let requested_at = self.core.clock.now();
        let before = (self.renewer.lease(), self.renewer.health());
        match self.renewer.due(requested_at) {
            Some(Request::Grant) => {
                let answer = self
                    .core
                    .platform
                    .grant(self.core.settings.platform.lease)
                    .await;
                let now = self.core.clock.now();
                self.renewer.on_grant(&answer, requested_at, now);
            }
            Some(Request::Renew(lease)) => {
                let answer = self.core.platform.renew(lease).await;
                let now = self.core.clock.now();
                self.renewer.on_renewal(&answer, requested_at, now);
            }
            None => return,
        }
        self.log_health(before.1);
        if let Some(lease) = self.renewer.lease().filter(|l| before.0 != Some(*l)) {
            self.reclaim(lease);
        }
    }

    fn log_health(&self, before: Health) {
        let health = self.renewer.health();
        let up = health != Health::Down;
        if up != (before != Health::Down) {
            let event = if up {
                Event::OutageEnded
            } else {
                Event::OutageBegan
            };
            log::warn!("{event} vm={}", self.core.settings.vm.name);
        }
        if self.core.view.borrow().platform != up {
            self.core.update(|view| view.platform = up);
        }
    }

    /// Writes the records of all owned shards again under a new lease.
    fn reclaim(&self, lease: edge::Lease) {
        for owned in self.core.registry.owned() {
            let core = self.core.clone();
            self.core
                .tasks
                .spawn(async move { reclaim(&core, &owned.shard, lease).await });
        }
    }

    fn decide(&mut self) {
        let core = self.core.clone();
        let me = &core.settings.vm.name;
        let served: Vec<id::Shard> = core.registry.owned().into_iter().map(|o| o.shard).collect();
        let mut owned = served.clone();
        owned.extend(self.busy.iter().cloned());
        owned.sort();
        owned.dedup();
        let mut exchange = core.control.exchange();
        for ownership in claims::stale_ownerships(me, &owned, exchange.owners.entries()) {
            if exchange.owners.merge(&ownership) {
                core.control.urgent.notify_one();
            }
        }
        // The node's shutdown hands over the remaining shards, all at once.
        if core.stopping.is_cancelled() {
            return;
        }
        let members = exchange.table.members().iter();
        let vms: Vec<claims::Vm> = members.map(claims::Vm::from_member).collect();
        let owners = exchange.owners.entries().to_vec();
        drop(exchange);
        let config = core.view().config.clone();
        let actions = self.claims.decide(&Facts {
            now: core.clock.now(),
            me,
            vms: &vms,
            shards: &self.shards,
            owned: &owned,
            owners: &owners,
            platform: self.renewer.health(),
            lease: core.settings.platform.lease,
            lost: &config.lost,
        });
        for action in actions {
            self.act(action);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Claim(shard) => {
                let Some(lease) = self.renewer.lease() else {
                    return;
                };
                self.busy.push(shard.clone());
                let (core, completions) = (self.core.clone(), self.completions.clone());
                self.core.tasks.spawn(async move {
                    let served = claim(&core, &shard, lease).await;
                    let _task_ended = completions.send(Completion::Claimed(shard, served));
                });
            }
            Action::Release { shard, .. } if self.busy.contains(&shard) => {}
            Action::Release { shard, to } => {
                log::info!(
                    "{} shard={shard} to={to} reason=rendezvous",
                    Event::ShardReleased
                );
                self.busy.push(shard.clone());
                let (core, completions) = (self.core.clone(), self.completions.clone());
                self.core.tasks.spawn(async move {
                    core.registry.release(&shard).await;
                    let _task_ended = completions.send(Completion::Released(shard, to));
                });
            }
        }
    }

    fn on_completion(&mut self, completion: Completion) {
        match completion {
            Completion::Claimed(shard, served) => {
                self.busy.retain(|s| *s != shard);
                if served {
                    self.claims.note_success(&shard);
                } else {
                    self.claims.note_failure(&shard, self.core.clock.now());
                    self.stale_records.push(shard);
                }
            }
            Completion::Released(shard, to) => {
                self.busy.retain(|s| *s != shard);
                self.stale_records.push(shard);
                // This marks the shard as given up, and the heartbeat below sends that to the next
                // owner at once.
                self.decide();
                let core = self.core.clone();
                self.core
                    .tasks
                    .spawn(async move { members::heartbeat(&core, &to, TIMEOUT).await });
            }
        }
    }

    /// Removes records that name this VM for shards that it doesn't serve. They remain if the
    /// answer to a removal or a claim was lost. This VM keeps renewing its lease, so such a record
    /// would block the shard for every VM as long as this one lives.
    async fn remove_stale_records(&mut self) {
        let now = self.core.clock.now();
        if now.since(self.last_cleanup) < CLEANUP_INTERVAL || self.renewer.health() == Health::Down
        {
            return;
        }
        self.last_cleanup = now;
        self.stale_records.sort();
        self.stale_records.dedup();
        for shard in std::mem::take(&mut self.stale_records) {
            let busy = self.busy.contains(&shard);
            if !busy
                && !self.core.registry.holds(&shard)
                && !remove_record(&self.core, &shard).await
            {
                self.stale_records.push(shard);
            }
        }
    }
}

async fn claim(core: &Arc<Core>, shard: &id::Shard, lease: edge::Lease) -> bool {
    let copy_holders = copies::holders(core, shard);
    let setup = Setup {
        platform: core.platform.clone(),
        peers: Arc::new(copies::Client::new(core)),
        vm: core.settings.vm.name.clone(),
        shard: shard.clone(),
        seed: rand::random(),
        acks: copy::acks(copy_holders.len()),
        copy_holders,
    };
    match core.registry.claim(core, setup, lease).await {
        Ok(epoch) => {
            let ownership = Owner {
                shard: shard.clone(),
                vm: core.settings.vm.name.clone(),
                epoch,
                free: false,
            };
            core.control.exchange().owners.merge(&ownership);
            members::publish(core);
            core.control.urgent.notify_one();
            true
        }
        Err(fault) => {
            log::warn!("{} shard={shard} failed=\"{fault}\"", Event::ShardClaimed);
            false
        }
    }
}

async fn reclaim(core: &Core, shard: &id::Shard, lease: edge::Lease) {
    match core.registry.reclaim(shard, lease).await {
        Ok(true) => {}
        // The journal's fence ends the ownership at the next append at the latest.
        Ok(false) => log::warn!("{} shard={shard} reason=record", Event::ShardLost),
        Err(fault) => log::warn!("{} shard={shard} failed=\"{fault}\"", Event::ShardClaimed),
    }
}

/// Removes a shard's record if it names this VM. Returns `true` if it surely doesn't name this VM
/// any more.
async fn remove_record(core: &Core, shard: &id::Shard) -> bool {
    let key = key::owner(shard);
    let Ok(read) = core.platform.read(&key).await else {
        return false;
    };
    let Some(entry) = read else { return true };
    let mine = |o: &Ownership| o.vm == core.settings.vm.name;
    if !Ownership::decode(&entry.value).as_ref().is_some_and(mine) {
        return true;
    }
    let txn = Txn {
        compares: vec![Compare {
            key: key.clone(),
            revision: entry.revision,
        }],
        writes: vec![Write::Delete(key)],
    };
    core.platform.commit(&txn, Priority::Claim).await.is_ok()
}

fn shards(core: &Core) -> Vec<id::Shard> {
    let centres = core.settings.centres.iter();
    let mut shards: Vec<id::Shard> = centres
        .flat_map(|centre| {
            (0..centre.shards).map(|index| id::Shard {
                centre: centre.name.clone(),
                index,
            })
        })
        .collect();
    shards.sort();
    shards
}
