//! The one place on a VM that gives out endpoints' slots, for all its shards: admits, queues and
//! places calls by the decisions of crate `policy`.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use policy::admit;
use policy::admit::DrainRate;
use policy::admit::Stage;
use policy::eject::Sample;
use policy::queue;
use policy::queue::Entry;
use policy::queue::Queue;
use policy::retry;
use policy::slow_start;
use policy::stop;
use settings::config::Endpoint;
use settings::config::Kind;
use settings::vm::Settings;
use tokio::sync::oneshot;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Refusal;
use wire::event::Event;
use wire::id;

use crate::core::Core;
use crate::dispatch::choose::Picked;
use crate::dispatch::choose::pick;
use crate::dispatch::endpoint_state;
use crate::dispatch::endpoint_state::Content;
use crate::dispatch::endpoint_state::EndpointState;
use crate::view::View;

/// The part of the queue that only urgent calls may take: one in this many places.
const URGENT_PART: usize = 10;
/// Milliseconds an output token that a call's expected run is reckoned with: the letter's 58 ms
/// for 95 in 100, halved for the mean.
const TOKEN: u64 = 29;

/// The outcome of placing a call.
pub type Result<T> = std::result::Result<T, Refusal>;

/// A call that needs a slot.
#[derive(Clone, Debug)]
pub struct Work {
    /// The program.
    pub program: id::Program,
    /// The turn, 0 for a service's call.
    pub turn: u32,
    /// Who asks.
    pub caller: id::Caller,
    /// How soon it is heard.
    pub class: settings::config::Class,
    /// What kind of endpoint it needs.
    pub kind: Kind,
    /// The model or service.
    pub serves: String,
    /// Prompt tokens, estimated.
    pub prompt: u64,
    /// Tokens that the answer is expected to have.
    pub output: u64,
    /// Tokens that the program has generated so far.
    pub spent: u64,
    /// Endpoints that hold cache of the program, and how many tokens.
    pub held: Vec<(id::Endpoint, u64)>,
    /// Endpoints that failed this call before.
    pub avoid: Vec<id::Endpoint>,
    /// What is known of its content.
    pub content: Content,
    /// How often it was tried.
    pub tries: u32,
    /// When the caller stops waiting.
    pub deadline: Option<Millis>,
}

/// A slot at an endpoint, given back when dropped.
pub struct Slot {
    /// The endpoint.
    pub endpoint: Endpoint,
    core: Arc<Core>,
    began: Millis,
    content: Content,
    sample: Option<Sample>,
}

/// Gives out the endpoints' slots.
pub struct Scheduler(Mutex<State>);

pub(super) struct State {
    pub(super) endpoints: Vec<EndpointState>,
    queue: Queue<Waiter>,
    pub(super) drain: DrainRate,
    retries: retry::Budget,
    born: Millis,
    /// The view that the endpoints follow.
    synced: Arc<View>,
}

struct Waiter {
    work: Work,
    slot: oneshot::Sender<Result<Slot>>,
}

impl Scheduler {
    /// Makes a scheduler for a VM.
    #[must_use]
    pub fn new(settings: &Settings, now: Millis) -> Self {
        let all = settings.limits.queue;
        let limits = queue::Limits {
            all,
            reserved: all / URGENT_PART,
        };
        Self(Mutex::new(State {
            endpoints: Vec::new(),
            queue: Queue::new(limits),
            drain: DrainRate::default(),
            retries: retry::Budget::new(now),
            born: now,
            synced: Arc::default(),
        }))
    }

    /// Counts a call that succeeded, which earns a part of a retry.
    pub fn succeed(&self) {
        self.lock().retries.succeed();
    }

    /// Decides whether a failed call is tried again.
    pub fn retry(&self, failure: &retry::Failure, now: Millis) -> retry::Verdict {
        let mut state = self.lock();
        state.retries.decide(failure, now, &mut rand::rng())
    }

    /// Gives an endpoint nothing until then.
    pub fn pause(&self, endpoint: &id::Endpoint, now: Millis, span: Millis) {
        let mut state = self.lock();
        let at = state.find_or_insert(endpoint, now);
        state.endpoints[at].pause(now.plus(span));
    }

