//! Which shards this VM claims and which it hands over.
//!
//! Each shard falls by rendezvous hashing to one live VM of its data centre, weighted by size. The
//! VM claims what it should have once no other holds it, and hands over what another should have.
//! Two VMs that differ on who is live may both try: the ownership record lets one in, and the
//! journal fences the other.
//!
//! The patterns of load that the pace answers:
//!
//! - *Mass restart, or a rack goes*: many shards are free at once. Each VM claims [`CLAIM_BURST`]
//!   and then one per [`CLAIM_PACE`], so that takeovers, a range read and a few writes each, don't crowd commits out
//!   of the platform's rate. 47 VMs of a centre claim 64 shards in one or two steps.
//! - *A flapping VM* comes and goes every few seconds. Each hand-over makes its shard's callers
//!   wait, so a VM gets shards that others hold only after being up for [`STEADY`]; free ones it may
//!   claim at once, as no one is served by them.
//! - *A VM joins*: one part in `n` of the shards moves to it, from all others. Each VM hands over
//!   one per [`HANDOVER_PACE`], so that at any time few of its programs wait.
//! - *After an outage* every lease has lapsed at once and every shard looks free. Claims wait for
//!   one lease time, so that holders can renew first; otherwise the first VM that sees the platform
//!   again would take over shards whose owners never stopped.

use wire::clock::Millis;
use wire::id;

use super::members::Member;
use super::members::beat::Life;
use super::members::beat::Owner;
use super::rendezvous;
use super::rendezvous::Candidate;

pub mod lease;

/// The time between two claims of one VM in the long run. Claims are also weighed below commits in
/// the VM's rate budget; the pace keeps a VM that alone is left from reading all journals at once.
pub const CLAIM_PACE: Millis = Millis::new(100);
/// Claims that a VM may make at once: its part when one of three VMs with 16 shards stops, so that
/// no caller waits for the pace.
pub const CLAIM_BURST: u64 = 8;
/// The time between two hand-overs of one VM. One takes tens of milliseconds, so that at most a
/// few in a hundred of its programs' turns meet one while a VM of the centre joins.
pub const HANDOVER_PACE: Millis = Millis::new(1_000);
/// The time between two hand-overs of a VM that stops: 100 shards in two seconds, well within its
/// grace.
pub const STOP_PACE: Millis = Millis::new(20);
/// How long a VM must be up to get shards that others hold: two lease times of the default 5 s, so
/// that a VM which dies again at once has cost nothing.
pub const STEADY: Millis = Millis::new(10_000);
/// How long a VM that starts listens before it claims: two rounds of heartbeats, to learn who owns
/// what. A VM without peers needn't.
pub const LISTEN: Millis = Millis::new(2_000);
/// The first pause after a claim that failed; doubled each time up to [`RETRY_MOST`], so that a VM
/// which alone thinks all others down doesn't read every record all the time.
const RETRY: Millis = Millis::new(500);
/// The longest pause after claims that failed: a lease time, which bounds how long a shard waits
/// for its claimer after its lease has lapsed.
const RETRY_MOST: Millis = Millis::new(4_000);

/// A VM as the decision sees it.
#[derive(Clone, Debug)]
pub struct Vm {
    /// Its name.
    pub vm: id::Vm,
    /// Its data centre.
    pub centre: id::Centre,
    /// Its size.
    pub size: u32,
    /// Whether it is thought to be up.
    pub up: bool,
    /// Whether it is on its way out.
    pub stopping: bool,
    /// Since when it has been up or down.
    pub since: Millis,
}

impl Vm {
    /// Takes over what heartbeats tell.
    #[must_use]
    pub fn of(member: &Member) -> Self {
        Self {
            vm: member.line.vm.clone(),
            centre: member.line.centre.clone(),
            size: member.line.size,
            up: member.line.life != Life::Down,
            stopping: member.line.stopping,
            since: member.since,
        }
    }
}

