//! A request in progress, and what its attempts at runners share.

mod log_lines;

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use adapter::config::Kind;
use adapter::config::Route;
use adapter::header;
use adapter::header::Additions;
use adapter::header::Answer;
use adapter::header::Call;
use adapter::header::Signature;
use adapter::runner::Load;
use adapter::runner::State;
use adapter::settings::Supply;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use link::body::Payload;
use link::client;
use link::client::Reply;
use link::client::Sent;
use link::client::Wait;
use link::ingress::Meter;
use policy::prefix;
use policy::slowdown::Reading;
use policy::standing;
use policy::standing::Standing;
use rand::Rng;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;
use wire::clock::Millis;
use wire::event::Event;

use crate::crashes;
use crate::fleet;
use crate::fleet::Software;
use crate::fleet::slowdown;
use crate::identity::Identity;
pub(crate) use crate::job::log_lines::ended_by;
use crate::kept;
use crate::metrics::Counter;
use crate::metrics::Latency;
use crate::node::Node;
use crate::reachability;
use crate::refuse;
use crate::stray;
use crate::table::Table;
use crate::usage::Admission;

/// The most runners that a request is offered to, including those that turn it away. The load is
/// known to within a few requests, so a fourth refusal means that all runners are full.
pub const MAX_OFFERS: usize = 4;
/// The longest time that an unused connection is kept if its runner announces a longer idle time.
/// It covers the pauses of a busy minute without holding many of the runner's connections unused.
const MAX_IDLE_TIME: Millis = Millis::new(20_000);
/// The longest refusal body of a runner that is read, in bytes, so that the connection can be
/// reused.
const MAX_REFUSAL_BYTES: usize = 64 * 1024;
/// How long a refusal's body may take to arrive. The request, which no runner has, waits meanwhile,
/// and a new connection costs less than a longer wait.
const REFUSAL_READ_TIMEOUT: Duration = Duration::from_millis(50);

/// A request that was read and routed.
#[derive(Debug)]
pub struct Job {
    /// The process's shared state.
    pub node: Arc<Node>,
    /// The configuration that applies to the request.
    pub table: Arc<Table>,
    /// The request's route.
    pub route: Arc<Route>,
    /// On whose behalf the request runs.
    pub identity: Identity,
    /// The request's place within the limit of its workspace; `None` without a limit.
    pub admission: Option<Admission>,
    /// The service picked for the request.
    pub service: String,
    /// What the caller states in the headers.
    pub call: Call,
    /// The HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The request's headers.
    pub headers: HeaderMap,
    /// The request's body.
    pub body: Bytes,
    /// The parts of the prompt.
    pub prompt: Vec<prefix::Part>,
    /// The connection that it came on, where the listener tracks it.
    pub connection: Option<Meter>,
    /// Whether it was sent to a runner.
    pub passed_on: AtomicBool,
    /// Whether members may hold a reservation of its tokens.
    pub reserved: AtomicBool,
    /// When the request arrived.
    pub arrived: Instant,
    /// When the answer has to be complete.
    pub deadline: Instant,
}

/// An attempt to run a request at a runner.
#[derive(Debug)]
pub struct Attempt {
    /// The runner that the request is sent to.
    pub runner: fleet::Choice,
    /// When the attempt was sent.
    pub sent_at: Instant,
    /// How fast the runner's machine was when it answered; `None` if it doesn't say.
    slowdown: Option<Reading>,
    node: Arc<Node>,
}

impl Attempt {
    /// Returns how long what took `span` at the runner would have taken there at its usual speed.
    #[must_use]
    pub fn usual_span(&self, span: Millis) -> Millis {
        self.slowdown
            .map_or(span, |reading| reading.usual_span(span))
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if let Some(runner) = self.node.fleet().runner(&self.runner.id) {
            runner.own_requests = runner.own_requests.saturating_sub(1);
        }
    }
}

/// The outcome of an attempt, up to the head of the answer.
#[derive(Debug)]
pub enum SendOutcome {
    /// The runner answered; the answer is passed on whatever its status is.
    Answered(Box<Reply>, Box<Attempt>),
    /// The runner has not run the request and never will.
    NotRun,
    /// The runner may have run the request; holds the reason for the failure.
    Unknown(String),
    /// No answer came before the deadline; the runner may have run the request.
    TimedOut,
}

