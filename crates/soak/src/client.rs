//! A client as the platform's pages describe it: keeps its connection until the VM closes it, comes
//! back when it is told to, repeats what may be repeated, and runs programs of several turns.

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
use crate::request::Kind;
use crate::request::Turn;
use crate::request::Want;
use crate::world::World;

/// The attempts at one request.
const TRIES: usize = 4;
/// The tries of a turn after its first.
const AGAIN: usize = 2;
/// How long an unused connection is used again: four fifths of what the operators allow.
const KEEP: Duration = Duration::from_secs(12);
/// Below this nobody tries again.
const LEAST: Duration = Duration::from_millis(100);
/// How long clients wait for most requests: a little less than their routes let them take.
const DEADLINE: Duration = Duration::from_millis(2_900);
/// How long they wait for long turns.
const LONG_DEADLINE: Duration = Duration::from_millis(6_500);
/// What takes longer than most routes allow, and how long its client waits.
const OVER: Duration = Duration::from_millis(store::USUAL_MS + 800);
const OVER_DEADLINE: Duration = Duration::from_millis(store::USUAL_MS + 1_500);
/// A budget that no program spends.
const AMPLE: u64 = 20_000;

/// A client.
#[derive(Debug)]
pub struct Client {
    world: Arc<World>,
    centre: usize,
    /// What the balancer makes of the client.
    hash: usize,
    random: ChaCha8Rng,
    kept: Option<Connection>,
    sent: u64,
}

/// What became of a request.
enum Got {
    Served(String),
    /// The turn's budget is spent.
    Spent,
    Failed,
}

/// What to do after an attempt.
enum Next {
    Done(Got),
    Again(Duration),
}

impl Client {
    /// Makes a client without a connection.
    #[must_use]
    pub fn new(world: Arc<World>, at: usize, seed: u64) -> Self {
        Self {
            centre: at % world.centres,
            hash: at / world.centres,
            random: ChaCha8Rng::seed_from_u64(seed.wrapping_add(at as u64)),
            world,
            kept: None,
            sent: 0,
        }
    }

    /// Sends requests until `until`.
    pub async fn run(mut self, until: Instant) {
        while Instant::now() < until {
            if self.random.random_bool(0.25) {
                self.program(until).await;
            } else {
                let want = self.call();
                self.serve(&want).await;
            }
            self.pause(10, 150).await;
        }
    }

    async fn pause(&mut self, from: u64, to: u64) {
        let span = Duration::from_millis(self.random.random_range(from..to));
        sleep(span).await;
    }

    fn input(&mut self) -> Bytes {
        self.sent += 1;
        let filler = "x".repeat(self.random.random_range(0..400));
        format!("input {} {} {filler}\n", self.hash, self.sent).into()
    }

    /// Draws how a body is sent, while some are sent slowly.
    fn pace(&mut self) -> Pace {
        if !self.world.is_slow() || !self.random.random_bool(0.4) {
            return Pace::AtOnce;
        }
        if self.random.random_bool(0.15) {
            return Pace::Stops;
        }
        Pace::Slow(Duration::from_millis(self.random.random_range(10..250)))
    }

