//! Chooses an endpoint for one call. The endpoints that the selectors allow are the candidates of
//! [`policy::place`].

use policy::place;
use policy::place::Choice;
use policy::place::Start;
use settings::config::Endpoint;
use wire::clock::Millis;

use crate::core::Core;
use crate::dispatch::endpoint_state;
use crate::dispatch::endpoint_state::Content;
use crate::dispatch::scheduler::Work;
use crate::view::View;

/// An endpoint chosen for a call.
pub(super) struct Placement {
    pub(super) endpoint: Endpoint,
    pub(super) choice: Choice,
    /// The decision as text for the log; empty if the call can't start now.
    pub(super) detail: String,
}

impl Placement {
    pub(super) fn can_start(&self) -> bool {
        self.choice.start == Start::Now
    }
}

/// Chooses an endpoint for a call. Returns `None` if no endpoint may take the call.
pub(super) fn choose(
    core: &Core,
    view: &View,
    states: &[endpoint_state::State],
    work: &Work,
    now: Millis,
) -> Option<Placement> {
    let endpoints = allowed_endpoints(core, view, work);
    let mut names: Vec<&Endpoint> = Vec::with_capacity(endpoints.len());
    let mut candidates = Vec::with_capacity(endpoints.len());
    for endpoint in endpoints {
        let found = states.binary_search_by(|s| s.endpoint.cmp(&endpoint.name));
        let Ok(at) = found else { continue };
        if work.content == Content::Suspect && states[at].has_suspect() {
            continue;
        }
        let cached_at = work.held.iter().find(|(name, _)| *name == endpoint.name);
        let cached = cached_at.map_or(0, |(_, tokens)| *tokens);
        let load = view.load(&endpoint.name);
        if let Some(candidate) = states[at].candidate(endpoint, load, cached, now) {
            names.push(endpoint);
            candidates.push(candidate);
        }
    }
    // An endpoint that fails every call is idle and reports the highest speed. It counts with speed
    // 0 so that it doesn't become the lane for urgent calls.
    let lane_speed = |c: &place::Candidate| if c.share < 1.0 { 0.0 } else { c.speed };
    let speeds: Vec<f64> = candidates.iter().map(lane_speed).collect();
    for (candidate, lane) in candidates.iter_mut().zip(place::lanes(&speeds)) {
        candidate.lane = lane;
    }
    let weights = place::Weights {
        latency: core.settings.weights.latency,
        cache: core.settings.weights.cache,
    };
    let call = place::Call {
        class: endpoint_state::policy_class(work.class),
        prompt: work.prompt,
        output: work.output,
        salt: rand::random(),
    };
    let choice = place::choose(&candidates, &call, &weights)?;
    let endpoint = names[choice.index];
    let detail = match choice.start {
        Start::Now => describe(endpoint, &choice, &names),
        Start::Later => String::new(),
    };
    Some(Placement {
        endpoint: endpoint.clone(),
        choice,
        detail,
    })
}

/// Formats a decision for the log.
fn describe(endpoint: &Endpoint, choice: &Choice, names: &[&Endpoint]) -> String {
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

/// Returns the endpoints that the selectors allow: only those of this data centre if there are any,
/// and without those that failed the call if others remain.
fn allowed_endpoints<'a>(core: &Core, view: &'a View, work: &Work) -> Vec<&'a Endpoint> {
    let caller = view.config.caller(work.caller.as_str());
    let grant = caller.and_then(|caller| {
        let config = &view.config;
        config.grant(caller, &work.program, work.kind, &work.serves)
    });
    let mut endpoints = grant.map(|grant| grant.endpoints).unwrap_or_default();
    let is_local = |e: &&Endpoint| e.centre == core.settings.vm.centre;
    if endpoints.iter().any(is_local) {
        endpoints.retain(is_local);
    }
    let is_untried = |e: &&Endpoint| !work.avoid.contains(&e.name);
    if endpoints.iter().any(is_untried) {
        endpoints.retain(is_untried);
    }
    endpoints
}
