//! A client that behaves as the platform's documentation describes: it keeps its connection until
//! the VM closes it, obeys `retry-after`, repeats requests that may be repeated, and runs programs
//! of several turns.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use fakes::caller;
use fakes::caller::Params;
use fakes::store;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::body::Body;
use crate::body::Pace;
use crate::connection::Answer;
use crate::connection::Connection;
use crate::connection::Outcome;
use crate::context::Context;
use crate::request::Got;
use crate::request::Kind;
use crate::request::Spec;
use crate::request::Turn;

/// The most attempts at one request.
const MAX_ATTEMPTS: usize = 4;
/// How often a failed turn is requested again.
const TURN_RETRIES: usize = 2;
/// How long an idle connection is reused: four fifths of the idle time that the operators
/// configure.
const REUSE_WINDOW: Duration = Duration::from_secs(12);
/// A client does not retry with less time left than this.
const MIN_TIME_LEFT: Duration = Duration::from_millis(100);
/// How long clients wait for most requests: a little less than the time-out of their routes.
const DEADLINE: Duration = Duration::from_millis(2_900);
/// How long clients wait for long turns.
const LONG_DEADLINE: Duration = Duration::from_millis(6_500);
/// The work of an overlong request: more than most routes allow.
const OVERLONG: Duration = Duration::from_millis(store::DEFAULT_TIMEOUT_MS + 800);
/// How long clients wait for an overlong request.
const OVERLONG_DEADLINE: Duration = Duration::from_millis(store::DEFAULT_TIMEOUT_MS + 1_500);
/// One program in so many has turns whose streams may be resumed.
const RESUMABLE_EACH: usize = 3;
/// One turn of such a program in so many loses its connection.
const BREAK_EACH: usize = 2;
/// How often the stream of such a turn breaks off at most.
const MAX_BREAKS: usize = 2;
/// How long the VM doesn't learn at most that the connection has broken off. It records events meanwhile that the
/// client doesn't get.
const MAX_UNNOTICED_MS: u64 = 300;
/// A token budget that no program uses up.
const AMPLE_BUDGET: u64 = 20_000;

/// A client.
#[derive(Debug)]
pub struct Client {
    context: Arc<Context>,
    centre: usize,
    /// The hash by which the balancer chooses among VMs.
    hash: usize,
    random: ChaCha8Rng,
    idle: Option<Connection>,
    sent: u64,
}

/// How a request ended, after all its attempts.
enum Completion {
    Served(String),
    /// The program's token budget is spent.
    Spent,
    Failed,
}

/// What to do after an attempt.
enum Decision {
    Done(Completion),
    Again(Duration),
}

impl Client {
    /// Creates a client without a connection.
    #[must_use]
    pub fn new(context: Arc<Context>, index: usize, seed: u64) -> Self {
        Self {
            centre: index % context.centres,
            hash: index / context.centres,
            random: ChaCha8Rng::seed_from_u64(seed.wrapping_add(index as u64)),
            context,
            idle: None,
            sent: 0,
        }
    }

    /// Sends requests until `end`.
    pub async fn run(mut self, end: Instant) {
        while Instant::now() < end {
            if self.random.random_bool(0.25) {
                self.program(end).await;
            } else {
                let spec = self.random_call();
                self.request(&spec).await;
            }
            self.pause(10, 150).await;
        }
    }

    async fn pause(&mut self, from: u64, to: u64) {
        let span = Duration::from_millis(self.random.random_range(from..to));
        sleep(span).await;
    }

    fn random_input(&mut self) -> Bytes {
        self.sent += 1;
        let filler = "x".repeat(self.random.random_range(0..400));
        format!("input {} {} {filler}\n", self.hash, self.sent).into()
    }

    /// Chooses at random how a body is sent; slowly only during a fault of slow bodies.
    fn random_pace(&mut self) -> Pace {
        if !self.context.has_slow_bodies() || !self.random.random_bool(0.4) {
            return Pace::AtOnce;
        }
        if self.random.random_bool(0.15) {
            return Pace::Stops;
        }
        Pace::Slow(Duration::from_millis(self.random.random_range(10..250)))
    }