    /// Yields how many calls wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.lock().queue.len()
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Waits for a slot.
///
/// # Errors
///
/// Refuses, always with `ran: no`, where no endpoint may take the call, the load is too high, or
/// the call has waited for too long.
pub async fn acquire(core: &Arc<Core>, work: Work) -> Result<Slot> {
    let arrived = core.clock.now();
    let waited = enter(core, work, arrived)?;
    let slot = match waited {
        Entered::Placed(slot) => Ok(slot),
        Entered::Queued(receiver) => {
            let gone = Err(Refusal::new(Code::ShuttingDown, ""));
            receiver.await.unwrap_or(gone)
        }
    };
    core.metrics.queued(core.clock.now().since(arrived));
    slot
}

/// Gives free slots to the calls that wait, and gives up those whose time is over, as well as all
/// that a VM which stops has no time for.
pub fn assign_slots(core: &Arc<Core>) {
    let now = core.clock.now();
    let view = core.view();
    let mut state = core.scheduler.lock();
    state.sync(&view, now);
    let State {
        endpoints,
        queue,
        drain,
        ..
    } = &mut *state;
    let mut ready = Vec::new();
    for entry in queue.remove(|waiter| is_given_up(core, &waiter.work, now)) {
        ready.push((entry.item, Err(shutting_down())));
    }
    for entry in queue.take_expired(now) {
        let load = admit::Load::of(queue, drain, entry.class, &entry.caller);
        let refusal = admit::refuse_expired(&load, &mut rand::rng());
        ready.push((entry.item, Err(refusal)));
    }
    loop {
        for endpoint in endpoints.iter_mut() {
            endpoint.claimed = 0;
        }
        let mut chosen = None;
        let popped = queue.pop_where(|entry| {
            let picked = pick(core, &view, endpoints, &entry.item.work, now);
            claim(endpoints, picked.as_ref());
            chosen = picked.filter(Picked::can_start);
            chosen.is_some()
        });
        let (Some(entry), Some(picked)) = (popped, chosen) else {
            break;
        };
        drain.count(now, queue.len());
        let slot = begin(core, endpoints, &entry.item.work, picked, now);
        ready.push((entry.item, Ok(slot)));
    }
    drop(state);
    // Sent without the lock: a slot whose waiter is gone is given back by its drop.
    for (waiter, outcome) in ready {
        let _gone = waiter.slot.send(outcome);
    }
}

/// Tells whether a call without a slot gets none any more, as the VM ends before the call may: cut off
/// at its endpoint it may have run, and its caller couldn't send it elsewhere.
fn is_given_up(core: &Core, work: &Work, now: Millis) -> bool {
    let stop = core.stop.get();
    stop.is_some_and(|stop| stop.gives_up(now, work.deadline))
}

fn shutting_down() -> Refusal {
    Refusal::new(Code::ShuttingDown, "").retry_after(stop::RETRY)
}

enum Entered {
    Placed(Slot),
    Queued(oneshot::Receiver<Result<Slot>>),
}

fn enter(core: &Arc<Core>, work: Work, now: Millis) -> Result<Entered> {
    if is_given_up(core, &work, now) {
        return Err(shutting_down());
    }
    let view = core.view();
    let class = endpoint_state::class(work.class);
    let mut state = core.scheduler.lock();
    state.sync(&view, now);
    let picked = pick(core, &view, &state.endpoints, &work, now);
    if picked.is_none() && work.tries == 0 {
        let refusal = Refusal::new(Code::NoEndpoint, &work.serves);
        return Err(refusal.retry_after(endpoint_state::PAUSE));
    }
    let first = state.queue.waiting(class) == 0;
    claim(&mut state.endpoints, picked.as_ref());
    if let Some(picked) = picked
        && picked.can_start()
        && first
    {
        let slot = begin(core, &mut state.endpoints, &work, picked, now);
        return Ok(Entered::Placed(slot));
    }
    if work.tries == 0 {
        admit(&state, &work, now)?;
    }
    let detail = format!("class={class:?} waiting={}", state.queue.len());
    core.trace
        .note(now, Event::CallQueued, &work.program, work.turn, &detail);
    let (sender, receiver) = oneshot::channel();
    let limit = now.plus(core.settings.limits.wait);
    if let Err(entry) = state.queue.push(entry(work, sender, now, limit)) {
        let load = admit::Load::of(&state.queue, &state.drain, class, &entry.caller);
        let refusal = Refusal::new(Code::QueueFull, "");
        return Err(refusal.retry_after(load.wait().max(admit::MIN_RETRY_AFTER)));
    }
    Ok(Entered::Queued(receiver))
}

fn admit(state: &State, work: &Work, now: Millis) -> Result<()> {
    let class = endpoint_state::class(work.class);
    let call = admit::Call {
        class,
        stage: match work.turn {
            0 | 1 => Stage::First,
            _ => Stage::Later,
        },
        deadline: work.deadline.map(|deadline| deadline.since(now)),
        run: expected(work),
    };
    let load = admit::Load::of(&state.queue, &state.drain, class, &work.caller);
    admit::decide(&load, &call, &mut rand::rng())
}

fn entry(
    work: Work,
    slot: oneshot::Sender<Result<Slot>>,
    now: Millis,
    limit: Millis,
) -> Entry<Waiter> {
    let class = endpoint_state::class(work.class);
    let run = expected(&work);
    Entry {
        class,
        caller: work.caller.clone(),
        attained: Millis::new(work.spent.saturating_mul(TOKEN)),
        cost: run,
        arrived: now,
        expires: queue::expiry(now, class, work.deadline, run).min(limit),
        item: Waiter { work, slot },
    }
}

/// Yields how long a call is expected to run.
fn expected(work: &Work) -> Millis {
    Millis::new(work.output.saturating_mul(TOKEN))
}

/// Counts a call that will wait for the endpoint that it prefers, so that those behind it don't
/// reckon with the same slot.
fn claim(endpoints: &mut [EndpointState], picked: Option<&Picked>) {
    let Some(picked) = picked.filter(|picked| !picked.can_start()) else {
        return;
    };
    let name = &picked.endpoint.name;
    if let Ok(at) = endpoints.binary_search_by(|s| s.endpoint.cmp(name)) {
        endpoints[at].claimed += 1;
    }
}

/// Gives a call its slot.
fn begin(
    core: &Arc<Core>,
    endpoints: &mut [EndpointState],
    work: &Work,
    picked: Picked,
    now: Millis,
) -> Slot {
    let Picked {
        endpoint, detail, ..
    } = picked;
    core.trace
        .note(now, Event::CallPlaced, &work.program, work.turn, &detail);
    if let Ok(at) = endpoints.binary_search_by(|s| s.endpoint.cmp(&endpoint.name)) {
        endpoints[at].begin(now, work.content);
    }
    Slot {
        endpoint,
        core: core.clone(),
        began: now,
        content: work.content,
        sample: None,
    }
}

impl Slot {
    /// Notes what the call showed of the endpoint.
    pub fn note(&mut self, sample: Sample) {
        self.sample = Some(sample);
    }

