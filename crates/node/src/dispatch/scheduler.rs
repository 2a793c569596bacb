//! Assigns the endpoints' slots, for all shards of a VM: admits, queues and places calls according
//! to the decisions of crate `policy`.

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
use crate::dispatch::choose::Placement;
use crate::dispatch::choose::choose;
use crate::dispatch::endpoint_state;
use crate::dispatch::endpoint_state::Content;
use crate::view::View;

/// One in this many places of the queue is reserved for urgent calls.
const URGENT_DIVISOR: usize = 10;
/// Milliseconds per output token from which a call's expected run time is computed: half of the
/// required 95th percentile of 58 ms, as an estimate of the mean.
const MS_PER_TOKEN: u64 = 29;

/// The result of placing a call.
pub type Result<T> = std::result::Result<T, Refusal>;

/// A turn or service call that needs a slot.
#[derive(Clone, Debug)]
pub struct Work {
    /// The program.
    pub program: id::Program,
    /// The turn, 0 for a service's call.
    pub turn: u32,
    /// The caller that made the request.
    pub caller: id::Caller,
    /// Its priority class.
    pub class: settings::config::Class,
    /// The kind of endpoint that it needs.
    pub kind: Kind,
    /// The model or service that the endpoint must serve.
    pub serves: String,
    /// Prompt tokens, estimated.
    pub prompt: u64,
    /// Tokens that the answer is expected to have.
    pub output: u64,
    /// Tokens that the program has generated so far.
    pub spent: u64,
    /// The endpoints that hold cache of the program, each with the number of cached tokens.
    pub held: Vec<(id::Endpoint, u64)>,
    /// Endpoints that failed this call before.
    pub avoid: Vec<id::Endpoint>,
    /// Whether its content is suspected of crashing endpoints.
    pub content: Content,
    /// The number of attempts so far.
    pub tries: u32,
    /// When the caller stops waiting.
    pub deadline: Option<Millis>,
}

/// A slot at an endpoint, freed on drop.
pub struct Slot {
    /// The endpoint.
    pub endpoint: Endpoint,
    core: Arc<Core>,
    assigned_at: Millis,
    content: Content,
    sample: Option<Sample>,
}

/// Assigns the endpoints' slots.
pub struct Scheduler(Mutex<State>);

pub(super) struct State {
    pub(super) endpoints: Vec<endpoint_state::State>,
    queue: Queue<Waiter>,
    pub(super) drain_rate: DrainRate,
    retry_budget: retry::Budget,
    started_at: Millis,
    /// The view from which `endpoints` was last updated.
    synced_view: Arc<View>,
}

struct Waiter {
    work: Work,
    slot: oneshot::Sender<Result<Slot>>,
}

impl Scheduler {
    /// Creates the scheduler of a VM.
    #[must_use]
    pub fn new(settings: &Settings, now: Millis) -> Self {
        let all = settings.limits.queue;
        let limits = queue::Limits {
            all,
            reserved: all / URGENT_DIVISOR,
        };
        Self(Mutex::new(State {
            endpoints: Vec::new(),
            queue: Queue::new(limits),
            drain_rate: DrainRate::default(),
            retry_budget: retry::Budget::new(now),
            started_at: now,
            synced_view: Arc::default(),
        }))
    }

    /// Records that a call succeeded, which adds to the retry budget.
    pub fn record_success(&self) {
        self.lock().retry_budget.succeed();
    }

    /// Decides whether a failed call is retried.
    pub fn decide_retry(&self, failure: &retry::Failure, now: Millis) -> retry::Verdict {
        let mut state = self.lock();
        state.retry_budget.decide(failure, now, &mut rand::rng())
    }

    /// Sends an endpoint no calls for `span`.
    pub fn pause(&self, endpoint: &id::Endpoint, now: Millis, span: Millis) {
        let mut state = self.lock();
        let at = state.find_or_insert(endpoint, now);
        state.endpoints[at].pause(now.plus(span));
    }

