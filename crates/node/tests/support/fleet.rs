//! Simulates the heartbeats, leases and claims of several VMs in one process, with a manual clock
//! and an in-memory platform. The decisions are the real ones. The journal is reduced to an epoch
//! that a claim raises, which provides the fencing.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::BytesMut;
use node::controllers::claims;
use node::controllers::claims::Action;
use node::controllers::claims::Claims;
use node::controllers::claims::Facts;
use node::controllers::claims::lease::Renewer;
use node::controllers::claims::lease::Request;
use node::controllers::members;
use node::controllers::members::exchange::Exchange;
use node::controllers::members::exchange::Next;
use node::controllers::members::heartbeat::Heartbeat;
use node::controllers::members::heartbeat::Liveness;
use node::controllers::members::heartbeat::Owner;
use node::controllers::members::heartbeat::Status;
use platform::edge;
use platform::edge::Compare;
use platform::edge::Fault;
use platform::edge::Platform;
use platform::edge::Priority;
use platform::edge::Txn;
use platform::edge::Write;
use platform::memory::Memory;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wire::clock::Clock;
use wire::clock::Millis;
use wire::frame;
use wire::id;

/// The time between two decisions on claims. A round of heartbeats is a multiple of it.
pub const TICK: Millis = Millis::new(200);
pub const LEASE: Millis = Millis::new(5_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Running,
    Paused,
    Dead,
}

/// What a VM has sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sent {
    pub frames: u64,
    pub bytes: u64,
}

/// An ownership that a VM believes to have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owned {
    pub shard: id::Shard,
    pub epoch: u64,
}

pub struct Vm {
    pub name: id::Vm,
    pub centre: id::Centre,
    pub phase: Phase,
    /// Whether it is cut off from all other VMs.
    pub cut: bool,
    /// Whether it is cut off from the platform.
    pub platform_cut: bool,
    /// Whether a fault has affected it since it started, so that it may lose shards.
    pub disturbed: bool,
    pub exchange: Exchange,
    pub claims: Claims,
    pub renewer: Renewer,
    pub owned: Vec<Owned>,
    /// Shards that it gave up or failed to claim, whose record may still name it.
    pub stale_records: Vec<id::Shard>,
    pub last_release: Option<Millis>,
    pub recent_claims: Vec<Millis>,
    pub sent: Sent,
}

pub struct Fleet {
    runtime: tokio::runtime::Runtime,
    time: Arc<AtomicU64>,
    pub memory: Memory,
    pub vms: Vec<Vm>,
    pub shards: Vec<id::Shard>,
    random: SmallRng,
}

impl Fleet {
    /// Makes a fleet of `centres` data centres with `vms` VMs and `shards` shards each, all
    /// running.
    pub fn new(centres: usize, vms: usize, shards: u16) -> Self {
        let time = Arc::new(AtomicU64::new(1_000_000));
        let names = (0..centres).map(|n| id::Centre::parse(&format!("centre{n}")).unwrap());
        let names: Vec<id::Centre> = names.collect();
        let indexes = |centre: &id::Centre| {
            let centre = centre.clone();
            (0..shards).map(move |index| id::Shard {
                centre: centre.clone(),
                index,
            })
        };
        let mut fleet = Self {
            runtime: tokio::runtime::Builder::new_current_thread()
                .build()
                .unwrap(),
            time: Arc::clone(&time),
            memory: Memory::new(Clock::Manual(time)),
            vms: Vec::new(),
            shards: names.iter().flat_map(indexes).collect(),
            random: SmallRng::seed_from_u64(7),
        };
        let now = fleet.now();
        for at in 0..centres * vms {
            let vm = Self::new_vm(at, &names[at % centres], now);
            fleet.vms.push(vm);
        }
        for at in 0..fleet.vms.len() {
            fleet.seed(at);
        }
        fleet
    }

    pub fn now(&self) -> Millis {
        Millis::new(self.time.load(Ordering::SeqCst))
    }

    fn new_vm(at: usize, centre: &id::Centre, now: Millis) -> Vm {
        let name = id::Vm::parse(&format!("vm{at:03}")).unwrap();
        let port = u16::try_from(10_000 + at).unwrap();
        let line = Status {
            size: 1 + u32::try_from(at % 2).unwrap(),
            ..members::seed(&name, centre, ([10, 0, 0, 1], port).into())
        };
        Vm {
            name,
            centre: centre.clone(),
            phase: Phase::Running,
            cut: false,
            platform_cut: false,
            disturbed: false,
            exchange: Exchange::new(line, now),
            claims: Claims::new(now),
            renewer: Renewer::new(LEASE),
            owned: Vec::new(),
            stale_records: Vec::new(),
            last_release: None,
            recent_claims: Vec::new(),
            sent: Sent::default(),
        }
    }

