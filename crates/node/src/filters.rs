//! The filters that a caller's request passes on the VM that it entered, in this order: [`parse`],
//! [`authenticate`], [`route`], [`forward`], [`answer`].

pub mod answer;
pub mod authenticate;
pub mod forward;
pub mod header;
pub mod parse;
pub mod route;

use std::sync::Arc;

use hyper::Request;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::http::request::Parts;
use policy::stop;
use settings::config::Class;
use wire::ask::Ask;
use wire::ask::Body;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Refusal;
use wire::event::Event;
use wire::id;

use crate::core::Core;
use crate::http::Response;
use crate::http::body;
use crate::http::body::Arrival;
use crate::http::body::Sender;
use crate::http::listen::Room;
use crate::view::View;

/// The outcome of a filter.
pub type Result<T> = std::result::Result<T, Refusal>;

/// When a caller that found no connection may come again. Connections turn over within a routine
/// turn, which takes seconds.
const CONNECTION_PAUSE: Millis = Millis::new(2_000);

/// Answers one request of a caller.
pub async fn handle(core: Arc<Core>, request: Request<Incoming>, room: Room) -> Response {
    let arrived = core.clock.now();
    let (head, incoming) = request.into_parts();
    let mut arrival = Arrival::new(&head.headers, incoming);
    match run(&core, &head, &mut arrival, room, arrived).await {
        Ok(response) => response,
        Err(refusal) => {
            log::info!(
                "{} code={} ran={:?} detail={:?}",
                Event::RequestRefused,
                refusal.code.number(),
                refusal.ran,
                refusal.message
            );
            core.metrics.count_refusal(refusal.code);
            let mut response = answer::refuse(&refusal);
            if arrival.sender() == Sender::Waits {
                // What was not asked for isn't read, which ends the connection.
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            let limit = core.settings.limits.body;
            arrival.discard(limit, discard_time(&core)).await;
            response
        }
    }
}

/// Yields how long the rest of a refused body may be read: so that the refusal goes out before the
/// process ends.
fn discard_time(core: &Core) -> Millis {
    let Some(stop) = core.stop.get() else {
        return body::DISCARD;
    };
    let left = stop.left(core.clock.now());
    body::DISCARD.min(Millis::new(left.as_u64() / 2))
}

/// A request that no filter refused.
enum Passed {
    /// It is answered here.
    Answered(Response),
    /// Its program's owner answers it.
    Asks {
        ask: Ask,
        shape: answer::Shape,
        wait: answer::Wait,
    },
}

async fn run(
    core: &Arc<Core>,
    head: &Parts,
    arrival: &mut Arrival,
    room: Room,
    arrived: Millis,
) -> Result<Response> {
    // A keyed call may have been asked before, and only its owner's journal knows whether that ran.
    // Told that it hasn't, its caller would give the order under another key, and both might run.
    let earlier = parse::earlier(head);
    let passed = pass(core, head, arrival, room, arrived).await;
    match passed.map_err(|refusal| refusal.ran(earlier))? {
        Passed::Answered(response) => Ok(response),
        Passed::Asks { ask, shape, wait } => {
            let program = ask.program.clone();
            let replies = forward::ask(core, ask);
            answer::answer(core, shape, &program, wait, replies).await
        }
    }
}

/// Takes a request through the filters before its owner's.
async fn pass(
    core: &Arc<Core>,
    head: &Parts,
    arrival: &mut Arrival,
    room: Room,
    arrived: Millis,
) -> Result<Passed> {
    if room == Room::Full {
        return Err(full());
    }
    let parsed = tokio::select! {
        biased;
        parsed = parse::parse(&core.settings.limits, head, arrival) => parsed?,
        () = last_call(core) => return Err(shutting_down()),
    };
    let view = core.view();
    if let Some(response) = answer::probe(&view, &parsed.what) {
        return Ok(Passed::Answered(response));
    }
    let caller = authenticate::caller(&view.config, parsed.token)?
        .name
        .clone();
    if parsed.what == parse::What::Models {
        return Ok(Passed::Answered(answer::models(&view.config)));
    }
    let shape = answer::Shape::of(&parsed.what);
    let ask = ask(core, &view, caller, parsed)?;
    let class = authenticate::class(&view.config, &ask)?;
    if room == Room::UrgentOnly && class != Class::Urgent {
        return Err(full());
    }
    let deadline = ask.deadline;
    let wait = answer::Wait { arrived, deadline };
    check_end(core, wait)?;
    // Counted anew from here on, a body that took its time would have the ask wait for longer than
    // its caller.
    let spent = core.clock.now().since(arrived);
    let ask = Ask {
        deadline: deadline.map(|deadline| deadline.since(spent)),
        ..ask
    };
    Ok(Passed::Asks { ask, shape, wait })
}

/// Yields the refusal of a request for which no connection is left.
fn full() -> Refusal {
    Refusal::new(Code::TooManyConnections, "").retry_after(CONNECTION_PAUSE)
}

/// Refuses what may outlast a VM that stops: its answer would be cut off when the process ends.
/// Only a deadline of its own bounds a request, as a runner may go on for as long as it isn't
/// silent.
fn check_end(core: &Core, wait: answer::Wait) -> Result<()> {
    let taken = core.stop.get().is_none_or(|stop| stop.takes(wait.until()));
    if taken {
        return Ok(());
    }
    Err(shutting_down())
}

/// Returns when a node that stops gives up what no endpoint has: a request of which only a part has come
/// would be cut off at the end without a word.
async fn last_call(core: &Core) {
    core.stopping.cancelled().await;
    let Some(stop) = core.stop.get() else {
        return;
    };
    let left = stop.unassigned_deadline().since(core.clock.now());
    tokio::time::sleep(left.as_duration()).await;
}

fn shutting_down() -> Refusal {
    Refusal::new(Code::ShuttingDown, "").retry_after(stop::RETRY)
}

/// Turns a parsed request into what its program's owner is asked.
fn ask(core: &Core, view: &View, caller: id::Caller, parsed: parse::Parsed) -> Result<Ask> {
    let named = parsed.program;
    let first = named.is_none();
    let program = match (named, &parsed.key, &parsed.what) {
        (Some(program), ..) => program,
        // The same key finds the same program, so that the request asked again isn't run again.
        (None, Some(key), parse::What::Chat(_) | parse::What::Call(_)) => {
            route::keyed(&caller, key)
        }
        (None, ..) => route::mint(core, view),
    };
    let body = match parsed.what {
        parse::What::Chat(request) => Body::Chat(wire::ask::Chat {
            turn: if first { Some(1) } else { parsed.turn },
            request,
        }),
        parse::What::Call(call) => Body::Call(wire::ask::Call {
            key: parsed.key,
            ..call
        }),
        parse::What::Create => Body::Create,
        parse::What::Show => Body::Show,
        parse::What::End => Body::End,
        parse::What::Models | parse::What::Health | parse::What::Ready => {
            return Err(Refusal::new(Code::Internal, "not a request to an owner"));
        }
    };
    Ok(Ask {
        program,
        caller,
        revision: view.config.revision,
        deadline: parsed.deadline,
        hops: 0,
        body,
    })
}
