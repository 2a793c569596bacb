//! One runner as this VM knows it: its entry, reports from other VMs, and what its answers showed.

use std::net::SocketAddr;

use adapter::runner::Entry;
use adapter::runner::Load;
use adapter::runner::State;
use policy::decaying_mean::Mean;
use policy::place::Candidate;
use policy::place::Lane;
use policy::prefix;
use policy::prefix::Cache;
use policy::slowdown::Reading;
use wire::clock::Millis;
use xxhash_rust::xxh3::xxh3_64;

use crate::connections::CONNECT_TIMEOUT;
use crate::fleet::Request;
use crate::fleet::Software;
use crate::fleet::health;
use crate::fleet::silence;
use crate::fleet::slowdown;
use crate::tally;

/// Prompt tokens that an engine reads in the time in which it generates one token. The ratio is
/// about the same for fast and slow engines, because both times come from the same arithmetic.
pub(super) const PREFILL_TOKENS_PER_GENERATED: f64 = 220.0;
/// Share of a runner's slots that may be used: all of them, because a failing runner is held off
/// entirely.
const FULL_SHARE: f64 = 1.0;
/// How long a runner gets no requests after a different one answered at its address. By then its
/// entry is usually gone from the list.
const ADDRESS_TAKEN_PAUSE: Millis = Millis::new(1_000);
/// How long a runner's build counts as unknown after a process answered at its address that had not written
/// its entry, or couldn't say whether it had. About the time in which the new entry is read.
const UNIDENTIFIED_PAUSE: Millis = Millis::new(1_000);
/// How long a runner counts as full after it refused a request as full. About the time in which one
/// of its requests ends.
const FULL_PAUSE: Millis = Millis::new(40);
/// How long the load that a runner reported is valid: a fraction of the duration of a request.
const REPORTED_LOAD_MAX_AGE: Millis = Millis::new(120);

/// A runner and its state as known to this VM.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Id of the runner, which is never reused for another one.
    pub id: String,
    /// The entry that the runner wrote.
    pub entry: Entry,
    /// Requests of this VM in flight at the runner.
    pub own_requests: u32,
    /// What other VMs reported of the runner.
    pub(super) peer_reports: tally::Reports,
    /// The load that the runner reported last, and when.
    pub(super) load: Option<(Load, Millis)>,
    /// Whether the runner has reported how fast its machine is at the moment, which it shares with others.
    pub(super) shares_machine: bool,
    /// How fast its machine is, as read last by any VM.
    pub(super) slowdown: slowdown::Known,
    /// Whether it is silent, as found by any VM.
    pub(super) silence: silence::Known,
    /// Hash of the id, by which runners are ranked.
    pub(super) id_hash: u64,
    /// Memory of its engine in tokens; 0 for plain services.
    pub(super) memory_tokens: u64,
    /// The prompts that the runner is presumed to have cached.
    pub(super) prompt_cache: Cache,
    /// Measured milliseconds per token, or per request of a plain service.
    pub(super) pace: Mean,
    /// A connection failed or broke, and none has been made since.
    pub(super) unreachable: bool,
    /// Requests to the runner that broke since its last answer.
    pub(super) broken_requests: u32,
    /// Gets no requests before this time, because requests to it broke. An answer ends this.
    pub(super) held_off_until: Millis,
    /// Requests that the runner failed since its last success.
    pub(super) failed_requests: u32,
    /// Is used before this time only if there is no other runner, because it failed requests.
    pub(super) avoided_until: Millis,
    /// Time of its last answer or of the last connection made by a probe.
    pub(super) last_contact: Millis,
    /// Gets no requests before this time, because a different runner answered at its address.
    pub(super) address_taken_until: Millis,
    /// Its build counts as unknown before this time, because its entry is or may be of an earlier process.
    pub(super) unidentified_until: Millis,
    /// Counts as full before this time, because it refused a request as full.
    pub(super) full_until: Millis,
    /// When the runner's entry was found missing after an outage of the key-value service.
    pub(super) missing_since: Option<Millis>,
}