/// Formats a reading for the log, as `percent/age` with the age in milliseconds; empty for `None`.
fn format_slowdown(reading: Option<Reading>, now: Millis) -> String {
    reading.map_or_else(String::new, |reading| {
        format!("{}/{}", reading.percent, now.since(reading.at).as_u64())
    })
}

/// Formats a span in milliseconds for the log; empty for `None`.
#[must_use]
pub fn format_span(span: Option<Millis>) -> String {
    span.map_or_else(String::new, |span| span.as_u64().to_string())
}

impl Job {
    /// Returns the time left until the deadline.
    #[must_use]
    pub fn time_left(&self) -> Millis {
        Millis::from(self.deadline.saturating_duration_since(Instant::now()))
    }

    /// Returns the latest time at which the request ends.
    #[must_use]
    pub fn latest_end(&self) -> Instant {
        kept::latest_end(&self.route, self.deadline)
    }

    /// Returns the time since the request arrived.
    #[must_use]
    pub fn age(&self) -> Millis {
        Millis::from(self.arrived.elapsed())
    }

    /// Records the time from the request's arrival until it was sent to the runner that answers.
    pub fn record_wait(&self, attempt: &Attempt) {
        let waited = attempt.sent_at.saturating_duration_since(self.arrived);
        self.node
            .metrics
            .record(Latency::Wait, Millis::from(waited));
    }