/// Whether the platform answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It doesn't.
    Down,
    /// It has since this time; [`Millis::ZERO`] where it never stopped.
    Since(Millis),
}

/// What the decision rests on.
#[derive(Clone, Copy, Debug)]
pub struct Facts<'a> {
    /// The time.
    pub now: Millis,
    /// This VM.
    pub me: &'a id::Vm,
    /// All VMs, this one among them, sorted by name.
    pub vms: &'a [Vm],
    /// All shards.
    pub shards: &'a [id::Shard],
    /// The shards that this VM serves, sorted.
    pub owned: &'a [id::Shard],
    /// Who owns which shard as far as is known, sorted by shard.
    pub owners: &'a [Owner],
    /// Whether the platform answers.
    pub platform: Health,
    /// How long a lease lasts.
    pub lease: Millis,
    /// Data centres that an operator has declared lost.
    pub lost: &'a [id::Centre],
}

impl<'a> Facts<'a> {
    fn vm(&self, name: &id::Vm) -> Option<&'a Vm> {
        let at = self.vms.binary_search_by(|v| v.vm.cmp(name)).ok()?;
        Some(&self.vms[at])
    }
}

/// What is to be done about a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Claim it.
    Claim(id::Shard),
    /// Hand it over to the VM that should have it.
    Release {
        /// The shard.
        shard: id::Shard,
        /// The VM.
        to: id::Vm,
    },
}

/// What the decision keeps between its turns.
#[derive(Clone, Debug)]
pub struct Claims {
    started: Millis,
    /// When the claims made so far would all have kept to the pace.
    paced: Millis,
    next_release: Millis,
    /// Claims that failed: the shard, when it may be tried again, and the last pause.
    failed: Vec<(id::Shard, Millis, Millis)>,
}

impl Claims {
    /// Begins at the VM's start.
    #[must_use]
    pub fn new(started: Millis) -> Self {
        Self {
            started,
            paced: Millis::ZERO,
            next_release: Millis::ZERO,
            failed: Vec::new(),
        }
    }

    /// Decides what to do now: claims and at most one hand-over, by their pace.
    pub fn decide(&mut self, facts: &Facts<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        actions.extend(self.release(facts));
        actions.extend(self.claim(facts));
        actions
    }

    /// Notes that a claim failed.
    pub fn failed(&mut self, shard: &id::Shard, now: Millis) {
        let known = self.failed.iter().position(|(s, ..)| s == shard);
        let last = known.map_or(Millis::ZERO, |at| self.failed.swap_remove(at).2);
        let pause = last.plus(last).max(RETRY).min(RETRY_MOST);
        self.failed.push((shard.clone(), now.plus(pause), pause));
    }

    /// Notes that a claim succeeded.
    pub fn succeeded(&mut self, shard: &id::Shard) {
        self.failed.retain(|(s, ..)| s != shard);
    }

    fn release(&mut self, facts: &Facts<'_>) -> Option<Action> {
        if facts.now < self.next_release || !settled(facts) {
            return None;
        }
        let stopping = facts.vm(facts.me).is_some_and(|vm| vm.stopping);
        // A shard that no other VM can have is served to the last.
        let (shard, to) = facts.owned.iter().find_map(|shard| {
            let to = target(facts, shard, Takers::Steady)?;
            (to != facts.me).then_some((shard, to))
        })?;
        let pace = if stopping { STOP_PACE } else { HANDOVER_PACE };
        self.next_release = facts.now.plus(pace);
        Some(Action::Release {
            shard: shard.clone(),
            to: to.clone(),
        })
    }

