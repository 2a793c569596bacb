//! One runner as this VM knows it: what it says, what others tell of it, what its answers showed.

use std::net::SocketAddr;

use adapter::runner::Entry;
use adapter::runner::Load;
use adapter::runner::State;
use policy::pace::Mean;
use policy::place::Candidate;
use policy::place::Lane;
use policy::prefix;
use policy::prefix::Cache;
use wire::clock::Millis;
use xxhash_rust::xxh3::xxh3_64;

use crate::fleet::PlacementRequest;
use crate::fleet::health;
use crate::tally::PeerReports;

/// Prompt tokens that an engine reads in the time in which it generates one: about the same at fast
/// and slow engines, as both times are made of the same arithmetic.
const PREFILL_TOKENS_PER_GENERATED: f64 = 220.0;
/// All of a runner's slots may be used; what fails is held off whole.
const FULL_SHARE: f64 = 1.0;
/// How long a runner gets nothing after another one answered at its address: until its entry is
/// gone from the list, as a rule.
const ADDRESS_TAKEN_PAUSE: Millis = Millis::new(1_000);
/// How long a runner is passed over after it turned a request away as full: about the time in
/// which one of its requests ends.
const FULL_PAUSE: Millis = Millis::new(40);
/// How long a runner's own count of its requests holds: a fraction of the time that one takes.
const REPORTED_LOAD_MAX_AGE: Millis = Millis::new(120);

/// A runner.
#[derive(Clone, Debug)]
pub struct Runner {
    /// Its id, which no other runner ever has.
    pub id: String,
    /// What it says of itself.
    pub entry: Entry,
    /// Requests of this VM under way at it.
    pub own_requests: u32,
    /// What other VMs told of it.
    pub(super) peer_reports: PeerReports,
    /// What it said of its load last.
    pub(super) load: Option<(Load, Millis)>,
    /// Stands for its id where runners are ranked.
    pub(super) id_hash: u64,
    /// Its engine's memory in tokens; 0 for plain services.
    pub(super) memory_tokens: u64,
    pub(super) prompt_cache: Cache,
    /// Milliseconds a token; for plain services, a request.
    pub(super) pace: Mean,
    /// No connection to it could be made, or one broke, and none has been made since.
    pub(super) unreachable: bool,
    /// Requests to it that broke since one was answered last.
    pub(super) broken_requests: u32,
    pub(super) held_off_until: Millis,
    /// Requests that it failed since it did one well last.
    pub(super) failed_requests: u32,
    pub(super) avoided_until: Millis,
    /// When an answer of its came last, or a connection was made beside the traffic.
    pub(super) last_contact: Millis,
    pub(super) address_taken_until: Millis,
    pub(super) full_until: Millis,
    /// Its entry was missing when the key-value service came back.
    pub(super) missing_since: Option<Millis>,
}

/// Where a runner is tried beside the traffic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its id.
    pub id: String,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its data centre.
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
            peer_reports: PeerReports::default(),
            load: None,
            prompt_cache: Cache::new(memory_tokens),
            pace: Mean::default(),
            unreachable: false,
            broken_requests: 0,
            held_off_until: Millis::ZERO,
            failed_requests: 0,
            avoided_until: Millis::ZERO,
            last_contact: Millis::ZERO,
            address_taken_until: Millis::ZERO,
            full_until: Millis::ZERO,
            missing_since: None,
        }
    }

    pub(super) fn is_eligible(&self, request: &PlacementRequest<'_>) -> bool {
        self.entry.service == request.service
            && self.entry.state == State::Ready
            && !self.unreachable
            && !self.is_held_off(request.now)
            && self.address_taken_until <= request.now
            && !request.excluded.contains(&self.id)
    }

    pub(super) fn candidate(&self, request: &PlacementRequest<'_>, median_pace: f64) -> Candidate {
        let (others, _) = self.peer_reports.all(request.now);
        let known = self.own_requests + others;
        // What the runner said just now counts where it is more than is known here: another VM that
        // can't be heard has requests at it, too.
        let told = self
            .load
            .filter(|(_, at)| request.now.since(*at) < REPORTED_LOAD_MAX_AGE);
        let told = told.map_or(0, |(load, _)| load.running + load.waiting);
        let busy = if self.full_until > request.now {
            known.max(self.entry.slots + 2)
        } else {
            known.max(told)
        };
        let speed = 1_000.0 / self.pace.at(request.now).drawn_to(median_pace);
        Candidate {
            slots: self.entry.slots,
            reported: busy,
            sent: 0,
            ended: 0,
            claimed: 0,
            speed,
            prefill: speed * PREFILL_TOKENS_PER_GENERATED,
            cached: self.prompt_cache.cached(request.prompt),
            share: FULL_SHARE,
            lane: Lane::Open,
            away: if self.entry.centre == request.centre {
                0.0
            } else {
                request.remote_cost_ms
            },
        }
    }

    /// Notes how much memory its engine has, which a configuration tells.
    pub(super) fn set_memory(&mut self, memory: u64) {
        if self.memory_tokens != memory {
            self.memory_tokens = memory;
            self.prompt_cache = Cache::new(memory);
        }
    }

    /// Notes that a prompt goes to the runner.
    pub fn note_prompt(&mut self, prompt: &[prefix::Part], now: Millis) {
        self.prompt_cache.note(prompt, now);
    }

    pub(super) fn target(&self) -> Target {
        Target {
            id: self.id.clone(),
            address: self.entry.address,
            centre: self.entry.centre.clone(),
        }
    }

    /// Notes the load that an answer told.
    pub fn note_load(&mut self, load: Load, now: Millis) {
        self.load = Some((load, now));
    }

    /// Notes that an answer came.
    pub fn note_answer(&mut self, now: Millis) {
        self.last_contact = now;
        self.broken_requests = 0;
        self.held_off_until = Millis::ZERO;
    }

    /// Tells whether this VM holds the runner off, as requests to it broke.
    pub(super) fn is_held_off(&self, now: Millis) -> bool {
        self.held_off_until > now
    }

    /// Notes that a connection was made; tells whether that is news.
    pub fn note_reachable(&mut self, now: Millis) -> bool {
        self.last_contact = now;
        std::mem::replace(&mut self.unreachable, false)
    }

    /// Notes that another runner has its address.
    pub fn note_address_taken(&mut self, now: Millis) {
        self.address_taken_until = now.plus(ADDRESS_TAKEN_PAUSE);
    }

    /// Notes that the runner turned a request away.
    pub fn note_full(&mut self, now: Millis) {
        self.full_until = now.plus(FULL_PAUSE);
    }

    /// Notes that the runner answered a request with a failure of its own, or broke its answer off.
    ///
    /// One that fails at once has nothing under way. Without a pause it is the idle one for every
    /// request, and callers get nothing but failures from then on.
    pub fn note_failed(&mut self, now: Millis) {
        self.avoided_until = now.plus(health::hold_off_span(self.failed_requests));
        self.failed_requests += 1;
    }

    /// Tells whether the runner gets nothing while there are others, as it failed requests.
    pub(super) fn is_avoided(&self, now: Millis) -> bool {
        self.avoided_until > now
    }

    /// Notes that a request of so many tokens (1 for a plain service) took `span` at the runner.
    #[expect(
        clippy::cast_precision_loss,
        reason = "token counts and spans are far below 2^52"
    )]
    pub fn note_success(&mut self, tokens: u64, span: Millis, now: Millis) {
        let span = span.as_u64().max(1) as f64;
        let pace = span / tokens.max(1) as f64;
        self.pace.note(pace, now);
        self.failed_requests = 0;
    }
}