    /// Returns the number of calls that wait for a slot.
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
/// Returns a refusal, always with `ran: no`, if no endpoint may take the call, the load is too
/// high, the call has waited for too long, or the VM stops before the call could end.
pub async fn acquire(core: &Arc<Core>, work: Work) -> Result<Slot> {
    let arrived = core.clock.now();
    let admission = place_or_queue(core, work, arrived)?;
    let slot = match admission {
        Admission::Placed(slot) => Ok(slot),
        Admission::Queued(receiver) => {
            let dropped = Err(Refusal::new(Code::ShuttingDown, ""));
            receiver.await.unwrap_or(dropped)
        }
    };
    core.metrics
        .record_queue_wait(core.clock.now().since(arrived));
    slot
}

/// Assigns free slots to waiting calls. Refuses the calls that have waited for too long, and those
/// for which a stopping VM has no time left.
pub fn assign_slots(core: &Arc<Core>) {
    let now = core.clock.now();
    let view = core.view();
    let mut state = core.scheduler.lock();
    state.sync(&view, now);
    let State {
        endpoints,
        queue,
        drain_rate,
        ..
    } = &mut *state;
    let mut outcomes = Vec::new();
    for entry in queue.remove(|waiter| is_too_late(core, &waiter.work, now)) {
        outcomes.push((entry.item, Err(shutting_down())));
    }
    for entry in queue.take_expired(now) {
        let load = admit::Load::of(queue, drain_rate, entry.class, &entry.caller);
        let refusal = admit::refuse_expired(&load, &mut rand::rng());
        outcomes.push((entry.item, Err(refusal)));
    }
    loop {
        for endpoint in endpoints.iter_mut() {
            endpoint.claimed = 0;
        }
        let mut chosen = None;
        let popped = queue.pop_where(|entry| {
            let placement = choose(core, &view, endpoints, &entry.item.work, now);
            count_claim(endpoints, placement.as_ref());
            chosen = placement.filter(Placement::can_start);
            chosen.is_some()
        });
        let (Some(entry), Some(placement)) = (popped, chosen) else {
            break;
        };
        drain_rate.count(now, queue.len());
        let slot = assign_slot(core, endpoints, &entry.item.work, placement, now);
        outcomes.push((entry.item, Ok(slot)));
    }
    drop(state);
    // Sent after the lock is released, because a slot whose waiter is gone is dropped, and the drop
    // takes the lock.
    for (waiter, outcome) in outcomes {
        let _waiter_gone = waiter.slot.send(outcome);
    }
}

/// Returns whether a call without a slot gets none any more because the VM stops before the call
/// could end. If the call were cut off at its endpoint, it might have run, and its caller couldn't
/// send it elsewhere.
fn is_too_late(core: &Core, work: &Work, now: Millis) -> bool {
    let stop = core.stop.get();
    stop.is_some_and(|stop| stop.gives_up(now, work.deadline))
}

fn shutting_down() -> Refusal {
    Refusal::new(Code::ShuttingDown, "").retry_after(stop::RETRY)
}

enum Admission {
    Placed(Slot),
    Queued(oneshot::Receiver<Result<Slot>>),
}

fn place_or_queue(core: &Arc<Core>, work: Work, now: Millis) -> Result<Admission> {
    if is_too_late(core, &work, now) {
        return Err(shutting_down());
    }
    let view = core.view();
    let class = endpoint_state::policy_class(work.class);
    let mut state = core.scheduler.lock();
    state.sync(&view, now);
    let placement = choose(core, &view, &state.endpoints, &work, now);
    if placement.is_none() && work.tries == 0 {
        let refusal = Refusal::new(Code::NoEndpoint, &work.serves);
        return Err(refusal.retry_after(endpoint_state::DEFAULT_PAUSE));
    }
    let is_first = state.queue.waiting(class) == 0;
    count_claim(&mut state.endpoints, placement.as_ref());
    if let Some(placement) = placement
        && placement.can_start()
        && is_first
    {
        let slot = assign_slot(core, &mut state.endpoints, &work, placement, now);
        return Ok(Admission::Placed(slot));
    }
    if work.tries == 0 {
        admit(&state, &work, now)?;
    }
    let detail = format!("class={class:?} waiting={}", state.queue.len());
    core.trace
        .record(now, Event::CallQueued, &work.program, work.turn, &detail);
    let (sender, receiver) = oneshot::channel();
    let limit = now.plus(core.settings.limits.wait);
    if let Err(entry) = state.queue.push(entry(work, sender, now, limit)) {
        let load = admit::Load::of(&state.queue, &state.drain_rate, class, &entry.caller);
        let refusal = Refusal::new(Code::QueueFull, "");
        return Err(refusal.retry_after(load.wait().max(admit::MIN_RETRY_AFTER)));
    }
    Ok(Admission::Queued(receiver))
}

fn admit(state: &State, work: &Work, now: Millis) -> Result<()> {
    let class = endpoint_state::policy_class(work.class);
    let call = admit::Call {
        class,
        stage: match work.turn {
            0 | 1 => Stage::First,
            _ => Stage::Later,
        },
        deadline: work.deadline.map(|deadline| deadline.since(now)),
        run: expected_run(work),
    };
    let load = admit::Load::of(&state.queue, &state.drain_rate, class, &work.caller);
    admit::decide(&load, &call, &mut rand::rng())
}

fn entry(
    work: Work,
    slot: oneshot::Sender<Result<Slot>>,
    now: Millis,
    limit: Millis,
) -> Entry<Waiter> {
    let class = endpoint_state::policy_class(work.class);
    let run = expected_run(&work);
    Entry {
        class,
        caller: work.caller.clone(),
        attained: Millis::new(work.spent.saturating_mul(MS_PER_TOKEN)),
        cost: run,
        arrived: now,
        expires: queue::expiry(now, class, work.deadline, run).min(limit),
        item: Waiter { work, slot },
    }
}

/// Returns how long a call is expected to run.
fn expected_run(work: &Work) -> Millis {
    Millis::new(work.output.saturating_mul(MS_PER_TOKEN))
}

/// Counts a call that waits for its preferred endpoint, so that calls behind it don't plan with the
/// same slot.
fn count_claim(endpoints: &mut [endpoint_state::State], placement: Option<&Placement>) {
    let Some(placement) = placement.filter(|placement| !placement.can_start()) else {
        return;
    };
    let name = &placement.endpoint.name;
    if let Ok(at) = endpoints.binary_search_by(|s| s.endpoint.cmp(name)) {
        endpoints[at].claimed += 1;
    }
}

/// Assigns a slot at the chosen endpoint to a call.
fn assign_slot(
    core: &Arc<Core>,
    endpoints: &mut [endpoint_state::State],
    work: &Work,
    placement: Placement,
    now: Millis,
) -> Slot {
    let Placement {
        endpoint, detail, ..
    } = placement;
    core.trace
        .record(now, Event::CallPlaced, &work.program, work.turn, &detail);
    if let Ok(at) = endpoints.binary_search_by(|s| s.endpoint.cmp(&endpoint.name)) {
        endpoints[at].record_sent(now, work.content);
    }
    Slot {
        endpoint,
        core: core.clone(),
        assigned_at: now,
        content: work.content,
        sample: None,
    }
}

impl Slot {
    /// Sets what the call shows about the endpoint; recorded when the slot is dropped.
    pub fn set_sample(&mut self, sample: Sample) {
        self.sample = Some(sample);
    }

