//! Some VMs' heartbeats, leases and claims in one process under a played clock, over a platform in
//! memory. The decisions are the real ones; the journal is reduced to a number of ownership that a
//! claim raises, which is what fences.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::BytesMut;
use node::controllers::claims;
use node::controllers::claims::Action;
use node::controllers::claims::Claims;
use node::controllers::claims::Facts;
use node::controllers::claims::lease::Ask;
use node::controllers::claims::lease::Keeping;
use node::controllers::members;
use node::controllers::members::beat::Beat;
use node::controllers::members::beat::Life;
use node::controllers::members::beat::Line;
use node::controllers::members::beat::Owner;
use node::controllers::members::exchange::Exchange;
use node::controllers::members::exchange::Next;
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

/// The time between two turns of the claims, which divides a round of heartbeats.
pub const TICK: Millis = Millis::new(200);
pub const LEASE: Millis = Millis::new(5_000);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Running,
    Paused,
    Dead,
}

/// What a VM sent.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sent {
    pub frames: u64,
    pub bytes: u64,
}

/// An ownership that a VM believes it has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owned {
    pub shard: id::Shard,
    pub epoch: u64,
}

pub struct Vm {
    pub name: id::Vm,
    pub centre: id::Centre,
    pub phase: Phase,
    /// Cut off from all other VMs.
    pub cut: bool,
    /// Cut off from the platform.
    pub alone: bool,
    /// Whether it was ever hindered since it started, so that it may lose shards.
    pub hindered: bool,
    pub exchange: Exchange,
    pub claims: Claims,
    pub keeping: Keeping,
    pub owned: Vec<Owned>,
    /// Shards that it gave up, or failed to claim, whose record may still name it.
    pub strays: Vec<id::Shard>,
    pub released: Option<Millis>,
    pub claimed: Vec<Millis>,
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
    /// Makes a fleet of `centres` data centres with so many VMs and shards each, all running.
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
            let vm = Self::made(at, &names[at % centres], now);
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

    fn made(at: usize, centre: &id::Centre, now: Millis) -> Vm {
        let name = id::Vm::parse(&format!("vm{at:03}")).unwrap();
        let port = u16::try_from(10_000 + at).unwrap();
        let line = Line {
            size: 1 + u32::try_from(at % 2).unwrap(),
            ..members::seed(&name, centre, ([10, 0, 0, 1], port).into())
        };
        Vm {
            name,
            centre: centre.clone(),
            phase: Phase::Running,
            cut: false,
            alone: false,
            hindered: false,
            exchange: Exchange::new(line, now),
            claims: Claims::new(now),
            keeping: Keeping::new(LEASE),
            owned: Vec::new(),
            strays: Vec::new(),
            released: None,
            claimed: Vec::new(),
            sent: Sent::default(),
        }
    }