    /// Yields when the slot was given out.
    #[must_use]
    pub fn began(&self) -> Millis {
        self.began
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.core.clock.now();
        let mut state = self.core.scheduler.lock();
        let at = state.find_or_insert(&self.endpoint.name, now);
        state.endpoints[at].end(self.began, now, self.content, self.sample);
        let idle = state.queue.is_empty();
        drop(state);
        if !idle {
            assign_slots(&self.core);
        }
    }
}

impl State {
    /// Takes in the endpoints and load reports of a new view.
    pub(super) fn sync(&mut self, view: &Arc<View>, now: Millis) {
        if Arc::ptr_eq(&self.synced, view) {
            return;
        }
        self.synced = view.clone();
        for endpoint in &view.config.endpoints {
            let at = self.find_or_insert(&endpoint.name, now);
            if let Some(load) = view.load(&endpoint.name) {
                self.endpoints[at].report(load);
            }
        }
    }

    /// Finds the state of an endpoint, or begins to keep it.
    fn find_or_insert(&mut self, endpoint: &id::Endpoint, now: Millis) -> usize {
        let found = self
            .endpoints
            .binary_search_by(|s| s.endpoint.cmp(endpoint));
        found.unwrap_or_else(|at| {
            // At the VM's own start all endpoints are new to it, and none is to the others.
            let starting = now.since(self.born) < slow_start::DURATION;
            let since = if starting { Millis::ZERO } else { now };
            self.endpoints
                .insert(at, EndpointState::new(endpoint.clone(), since));
            at
        })
    }
}
