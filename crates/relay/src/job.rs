//! A request on its way: read, routed, and what its attempts at runners share.

use std::sync::Arc;
use std::time::Duration;

use adapter::config::Kind;
use adapter::config::Route;
use adapter::header;
use adapter::header::Call;
use adapter::header::Onward;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::http::request;
use link::body;
use link::body::Body;
use link::body::Payload;
use link::client;
use link::client::Reply;
use policy::prefix;
use policy::stop;
use rand::Rng;
use rand::RngExt;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;
use wire::code::Refusal;
use wire::event::Event;

use crate::answer;
use crate::fleet;
use crate::fleet::Chosen;
use crate::fleet::Want;
use crate::metrics::Counter;
use crate::node::Node;
use crate::plain;
use crate::reach;
use crate::stream;
use crate::table;
use crate::table::Table;
use crate::work;

/// When a request that found no runner may come again: about the time in which a runner ends a
/// request, or in which a new one is listed.
pub const RETRY: Millis = Millis::new(250);
/// How many runners a request is offered to at most, those that turned it away included. With the
/// load known to within a few requests, a fourth refusal means that all are full.
pub const OFFERS: usize = 4;
/// How long a client waits that doesn't say.
const PATIENCE: Millis = Millis::new(30_000);
/// The longest that an unused connection is kept where its runner tells that it keeps it longer:
/// over the pauses of a busy minute, without holding many of its connections for nothing.
const KEEP_TOLD: Millis = Millis::new(20_000);
/// The longest body of a refused request that is read before the configuration tells how long bodies
/// are, in bytes.
const DISCARDED: usize = 4 * 1024 * 1024;
/// How long the rest of a refused request's body is read.
const DISCARD: Duration = Duration::from_secs(1);
/// The longest refusal of a runner that is read, in bytes, so that its connection can be kept.
const REFUSAL: usize = 64 * 1024;

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

/// Serves a client's request.
pub async fn serve(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    node.metrics.count(Counter::Requests);
    let id = header::call(request.headers()).id;
    let guard = node.work.begin(work::Kind::Answer, &id);
    let mut response = match read(&node, request).await {
        Ok(job) => match job.route.kind {
            Kind::Stream => stream::serve(job, guard).await,
            Kind::Idempotent | Kind::AtMostOnce => plain::serve(job, guard).await,
        },
        Err(refusal) => refuse(&node, &refusal, &id, None),
    };
    if !node.is_ready() {
        answer::close(&mut response);
    }
    response
}

/// Yields the refusal of a request whose time is over; `runs` counts the runners that may have run
/// it.
#[must_use]
pub fn late(runs: u32) -> Refusal {
    if runs == 0 {
        return Refusal::new(Code::WaitedTooLong, "").retry_after(RETRY);
    }
    Refusal::new(Code::OutcomeUnknown, "").ran(Ran::Unknown)
}

/// Yields the refusal of a request that no runner took; `runs` counts those that may have run it.
#[must_use]
pub fn nowhere(runs: u32) -> Refusal {
    if runs == 0 {
        return Refusal::new(Code::NoEndpoint, "none takes it").retry_after(RETRY);
    }
    Refusal::new(Code::EndpointFailed, "").ran(Ran::Unknown)
}

/// Logs and renders a refusal.
#[must_use]
pub fn refuse(node: &Node, refusal: &Refusal, id: &str, job: Option<&Job>) -> Response<Body> {
    let counter = match refusal.ran {
        Ran::No => Counter::Refused,
        Ran::Unknown | Ran::Yes => Counter::Failed,
    };
    node.metrics.count(counter);
    let (route, program, waited) = job.map_or(("", "", 0), |job| {
        let waited = u64::try_from(job.arrived.elapsed().as_millis()).unwrap_or(u64::MAX);
        (
            job.route.name.as_str(),
            job.call.program.as_deref().unwrap_or_default(),
            waited,
        )
    });
    let table = node.table();
    log::warn!(
        "event=E{} text=\"{}\" request={id} program={program} route={route} revision={} code=CY{} ran={:?} waited_ms={waited} runners_age_ms={} why=\"{}\"",
        Event::RequestRefused.number(),
        Event::RequestRefused.text(),
        table.version,
        refusal.code.number(),
        refusal.ran,
        node.runners_age().as_u64(),
        refusal.message
    );
    answer::refusal(refusal, id)
}

/// Where a request goes, as its headers tell.
struct Routed {
    table: Arc<Table>,
    route: Arc<Route>,
    until: Instant,
}