    fn random_spec(&mut self, kind: Kind, turn: Option<Turn>) -> Spec {
        let (events, pause) = match kind {
            Kind::Long => (
                self.random.random_range(8..16),
                self.random.random_range(150..300),
            ),
            Kind::Kept | Kind::Resumable | Kind::Talk => (
                self.random.random_range(2..12),
                self.random.random_range(5..150),
            ),
            Kind::Look | Kind::Order | Kind::Added(_) | Kind::Dropped(_) => (
                self.random.random_range(1..6),
                self.random.random_range(1..60),
            ),
        };
        let deadline = match kind {
            Kind::Long => LONG_DEADLINE,
            _ => DEADLINE,
        };
        Spec {
            kind,
            events,
            pause: Duration::from_millis(pause),
            deadline,
            leave_after: None,
            pace: self.random_pace(),
            input: self.random_input(),
            turn,
            got: None,
        }
    }

    fn random_call(&mut self) -> Spec {
        let kind = match self.random.random_range(0..10) {
            0..4 => Kind::Look,
            4..7 => Kind::Order,
            _ => Kind::Talk,
        };
        let mut spec = self.random_spec(kind, None);
        // A few requests take longer than their route allows.
        if self.random.random_bool(0.02) {
            spec.pause = OVERLONG / 8;
            spec.events = 8;
            spec.deadline = OVERLONG_DEADLINE;
            return spec;
        }
        // A few clients leave early, mostly in the middle of the answer.
        if kind != Kind::Order && self.random.random_bool(0.03) {
            spec.leave_after = Some(Duration::from_millis(self.random.random_range(20..300)));
        }
        spec
    }

    /// Runs a program: several turns, each of which continues an earlier one, with calls in
    /// between.
    async fn program(&mut self, end: Instant) {
        let budget = if self.random.random_bool(0.15) {
            self.random.random_range(60..250)
        } else {
            AMPLE_BUDGET
        };
        let program = self.context.oracle().add_program(budget);
        let mut turns: Vec<String> = Vec::new();
        for _ in 0..self.random.random_range(2..7) {
            let previous = if self.random.random_bool(0.1) && !turns.is_empty() {
                let index = self.random.random_range(0..turns.len());
                Some(turns[index].clone())
            } else {
                turns.last().cloned()
            };
            let kind = if self.random.random_bool(0.12) {
                Kind::Long
            } else if program.is_multiple_of(RESUMABLE_EACH) {
                Kind::Resumable
            } else {
                Kind::Kept
            };
            let turn = Turn {
                program,
                budget,
                previous,
            };
            let mut spec = self.random_spec(kind, Some(turn));
            if kind == Kind::Resumable && turns.len().is_multiple_of(BREAK_EACH) {
                // The connection breaks off in the middle of the stream.
                spec.leave_after = Some(spec.work() / 2);
            }
            match self.turn(&spec).await {
                Completion::Served(id) => turns.push(id),
                Completion::Spent | Completion::Failed => return,
            }
            if Instant::now() >= end {
                return;
            }
            if self.random.random_bool(0.4) {
                let spec = self.random_call();
                self.request(&spec).await;
            }
            self.pause(5, 80).await;
        }
    }

    /// Requests a turn, and requests it again from its start if it fails.
    async fn turn(&mut self, spec: &Spec) -> Completion {
        for _ in 0..TURN_RETRIES {
            match self.request(spec).await {
                Completion::Failed => self.pause(100, 400).await,
                completion => return completion,
            }
        }
        self.request(spec).await
    }

