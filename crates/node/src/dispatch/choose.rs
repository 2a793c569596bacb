//! Chooses an endpoint for one call: the endpoints that the selectors allow, as candidates of
//! [`policy::place`].

use policy::place;
use policy::place::Choice;
use policy::place::Start;
use settings::config::Endpoint;
use wire::clock::Millis;

use crate::core::Core;
use crate::dispatch::endpoint_state;
use crate::dispatch::endpoint_state::Content;
use crate::dispatch::endpoint_state::EndpointState;
use crate::dispatch::scheduler::Work;
use crate::view::View;

/// An endpoint chosen for a call.
pub(super) struct Picked {
    pub(super) endpoint: Endpoint,
    pub(super) choice: Choice,
    /// The decision for the log, where the call can start.
    pub(super) detail: String,
}

impl Picked {
    pub(super) fn can_start(&self) -> bool {
        self.choice.start == Start::Now
    }
}

/// Chooses an endpoint for a call as things stand; logs the decision where the call can start.
pub(super) fn pick(
    core: &Core,
    view: &View,
    states: &[EndpointState],
    work: &Work,
    now: Millis,
) -> Option<Picked> {
    let endpoints = usable(core, view, work);
    let mut names: Vec<&Endpoint> = Vec::with_capacity(endpoints.len());
    let mut candidates = Vec::with_capacity(endpoints.len());
    for endpoint in endpoints {
        let found = states.binary_search_by(|s| s.endpoint.cmp(&endpoint.name));
        let Ok(at) = found else { continue };
        if work.content == Content::Suspect && states[at].has_suspect() {
            continue;
        }
        let held = work.held.iter().find(|(name, _)| *name == endpoint.name);
        let cached = held.map_or(0, |(_, tokens)| *tokens);
        let load = view.load(&endpoint.name);
        if let Some(candidate) = states[at].candidate(endpoint, load, cached, now) {
            names.push(endpoint);
            candidates.push(candidate);
        }
    }
    // One that fails everything is idle and reports the highest speed; it mustn't become the lane.
    let whole = |c: &place::Candidate| if c.share < 1.0 { 0.0 } else { c.speed };
    let speeds: Vec<f64> = candidates.iter().map(whole).collect();
    for (candidate, lane) in candidates.iter_mut().zip(place::lanes(&speeds)) {
        candidate.lane = lane;
    }
    let weights = place::Weights {
        latency: core.settings.weights.latency,
        cache: core.settings.weights.cache,
    };
    let call = place::Call {
        class: endpoint_state::class(work.class),
        prompt: work.prompt,
        output: work.output,
        salt: rand::random(),
    };
    let choice = place::choose(&candidates, &call, &weights)?;
    let endpoint = names[choice.index];
    let detail = match choice.start {
        Start::Now => reason(endpoint, &choice, &names),
        Start::Later => String::new(),
    };
    Some(Picked {
        endpoint: endpoint.clone(),
        choice,
        detail,
    })
}

/// Renders a decision for the log.
fn reason(endpoint: &Endpoint, choice: &Choice, names: &[&Endpoint]) -> String {
    let names: Vec<&str> = names.iter().map(|e| e.name.as_str()).collect();
    format!(
        "choice={} reason=\"cost={:.0} wait={:.0} miss={:.0} run={:.0} next={:.0}\" candidates={}",
        endpoint.name,
        choice.cost,
        choice.wait,
        choice.miss,
        choice.run,
        choice.runner_up_cost,
        names.join(",")
    )
}

/// Lists the endpoints that the selectors allow now: those of this data centre, or where it has
/// none, all; without the ones that failed the call, unless there are no others.
fn usable<'a>(core: &Core, view: &'a View, work: &Work) -> Vec<&'a Endpoint> {
    let caller = view.config.caller(work.caller.as_str());
    let grant = caller.and_then(|caller| {
        let config = &view.config;
        config.grant(caller, &work.program, work.kind, &work.serves)
    });
    let mut endpoints = grant.map(|grant| grant.endpoints).unwrap_or_default();
    let near = |e: &&Endpoint| e.centre == core.settings.vm.centre;
    if endpoints.iter().any(near) {
        endpoints.retain(near);
    }
    let fresh = |e: &&Endpoint| !work.avoid.contains(&e.name);
    if endpoints.iter().any(fresh) {
        endpoints.retain(fresh);
    }
    endpoints
}