    /// Adds the first VM of each centre to a VM's table, as its settings would.
    fn seed(&mut self, at: usize) {
        let now = self.now();
        let mut seeds: Vec<Status> = Vec::new();
        for vm in &self.vms {
            if seeds.iter().all(|l| l.centre != vm.centre) {
                let own = vm.exchange.table.own();
                seeds.push(members::seed(&own.vm, &own.centre, own.address));
            }
        }
        for line in &seeds {
            self.vms[at].exchange.table.merge(line, now);
        }
    }

    /// Advances the time by one tick.
    pub fn tick(&mut self) {
        let now = Millis::new(self.time.fetch_add(TICK.as_u64(), Ordering::SeqCst)).plus(TICK);
        let step = now.as_u64() / TICK.as_u64();
        let round = members::ROUND_INTERVAL.as_u64() / TICK.as_u64();
        for at in 0..self.vms.len() {
            if self.vms[at].phase != Phase::Running {
                continue;
            }
            if (step + at as u64).is_multiple_of(round) {
                self.round(at, now);
            }
            self.renew(at, now);
            self.append(at);
            self.remove_stale_records(at);
            self.decide(at, now);
        }
    }

    fn round(&mut self, at: usize, now: Millis) {
        let random = &mut self.random;
        let targets = self.vms[at].exchange.table.begin_round(now, random);
        for to in targets {
            self.send_heartbeat(at, &to, now);
        }
        self.vms[at].exchange.table.take_changes();
    }

    fn send_heartbeat(&mut self, from: usize, to: &id::Vm, now: Millis) {
        let Some(at) = self.vms.iter().position(|v| v.name == *to) else {
            return;
        };
        let heartbeat = self.vms[from].exchange.heartbeat(to, now);
        let Some(answer) = self.send(from, at, &heartbeat, now) else {
            self.vms[from].exchange.table.suspect(to, now);
            return;
        };
        if self.vms[from].exchange.on_answer(&answer, now) == Next::Sync {
            let all = self.vms[from].exchange.full_sync(now);
            if let Some(answer) = self.send(from, at, &all, now) {
                self.vms[from].exchange.on_answer(&answer, now);
            }
        }
    }

    fn send(
        &mut self,
        from: usize,
        to: usize,
        heartbeat: &Heartbeat,
        now: Millis,
    ) -> Option<Heartbeat> {
        let heartbeat = self.transmit(from, heartbeat);
        let cut = self.vms[from].cut || self.vms[to].cut;
        if cut || self.vms[to].phase != Phase::Running {
            return None;
        }
        let answer = self.vms[to].exchange.answer(&heartbeat, now);
        Some(self.transmit(to, &answer))
    }

    /// Counts a frame, and encodes and decodes it.
    fn transmit(&mut self, from: usize, heartbeat: &Heartbeat) -> Heartbeat {
        let bytes = frame::encode(heartbeat).unwrap();
        let sent = &mut self.vms[from].sent;
        sent.frames += 1;
        sent.bytes += bytes.len() as u64;
        frame::decode(&mut BytesMut::from(&bytes[..]))
            .unwrap()
            .unwrap()
    }

    fn call_platform<T>(
        &self,
        at: usize,
        call: impl Future<Output = edge::Result<T>>,
    ) -> edge::Result<T> {
        if self.vms[at].platform_cut {
            return Err(Fault::Down("cut off".to_owned()));
        }
        self.runtime.block_on(call)
    }

    fn renew(&mut self, at: usize, now: Millis) {
        let before = self.vms[at].renewer.lease();
        match self.vms[at].renewer.due(now) {
            Some(Request::Grant) => {
                let answer = self.call_platform(at, self.memory.grant(LEASE));
                self.vms[at].renewer.on_grant(&answer, now, now);
            }
            Some(Request::Renew(lease)) => {
                let answer = self.call_platform(at, self.memory.renew(lease));
                self.vms[at].renewer.on_renewal(&answer, now, now);
            }
            None => {}
        }
        let lease = self.vms[at].renewer.lease();
        if lease != before && lease.is_some() {
            self.reclaim(at);
        }
    }

