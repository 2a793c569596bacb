//! Decides which shards this VM claims and which it hands over.
//!
//! Rendezvous hashing, weighted by size, assigns each shard to one live VM of its data centre. A VM
//! claims the shards assigned to it once no other VM holds them, and hands over shards assigned to
//! another VM. Two VMs that disagree on who is live may both claim a shard: the ownership record
//! lets one of them succeed, and the journal fences the other.
//!
//! Claims and handovers are paced because of these load patterns:
//!
//! - *Mass restart, or failure of a rack*: many shards become free at once. Each VM claims
//!   [`CLAIM_BURST`] and then one per [`CLAIM_INTERVAL`], so that takeovers, each a range read and
//!   a few writes, don't use up the platform's rate that commits need. 47 VMs of a centre claim 64
//!   shards in one or two steps.
//! - *Flapping VM*: it comes and goes every few seconds. Each handover makes the callers of the
//!   shard wait, so a VM gets shards that others hold only after being up for [`MIN_UPTIME`]. It
//!   may claim free shards at once, because nobody serves them.
//! - *A VM joins*: one in `n` of the shards moves to it, from all other VMs. Each of these hands
//!   over one per [`HANDOVER_INTERVAL`], so that only few of its programs wait at any time.
//! - *After an outage* of the platform, all leases have expired and every shard looks free. Claims
//!   wait for one lease time, so that holders can renew first. Otherwise the first VM that reaches
//!   the platform again would take over shards whose owners never stopped.

use wire::clock::Millis;
use wire::id;

use super::members::Member;
use super::members::heartbeat::Liveness;
use super::members::heartbeat::Owner;
use super::rendezvous;
use super::rendezvous::Candidate;

pub mod lease;

/// The time between two claims of one VM in the long run. The VM's rate budget also ranks claims
/// below commits; the interval keeps a VM that is the only one left from reading all journals at
/// once.
pub const CLAIM_INTERVAL: Millis = Millis::new(100);
/// Claims that a VM may make at once: with three VMs of 16 shards each, this is a survivor's share
/// when one stops, so that no caller waits for the interval.
pub const CLAIM_BURST: u64 = 8;
/// The time between two handovers of one VM. A handover takes tens of milliseconds, so that at
/// most a few in a hundred turns of its programs meet one while a VM joins the centre.
pub const HANDOVER_INTERVAL: Millis = Millis::new(1_000);
/// The time between two handovers of a VM that stops: 100 shards in two seconds, well within its
/// grace period.
pub const STOP_HANDOVER_INTERVAL: Millis = Millis::new(20);
/// How long a VM must be up to get shards that others hold: two lease times of the default 5 s, so
/// that a VM that dies again soon costs nothing.
pub const MIN_UPTIME: Millis = Millis::new(10_000);
/// How long a VM that starts only receives heartbeats before it claims: two rounds, to learn who
/// owns which shard. A VM without peers doesn't wait.
pub const DISCOVERY_TIME: Millis = Millis::new(2_000);
/// The first delay after a failed claim. It is doubled each time up to [`MAX_RETRY_DELAY`], so that
/// a VM that wrongly considers all others down doesn't keep reading every record.
const FIRST_RETRY_DELAY: Millis = Millis::new(500);
/// The longest delay after failed claims. It is about a lease time, and bounds how long a shard
/// waits for its claimer after its lease has expired.
const MAX_RETRY_DELAY: Millis = Millis::new(4_000);

/// What the decision needs to know of a VM.
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
    /// Whether it is shutting down.
    pub stopping: bool,
    /// Since when it has been up or down.
    pub since: Millis,
}

impl Vm {
    /// Takes the data from a VM's membership entry.
    #[must_use]
    pub fn from_member(member: &Member) -> Self {
        Self {
            vm: member.status.vm.clone(),
            centre: member.status.centre.clone(),
            size: member.status.size,
            up: member.status.liveness != Liveness::Down,
            stopping: member.status.stopping,
            since: member.since,
        }
    }
}

/// Whether the platform answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It doesn't answer.
    Down,
    /// It has answered since this time; [`Millis::ZERO`] if it has never failed.
    Since(Millis),
}

