//! Keeps the lease, claims shards and hands them over.

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
use crate::controllers::claims::lease::Ask;
use crate::controllers::claims::lease::Keeping;
use crate::controllers::copies;
use crate::controllers::members::beat::Owner;
use crate::controllers::run::members;
use crate::core::Core;

/// How often decisions are taken: the pace of claims. Each one lists all VMs anew.
const TURN: Millis = Millis::new(100);
/// How often records that may be left over are looked at.
const CLEAR: Millis = Millis::new(1_000);
/// How long the next owner may take to answer when it is told of a hand-over.
const TELL: Millis = Millis::new(500);

/// How a claim or a hand-over ended.
enum Ended {
    Claimed(id::Shard, bool),
    Released(id::Shard, id::Vm),
}

/// What the task keeps.
struct Task {
    core: Arc<Core>,
    keeping: Keeping,
    claims: Claims,
    shards: Vec<id::Shard>,
    /// Shards that are being claimed or handed over.
    busy: Vec<id::Shard>,
    /// Shards whose record may name this VM although it doesn't serve them.
    strays: Vec<id::Shard>,
    cleared: Millis,
    ended: mpsc::UnboundedSender<Ended>,
}

/// Runs until the node has stopped, and then ends the lease, which frees what is left.
pub async fn keep(core: Arc<Core>) {
    let (sender, mut ended) = mpsc::unbounded_channel();
    let now = core.clock.now();
    let mut task = Task {
        keeping: Keeping::new(core.settings.platform.lease),
        claims: Claims::new(now),
        shards: shards(&core),
        busy: Vec::new(),
        strays: Vec::new(),
        cleared: now,
        ended: sender,
        core: core.clone(),
    };
    loop {
        task.renew().await;
        task.decide();
        task.clear().await;
        tokio::select! {
            () = sleep(TURN.as_duration()) => {}
            Some(end) = ended.recv() => task.ended(end),
            () = core.stopped.cancelled() => break,
        }
    }
    if let Some(lease) = task.keeping.lease() {
        let _or_it_lapses = core.platform.revoke(lease).await;
    }
}

/// Waits until each shard of the own data centre has an owner, for a lease time at most: what has
/// none by then, has a dead owner or the platform is down.
pub async fn settled(core: &Core) {
    let own = &core.settings.vm.centre;
    let shards = core.settings.centres.iter().find(|c| c.name == *own);
    let wanted = shards.map_or(0, |centre| usize::from(centre.shards));
    let mut views = core.view.subscribe();
    let all = views.wait_for(|view| {
        let near = view.owners.iter().filter(|o| o.shard.centre == *own);
        near.count() >= wanted
    });
    let _or_not = timeout(core.settings.platform.lease.as_duration(), all).await;
}

impl Task {
    async fn renew(&mut self) {
        let asked = self.core.clock.now();
        let before = (self.keeping.lease(), self.keeping.health());
        match self.keeping.due(asked) {
            Some(Ask::Grant) => {
                let answer = self
                    .core
                    .platform
                    .grant(self.core.settings.platform.lease)
                    .await;
                let now = self.core.clock.now();
                self.keeping.granted(&answer, asked, now);
            }
            Some(Ask::Renew(lease)) => {
                let answer = self.core.platform.renew(lease).await;
                let now = self.core.clock.now();
                self.keeping.renewed(&answer, asked, now);
            }
            None => return,
        }
        self.tell_health(before.1);
        if let Some(lease) = self.keeping.lease().filter(|l| before.0 != Some(*l)) {
            self.reclaim(lease);
        }
    }