    fn claim(&mut self, facts: &Facts<'_>) -> Vec<Action> {
        let burst = Millis::new(CLAIM_BURST * CLAIM_PACE.as_u64());
        self.paced = self.paced.max(facts.now);
        let room = burst.since(self.paced.since(facts.now)).as_u64() / CLAIM_PACE.as_u64();
        if room == 0 || !settled(facts) || !self.listened(facts) {
            return Vec::new();
        }
        let home = facts.vm(facts.me).map(|vm| &vm.centre);
        let wanted = facts.shards.iter().filter(|shard| {
            // Cheapest first: at the letter's size most of 512 shards are of other centres.
            let near = Some(&shard.centre) == home || facts.lost.contains(&shard.centre);
            near && facts.owned.binary_search(shard).is_err()
                && free(facts, shard)
                && target(facts, shard, Takers::Up) == Some(facts.me)
                && self.may_try(shard, facts.now)
        });
        let room = usize::try_from(room).unwrap_or(usize::MAX);
        let claims: Vec<Action> = wanted.take(room).cloned().map(Action::Claim).collect();
        let spent = CLAIM_PACE.as_u64() * claims.len() as u64;
        self.paced = self.paced.plus(Millis::new(spent));
        claims
    }

    fn listened(&self, facts: &Facts<'_>) -> bool {
        let alone = facts.vms.iter().all(|v| v.vm == *facts.me || !v.up);
        alone || facts.now.since(self.started) >= LISTEN
    }

    fn may_try(&self, shard: &id::Shard, now: Millis) -> bool {
        let failed = self.failed.iter().find(|(s, ..)| s == shard);
        failed.is_none_or(|(_, again, _)| now >= *again)
    }
}

/// Yields the lines that name this VM as the owner of shards that it doesn't serve: it has started
/// anew since, and only it knows. Told as given up, so that the shards don't wait for it for ever.
#[must_use]
pub fn forgotten(me: &id::Vm, owned: &[id::Shard], owners: &[Owner]) -> Vec<Owner> {
    let mine = owners.iter().filter(|o| o.vm == *me && !o.free);
    let forgotten = mine.filter(|o| owned.binary_search(&o.shard).is_err());
    forgotten
        .map(|o| Owner {
            free: true,
            ..o.clone()
        })
        .collect()
}

/// Which VMs may get a shard.
#[derive(Clone, Copy)]
enum Takers {
    /// All that are up: for shards that no one serves.
    Up,
    /// Those that have been up for a while, and this VM: for shards that this VM serves.
    Steady,
}

/// Chooses the VM that should have a shard: one of its data centre, or, where an operator has
/// declared that lost, one of all others.
fn target<'a>(facts: &Facts<'a>, shard: &id::Shard, takers: Takers) -> Option<&'a id::Vm> {
    let lost = |centre: &id::Centre| facts.lost.contains(centre);
    let home_lost = lost(&shard.centre);
    let able = facts.vms.iter().filter(|v| {
        let home = v.centre == shard.centre;
        let place = if home_lost { !lost(&v.centre) } else { home };
        let steady = v.vm == *facts.me || facts.now.since(v.since) >= STEADY;
        place && v.up && !v.stopping && (steady || matches!(takers, Takers::Up))
    });
    let candidates = able.map(|v| Candidate {
        vm: &v.vm,
        size: v.size,
    });
    rendezvous::choose(&shard.to_string(), candidates)
}

/// Tells whether no live VM is known to hold a shard. A lease that still runs is found out by the
/// claim.
fn free(facts: &Facts<'_>, shard: &id::Shard) -> bool {
    let line = facts.owners.binary_search_by(|o| o.shard.cmp(shard));
    let Ok(owner) = line.map(|at| &facts.owners[at]) else {
        return true;
    };
    owner.free || owner.vm == *facts.me || !facts.vm(&owner.vm).is_some_and(|v| v.up)
}

/// Tells whether the platform answers and, after an outage, holders have had the time to renew.
fn settled(facts: &Facts<'_>) -> bool {
    match facts.platform {
        Health::Down => false,
        Health::Since(Millis::ZERO) => true,
        Health::Since(back) => facts.now.since(back) >= facts.lease,
    }
}

#[cfg(test)]
mod tests;