/// The inputs of a decision.
#[derive(Clone, Copy, Debug)]
pub struct Facts<'a> {
    /// The current time.
    pub now: Millis,
    /// This VM.
    pub me: &'a id::Vm,
    /// All VMs including this one, sorted by name.
    pub vms: &'a [Vm],
    /// All shards.
    pub shards: &'a [id::Shard],
    /// The shards that this VM serves, sorted.
    pub owned: &'a [id::Shard],
    /// The known owners, sorted by shard.
    pub owners: &'a [Owner],
    /// Whether the platform answers.
    pub platform: Health,
    /// The time to live of a lease.
    pub lease: Millis,
    /// Data centres that an operator has declared lost.
    pub lost_centres: &'a [id::Centre],
}

impl<'a> Facts<'a> {
    fn vm(&self, name: &id::Vm) -> Option<&'a Vm> {
        let at = self.vms.binary_search_by(|v| v.vm.cmp(name)).ok()?;
        Some(&self.vms[at])
    }
}

/// An action on a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Claim it.
    Claim(id::Shard),
    /// Hand it over to the VM that it is assigned to.
    Release {
        /// The shard.
        shard: id::Shard,
        /// The VM.
        to: id::Vm,
    },
}

/// The state kept between decisions.
#[derive(Clone, Debug)]
pub struct Claims {
    started: Millis,
    /// The time up to which the claims made so far use up the rate of one claim per interval.
    paced_until: Millis,
    next_release: Millis,
    /// Claims that failed: the shard, when it may be tried again, and the last delay.
    failures: Vec<(id::Shard, Millis, Millis)>,
}

impl Claims {
    /// Makes the state of a VM that started at this time.
    #[must_use]
    pub fn new(started: Millis) -> Self {
        Self {
            started,
            paced_until: Millis::ZERO,
            next_release: Millis::ZERO,
            failures: Vec::new(),
        }
    }

    /// Decides what to do now: claims and at most one handover, as their intervals allow.
    pub fn decide(&mut self, facts: &Facts<'_>) -> Vec<Action> {
        let mut actions = Vec::new();
        actions.extend(self.release(facts));
        actions.extend(self.claim(facts));
        actions
    }

    /// Notes that a claim failed.
    pub fn note_failure(&mut self, shard: &id::Shard, now: Millis) {
        let known = self.failures.iter().position(|(s, ..)| s == shard);
        let last = known.map_or(Millis::ZERO, |at| self.failures.swap_remove(at).2);
        let pause = last.plus(last).max(FIRST_RETRY_DELAY).min(MAX_RETRY_DELAY);
        self.failures.push((shard.clone(), now.plus(pause), pause));
    }

    /// Notes that a claim succeeded.
    pub fn note_success(&mut self, shard: &id::Shard) {
        self.failures.retain(|(s, ..)| s != shard);
    }

    fn release(&mut self, facts: &Facts<'_>) -> Option<Action> {
        if facts.now < self.next_release || !platform_ready(facts) {
            return None;
        }
        let stopping = facts.vm(facts.me).is_some_and(|vm| vm.stopping);
        // A shard that no other VM can take is served until the end.
        let (shard, to) = facts.owned.iter().find_map(|shard| {
            let to = target(facts, shard, Eligibility::Stable)?;
            (to != facts.me).then_some((shard, to))
        })?;
        let interval = if stopping {
            STOP_HANDOVER_INTERVAL
        } else {
            HANDOVER_INTERVAL
        };
        self.next_release = facts.now.plus(interval);
        Some(Action::Release {
            shard: shard.clone(),
            to: to.clone(),
        })
    }