/// Address of a runner to probe, independently of requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Id of the runner.
    pub id: String,
    /// Address that takes requests.
    pub address: SocketAddr,
    /// Data centre of the runner.
    pub centre: String,
}

impl Runner {
    pub(super) fn new(id: &str, entry: Entry, memory_tokens: u64) -> Self {
        Self {
            id_hash: xxh3_64(id.as_bytes()),
            memory_tokens,
            id: id.to_owned(),
            entry,
            own_requests: 0,
            peer_reports: tally::Reports::default(),
            load: None,
            shares_machine: false,
            slowdown: slowdown::Known::default(),
            silence: silence::Known::default(),
            prompt_cache: Cache::new(memory_tokens),
            pace: Mean::default(),
            unreachable: false,
            broken_requests: 0,
            held_off_until: Millis::ZERO,
            failed_requests: 0,
            avoided_until: Millis::ZERO,
            last_contact: Millis::ZERO,
            address_taken_until: Millis::ZERO,
            unidentified_until: Millis::ZERO,
            full_until: Millis::ZERO,
            missing_since: None,
        }
    }

    pub(super) fn is_eligible(&self, request: &Request<'_>) -> bool {
        self.entry.service == request.service
            && self.entry.state == State::Ready
            && !self.unreachable
            && !self.is_held_off(request.now)
            && self.address_taken_until <= request.now
            && self.may_run(request.software, request.now)
            && !request.excluded.contains(&self.id)
    }

    fn may_run(&self, software: Software<'_>, now: Millis) -> bool {
        let is_known = self.entry.born.is_some() && self.unidentified_until <= now;
        match software {
            Software::Any => true,
            Software::Known => is_known,
            Software::Build(build) => is_known && self.entry.build == build,
        }
    }

    pub(super) fn candidate(&self, request: &Request<'_>, median_pace: f64) -> Candidate {
        let (others, _) = self.peer_reports.all(request.now);
        let known = self.own_requests.saturating_add(others);
        // The runner's own report counts if it is higher than what this VM knows: a VM that can't
        // reach this VM may have requests at the runner, too.
        let reported = self
            .load
            .filter(|(_, at)| request.now.since(*at) < REPORTED_LOAD_MAX_AGE);
        let reported = reported.map_or(0, |(load, _)| load.running.saturating_add(load.waiting));
        let busy = if self.full_until > request.now {
            known.max(self.entry.slots.saturating_add(2))
        } else {
            known.max(reported)
        };
        let cached = self.prompt_cache.cached(request.prompt);
        let speed = 1_000.0 / self.expected_pace(request, cached, median_pace);
        Candidate {
            slots: self.entry.slots,
            reported: busy,
            sent: 0,
            ended: 0,
            in_flight: self.own_requests,
            claimed: 0,
            speed,
            prefill: speed * PREFILL_TOKENS_PER_GENERATED,
            cached,
            share: FULL_SHARE,
            lane: Lane::Open,
            network_cost: if self.entry.centre == request.centre {
                0.0
            } else {
                request.remote_cost_ms
            },
        }
    }

