//! A request on its way, and what its attempts at runners share.

use std::sync::Arc;
use std::time::Duration;

use adapter::config::Kind;
use adapter::config::Route;
use adapter::header;
use adapter::header::Additions;
use adapter::header::Call;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use link::body::Payload;
use link::client;
use link::client::Reply;
use policy::prefix;
use rand::Rng;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;
use wire::clock::Millis;
use wire::event::Event;

use crate::fleet;
use crate::fleet::Chosen;
use crate::fleet::Want;
use crate::metrics::Counter;
use crate::metrics::Outcome;
use crate::metrics::Span;
use crate::node::Node;
use crate::reach;
use crate::refuse::Subject;
use crate::stream;
use crate::table::Table;

/// How many runners a request is offered to at most, those that turned it away included. With the
/// load known to within a few requests, a fourth refusal means that all are full.
pub const OFFERS: usize = 4;
/// The longest that an unused connection is kept where its runner tells that it keeps it longer:
/// over the pauses of a busy minute, without holding many of its connections for nothing.
const KEEP_TOLD: Millis = Millis::new(20_000);
/// The longest refusal of a runner that is read, in bytes, so that its connection can be kept.
const REFUSAL: usize = 64 * 1024;
/// How long it may take to come. A request that nobody has waits meanwhile; a new connection costs less
/// than more of this.
const REFUSAL_TIME: Duration = Duration::from_millis(50);

/// A request that was read and routed.
#[derive(Debug)]
pub struct Job {
    /// The process.
    pub node: Arc<Node>,
    /// The configuration that it goes by.
    pub table: Arc<Table>,
    /// Its route.
    pub route: Arc<Route>,
    /// The service drawn for it.
    pub service: String,
    /// What the client says of it.
    pub call: Call,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub path: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// Its prompt's parts.
    pub prompt: Vec<prefix::Part>,
    /// When it arrived.
    pub arrived: Instant,
    /// When it has to have its answer.
    pub until: Instant,
}

/// An attempt of a request at a runner.
#[derive(Debug)]
pub struct Attempt {
    /// The runner.
    pub runner: Chosen,
    /// When it was sent.
    pub sent: Instant,
    node: Arc<Node>,
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if let Some(runner) = self.node.fleet().runner(&self.runner.id) {
            runner.own = runner.own.saturating_sub(1);
        }
    }
}

/// What became of an attempt before its answer's body.
#[derive(Debug)]
pub enum Sent {
    /// The runner answers; the answer is passed on whatever it says.
    Answers(Box<Reply>, Attempt),
    /// The runner has not run it and never will.
    NotRun,
    /// The runner may have run it.
    Unknown(String),
    /// The time is over; the runner may have run it.
    Late,
}

/// Renders a span for the log; nothing where there is none.
#[must_use]
pub fn told(span: Option<Millis>) -> String {
    span.map_or_else(String::new, |span| span.as_u64().to_string())
}

impl Job {
    /// Yields the time left.
    #[must_use]
    pub fn left(&self) -> Millis {
        Millis::from(self.until.saturating_duration_since(Instant::now()))
    }

    /// Yields when it is over at the latest.
    #[must_use]
    pub fn ends(&self) -> Instant {
        stream::ends(&self.route, self.until)
    }

    /// Yields the time since the request arrived.
    #[must_use]
    pub fn age(&self) -> Millis {
        Millis::from(self.arrived.elapsed())
    }

    /// Notes how long it took until the runner that answers had it.
    pub fn note_wait(&self, attempt: &Attempt) {
        let waited = attempt.sent.saturating_duration_since(self.arrived);
        self.node.metrics.time(Span::Wait, Millis::from(waited));
    }