    fn tell_health(&self, before: Health) {
        let health = self.keeping.health();
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

    /// Writes the records of all owned shards anew under a new lease.
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
        for line in claims::forgotten(me, &owned, exchange.owners.lines()) {
            if exchange.owners.merge(&line) {
                core.control.hurry.notify_one();
            }
        }
        // What is left at the node's end is handed over by its shutdown, all at once.
        if core.stopping.is_cancelled() {
            return;
        }
        let members = exchange.table.members().iter();
        let vms: Vec<claims::Vm> = members.map(claims::Vm::of).collect();
        let owners = exchange.owners.lines().to_vec();
        drop(exchange);
        let config = core.view().config.clone();
        let actions = self.claims.decide(&Facts {
            now: core.clock.now(),
            me,
            vms: &vms,
            shards: &self.shards,
            owned: &owned,
            owners: &owners,
            platform: self.keeping.health(),
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
                let Some(lease) = self.keeping.lease() else {
                    return;
                };
                self.busy.push(shard.clone());
                let (core, ended) = (self.core.clone(), self.ended.clone());
                self.core.tasks.spawn(async move {
                    let served = claim(&core, &shard, lease).await;
                    let _task_over = ended.send(Ended::Claimed(shard, served));
                });
            }
            Action::Release { shard, .. } if self.busy.contains(&shard) => {}
            Action::Release { shard, to } => {
                log::info!(
                    "{} shard={shard} to={to} reason=rendezvous",
                    Event::ShardReleased
                );
                self.busy.push(shard.clone());
                let (core, ended) = (self.core.clone(), self.ended.clone());
                self.core.tasks.spawn(async move {
                    core.registry.release(&shard).await;
                    let _task_over = ended.send(Ended::Released(shard, to));
                });
            }
        }
    }

    fn ended(&mut self, end: Ended) {
        match end {
            Ended::Claimed(shard, served) => {
                self.busy.retain(|s| *s != shard);
                if served {
                    self.claims.succeeded(&shard);
                } else {
                    self.claims.failed(&shard, self.core.clock.now());
                    self.strays.push(shard);
                }
            }
            Ended::Released(shard, to) => {
                self.busy.retain(|s| *s != shard);
                self.strays.push(shard);
                // The line that says so goes to the next owner at once.
                self.decide();
                let core = self.core.clone();
                self.core
                    .tasks
                    .spawn(async move { members::beat(&core, &to, TELL).await });
            }
        }
    }

    /// Removes records that name this VM for shards that it doesn't serve: a removal or a claim
    /// whose answer was lost. The VM goes on renewing its lease, so such a record would keep its
    /// shard from every VM for as long as this one lives.
    async fn clear(&mut self) {
        let now = self.core.clock.now();
        if now.since(self.cleared) < CLEAR || self.keeping.health() == Health::Down {
            return;
        }
        self.cleared = now;
        self.strays.sort();
        self.strays.dedup();
        for shard in std::mem::take(&mut self.strays) {
            let busy = self.busy.contains(&shard);
            if !busy && !self.core.registry.holds(&shard) && !cleared(&self.core, &shard).await {
                self.strays.push(shard);
            }
        }
    }
}

async fn claim(core: &Arc<Core>, shard: &id::Shard, lease: edge::Lease) -> bool {
    let copies = copies::holders(core, shard);
    let setup = Setup {
        platform: core.platform.clone(),
        peers: Arc::new(copies::Others::new(core)),
        vm: core.settings.vm.name.clone(),
        shard: shard.clone(),
        seed: rand::random(),
        acks: copy::acks(copies.len()),
        copies,
    };
    match core.registry.claim(core, setup, lease).await {
        Ok(epoch) => {
            let line = Owner {
                shard: shard.clone(),
                vm: core.settings.vm.name.clone(),
                epoch,
                free: false,
            };
            core.control.exchange().owners.merge(&line);
            members::publish(core);
            core.control.hurry.notify_one();
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
        // The journal's fence ends the ownership, at the next append at the latest.
        Ok(false) => log::warn!("{} shard={shard} reason=record", Event::ShardLost),
        Err(fault) => log::warn!("{} shard={shard} failed=\"{fault}\"", Event::ShardClaimed),
    }
}

/// Removes a shard's record where it names this VM; `true` where it surely doesn't any more.
async fn cleared(core: &Core, shard: &id::Shard) -> bool {
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
