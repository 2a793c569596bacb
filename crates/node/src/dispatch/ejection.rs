//! Ejects endpoints that fail or are slow, and restores them, according to [`policy::eject`].

use std::sync::Arc;

use policy::eject;
use settings::config::Config;
use settings::config::Endpoint;
use wire::clock::Millis;
use wire::event::Event;
use wire::id;

use crate::core::Core;
use crate::dispatch::endpoint_state;

/// Ejects and restores endpoints. Called about once a second.
pub fn sweep(core: &Arc<Core>) {
    let now = core.clock.now();
    let view = core.view();
    let mut state = core.scheduler.lock();
    state.drain_rate.roll(now);
    state.sync(&view, now);
    let is_known = |s: &endpoint_state::State| view.config.endpoint(s.endpoint.as_str()).is_some();
    state.endpoints.retain(|s| is_known(s) || s.in_flight() > 0);
    for pool in pools(&view.config) {
        sweep_pool(&mut state.endpoints, &pool, now);
    }
}

/// Returns the pools: endpoints grouped by the first model or service that they serve.
fn pools(config: &Config) -> Vec<Vec<&id::Endpoint>> {
    let first_served = |e: &Endpoint| e.serves.first().cloned().unwrap_or_default();
    let mut names: Vec<String> = config.endpoints.iter().map(first_served).collect();
    names.sort();
    names.dedup();
    let members = |name: String| {
        let all = config.endpoints.iter();
        all.filter(|e| first_served(e) == name)
            .map(|e| &e.name)
            .collect()
    };
    names.into_iter().map(members).collect()
}

fn sweep_pool(states: &mut [endpoint_state::State], pool: &[&id::Endpoint], now: Millis) {
    let find = |name: &&id::Endpoint| states.binary_search_by(|s| s.endpoint.cmp(name)).ok();
    let indexes: Vec<usize> = pool.iter().filter_map(find).collect();
    let mut detectors: Vec<eject::Detector> =
        indexes.iter().map(|at| states[*at].detector).collect();
    for change in eject::sweep(&mut detectors, now) {
        let endpoint = &states[indexes[change.index]].endpoint;
        match change.kind {
            eject::Kind::Back => log::info!("{} endpoint={endpoint}", Event::EndpointRestored),
            fault => log::warn!(
                "{} endpoint={endpoint} reason={fault:?}",
                Event::EndpointEjected
            ),
        }
    }
    for (at, detector) in indexes.into_iter().zip(detectors) {
        states[at].detector = detector;
    }
}