    /// Yields what a refusal of it tells.
    #[must_use]
    pub fn subject(&self) -> Subject<'_> {
        Subject {
            request: &self.call.id,
            program: self.call.program.as_deref().unwrap_or_default(),
            route: &self.route.name,
            kind: Some(self.route.kind),
            waited: self.age(),
        }
    }

    /// Chooses a runner, apart from those in `not`.
    #[must_use]
    pub fn choose(&self, not: &[String]) -> Option<Chosen> {
        let engine = self.table.engine(&self.service);
        let want = Want {
            service: &self.service,
            engine,
            prompt: &self.prompt,
            prompt_tokens: self.call.prompt_tokens,
            output_tokens: if engine.is_some() {
                self.call.max_tokens
            } else {
                1
            },
            salt: rand::rng().next_u64(),
            not,
            centre: &self.node.settings.centre,
            away: match self.route.kind {
                Kind::AtMostOnce => fleet::AWAY_ONCE,
                Kind::Idempotent | Kind::Stream => fleet::AWAY,
            },
            now: self.node.clock.now(),
        };
        self.node.fleet().choose(&want)
    }

    /// Sends the request to a runner and waits for the head of its answer, until `until`.
    pub async fn send(
        &self,
        runner: Chosen,
        payload: Payload,
        last_event: Option<u64>,
        until: Instant,
    ) -> Sent {
        let attempt = self.begin(runner);
        let runner = &attempt.runner;
        let additions = Additions {
            time_left: Millis::from(self.until.saturating_duration_since(Instant::now())),
            instance: &runner.id,
            priority: self.priority(),
            last_event,
        };
        let mut request = Request::new(payload);
        *request.method_mut() = self.method.clone();
        *request.headers_mut() = header::forwarded(&self.headers, &additions);
        match self.path.parse() {
            Ok(uri) => *request.uri_mut() = uri,
            Err(fault) => return Sent::Unknown(format!("the path can't be sent: {fault}")),
        }
        let sent = self.node.runners.send(runner.address, request);
        let Ok(sent) = timeout_at(until, sent).await else {
            return Sent::Late;
        };
        match sent {
            Ok(reply) => self.judge(reply, attempt).await,
            Err(fault) => {
                let runner = &attempt.runner;
                reach::note_broken(&self.node, &runner.id, runner.address);
                match fault {
                    client::Fault::Silent(_) | client::Fault::NotSent(_) => {
                        self.log_retry(&runner.id, &fault.to_string());
                        Sent::NotRun
                    }
                    client::Fault::Broken(why) => Sent::Unknown(why),
                }
            }
        }
    }

    fn begin(&self, runner: Chosen) -> Attempt {
        let now = self.node.clock.now();
        {
            let mut fleet = self.node.fleet();
            fleet.note_demand(&self.service, &self.prompt, now);
            if let Some(known) = fleet.runner(&runner.id) {
                known.own += 1;
                known.note_prompt(&self.prompt, now);
            }
        }
        let missed = self.call.prompt_tokens.saturating_sub(runner.cached);
        self.node
            .metrics
            .add(Counter::TokensAsked, self.call.prompt_tokens);
        self.node.metrics.add(Counter::TokensMissed, missed);
        log::info!(
            "event=E{} text=\"{}\" request={} program={} route={} revision={} runner={} occupied={} slots={} prompt={} cached={} cost_ms={:.0} among={} runners_age_ms={} waited_ms={} left_ms={}",
            Event::CallPlaced.number(),
            Event::CallPlaced.text(),
            self.call.id,
            self.call.program.as_deref().unwrap_or_default(),
            self.route.name,
            self.table.version,
            runner.id,
            runner.occupied,
            runner.slots,
            self.call.prompt_tokens,
            runner.cached,
            runner.cost,
            runner.among,
            self.node.runners_age().as_u64(),
            self.age().as_u64(),
            self.left().as_u64()
        );
        Attempt {
            runner,
            sent: Instant::now(),
            node: self.node.clone(),
        }
    }

    /// Judges the head of an answer.
    async fn judge(&self, mut reply: Reply, attempt: Attempt) -> Sent {
        let said = header::answer(&reply.head.headers);
        let now = self.node.clock.now();
        if let Some(span) = said.idle_timeout {
            // Closed a second earlier than the runner does, so that no request meets its close.
            let span = Millis::new(span.as_u64().saturating_sub(1_000)).min(KEEP_TOLD);
            reply.body.keep_for(span.as_duration());
        }
        if let Some(runner) = self.node.fleet().runner(&attempt.runner.id) {
            runner.note_heard(now);
            if let Some(load) = said.load {
                runner.note_load(load, now);
            }
        }
        if said.id.as_ref().is_some_and(|id| *id != self.call.id) {
            return Sent::Unknown("the answer belongs to another request".to_owned());
        }
        // Another runner has the address; it says so and has not run the request.
        let elsewhere = reply.head.status.as_u16() == 421;
        if !said.not_run && !elsewhere {
            self.note_status(reply.head.status, &attempt);
            return Sent::Answers(Box::new(reply), attempt);
        }
        self.node.metrics.count(Counter::TurnedAway);
        if let Some(runner) = self.node.fleet().runner(&attempt.runner.id) {
            if elsewhere {
                runner.note_elsewhere(now);
            } else {
                runner.note_full(now);
            }
        }
        let status = reply.head.status;
        self.log_retry(&attempt.runner.id, &format!("not run, status {status}"));
        // Read to its end, so that the connection can be used again.
        match timeout(REFUSAL_TIME, reply.body.whole(REFUSAL)).await {
            Ok(Ok(_)) => {}
            Ok(Err(fault)) => log::debug!("a refusal's body: {fault}"),
            Err(_) => log::debug!("a refusal's body doesn't come"),
        }
        Sent::NotRun
    }

    /// Notes where a status tells that the runner failed.
    fn note_status(&self, status: StatusCode, attempt: &Attempt) {
        if !is_failure(status) {
            return;
        }
        let now = self.node.clock.now();
        if let Some(runner) = self.node.fleet().runner(&attempt.runner.id) {
            runner.note_failed(now);
        }
    }

    /// Logs that an attempt has ended without an answer that is passed on.
    pub fn log_retry(&self, runner: &str, why: &str) {
        self.node.metrics.count(Counter::Retried);
        log::info!(
            "event=E{} text=\"{}\" request={} program={} route={} runner={runner} waited_ms={} why=\"{why}\"",
            Event::CallRetried.number(),
            Event::CallRetried.text(),
            self.call.id,
            self.call.program.as_deref().unwrap_or_default(),
            self.route.name,
            self.age().as_u64()
        );
    }

    /// Yields how urgent the engines should take the request: 0 goes first.
    fn priority(&self) -> Option<u8> {
        self.table.engine(&self.service)?;
        Some((1 + 2 * self.route.priority.min(3)).min(9))
    }

    /// Logs that the client left before its answer was whole.
    pub fn log_gone(&self, events: u64) {
        let kind = Some(self.route.kind);
        self.node.metrics.end(kind, Outcome::Gone);
        log::info!(
            "event=E{} text=\"{}\" request={} program={} route={} events={events} ms={}",
            Event::CallerGone.number(),
            Event::CallerGone.text(),
            self.call.id,
            self.call.program.as_deref().unwrap_or_default(),
            self.route.name,
            self.age().as_u64()
        );
    }

    /// Logs the end of a request that ran; `first` is how long its first event took.
    pub fn log_answered(&self, runner: &str, status: u16, events: u64, first: Option<Millis>) {
        log::info!(
            "event=E{} text=\"{}\" request={} program={} line={} route={} revision={} runner={runner} status={status} events={events} first_ms={} ms={} finish_ms={}",
            Event::RequestAnswered.number(),
            Event::RequestAnswered.text(),
            self.call.id,
            self.call.program.as_deref().unwrap_or_default(),
            self.call.session.as_deref().unwrap_or_default(),
            self.route.name,
            self.table.version,
            told(first),
            self.age().as_u64(),
            self.call.finish_within.unwrap_or_default().as_u64()
        );
    }
}

/// Tells whether a status is a failure of the runner's own. One that says that the time is over isn't:
/// its runner was slow, as the time that it took tells.
#[must_use]
pub fn is_failure(status: StatusCode) -> bool {
    status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT
}