    /// Returns the details of this request that go with a refusal.
    #[must_use]
    pub fn request_info(&self) -> refuse::Info<'_> {
        refuse::Info {
            request: &self.call.id,
            program: self.call.program.as_deref().unwrap_or_default(),
            workspace: self.workspace_name(),
            route: &self.route.name,
            kind: Some(self.route.kind),
            waited: self.age(),
        }
    }

    /// Returns whether the runners of the request's service may at times have less capacity than callers
    /// ask for: the settings say so, or the runners share their machines with others.
    #[must_use]
    pub fn supply(&self) -> Supply {
        match self.node.settings.supply {
            Supply::Scarce => Supply::Scarce,
            Supply::Ample if self.node.fleet().shares_machines(&self.service) => Supply::Scarce,
            Supply::Ample => Supply::Ample,
        }
    }

    /// Chooses a runner that is not in `excluded`.
    #[must_use]
    pub fn choose(&self, excluded: &[String], software: Software<'_>) -> Option<fleet::Choice> {
        let engine = self.table.engine(&self.service);
        let request = fleet::Request {
            service: &self.service,
            engine,
            prompt: &self.prompt,
            prompt_tokens: self.call.prompt_tokens,
            home: fleet::Home::of(self.supply(), &self.call),
            output_tokens: if engine.is_some() {
                self.call.max_tokens
            } else {
                1
            },
            salt: rand::rng().next_u64(),
            software,
            excluded,
            centre: &self.node.settings.centre,
            vm: &self.node.settings.vm,
            remote_cost_ms: match self.route.kind {
                Kind::AtMostOnce => fleet::REMOTE_COST_AT_MOST_ONCE_MS,
                Kind::Idempotent | Kind::Stream => fleet::REMOTE_COST_MS,
            },
            now: self.node.clock.now(),
        };
        let chosen = self.node.fleet().choose(&request);
        let passed_over = chosen
            .as_ref()
            .and_then(|chosen| chosen.passed_over.as_ref());
        if let Some(suspected) = passed_over {
            reachability::check_untrusted(&self.node, suspected);
        }
        chosen
    }

    /// Returns whether a runner that broke a stream off may be asked to resume it, as far as this VM knows:
    /// one that is leaving gets no new work, and one that has started again may have other software.
    #[must_use]
    pub fn may_resume_at(&self, chosen: &fleet::Choice) -> bool {
        let mut fleet = self.node.fleet();
        let known = fleet.runner(&chosen.id);
        known.is_some_and(|known| {
            let entry = &known.entry;
            chosen.incarnation == crashes::incarnation(&chosen.id, entry.born)
                && chosen.build == entry.build
                && entry.state == State::Ready
        })
    }

    /// Sends the request to a runner and waits for the head of its answer, at most until
    /// `deadline`.
    pub async fn send(
        &self,
        runner: fleet::Choice,
        payload: Payload,
        last_event: Option<u64>,
        deadline: Instant,
    ) -> SendOutcome {
        let standing = self.standing(&runner);
        let priority = self.priority(standing);
        let attempt = self.begin_attempt(runner, standing, priority);
        let runner = &attempt.runner;
        let additions = Additions {
            time_left: Millis::from(self.deadline.saturating_duration_since(Instant::now())),
            instance: &runner.id,
            priority,
            last_event,
            identity: self.identity.header(),
        };
        let mut request = Request::new(payload);
        *request.method_mut() = self.method.clone();
        *request.headers_mut() = header::forwarded(&self.headers, &additions);
        match self.path.parse() {
            Ok(uri) => *request.uri_mut() = uri,
            Err(fault) => return SendOutcome::Unknown(format!("the path isn't a URI: {fault}")),
        }
        let since = self.node.clock.now();
        let wait = Wait {
            connection: runner.first_wait,
            head: Some(deadline),
        };
        let client = &self.node.runner_client;
        let sent = client.send_checked(runner.address, request, wait, runner.check());
        let Ok(sent) = timeout_at(deadline, sent).await else {
            return SendOutcome::TimedOut;
        };
        match sent {
            Ok(Sent::Answered(reply)) => self.classify_reply(*reply, attempt).await,
            Ok(Sent::Waiting(connecting)) => {
                let id = &attempt.runner.id;
                reachability::note_slow(&self.node, id, since, connecting);
                self.log_retry(id, "a connection takes long");
                SendOutcome::NotRun
            }
            Err(fault) => self.classify_fault(fault, &attempt.runner),
        }
    }

    fn classify_fault(&self, fault: client::Fault, runner: &fleet::Choice) -> SendOutcome {
        match fault {
            client::Fault::Late(_) => return SendOutcome::TimedOut,
            // It says nothing of the runner but that it answers: no crash, and no lost connection.
            client::Fault::Foreign(foreign) => {
                stray::log_foreign(self, &runner.id, &foreign);
                return SendOutcome::Unknown(foreign.to_string());
            }
            client::Fault::Broken(why) => {
                crashes::note_break(self, runner);
                reachability::note_broken(&self.node, &runner.id, runner.address);
                return SendOutcome::Unknown(why);
            }
            client::Fault::OtherProcess(_) | client::Fault::Unidentified(_) => {
                let now = self.node.clock.now();
                if let Some(known) = self.node.fleet().runner(&runner.id) {
                    known.note_unidentified(now);
                }
            }
            client::Fault::Silent(_) | client::Fault::NotSent(_) => {
                reachability::note_broken(&self.node, &runner.id, runner.address);
            }
        }
        self.log_retry(&runner.id, &fault.to_string());
        SendOutcome::NotRun
    }

    /// Records that a runner broke its answer off. It may have crashed, or only failed.
    pub fn note_answer_broken(&self, runner: &fleet::Choice) {
        crashes::note_break(self, runner);
        reachability::check(&self.node, &runner.id);
    }

    /// Records that a runner failed the request: its answer is one of a failure, isn't one, or has no end.
    pub fn note_failed(&self, runner: &fleet::Choice) {
        let now = self.node.clock.now();
        if let Some(known) = self.node.fleet().runner(&runner.id) {
            known.note_failed(now);
        }
    }

    /// Returns what was known of the workspace's requests when this one was admitted; empty if it has
    /// no limit.
    fn counted(&self) -> String {
        let admission = self.admission.as_ref();
        admission.map_or_else(String::new, |admission| admission.known.to_string())
    }

    fn begin_attempt(
        &self,
        runner: fleet::Choice,
        standing: Option<Standing>,
        priority: Option<u8>,
    ) -> Attempt {
        self.passed_on.store(true, Ordering::Relaxed);
        if let Some(admission) = &self.admission {
            admission.note_sent();
        }
        let now = self.node.clock.now();
        {
            let mut fleet = self.node.fleet();
            fleet.note_demand(&self.service, &self.prompt, now);
            if let Some(known) = fleet.runner(&runner.id) {
                known.own_requests += 1;
                known.note_prompt(&self.prompt, now);
            }
        }
        let missed = self.call.prompt_tokens.saturating_sub(runner.cached);
        self.node
            .metrics
            .add(Counter::TokensAsked, self.call.prompt_tokens);
        self.node.metrics.add(Counter::TokensMissed, missed);
        self.count_placement(runner.placement);
        if let Some(standing) = standing {
            self.node.metrics.count(Counter::of_standing(standing));
        }
        log::info!(
            "event=E{} text=\"{}\" request={} program={} runner={} waited_ms={} left_ms={} occupied={} slots={} route={} revision={} workspace={} counted={} build={} born={} resumes={} prompt={} cached={} home={} cost_ms={:.0} among={} slowdown={} runners_age_ms={} standing={} priority={}",
            Event::CallPlaced.number(),
            Event::CallPlaced.text(),
            self.call.id,
            self.call.program.as_deref().unwrap_or_default(),
            runner.id,
            self.age().as_u64(),
            self.time_left().as_u64(),
            runner.occupied,
            runner.slots,
            self.route.name,
            self.table.version,
            self.workspace_name(),
            self.counted(),
            runner.build,
            runner
                .born
                .map_or_else(String::new, |born| born.to_string()),
            self.call.resumes.as_deref().unwrap_or_default(),
            self.call.prompt_tokens,
            runner.cached,
            runner.placement,
            runner.cost_ms,
            runner.candidates,
            format_slowdown(runner.slowdown, now),
            self.node.runners_age().as_u64(),
            standing.map_or("", Standing::name),
            standing
                .and(priority)
                .map_or_else(String::new, |priority| priority.to_string())
        );
        Attempt {
            runner,
            sent_at: Instant::now(),
            slowdown: None,
            node: self.node.clone(),
        }
    }

    fn count_placement(&self, placement: fleet::Placement) {
        match placement {
            fleet::Placement::Unassigned => {}
            fleet::Placement::Home(_) => self.node.metrics.count(Counter::PlacedHome),
            fleet::Placement::Elsewhere => self.node.metrics.count(Counter::PlacedElsewhere),
        }
    }

    /// Records what the coming of an answer, and its head, say about the runner.
    fn note_head(&self, reply: &Reply, attempt: &Attempt, load: Option<Load>, now: Millis) {
        let id = &attempt.runner.id;
        let mut fleet = self.node.fleet();
        if let Some(took) = reply.connected_in {
            fleet.note_connected(id, took);
        }
        let Some(runner) = fleet.runner(id) else {
            return;
        };
        runner.note_answer(now);
        if let Some(load) = load {
            runner.note_load(load, now);
        }
    }

    /// Decides from the head of an answer whether the runner took the request, and records what the
    /// head says about the runner.
    async fn classify_reply(&self, mut reply: Reply, mut attempt: Attempt) -> SendOutcome {
        let answer_headers = header::answer(&reply.head.headers);
        if is_unsigned_success(reply.head.status, &answer_headers) {
            self.note_failed(&attempt.runner);
            return SendOutcome::Unknown("a success that no runner signed".to_owned());
        }
        if self.route.kind == Kind::Stream && is_endless_success(&reply) {
            self.note_failed(&attempt.runner);
            return SendOutcome::Unknown("a stream whose end isn't stated".to_owned());
        }
        let now = self.node.clock.now();
        if let Some(span) = answer_headers.idle_timeout {
            // Closed a second earlier than the runner closes it, so that no request is sent on a
            // connection that the runner is closing.
            let span = Millis::new(span.as_u64().saturating_sub(1_000)).min(MAX_IDLE_TIME);
            reply.body.set_idle_timeout(span.as_duration());
        }
        self.note_head(&reply, &attempt, answer_headers.load, now);
        let load = answer_headers.load;
        attempt.slowdown = load.and_then(|load| slowdown::reading(load, now));
        // 421: another runner has the address now. It has not run the request.
        let wrong_runner = reply.head.status.as_u16() == 421;
        if !answer_headers.not_run && !wrong_runner {
            self.record_status(reply.head.status, &attempt);
            return SendOutcome::Answered(Box::new(reply), Box::new(attempt));
        }
        self.node.metrics.count(Counter::TurnedAway);
        if let Some(runner) = self.node.fleet().runner(&attempt.runner.id) {
            if wrong_runner {
                runner.note_address_taken(now);
            } else {
                runner.note_full(now);
            }
        }
        let status = reply.head.status;
        self.log_retry(&attempt.runner.id, &format!("not run, status {status}"));
        // Read to its end, so that the connection can be reused.
        match timeout(REFUSAL_READ_TIMEOUT, reply.body.discard(MAX_REFUSAL_BYTES)).await {
            Ok(Ok(())) => {}
            Ok(Err(fault)) => log::debug!("can't read the body of a runner's refusal: {fault}"),
            Err(_) => log::debug!("the body of a runner's refusal did not arrive in time"),
        }
        SendOutcome::NotRun
    }

    /// Marks the runner as failed if the status is a failure of its own.
    fn record_status(&self, status: StatusCode, attempt: &Attempt) {
        if is_runner_failure(status) {
            self.note_failed(&attempt.runner);
        }
    }

    /// Returns the name of the request's workspace; empty if it has none.
    #[must_use]
    pub fn workspace_name(&self) -> &str {
        let workspace = self.identity.workspace();
        workspace.map_or("", |workspace| &workspace.name)
    }

    /// Returns the rank of the request's workspace or else of its route, 0 being the most urgent.
    #[must_use]
    pub fn rank(&self) -> u8 {
        rank(&self.identity, &self.route)
    }

    /// Returns the standing of a turn that is sent to `runner`; `None` for calls, and where the
    /// runners are enough for all.
    #[must_use]
    pub fn standing(&self, runner: &fleet::Choice) -> Option<Standing> {
        self.table.engine(&self.service)?;
        if self.supply() == Supply::Ample {
            return None;
        }
        let waited = self.age().as_u64();
        let left = self.call.finish_within;
        let left = left.map(|left| Millis::new(left.as_u64().saturating_sub(waited)));
        let to_read = self.call.prompt_tokens.saturating_sub(runner.cached);
        let to_generate = self.call.expected_tokens.unwrap_or_default();
        let now = self.node.clock.now();
        let fleet = self.node.fleet();
        let needed = fleet.turn_span(&self.service, to_read, to_generate, now);
        Some(Standing::of(left, needed))
    }

    /// Returns the request's priority for the engines, 0 being the most urgent; `None` for plain
    /// services.
    #[must_use]
    pub fn priority(&self, standing: Option<Standing>) -> Option<u8> {
        self.table.engine(&self.service)?;
        let rank = self.rank();
        Some(standing.map_or(standing::of_rank(rank), |standing| standing.priority(rank)))
    }
}

/// Returns the rank of a request's workspace or else of its route, 0 being the most urgent.
#[must_use]
pub fn rank(identity: &Identity, route: &Route) -> u8 {
    let workspace = identity.workspace();
    let rank = workspace.and_then(|workspace| workspace.priority);
    rank.unwrap_or(route.priority)
}

/// Returns whether an answer claims that the request was served, though no runner signed it.
fn is_unsigned_success(status: StatusCode, answer: &Answer) -> bool {
    status.is_success() && !answer.not_run && answer.signature == Signature::Absent
}

/// Returns whether a success ends with its connection. A stream that breaks off between two events then looks
/// whole, and would be kept; a plain answer is left to the reader of its body.
fn is_endless_success(reply: &Reply) -> bool {
    reply.head.status.is_success() && !reply.body.states_end()
}

/// Returns whether a status is a failure of the runner itself. A gateway timeout isn't: that runner
/// was slow, which shows in the time that it took.
#[must_use]
pub fn is_runner_failure(status: StatusCode) -> bool {
    status.is_server_error() && status != StatusCode::GATEWAY_TIMEOUT
}