    async fn request(&mut self, spec: &Spec) -> Completion {
        let mut spec = spec.clone();
        let mut breaks_left = self.random.random_range(1..=MAX_BREAKS);
        let deadline = Instant::now() + spec.deadline;
        for attempt in 0..MAX_ATTEMPTS {
            let left = deadline.saturating_duration_since(Instant::now());
            if attempt > 0 && left < MIN_TIME_LEFT {
                break;
            }
            let Some(mut connection) = self.connection(attempt).await else {
                continue;
            };
            let id = self.context.oracle().begin(connection.vm, &spec, left);
            let program = spec.turn.as_ref().map(|turn| format!("p{}", turn.program));
            let request = caller::request(&Params {
                id: &id,
                path: &spec.path(),
                deadline: left,
                program: program.as_deref(),
                turn: spec.turn.as_ref().map(|turn| caller::Turn {
                    budget: turn.budget,
                    max_tokens: spec.max_tokens(),
                    previous: turn.previous.as_deref(),
                }),
                body: spec.input.clone(),
            });
            let mut request = request.map(|_| Body::new(spec.input.clone(), spec.pace));
            if let Some(got) = &spec.got {
                caller::take_up(&mut request, &got.first, got.last_event);
            }
            let give_up_at = spec
                .leave_after
                .map_or(deadline, |span| deadline.min(Instant::now() + span));
            let outcome = connection.send(request, give_up_at).await;
            self.context.oracle().finish(&id, &outcome);
            if spec.kind == Kind::Resumable && matches!(outcome, Outcome::GaveUp(Some(_))) {
                self.pause(0, MAX_UNNOTICED_MS).await;
            }
            match &outcome {
                Outcome::Whole(answer) if !answer.info.closes => self.idle = Some(connection),
                _ => drop(connection),
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if spec.kind == Kind::Resumable {
                spec.got = after_break(&spec, &id, &outcome);
                breaks_left = breaks_left.saturating_sub(1);
                let breaks_again = spec.leave_after.is_some() && breaks_left > 0;
                spec.leave_after = breaks_again.then(|| spec.work_left() / 2);
            }
            match decide(spec.kind, id, &outcome, left) {
                Decision::Done(completion) => return completion,
                Decision::Again(span) => sleep(span).await,
            }
        }
        Completion::Failed
    }

    /// Returns the idle connection for a first attempt, and a new one to another VM for later
    /// attempts.
    async fn connection(&mut self, attempt: usize) -> Option<Connection> {
        let idle = self.idle.take();
        let usable = |idle: &Connection| idle.is_open() && idle.used.elapsed() < REUSE_WINDOW;
        // A client now and then opens a new connection although it has an idle one.
        if attempt == 0 && !self.random.random_bool(0.15) && idle.as_ref().is_some_and(usable) {
            return idle;
        }
        let vm = self
            .context
            .balancer
            .choose(self.centre, self.hash + attempt);
        let address = self.context.balancer.callers(vm);
        if let Ok(connection) = Connection::open(vm, address).await {
            return Some(connection);
        }
        self.pause(10, 50).await;
        None
    }
}

/// Returns what the client has of a stream that it takes up with its next attempt; `None` if it begins anew.
fn after_break(spec: &Spec, id: &str, outcome: &Outcome) -> Option<Got> {
    match outcome {
        Outcome::Cut(answer) | Outcome::GaveUp(Some(answer)) if answer.status == 200 => {
            Got::after(spec, id, &answer.body)
        }
        Outcome::Closed | Outcome::NotSent | Outcome::GaveUp(None) => spec.got.clone(),
        Outcome::Whole(_) | Outcome::Cut(_) | Outcome::GaveUp(_) => None,
    }
}

fn decide(kind: Kind, id: String, outcome: &Outcome, left: Duration) -> Decision {
    let repeatable = !kind.runs_once();
    match outcome {
        Outcome::Whole(answer) => match answer.status {
            200..=299 => Decision::Done(Completion::Served(id)),
            402 => Decision::Done(Completion::Spent),
            408 | 421 | 429 | 503 => decide_refused(answer, left),
            500.. if repeatable => Decision::Again(Duration::ZERO),
            _ => Decision::Done(Completion::Failed),
        },
        Outcome::NotSent => Decision::Again(Duration::ZERO),
        Outcome::Cut(_) | Outcome::Closed if repeatable => Decision::Again(Duration::ZERO),
        Outcome::GaveUp(_) if kind == Kind::Resumable => Decision::Again(Duration::ZERO),
        Outcome::Cut(_) | Outcome::Closed | Outcome::GaveUp(_) => {
            Decision::Done(Completion::Failed)
        }
    }
}

/// Retries after the time in `retry-after`, unless it exceeds a third of the time left.
fn decide_refused(answer: &Answer, left: Duration) -> Decision {
    let span = answer.info.retry_after.unwrap_or_default();
    if span > left / 3 {
        return Decision::Done(Completion::Failed);
    }
    Decision::Again(span)
}
