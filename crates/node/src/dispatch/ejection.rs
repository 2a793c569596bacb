//! Ejects endpoints that fail or are slow, and takes them back, by [`policy::eject`].

use std::sync::Arc;

use policy::eject;
use settings::config::Config;
use settings::config::Endpoint;
use wire::clock::Millis;
use wire::event::Event;
use wire::id;

use crate::core::Core;
use crate::dispatch::endpoint_state::EndpointState;

/// Ejects and takes back endpoints; to be called about once a second.
pub fn sweep(core: &Arc<Core>) {
    let now = core.clock.now();
    let view = core.view();
    let mut state = core.scheduler.lock();
    state.drain.roll(now);
    state.sync(&view, now);
    let known = |s: &EndpointState| view.config.endpoint(s.endpoint.as_str()).is_some();
    state.endpoints.retain(|s| known(s) || s.running() > 0);
    for pool in pools(&view.config) {
        sweep_pool(&mut state.endpoints, &pool, now);
    }
}

/// Lists the pools of endpoints that serve the same.
fn pools(config: &Config) -> Vec<Vec<&id::Endpoint>> {
    let first = |e: &Endpoint| e.serves.first().cloned().unwrap_or_default();
    let mut names: Vec<String> = config.endpoints.iter().map(first).collect();
    names.sort();
    names.dedup();
    let members = |name: String| {
        let all = config.endpoints.iter();
        all.filter(|e| first(e) == name).map(|e| &e.name).collect()
    };
    names.into_iter().map(members).collect()
}

fn sweep_pool(endpoints: &mut [EndpointState], pool: &[&id::Endpoint], now: Millis) {
    let find = |name: &&id::Endpoint| endpoints.binary_search_by(|s| s.endpoint.cmp(name)).ok();
    let places: Vec<usize> = pool.iter().filter_map(find).collect();
    let mut detectors: Vec<eject::Detector> =
        places.iter().map(|at| endpoints[*at].detector).collect();
    for change in eject::sweep(&mut detectors, now) {
        let endpoint = &endpoints[places[change.index]].endpoint;
        match change.kind {
            eject::Kind::Back => log::info!("{} endpoint={endpoint}", Event::EndpointRestored),
            fault => log::warn!(
                "{} endpoint={endpoint} reason={fault:?}",
                Event::EndpointEjected
            ),
        }
    }
    for (at, detector) in places.into_iter().zip(detectors) {
        endpoints[at].detector = detector;
    }
}