    fn want(&mut self, kind: Kind, turn: Option<Turn>) -> Want {
        let (events, pause) = match kind {
            Kind::Long => (
                self.random.random_range(8..16),
                self.random.random_range(150..300),
            ),
            Kind::Kept | Kind::Talk => (
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
        Want {
            kind,
            events,
            pause: Duration::from_millis(pause),
            deadline,
            leaves: None,
            pace: self.pace(),
            input: self.input(),
            turn,
        }
    }

    fn call(&mut self) -> Want {
        let kind = match self.random.random_range(0..10) {
            0..4 => Kind::Look,
            4..7 => Kind::Order,
            _ => Kind::Talk,
        };
        let mut want = self.want(kind, None);
        // A few take longer than their route allows.
        if self.random.random_bool(0.02) {
            want.pause = OVER / 8;
            want.events = 8;
            want.deadline = OVER_DEADLINE;
            return want;
        }
        // A few leave early, mostly in the middle of the answer.
        if kind != Kind::Order && self.random.random_bool(0.03) {
            want.leaves = Some(Duration::from_millis(self.random.random_range(20..300)));
        }
        want
    }

    /// Runs a program: turns, each from an earlier one, with calls in between.
    async fn program(&mut self, until: Instant) {
        let budget = if self.random.random_bool(0.15) {
            self.random.random_range(60..250)
        } else {
            AMPLE
        };
        let program = self.world.oracle().add_program(budget);
        let mut turns: Vec<String> = Vec::new();
        for _ in 0..self.random.random_range(2..7) {
            let previous = if self.random.random_bool(0.1) && !turns.is_empty() {
                let at = self.random.random_range(0..turns.len());
                Some(turns[at].clone())
            } else {
                turns.last().cloned()
            };
            let kind = if self.random.random_bool(0.12) {
                Kind::Long
            } else {
                Kind::Kept
            };
            let turn = Turn {
                program,
                budget,
                previous,
            };
            let want = self.want(kind, Some(turn));
            match self.turn(&want).await {
                Got::Served(id) => turns.push(id),
                Got::Spent | Got::Failed => return,
            }
            if Instant::now() >= until {
                return;
            }
            if self.random.random_bool(0.4) {
                let want = self.call();
                self.serve(&want).await;
            }
            self.pause(5, 80).await;
        }
    }

    /// Asks for a turn; one that fails is sent again from its start.
    async fn turn(&mut self, want: &Want) -> Got {
        for _ in 0..AGAIN {
            match self.serve(want).await {
                Got::Failed => self.pause(100, 400).await,
                got => return got,
            }
        }
        self.serve(want).await
    }

    async fn serve(&mut self, want: &Want) -> Got {
        let until = Instant::now() + want.deadline;
        for attempt in 0..TRIES {
            let left = until.saturating_duration_since(Instant::now());
            if attempt > 0 && left < LEAST {
                break;
            }
            let Some(mut connection) = self.connection(attempt).await else {
                continue;
            };
            let id = self.world.oracle().begin(connection.vm, want, left);
            let program = want.turn.as_ref().map(|turn| format!("p{}", turn.program));
            let request = caller::request(&Params {
                id: &id,
                path: &want.path(),
                deadline: left,
                program: program.as_deref(),
                turn: want.turn.as_ref().map(|turn| caller::Turn {
                    budget: turn.budget,
                    most: want.most(),
                    previous: turn.previous.as_deref(),
                }),
                body: want.input.clone(),
            });
            let request = request.map(|_| Body::new(want.input.clone(), want.pace));
            let patience = want
                .leaves
                .map_or(until, |span| until.min(Instant::now() + span));
            let outcome = connection.ask(request, patience).await;
            self.world.oracle().finish(&id, &outcome);
            if let Outcome::Whole(answer) = &outcome
                && !answer.info.closes
            {
                self.kept = Some(connection);
            }
            let left = until.saturating_duration_since(Instant::now());
            match next(want.kind, id, &outcome, left) {
                Next::Done(got) => return got,
                Next::Again(span) => sleep(span).await,
            }
        }
        Got::Failed
    }

    /// Yields the kept connection for a first attempt, and a new one to another VM for others.
    async fn connection(&mut self, attempt: usize) -> Option<Connection> {
        let kept = self.kept.take();
        let usable = |kept: &Connection| kept.is_open() && kept.used.elapsed() < KEEP;
        // Some clients open a new connection for a request now and then.
        if attempt == 0 && !self.random.random_bool(0.15) && kept.as_ref().is_some_and(usable) {
            return kept;
        }
        let vm = self.world.balancer.choose(self.centre, self.hash + attempt);
        let address = self.world.balancer.callers(vm);
        if let Ok(connection) = Connection::open(vm, address).await {
            return Some(connection);
        }
        self.pause(10, 50).await;
        None
    }
}

fn next(kind: Kind, id: String, outcome: &Outcome, left: Duration) -> Next {
    let repeatable = !kind.runs_once();
    match outcome {
        Outcome::Whole(answer) => match answer.status {
            200..=299 => Next::Done(Got::Served(id)),
            402 => Next::Done(Got::Spent),
            408 | 421 | 429 | 503 => refused(answer, left),
            500.. if repeatable => Next::Again(Duration::ZERO),
            _ => Next::Done(Got::Failed),
        },
        Outcome::NotSent => Next::Again(Duration::ZERO),
        Outcome::Cut(_) | Outcome::Closed if repeatable => Next::Again(Duration::ZERO),
        Outcome::Cut(_) | Outcome::Closed | Outcome::GaveUp(_) => Next::Done(Got::Failed),
    }
}

/// Comes back when told to, as long as that is within a third of the time left.
fn refused(answer: &Answer, left: Duration) -> Next {
    let span = answer.info.retry_after.unwrap_or_default();
    if span > left / 3 {
        return Next::Done(Got::Failed);
    }
    Next::Again(span)
}