async fn read(node: &Arc<Node>, request: Request<Incoming>) -> Result<Job, Refusal> {
    let arrived = Instant::now();
    let (head, incoming) = request.into_parts();
    let call = header::call(&head.headers);
    let routed = match route(node, &head, &call, arrived).await {
        Ok(routed) => routed,
        Err(refusal) => {
            // The refusal would be lost with the rest of a long body: see `body::discard`.
            let discarded = body::discard(incoming, node.table().body_bytes.max(DISCARDED));
            let _too_slow = timeout(DISCARD, discarded).await;
            return Err(refusal);
        }
    };
    let Routed {
        table,
        route,
        until,
    } = routed;
    let body = match timeout_at(until, body::read(incoming, table.body_bytes)).await {
        Ok(Ok(body)) => body,
        Ok(Err(body::Fault::TooLong)) => return Err(Refusal::new(Code::BodyTooLarge, "")),
        Ok(Err(fault)) => return Err(Refusal::new(Code::ReadTimeout, &fault.to_string())),
        Err(_) => return Err(Refusal::new(Code::ReadTimeout, "")),
    };
    let service = table::draw(&route, rand::rng().random::<f64>());
    let service = service.ok_or_else(|| Refusal::new(Code::NoEndpoint, "no service"))?;
    let parts = call.parts.iter();
    let prompt = parts.map(|part| prefix::Part {
        id: part.id,
        tokens: part.tokens,
    });
    Ok(Job {
        node: node.clone(),
        service: service.to_owned(),
        prompt: prompt.collect(),
        method: head.method,
        path: head
            .uri
            .path_and_query()
            .map_or_else(|| "/".to_owned(), ToString::to_string),
        headers: head.headers,
        table,
        route,
        call,
        body,
        arrived,
        until,
    })
}

/// Finds a request's route and the time that it has.
async fn route(
    node: &Arc<Node>,
    head: &request::Parts,
    call: &Call,
    arrived: Instant,
) -> Result<Routed, Refusal> {
    let patience = call.deadline.unwrap_or(PATIENCE);
    node.wait_at_start(Node::can_route, arrived + patience.as_duration())
        .await;
    let table = node.table();
    if !table.known {
        let refusal = Refusal::new(Code::NoConfiguration, "");
        return Err(refusal.retry_after(RETRY));
    }
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    let route = table.find(host, head.uri.path());
    let route = route.ok_or_else(|| Refusal::new(Code::UnknownPath, head.uri.path()))?;
    let route = route.clone();
    if call.id.is_empty() {
        return Err(Refusal::new(Code::BadField, "the request has no id"));
    }
    let until = arrived + patience.min(route.timeout).as_duration();
    admit(node, until + stream::held(&route))?;
    Ok(Routed {
        table,
        route,
        until,
    })
}

/// Refuses a request that may be under way until after the process's end: it would be cut off, and
/// another VM can serve it.
fn admit(node: &Node, ends: Instant) -> Result<(), Refusal> {
    let Some(stop) = node.stop() else {
        return Ok(());
    };
    let now = node.clock.now();
    let needed = Millis::from(ends.saturating_duration_since(Instant::now()));
    if stop.takes(Some(now.plus(needed))) {
        return Ok(());
    }
    let detail = format!(
        "stopping for {}, ends in {}, may need {needed}",
        now.since(stop.begun()),
        stop.left(now)
    );
    Err(Refusal::new(Code::ShuttingDown, &detail).retry_after(stop::RETRY))
}

impl Job {
    /// Yields the time left.
    #[must_use]
    pub fn left(&self) -> Millis {
        Millis::from(self.until.saturating_duration_since(Instant::now()))
    }

    /// Yields the time since the request arrived.
    #[must_use]
    pub fn age(&self) -> Millis {
        Millis::from(self.arrived.elapsed())
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
                self.call.most_tokens
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
        let onward = Onward {
            left: Millis::from(self.until.saturating_duration_since(Instant::now())),
            instance: &runner.id,
            priority: self.priority(),
            last_event,
        };
        let mut request = Request::new(payload);
        *request.method_mut() = self.method.clone();
        *request.headers_mut() = header::onward(&self.headers, &onward);
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
        if let Some(span) = said.keeps_idle {
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
        if let Err(fault) = reply.body.whole(REFUSAL).await {
            log::debug!("a refusal's body: {fault}");
        }
        Sent::NotRun
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
        Some((1 + 2 * self.route.rank.min(3)).min(9))
    }

    /// Logs the end of a request that ran.
    pub fn log_answered(&self, runner: &str, status: u16, events: u64, why: &str) {
        log::info!(
            "event=E{} text=\"{}\" request={} program={} line={} route={} revision={} runner={runner} status={status} events={events} ms={} finish_ms={} why=\"{why}\"",
            Event::RequestAnswered.number(),
            Event::RequestAnswered.text(),
            self.call.id,
            self.call.program.as_deref().unwrap_or_default(),
            self.call.line.as_deref().unwrap_or_default(),
            self.route.name,
            self.table.version,
            self.age().as_u64(),
            self.call.finish.unwrap_or_default().as_u64()
        );
    }
}