    /// Writes the ownership records again under a new lease. If a record names another VM, the
    /// shard is lost.
    fn reclaim(&mut self, at: usize) {
        for owned in self.vms[at].owned.clone() {
            let key = format!("owner/{}", owned.shard);
            let Ok(current) = self.call_platform(at, self.memory.read(&key)) else {
                continue;
            };
            let own_name = self.vms[at].name.as_str().as_bytes();
            if current.as_ref().is_some_and(|e| e.value != own_name) {
                self.lose(at, &owned.shard);
                continue;
            }
            let base = current.map_or(0, |e| e.revision);
            let txn = Txn {
                compares: vec![compare(&key, base)],
                writes: vec![put(&key, own_name, self.vms[at].renewer.lease())],
            };
            let _again_at_next_append =
                self.call_platform(at, self.memory.commit(&txn, Priority::Claim));
        }
    }

    /// Does what an append to the journal does: detects that another VM has opened the shard.
    fn append(&mut self, at: usize) {
        for owned in self.vms[at].owned.clone() {
            let key = format!("epoch/{}", owned.shard);
            let Ok(Some(entry)) = self.call_platform(at, self.memory.read(&key)) else {
                continue;
            };
            if number(&entry.value) > owned.epoch {
                self.lose(at, &owned.shard);
            }
        }
    }

    /// Removes records of shards that the VM doesn't serve. The VM keeps renewing its lease, so a
    /// record whose removal was lost would block its shard for ever.
    fn remove_stale_records(&mut self, at: usize) {
        for shard in std::mem::take(&mut self.vms[at].stale_records) {
            let key = format!("owner/{shard}");
            let served = self.vms[at].owned.iter().any(|o| o.shard == shard);
            let read = self.call_platform(at, self.memory.read(&key));
            let own_name = self.vms[at].name.as_str().as_bytes();
            let gone = match read {
                _ if served => true,
                Ok(Some(entry)) if entry.value == own_name => {
                    let txn = Txn {
                        compares: vec![compare(&key, entry.revision)],
                        writes: vec![Write::Delete(key)],
                    };
                    self.call_platform(at, self.memory.commit(&txn, Priority::Claim))
                        .is_ok()
                }
                Ok(_) => true,
                Err(_) => false,
            };
            if !gone {
                self.vms[at].stale_records.push(shard);
            }
        }
    }

    fn lose(&mut self, at: usize, shard: &id::Shard) {
        let vm = &mut self.vms[at];
        assert!(
            vm.disturbed,
            "{} ran all the time and lost {shard}",
            vm.name
        );
        vm.owned.retain(|o| o.shard != *shard);
    }

    fn decide(&mut self, at: usize, now: Millis) {
        let vm = &mut self.vms[at];
        let owned: Vec<id::Shard> = vm.owned.iter().map(|o| o.shard.clone()).collect();
        for ownership in claims::stale_ownerships(&vm.name, &owned, vm.exchange.owners.entries()) {
            vm.exchange.owners.merge(&ownership);
        }
        let members = vm.exchange.table.members().iter();
        let vms: Vec<claims::Vm> = members.map(claims::Vm::from_member).collect();
        let facts = Facts {
            now,
            me: &vm.name,
            vms: &vms,
            shards: &self.shards,
            owned: &owned,
            owners: vm.exchange.owners.entries(),
            platform: vm.renewer.health(),
            lease: LEASE,
            lost: &[],
        };
        for action in vm.claims.decide(&facts) {
            match action {
                Action::Claim(shard) => self.claim(at, &shard, now),
                Action::Release { shard, to } => self.release(at, &shard, &to, now),
            }
        }
    }

    fn claim(&mut self, at: usize, shard: &id::Shard, now: Millis) {
        let epoch = self.claim_shard(at, shard);
        let vm = &mut self.vms[at];
        vm.recent_claims
            .retain(|at| now.since(*at) < claims::CLAIM_INTERVAL);
        vm.recent_claims.push(now);
        let max_claims = claims::CLAIM_BURST + 1;
        assert!(
            vm.recent_claims.len() as u64 <= max_claims,
            "claims exceed their rate"
        );
        let Ok(epoch) = epoch else {
            vm.claims.note_failure(shard, now);
            vm.stale_records.push(shard.clone());
            return;
        };
        vm.claims.note_success(shard);
        let shard = shard.clone();
        let index = vm.owned.partition_point(|o| o.shard < shard);
        vm.owned.insert(index, Owned { shard, epoch });
        self.announce(at, index);
    }