    /// Returns when the slot was assigned.
    #[must_use]
    pub fn assigned_at(&self) -> Millis {
        self.assigned_at
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let now = self.core.clock.now();
        let mut state = self.core.scheduler.lock();
        let at = state.find_or_insert(&self.endpoint.name, now);
        state.endpoints[at].record_ended(self.assigned_at, now, self.content, self.sample);
        let idle = state.queue.is_empty();
        drop(state);
        if !idle {
            assign_slots(&self.core);
        }
    }
}

impl State {
    /// Updates the endpoints from a new view's configuration and load reports.
    pub(super) fn sync(&mut self, view: &Arc<View>, now: Millis) {
        if Arc::ptr_eq(&self.synced_view, view) {
            return;
        }
        self.synced_view = view.clone();
        for endpoint in &view.config.endpoints {
            let at = self.find_or_insert(&endpoint.name, now);
            if let Some(load) = view.load(&endpoint.name) {
                self.endpoints[at].record_report(load);
            }
        }
    }

    /// Returns the index of an endpoint's state, which is created if absent.
    fn find_or_insert(&mut self, endpoint: &id::Endpoint, now: Millis) -> usize {
        let found = self
            .endpoints
            .binary_search_by(|s| s.endpoint.cmp(endpoint));
        found.unwrap_or_else(|at| {
            // Right after the VM's own start all endpoints are new to it, but not to the other VMs.
            // `Millis::ZERO` spares them the slow start.
            let starting = now.since(self.started_at) < slow_start::DURATION;
            let since = if starting { Millis::ZERO } else { now };
            self.endpoints
                .insert(at, endpoint_state::State::new(endpoint.clone(), since));
            at
        })
    }
}
