//! A request as it arrives: read, routed, and taken or refused.

use std::sync::Arc;
use std::time::Duration;

use adapter::config::Kind;
use adapter::config::Route;
use adapter::header;
use adapter::header::Call;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::body::Body as _;
use hyper::body::Incoming;
use hyper::header::EXPECT;
use hyper::header::HOST;
use hyper::http::request;
use link::body;
use link::body::Body;
use policy::prefix;
use rand::RngExt;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Refusal;

use crate::answer;
use crate::job::Job;
use crate::metrics::Counter;
use crate::node::Node;
use crate::plain;
use crate::refuse;
use crate::shutdown;
use crate::stream;
use crate::table;
use crate::table::Table;
use crate::work;

/// How long a client waits that doesn't say.
const PATIENCE: Millis = Millis::new(30_000);
/// The longest body of a refused request that is read before the configuration tells how long bodies
/// are, in bytes.
const DISCARDED: usize = 4 * 1024 * 1024;
/// How long the rest of a refused request's body is read.
const DISCARD: Duration = Duration::from_secs(1);

/// Serves a client's request.
pub async fn serve(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    node.metrics.count(Counter::Requests);
    let arrived = Instant::now();
    let call = header::call(request.headers());
    let id = call.id.clone();
    let program = call.program.clone();
    let guard = node.work.begin(work::Kind::Answer, &id);
    let asks_first = asks_first(request.headers());
    let mut response = match read(&node, request, call, arrived).await {
        Ok(job) => match job.route.kind {
            Kind::Stream => stream::serve(job, guard).await,
            Kind::Idempotent | Kind::AtMostOnce => plain::serve(job, guard).await,
        },
        Err(refusal) => {
            let subject = refuse::Subject {
                request: &id,
                program: program.as_deref().unwrap_or_default(),
                waited: Millis::from(arrived.elapsed()),
                ..refuse::Subject::default()
            };
            let mut response = refuse::answer(&node, &refusal, &subject);
            if asks_first {
                // What was not asked for isn't read, which ends the connection.
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

/// Yields how long the rest of a refused body may be read: so that the refusal goes out before the
/// process ends.
fn discard_time(node: &Node) -> Duration {
    let Some(stop) = node.stop() else {
        return DISCARD;
    };
    DISCARD.min(stop.left(node.clock.now()).as_duration())
}

/// Where a request goes, as its headers tell.
struct Routed {
    table: Arc<Table>,
    route: Arc<Route>,
    until: Instant,
}

async fn read(
    node: &Arc<Node>,
    request: Request<Incoming>,
    call: Call,
    arrived: Instant,
) -> Result<Job, Refusal> {
    let (head, mut incoming) = request.into_parts();
    let mut wanted = !asks_first(&head.headers);
    let received = async {
        let routed = route(node, &head, &call, arrived).await?;
        if !wanted && incoming.size_hint().lower() > routed.table.body_bytes as u64 {
            return Err(Refusal::new(Code::BodyTooLarge, ""));
        }
        wanted = true;
        let body = receive(node, &routed, &mut incoming).await?;
        Ok::<_, Refusal>((routed, body))
    };
    let (routed, body) = match received.await {
        Ok(received) => received,
        // The caller no longer waits for the rest to be read.
        Err(refusal) if refusal.code == Code::ReadTimeout => return Err(refusal),
        // Reading would have the caller send the body.
        Err(refusal) if !wanted => return Err(refusal),
        Err(refusal) => {
            // The refusal would be lost with the rest of a long body: see `body::discard`.
            let discarded = body::discard(incoming, node.table().body_bytes.max(DISCARDED));
            let _too_slow = timeout(discard_time(node), discarded).await;
            return Err(refusal);
        }
    };
    let Routed {
        table,
        route,
        until,
    } = routed;
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

/// Tells whether the caller waits with the body until it is asked for it.
fn asks_first(headers: &HeaderMap) -> bool {
    let expected = headers.get(EXPECT);
    expected.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"))
}

/// Receives a request's body.
async fn receive(node: &Node, routed: &Routed, incoming: &mut Incoming) -> Result<Bytes, Refusal> {
    let read = timeout_at(routed.until, body::read(incoming, routed.table.body_bytes));
    let ends = stream::ends(&routed.route, routed.until);
    match shutdown::with_send_deadline(node, ends, read).await? {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(body::Fault::TooLong)) => Err(Refusal::new(Code::BodyTooLarge, "")),
        Ok(Err(fault)) => Err(Refusal::new(Code::ReadTimeout, &fault.to_string())),
        Err(_) => Err(Refusal::new(Code::ReadTimeout, "")),
    }
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
        return Err(refusal.retry_after(refuse::RETRY));
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
    shutdown::admit(node, stream::ends(&route, until))?;
    Ok(Routed {
        table,
        route,
        until,
    })
}