    fn claim(&mut self, facts: &Facts<'_>) -> Vec<Action> {
        let burst = Millis::new(CLAIM_BURST * CLAIM_INTERVAL.as_u64());
        self.paced_until = self.paced_until.max(facts.now);
        let allowed =
            burst.since(self.paced_until.since(facts.now)).as_u64() / CLAIM_INTERVAL.as_u64();
        if allowed == 0 || !platform_ready(facts) || !self.discovery_ended(facts) {
            return Vec::new();
        }
        let own_centre = facts.vm(facts.me).map(|vm| &vm.centre);
        let wanted = facts.shards.iter().filter(|shard| {
            // The cheapest check comes first: with 512 shards, most are of other centres.
            let claimable_centre =
                Some(&shard.centre) == own_centre || facts.lost_centres.contains(&shard.centre);
            claimable_centre
                && facts.owned.binary_search(shard).is_err()
                && is_unowned(facts, shard)
                && target(facts, shard, Eligibility::Up) == Some(facts.me)
                && self.may_retry(shard, facts.now)
        });
        let allowed = usize::try_from(allowed).unwrap_or(usize::MAX);
        let claims: Vec<Action> = wanted.take(allowed).cloned().map(Action::Claim).collect();
        let spent = CLAIM_INTERVAL.as_u64() * claims.len() as u64;
        self.paced_until = self.paced_until.plus(Millis::new(spent));
        claims
    }

    fn discovery_ended(&self, facts: &Facts<'_>) -> bool {
        let alone = facts.vms.iter().all(|v| v.vm == *facts.me || !v.up);
        alone || facts.now.since(self.started) >= DISCOVERY_TIME
    }

    fn may_retry(&self, shard: &id::Shard, now: Millis) -> bool {
        let failed = self.failures.iter().find(|(s, ..)| s == shard);
        failed.is_none_or(|(_, retry_at, _)| now >= *retry_at)
    }
}

/// Returns the entries that name this VM as the owner of shards that it doesn't serve, because it
/// has released them or has restarted since. Only this VM knows that, so it marks the entries as
/// given up; otherwise no VM would ever claim the shards.
#[must_use]
pub fn stale_ownerships(me: &id::Vm, owned: &[id::Shard], owners: &[Owner]) -> Vec<Owner> {
    let mine = owners.iter().filter(|o| o.vm == *me && !o.free);
    let stale = mine.filter(|o| owned.binary_search(&o.shard).is_err());
    stale
        .map(|o| Owner {
            free: true,
            ..o.clone()
        })
        .collect()
}

/// Which VMs may be assigned a shard.
#[derive(Clone, Copy)]
enum Eligibility {
    /// All that are up: for shards that nobody serves.
    Up,
    /// This VM and those that have been up for [`MIN_UPTIME`]: for shards that this VM serves.
    Stable,
}

/// Chooses the VM that a shard is assigned to: one of its data centre, or, if an operator has
/// declared that centre lost, one of the other centres.
fn target<'a>(
    facts: &Facts<'a>,
    shard: &id::Shard,
    eligibility: Eligibility,
) -> Option<&'a id::Vm> {
    let lost = |centre: &id::Centre| facts.lost_centres.contains(centre);
    let home_lost = lost(&shard.centre);
    let eligible = facts.vms.iter().filter(|v| {
        let home = v.centre == shard.centre;
        let allowed_centre = if home_lost { !lost(&v.centre) } else { home };
        let stable = v.vm == *facts.me || facts.now.since(v.since) >= MIN_UPTIME;
        allowed_centre && v.up && !v.stopping && (stable || matches!(eligibility, Eligibility::Up))
    });
    let candidates = eligible.map(|v| Candidate {
        vm: &v.vm,
        size: v.size,
    });
    rendezvous::choose(&shard.to_string(), candidates)
}

/// Returns whether no other live VM is known to hold a shard. If the lease of an owner that is
/// considered down is still running, the claim fails.
fn is_unowned(facts: &Facts<'_>, shard: &id::Shard) -> bool {
    let found = facts.owners.binary_search_by(|o| o.shard.cmp(shard));
    let Ok(owner) = found.map(|at| &facts.owners[at]) else {
        return true;
    };
    owner.free || owner.vm == *facts.me || !facts.vm(&owner.vm).is_some_and(|v| v.up)
}

/// Returns whether the platform answers and, after an outage, holders have had the time to renew.
fn platform_ready(facts: &Facts<'_>) -> bool {
    match facts.platform {
        Health::Down => false,
        Health::Since(Millis::ZERO) => true,
        Health::Since(since) => facts.now.since(since) >= facts.lease,
    }
}

#[cfg(test)]
mod tests;