    /// Tells a VM of the first VM of each centre, as its settings would.
    fn seed(&mut self, at: usize) {
        let now = self.now();
        let mut seeds: Vec<Line> = Vec::new();
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

    /// Lets one tick pass.
    pub fn tick(&mut self) {
        let now = Millis::new(self.time.fetch_add(TICK.as_u64(), Ordering::SeqCst)).plus(TICK);
        let step = now.as_u64() / TICK.as_u64();
        let round = members::ROUND.as_u64() / TICK.as_u64();
        for at in 0..self.vms.len() {
            if self.vms[at].phase != Phase::Running {
                continue;
            }
            if (step + at as u64).is_multiple_of(round) {
                self.round(at, now);
            }
            self.renew(at, now);
            self.append(at);
            self.clear(at);
            self.decide(at, now);
        }
    }

    fn round(&mut self, at: usize, now: Millis) {
        let random = &mut self.random;
        let targets = self.vms[at].exchange.table.round(now, random);
        for to in targets {
            self.beat(at, &to, now);
        }
        self.vms[at].exchange.table.drain();
    }

    fn beat(&mut self, from: usize, to: &id::Vm, now: Millis) {
        let Some(at) = self.vms.iter().position(|v| v.name == *to) else {
            return;
        };
        let beat = self.vms[from].exchange.frame(to, now);
        let Some(answer) = self.send(from, at, &beat, now) else {
            self.vms[from].exchange.table.missed(to, now);
            return;
        };
        if self.vms[from].exchange.answered(&answer, now) == Next::Sync {
            let all = self.vms[from].exchange.all(now);
            if let Some(answer) = self.send(from, at, &all, now) {
                self.vms[from].exchange.answered(&answer, now);
            }
        }
    }

    fn send(&mut self, from: usize, to: usize, beat: &Beat, now: Millis) -> Option<Beat> {
        let beat = self.carry(from, beat);
        let cut = self.vms[from].cut || self.vms[to].cut;
        if cut || self.vms[to].phase != Phase::Running {
            return None;
        }
        let answer = self.vms[to].exchange.answer(&beat, now);
        Some(self.carry(to, &answer))
    }

    /// Counts a frame, and passes it through its codec.
    fn carry(&mut self, from: usize, beat: &Beat) -> Beat {
        let bytes = frame::encode(beat).unwrap();
        let sent = &mut self.vms[from].sent;
        sent.frames += 1;
        sent.bytes += bytes.len() as u64;
        frame::decode(&mut BytesMut::from(&bytes[..]))
            .unwrap()
            .unwrap()
    }

    fn reach<T>(&self, at: usize, call: impl Future<Output = edge::Result<T>>) -> edge::Result<T> {
        if self.vms[at].alone {
            return Err(Fault::Down("cut off".to_owned()));
        }
        self.runtime.block_on(call)
    }

    fn renew(&mut self, at: usize, now: Millis) {
        let before = self.vms[at].keeping.lease();
        match self.vms[at].keeping.due(now) {
            Some(Ask::Grant) => {
                let answer = self.reach(at, self.memory.grant(LEASE));
                self.vms[at].keeping.granted(&answer, now, now);
            }
            Some(Ask::Renew(lease)) => {
                let answer = self.reach(at, self.memory.renew(lease));
                self.vms[at].keeping.renewed(&answer, now, now);
            }
            None => {}
        }
        let lease = self.vms[at].keeping.lease();
        if lease != before && lease.is_some() {
            self.rewrite(at);
        }
    }

    /// Writes the ownership records anew under a new lease; where another VM holds one, it is lost.
    fn rewrite(&mut self, at: usize) {
        for owned in self.vms[at].owned.clone() {
            let key = format!("owner/{}", owned.shard);
            let Ok(present) = self.reach(at, self.memory.read(&key)) else {
                continue;
            };
            let mine = self.vms[at].name.as_str().as_bytes();
            if present.as_ref().is_some_and(|e| e.value != mine) {
                self.lose(at, &owned.shard);
                continue;
            }
            let base = present.map_or(0, |e| e.revision);
            let txn = Txn {
                compares: vec![compare(&key, base)],
                writes: vec![put(&key, mine, self.vms[at].keeping.lease())],
            };
            let _again_at_next_append = self.reach(at, self.memory.commit(&txn, Priority::Claim));
        }
    }

    /// Does what an append to the journal does: finds out that another VM has opened the shard.
    fn append(&mut self, at: usize) {
        for owned in self.vms[at].owned.clone() {
            let key = format!("epoch/{}", owned.shard);
            let Ok(Some(entry)) = self.reach(at, self.memory.read(&key)) else {
                continue;
            };
            if number(&entry.value) > owned.epoch {
                self.lose(at, &owned.shard);
            }
        }
    }

    /// Removes records of shards that the VM doesn't serve. The VM goes on renewing its lease, so a
    /// record whose removal was lost would keep its shard from everyone for ever.
    fn clear(&mut self, at: usize) {
        for shard in std::mem::take(&mut self.vms[at].strays) {
            let key = format!("owner/{shard}");
            let served = self.vms[at].owned.iter().any(|o| o.shard == shard);
            let read = self.reach(at, self.memory.read(&key));
            let mine = self.vms[at].name.as_str().as_bytes();
            let gone = match read {
                _ if served => true,
                Ok(Some(entry)) if entry.value == mine => {
                    let txn = Txn {
                        compares: vec![compare(&key, entry.revision)],
                        writes: vec![Write::Delete(key)],
                    };
                    self.reach(at, self.memory.commit(&txn, Priority::Claim))
                        .is_ok()
                }
                Ok(_) => true,
                Err(_) => false,
            };
            if !gone {
                self.vms[at].strays.push(shard);
            }
        }
    }

    fn lose(&mut self, at: usize, shard: &id::Shard) {
        let vm = &mut self.vms[at];
        assert!(vm.hindered, "{} ran all the time and lost {shard}", vm.name);
        vm.owned.retain(|o| o.shard != *shard);
    }

    fn decide(&mut self, at: usize, now: Millis) {
        let vm = &mut self.vms[at];
        let owned: Vec<id::Shard> = vm.owned.iter().map(|o| o.shard.clone()).collect();
        for line in claims::forgotten(&vm.name, &owned, vm.exchange.owners.lines()) {
            vm.exchange.owners.merge(&line);
        }
        let members = vm.exchange.table.members().iter();
        let vms: Vec<claims::Vm> = members.map(claims::Vm::of).collect();
        let facts = Facts {
            now,
            me: &vm.name,
            vms: &vms,
            shards: &self.shards,
            owned: &owned,
            owners: vm.exchange.owners.lines(),
            platform: vm.keeping.health(),
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
        let epoch = self.open(at, shard);
        let vm = &mut self.vms[at];
        vm.claimed.retain(|at| now.since(*at) < claims::CLAIM_PACE);
        vm.claimed.push(now);
        let most = claims::CLAIM_BURST + 1;
        assert!(vm.claimed.len() as u64 <= most, "claims without pace");
        let Ok(epoch) = epoch else {
            vm.claims.failed(shard, now);
            vm.strays.push(shard.clone());
            return;
        };
        vm.claims.succeeded(shard);
        let shard = shard.clone();
        let place = vm.owned.partition_point(|o| o.shard < shard);
        vm.owned.insert(place, Owned { shard, epoch });
        self.tell(at, place);
    }

    fn tell(&mut self, at: usize, place: usize) {
        let vm = &mut self.vms[at];
        let owned = &vm.owned[place];
        let line = Owner {
            shard: owned.shard.clone(),
            vm: vm.name.clone(),
            epoch: owned.epoch,
            free: false,
        };
        vm.exchange.owners.merge(&line);
    }

    /// Claims as the journal does: the ownership record under the lease, and the number raised, in
    /// one transaction. A record of this VM itself, of an earlier run or a lost answer, is no bar.
    fn open(&mut self, at: usize, shard: &id::Shard) -> edge::Result<u64> {
        let held = || Fault::Invalid("held".to_owned());
        let lease = self.vms[at].keeping.lease().ok_or_else(held)?;
        let (record, counter) = (format!("owner/{shard}"), format!("epoch/{shard}"));
        let present = self.reach(at, self.memory.read(&record))?;
        let mine = self.vms[at].name.as_str().as_bytes();
        if present.as_ref().is_some_and(|e| e.value != mine) {
            return Err(held());
        }
        let last = self.reach(at, self.memory.read(&counter))?;
        let epoch = last.as_ref().map_or(0, |e| number(&e.value)) + 1;
        let txn = Txn {
            compares: vec![
                compare(&record, present.map_or(0, |e| e.revision)),
                compare(&counter, last.map_or(0, |e| e.revision)),
            ],
            writes: vec![
                put(&record, mine, Some(lease)),
                put(&counter, &epoch.to_le_bytes(), None),
            ],
        };
        match self.reach(at, self.memory.commit(&txn, Priority::Claim))? {
            edge::Outcome::Applied(_) => Ok(epoch),
            edge::Outcome::Refused(_) => Err(held()),
        }
    }

    fn release(&mut self, at: usize, shard: &id::Shard, to: &id::Vm, now: Millis) {
        let vm = &mut self.vms[at];
        let stopping = vm.exchange.table.own().stopping;
        let least = if stopping {
            claims::STOP_PACE
        } else {
            claims::HANDOVER_PACE
        };
        if let Some(last) = vm.released.replace(now) {
            assert!(now.since(last) >= least, "hand-overs without pace");
        }
        let place = vm.owned.iter().position(|o| o.shard == *shard);
        let owned = vm.owned.remove(place.expect("released what it has"));
        let line = Owner {
            shard: owned.shard,
            vm: vm.name.clone(),
            epoch: owned.epoch,
            free: true,
        };
        vm.exchange.owners.merge(&line);
        vm.strays.push(shard.clone());
        self.clear(at);
        self.beat(at, to, now);
    }

    pub fn start(&mut self, at: usize) {
        if self.vms[at].phase != Phase::Dead {
            return;
        }
        let (cut, alone) = (self.vms[at].cut, self.vms[at].alone);
        let centre = self.vms[at].centre.clone();
        let vm = Self::made(at, &centre, self.now());
        self.vms[at] = Vm {
            cut,
            alone,
            hindered: cut || alone,
            sent: self.vms[at].sent,
            ..vm
        };
        self.seed(at);
    }

    /// Yields how many VMs serve a shard as far as they know.
    pub fn servers(&self, shard: &id::Shard) -> Vec<&Vm> {
        let serves = |v: &&Vm| v.phase != Phase::Dead && v.owned.iter().any(|o| o.shard == *shard);
        self.vms.iter().filter(serves).collect()
    }

    /// Tells whether all VMs are thought up by all.
    pub fn agreed(&self) -> bool {
        let all = |v: &Vm| {
            let members = v.exchange.table.members();
            members.len() == self.vms.len() && members.iter().all(|m| m.line.life == Life::Up)
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
