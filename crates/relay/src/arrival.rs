//! The arrival of a request: it is read, routed, and accepted or refused.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use adapter::config::Kind;
use adapter::config::Route;
use adapter::header;
use adapter::header::Call;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::Version;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::header::EXPECT;
use hyper::header::HOST;
use hyper::http::request;
use link::body;
use link::body::Body;
use link::ingress::Meaning;
use link::ingress::Meter;
use link::ingress::Metered;
use policy::connections::Verdict;
use policy::memory::Step;
use policy::prefix;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::timeout_at;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Refusal;

use crate::answer;
use crate::doubt;
use crate::doubt::Verdict as Doubt;
use crate::held::Held;
use crate::held::Holdings;
use crate::identity;
use crate::identity::Access;
use crate::identity::Identity;
use crate::job::Job;
use crate::job::rank;
use crate::kept;
use crate::metrics::Counter;
use crate::node::Node;
use crate::plain;
use crate::reading;
use crate::refuse;
use crate::shutdown;
use crate::stream;
use crate::table;
use crate::table::Table;
use crate::usage;
use crate::usage::Admission;
use crate::usage::Shown;
use crate::work;

/// The time limit of a request that states none.
const DEFAULT_TIME_LIMIT: Millis = Millis::new(30_000);
/// The smallest limit, in bytes, up to which a refused request's body is read and discarded. Before
/// a configuration is loaded, it is the only limit.
const MIN_DISCARD_LIMIT: usize = 4 * 1024 * 1024;
/// How long a long body may take to arrive while others wait for memory: a fraction of the shortest
/// deadlines. Otherwise a few callers that send nothing would hold all others up.
const BODY_TIME: Duration = Duration::from_secs(1);
/// How often it is checked whether others wait.
const AWAITED_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// A body is long from the bytes that a claim may have, divided by this, on: a hundred shorter ones hold
/// nobody up.
const LONG_BODY_DIVISOR: u64 = 100;
/// How long the rest of a refused request's body is read.
const MAX_DISCARD_TIME: Duration = Duration::from_secs(1);

/// Serves a caller's request.
pub async fn serve(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    node.metrics.count(Counter::Requests);
    let arrived = Instant::now();
    let call = header::call(request.headers());
    let id = call.id.clone();
    let program = call.program.clone();
    let guard = node.work.begin(work::Kind::Answer, &id);
    let expects_continue = expects_continue(request.headers());
    let connection = request.extensions().get::<Meter>().cloned();
    let named = program.as_deref().unwrap_or_default();
    let reading = reading::Guard::begin(&node, &id, named, connection, arrived);
    let read = read_request(&node, request, call, arrived).await;
    reading.finish();
    let mut response = match read {
        Ok(job) => match job.route.kind {
            Kind::Stream => stream::serve(job, guard).await,
            Kind::Idempotent | Kind::AtMostOnce => plain::serve(job, guard).await,
        },
        Err(refusal) => {
            let info = refuse::Info {
                request: &id,
                program: named,
                waited: Millis::from(arrived.elapsed()),
                ..refuse::Info::default()
            };
            let mut response = refuse::respond(&node, &refusal, &info);
            if expects_continue {
                // The body that was not asked for isn't read, which ends the connection.
                answer::close(&mut response);
            }
            response
        }
    };
    if !node.is_ready() {
        answer::close(&mut response);
    }
    response
}

/// Returns how long the rest of a refused body may be read, so that the refusal is sent before the
/// process ends.
fn discard_timeout(node: &Node) -> Duration {
    let Some(stop) = node.stop() else {
        return MAX_DISCARD_TIME;
    };
    MAX_DISCARD_TIME.min(stop.left(node.clock.now()).as_duration())
}

/// A request with the route and deadline that follow from its headers.
struct RoutedRequest {
    table: Arc<Table>,
    route: Arc<Route>,
    identity: Identity,
    admission: Option<Admission>,
    deadline: Instant,
}

async fn read_request(
    node: &Arc<Node>,
    request: Request<Incoming>,
    call: Call,
    arrived: Instant,
) -> Result<Job, Refusal> {
    let (mut head, incoming) = request.into_parts();
    let meter = head.extensions.remove::<Meter>();
    let mut incoming = Metered::new(incoming, meter.clone());
    let mut body_requested = !expects_continue(&head.headers);
    let received = async {
        check_room(meter.as_ref())?;
        let routed = route(node, &head, &call, arrived).await?;
        if let Some(meter) = meter.as_ref().filter(|_| is_repeatable(&routed.route)) {
            meter.decide(Meaning::Leaves);
        }
        if !body_requested && incoming.size_hint().lower() > routed.table.body_bytes as u64 {
            return Err(Refusal::new(Code::BodyTooLarge, ""));
        }
        let memory = hold_body(node, &routed, &incoming).await?;
        body_requested = true;
        let body = receive(node, &routed, &mut incoming, meter.as_ref(), memory).await?;
        // The key may have been taken away while the body was received.
        identify(node, &routed.route, &call)?;
        Ok::<_, Refusal>((routed, body))
    };
    let (routed, body) = match received.await {
        Ok(received) => received,
        // The caller doesn't wait until the rest is read.
        Err(refusal) if refusal.code == Code::ReadTimeout => return Err(refusal),
        // Reading the body would make the caller send it.
        Err(refusal) if !body_requested => return Err(refusal),
        Err(refusal) => {
            // Without reading the rest of a long body, the refusal would be lost: see
            // `body::discard`.
            let discarded = body::discard(incoming, node.table().body_bytes.max(MIN_DISCARD_LIMIT));
            let _too_slow = timeout(discard_timeout(node), discarded).await;
            return Err(refusal);
        }
    };
    job(node, head, meter, call, routed, body, arrived)
}