    /// Returns the milliseconds per token, or per request of a plain service, that are expected of a
    /// request that starts now and of whose prompt `cached` tokens are cached.
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts are far below 2^52"
    )]
    fn expected_pace(&self, request: &Request<'_>, cached: u64, median_pace: f64) -> f64 {
        let usual = self.pace.decayed_to(request.now);
        let usual = usual.shrunk_towards(median_pace);
        let Some(reading) = self.slowdown.reading else {
            return usual;
        };
        let missed = request.prompt_tokens.saturating_sub(cached) as f64;
        let work = request.output_tokens as f64 + missed / PREFILL_TOKENS_PER_GENERATED;
        usual * reading.expected_factor(usual * work, request.now)
    }

    /// Sets the memory of the runner's engine, which the configuration defines.
    pub(super) fn set_memory(&mut self, memory: u64) {
        if self.memory_tokens != memory {
            self.memory_tokens = memory;
            self.prompt_cache = Cache::new(memory);
        }
    }

    /// Records that a prompt is being sent to the runner.
    pub fn note_prompt(&mut self, prompt: &[prefix::Part], now: Millis) {
        self.prompt_cache.note(prompt, now);
    }

    /// Returns where to probe the runner.
    #[must_use]
    pub fn target(&self) -> Target {
        Target {
            id: self.id.clone(),
            address: self.entry.address,
            centre: self.entry.centre.clone(),
        }
    }

    /// Records the load reported with an answer.
    pub fn note_load(&mut self, load: Load, now: Millis) {
        self.load = Some((load, now));
        if let Some(reading) = slowdown::reading(load, now) {
            self.shares_machine = true;
            self.slowdown.note_own(reading);
        }
    }

    /// Returns how fast the runner's machine is, as read last by any VM; `None` if it doesn't tell.
    #[must_use]
    pub const fn slowdown(&self) -> Option<Reading> {
        self.slowdown.reading
    }

    /// Returns whether its machine was slower than usual when that was last read, not long ago.
    pub(super) fn is_slowed(&self, now: Millis) -> bool {
        self.slowdown()
            .is_some_and(|reading| reading.is_valid(now) && reading.is_slow())
    }

    /// Records that an answer came.
    pub fn note_answer(&mut self, now: Millis) {
        self.last_contact = now;
        self.silence.knowledge.note_reached(now);
        self.broken_requests = 0;
        self.held_off_until = Millis::ZERO;
    }

    /// Returns whether the runner has answered this VM, or a connection to it was made. Another writer's entry
    /// may name an address at which there is none.
    pub(super) fn has_been_reached(&self) -> bool {
        self.last_contact > Millis::ZERO
    }

    /// Returns whether this VM holds the runner off because requests to it broke.
    pub(super) fn is_held_off(&self, now: Millis) -> bool {
        self.held_off_until > now
    }

    /// Records that a connection was made. Returns whether the runner was unreachable before.
    pub fn note_reachable(&mut self, now: Millis) -> bool {
        self.last_contact = now;
        self.silence.knowledge.note_reached(now);
        std::mem::replace(&mut self.unreachable, false)
    }

    /// Records that an attempt to connect has been under way since `since` and may fail. Until it ends, the
    /// runner gets requests only if there is no other.
    pub(super) fn note_attempt(&mut self, since: Millis) {
        let until = since.plus(Millis::from(CONNECT_TIMEOUT));
        self.silence.knowledge.begin_attempt(since, until);
    }

    /// Records that a different runner answered at the address.
    pub fn note_address_taken(&mut self, now: Millis) {
        self.address_taken_until = now.plus(ADDRESS_TAKEN_PAUSE);
    }

    /// Records that the process at the address isn't the one that wrote the entry, or can't say whether it
    /// is.
    pub fn note_unidentified(&mut self, now: Millis) {
        self.unidentified_until = now.plus(UNIDENTIFIED_PAUSE);
    }

    /// Records that the runner refused a request as full.
    pub fn note_full(&mut self, now: Millis) {
        self.full_until = now.plus(FULL_PAUSE);
    }

    /// Records that the runner answered a request with an error of its own, or broke its answer
    /// off.
    ///
    /// A runner that fails at once has nothing in flight. Without a pause it would look idle to
    /// every request, and callers would get only errors from then on.
    pub fn note_failed(&mut self, now: Millis) {
        self.avoided_until = now.plus(health::hold_off_span(self.failed_requests));
        self.failed_requests += 1;
    }

    /// Returns whether the runner is used only if there is no other, because it failed requests.
    pub(super) fn is_avoided(&self, now: Millis) -> bool {
        self.avoided_until > now
    }

    /// Records that a request of `tokens` tokens (1 for a plain service) took `span` at the runner.
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts and spans are far below 2^52"
    )]
    pub fn note_success(&mut self, tokens: u64, span: Millis, now: Millis) {
        let span = span.as_u64().max(1) as f64;
        let pace = span / tokens.max(1) as f64;
        self.pace.add(pace, now);
        self.failed_requests = 0;
    }
}