    fn announce(&mut self, at: usize, index: usize) {
        let vm = &mut self.vms[at];
        let owned = &vm.owned[index];
        let ownership = Owner {
            shard: owned.shard.clone(),
            vm: vm.name.clone(),
            epoch: owned.epoch,
            free: false,
        };
        vm.exchange.owners.merge(&ownership);
    }

    /// Claims like the journal: one transaction writes the ownership record under the lease and
    /// raises the epoch. A record that names this VM itself, from an earlier run or a lost answer,
    /// doesn't prevent the claim.
    fn claim_shard(&mut self, at: usize, shard: &id::Shard) -> edge::Result<u64> {
        let held = || Fault::Invalid("held".to_owned());
        let lease = self.vms[at].renewer.lease().ok_or_else(held)?;
        let (record, counter) = (format!("owner/{shard}"), format!("epoch/{shard}"));
        let current = self.call_platform(at, self.memory.read(&record))?;
        let own_name = self.vms[at].name.as_str().as_bytes();
        if current.as_ref().is_some_and(|e| e.value != own_name) {
            return Err(held());
        }
        let last = self.call_platform(at, self.memory.read(&counter))?;
        let epoch = last.as_ref().map_or(0, |e| number(&e.value)) + 1;
        let txn = Txn {
            compares: vec![
                compare(&record, current.map_or(0, |e| e.revision)),
                compare(&counter, last.map_or(0, |e| e.revision)),
            ],
            writes: vec![
                put(&record, own_name, Some(lease)),
                put(&counter, &epoch.to_le_bytes(), None),
            ],
        };
        match self.call_platform(at, self.memory.commit(&txn, Priority::Claim))? {
            edge::Outcome::Applied(_) => Ok(epoch),
            edge::Outcome::Refused(_) => Err(held()),
        }
    }

    fn release(&mut self, at: usize, shard: &id::Shard, to: &id::Vm, now: Millis) {
        let vm = &mut self.vms[at];
        let stopping = vm.exchange.table.own().stopping;
        let min_interval = if stopping {
            claims::STOP_HANDOVER_INTERVAL
        } else {
            claims::HANDOVER_INTERVAL
        };
        if let Some(last) = vm.last_release.replace(now) {
            assert!(
                now.since(last) >= min_interval,
                "handovers exceed their rate"
            );
        }
        let index = vm.owned.iter().position(|o| o.shard == *shard);
        let owned = vm
            .owned
            .remove(index.expect("releases a shard that it owns"));
        let ownership = Owner {
            shard: owned.shard,
            vm: vm.name.clone(),
            epoch: owned.epoch,
            free: true,
        };
        vm.exchange.owners.merge(&ownership);
        vm.stale_records.push(shard.clone());
        self.remove_stale_records(at);
        self.send_heartbeat(at, to, now);
    }

    pub fn start(&mut self, at: usize) {
        if self.vms[at].phase != Phase::Dead {
            return;
        }
        let (cut, platform_cut) = (self.vms[at].cut, self.vms[at].platform_cut);
        let centre = self.vms[at].centre.clone();
        let vm = Self::new_vm(at, &centre, self.now());
        self.vms[at] = Vm {
            cut,
            platform_cut,
            disturbed: cut || platform_cut,
            sent: self.vms[at].sent,
            ..vm
        };
        self.seed(at);
    }

    /// Returns the VMs that believe to serve a shard.
    pub fn servers(&self, shard: &id::Shard) -> Vec<&Vm> {
        let serves = |v: &&Vm| v.phase != Phase::Dead && v.owned.iter().any(|o| o.shard == *shard);
        self.vms.iter().filter(serves).collect()
    }

    /// Returns whether all VMs think that all VMs are up.
    pub fn all_up(&self) -> bool {
        let all = |v: &Vm| {
            let members = v.exchange.table.members();
            members.len() == self.vms.len()
                && members.iter().all(|m| m.status.liveness == Liveness::Up)
        };
        self.vms.iter().all(all)
    }
}

fn compare(key: &str, revision: u64) -> Compare {
    Compare {
        key: key.to_owned(),
        revision,
    }
}

fn put(key: &str, value: &[u8], lease: Option<edge::Lease>) -> Write {
    Write::Put {
        key: key.to_owned(),
        value: value.to_vec(),
        lease,
    }
}

fn number(value: &[u8]) -> u64 {
    u64::from_le_bytes(value.try_into().expect("eight bytes"))
}