/// Returns whether a route's requests may be broken off, as they may run again.
fn is_repeatable(route: &Route) -> bool {
    match route.kind {
        Kind::Idempotent | Kind::Stream => true,
        Kind::AtMostOnce => false,
    }
}

/// Joins what is known of a request that was read.
fn job(
    node: &Arc<Node>,
    head: request::Parts,
    connection: Option<Meter>,
    call: Call,
    routed: RoutedRequest,
    body: Bytes,
    arrived: Instant,
) -> Result<Job, Refusal> {
    let RoutedRequest {
        table,
        route,
        identity,
        admission,
        deadline,
    } = routed;
    // A stream that is taken up goes to the service that began it.
    let stream = call.resumes.as_deref().unwrap_or(&call.id);
    let service = table::pick_service(&route, table::sample(stream));
    let service =
        service.ok_or_else(|| Refusal::new(Code::NoEndpoint, "the route has no service"))?;
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
        identity,
        admission,
        call,
        body,
        connection,
        passed_on: AtomicBool::default(),
        reserved: AtomicBool::default(),
        arrived,
        deadline,
    })
}

/// Returns whether the caller waits for `100 Continue` before it sends the body.
fn expects_continue(headers: &HeaderMap) -> bool {
    let expected = headers.get(EXPECT);
    expected.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// Holds the memory for a request's body before it is read; as much as any request may have if its length
/// isn't known.
async fn hold_body(
    node: &Node,
    routed: &RoutedRequest,
    incoming: &Metered<Incoming>,
) -> Result<Held, Refusal> {
    let most = routed.table.body_bytes as u64;
    let bytes = match incoming.size_hint().exact() {
        Some(bytes) => bytes.min(most),
        None => most.min(node.holdings.limit()),
    };
    let wait = Millis::from(routed.deadline.saturating_duration_since(Instant::now()));
    let rank = rank(&routed.identity, &routed.route);
    let claim = node.holdings.claim(Step::Arrival, rank, bytes, wait);
    let latest_end = kept::latest_end(&routed.route, routed.deadline);
    shutdown::with_send_deadline(node, latest_end, claim).await?
}

/// Refuses a request for whose head the listener has no room.
fn check_room(meter: Option<&Meter>) -> Result<(), Refusal> {
    if meter.is_none_or(|meter| meter.verdict() == Verdict::Admitted) {
        return Ok(());
    }
    let refusal = Refusal::new(Code::MemoryTaken, "there is no room for the request's head");
    Err(refusal.retry_after(refuse::RETRY_DELAY))
}

/// Waits until others need the memory of a long body, or the connection of any, that has had its time to
/// arrive.
async fn until_awaited(holdings: &Holdings, bytes: u64, meter: Option<&Meter>) {
    let is_long = bytes >= holdings.limit() / LONG_BODY_DIVISOR;
    let is_crowded = || meter.is_some_and(|meter| meter.is_crowded(BODY_TIME));
    sleep(BODY_TIME).await;
    while !(is_long && holdings.is_awaited() || is_crowded()) {
        sleep(AWAITED_POLL_INTERVAL).await;
    }
}

/// Receives a request's body.
async fn receive(
    node: &Node,
    routed: &RoutedRequest,
    incoming: &mut Metered<Incoming>,
    meter: Option<&Meter>,
    memory: Held,
) -> Result<Bytes, Refusal> {
    let limit = match incoming.size_hint().exact() {
        Some(_) => routed.table.body_bytes,
        None => usize::try_from(memory.bytes()).unwrap_or(usize::MAX),
    };
    let read = async {
        tokio::select! {
            biased;
            read = timeout_at(routed.deadline, body::read(incoming, limit)) => read,
            () = until_awaited(&node.holdings, memory.bytes(), meter) => Ok(Err(body::Fault::Broken(
                "others wait for the room of what the caller doesn't send".to_owned(),
            ))),
        }
    };
    let latest_end = kept::latest_end(&routed.route, routed.deadline);
    match shutdown::with_send_deadline(node, latest_end, read).await? {
        Ok(Ok(body)) => Ok(memory.attach(body)),
        Ok(Err(body::Fault::TooLong)) => Err(Refusal::new(Code::BodyTooLarge, "")),
        Ok(Err(fault)) => Err(Refusal::new(Code::ReadTimeout, &fault.to_string())),
        Err(_) => Err(Refusal::new(Code::ReadTimeout, "")),
    }
}

/// Finds a request's route and its deadline.
async fn route(
    node: &Arc<Node>,
    head: &request::Parts,
    call: &Call,
    arrived: Instant,
) -> Result<RoutedRequest, Refusal> {
    let arrived_at = node.clock.now();
    let time_limit = call.deadline.unwrap_or(DEFAULT_TIME_LIMIT);
    wait_at_start(node, head, call, arrived + time_limit.as_duration()).await;
    let Found {
        table,
        route,
        identity,
    } = find_certainly(node, head, call, arrived_at, time_limit).await?;
    let deadline = arrived + time_limit.min(route.timeout).as_duration();
    shutdown::admit(node, kept::latest_end(&route, deadline))?;
    let admission = admit(node, &route, &identity, call)?;
    Ok(RoutedRequest {
        table,
        route,
        identity,
        admission,
        deadline,
    })
}

/// Waits until a process that has just started knows enough to decide on a request.
async fn wait_at_start(node: &Arc<Node>, head: &request::Parts, call: &Call, until: Instant) {
    let knows_caller = |node: &Node| node.can_route() && node.can_identify();
    node.wait_at_start(knows_caller, until).await;
    if !node.is_starting() || usage::knows_others(node) {
        return;
    }
    let Ok(found) = find(node, head, call) else {
        return;
    };
    let workspace = found.identity.workspace();
    let Some(workspace) = workspace.filter(|workspace| workspace.limit.is_some()) else {
        return;
    };
    usage::note_waiting(node, workspace);
    node.wait_at_start(usage::knows_others, until).await;
}

/// What the configuration in force says of a request.
struct Found {
    table: Arc<Table>,
    route: Arc<Route>,
    identity: Identity,
}

/// Finds what the configuration says of a request. Refuses a turn that continues another one for good, or lets it
/// run without its history, only if no configuration said otherwise when it arrived.
async fn find_certainly(
    node: &Node,
    head: &request::Parts,
    call: &Call,
    arrived_at: Millis,
    time_limit: Millis,
) -> Result<Found, Refusal> {
    let max_wait = doubt::max_wait(time_limit);
    loop {
        let mut news = pin!(node.config_news.notified());
        news.as_mut().enable();
        // In this order: time that passes in between makes the proof seem older, not younger than the request.
        let waited = node.clock.now().since(arrived_at);
        // Taken before the routes are looked up: a proof in between would be of later ones.
        let knowledge = node.config_knowledge();
        let found = find(node, head, call);
        if !rests_on_old_routes(&found, call) {
            return found;
        }
        match doubt::decide(knowledge, waited, max_wait) {
            Doubt::Final => return found,
            Doubt::Open => return Err(identity::stale(node.freshness(knowledge.age))),
            Doubt::Wait(limit) => {
                let _no_news = timeout(limit.as_duration(), news).await;
            }
        }
    }
}

/// Returns whether a turn that continues another one has no path, or one whose turns have no history, though
/// the other one was kept.
fn rests_on_old_routes(found: &Result<Found, Refusal>, call: &Call) -> bool {
    let lacks_history = match found {
        Ok(found) => !found.route.keeps_turns,
        Err(refusal) => refusal.code == Code::UnknownPath,
    };
    lacks_history && call.previous.is_some()
}

fn find(node: &Node, head: &request::Parts, call: &Call) -> Result<Found, Refusal> {
    let table = node.table();
    if !table.loaded {
        let refusal = Refusal::new(Code::NoConfiguration, "");
        return Err(refusal.retry_after(refuse::RETRY_DELAY));
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
    // Its caller takes the end of the connection for the end of the stream.
    if route.kind == Kind::Stream && head.version < Version::HTTP_11 {
        return Err(Refusal::new(Code::VersionTooOld, ""));
    }
    let identity = identify(node, &route, call)?;
    Ok(Found {
        table,
        route,
        identity,
    })
}

/// Counts a request against its workspace's limit. Calls of a program are made between its turns, so
/// only a turn that continues none may be the program's first request.
fn admit(
    node: &Arc<Node>,
    route: &Route,
    identity: &Identity,
    call: &Call,
) -> Result<Option<Admission>, Refusal> {
    let Some(workspace) = identity.workspace() else {
        return Ok(None);
    };
    let is_call = route.kind != Kind::Stream && call.program.is_some();
    let shown = if is_call || call.previous.is_some() {
        Shown::HasBegun
    } else {
        Shown::Nothing
    };
    usage::admit(node, workspace, call.program.as_deref(), shown)
}

/// Identifies a request by the configuration that is in force now.
fn identify(node: &Node, route: &Route, call: &Call) -> Result<Identity, Refusal> {
    let (table, age) = node.table_with_age();
    let freshness = node.freshness(age);
    identity::identify(
        table.workspaces.as_ref(),
        Access::of(route),
        call.credential,
        freshness,
    )
}
