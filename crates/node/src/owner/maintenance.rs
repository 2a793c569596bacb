//! The periodic maintenance of a shard by its actor: ends programs that were idle for too long,
//! releases the cache that endpoints hold for ended programs, and limits the journal's length.

use journal::decision;
use journal::snapshot::Image;
use wire::clock::Millis;
use wire::code::Code;
use wire::event::Event;
use wire::id;

use crate::controllers::copies;
use crate::core::Core;
use crate::http::client::Post;
use crate::owner::message::Message;
use crate::owner::shard::Owner;

/// The most release orders that a shard sends per tick. A lost order is sent again at the next
/// tick, a second later at most.
const MAX_RELEASES_PER_TICK: usize = 64;
/// How long an endpoint may take to confirm an order. This is less than the time between two
/// ticks, which is a second while the view doesn't change.
const ORDER_TIMEOUT: Millis = Millis::new(800);
/// How long an ended program is kept, so that its idempotency keys, and the refusal of a request
/// for its last answer, outlast every retry of a caller.
const RETENTION: Millis = Millis::new(60 * 60 * 1000);

/// Runs the maintenance that is due.
pub(super) fn tick(owner: &mut Owner) {
    end_idle(owner);
    forget_ended(owner);
    release_caches(owner);
    update_copy_holders(owner);
    if owner.log.is_snapshot_due() {
        owner.log.snapshot(Image::of(&owner.state));
    }
}

/// Journals a changed list of the VMs that hold copies. Without this, an owner that opened its
/// shard as the first VM of its data centre, or whose copy holders have restarted since, would have
/// no VM to copy a committed turn to in the next outage.
fn update_copy_holders(owner: &mut Owner) {
    if !owner.log.may_change_holders() {
        return;
    }
    let holders = copies::holders(&owner.core, &owner.shard);
    let record = decision::change_copy_holders(&owner.state, &holders);
    let _append = owner.apply(record.into_iter().collect());
}

fn end_idle(owner: &mut Owner) {
    let now = owner.now();
    let idle: Vec<id::Program> = decision::idle_programs(&owner.state, now)
        .cloned()
        .collect();
    for program in idle {
        let Some(caller) = owner.state.program(&program).map(|p| p.caller.clone()) else {
            continue;
        };
        let ended = decision::end(&owner.state, &program, &caller, Code::IdleExpired, now);
        let _append = owner.apply(ended.unwrap_or_default());
    }
}

fn forget_ended(owner: &mut Owner) {
    let now = owner.now();
    let ended = owner.state.programs().filter(|p| p.ended.is_some());
    let records: Vec<_> = ended
        .filter_map(|p| decision::forget(&owner.state, &p.id, RETENTION, now))
        .collect();
    let _append = owner.apply(records);
    let state = &owner.state;
    owner
        .last_endpoints
        .retain(|p| state.program(p).is_some_and(|p| p.ended.is_none()));
}

/// Orders endpoints to release their cache of ended programs, again at each tick until they
/// confirm.
fn release_caches(owner: &mut Owner) {
    let view = owner.core.view();
    let held = decision::cache_holders(&owner.state).take(MAX_RELEASES_PER_TICK);
    let held: Vec<(id::Program, id::Endpoint)> = held
        .map(|(program, endpoint)| (program.clone(), endpoint.clone()))
        .collect();
    for (program, endpoint) in held {
        let Some(address) = view
            .config
            .endpoint(endpoint.as_str())
            .map(|e| e.address.clone())
        else {
            // An endpoint that operators removed from the configuration is gone, and so is its
            // cache.
            let record = decision::cache_released(&owner.state, &program, &endpoint);
            let _append = owner.apply(record.into_iter().collect());
            continue;
        };
        let order = release_order(owner, &program);
        let core = owner.core.clone();
        let myself = owner.myself.clone();
        owner.core.tasks.spawn(async move {
            if send_order(&core, &address, order).await {
                log::info!(
                    "{} program={program} endpoint={endpoint}",
                    Event::CacheReleased
                );
                let _actor_gone = myself.cast(Message::Released(program, endpoint));
            }
        });
    }
}

/// Returns those of the programs that are gone: unknown to the shard, or ended. The shard knows a
/// program before the program's first dispatch, so a program that has just started isn't returned.
pub(super) fn gone(owner: &Owner, programs: Vec<id::Program>) -> Vec<id::Program> {
    let live = |id: &id::Program| {
        let program = owner.state.program(id);
        program.is_some_and(|p| p.ended.is_none())
    };
    programs.into_iter().filter(|id| !live(id)).collect()
}

/// Orders an endpoint to release its cache of those of the programs that are gone, although the
/// journal doesn't list the endpoint as a holder.
pub(super) fn sweep(owner: &Owner, endpoint: &id::Endpoint, programs: Vec<id::Program>) {
    let view = owner.core.view();
    let Some(known) = view.config.endpoint(endpoint.as_str()) else {
        return;
    };
    for program in gone(owner, programs) {
        let (core, address) = (owner.core.clone(), known.address.clone());
        let (endpoint, order) = (endpoint.clone(), release_order(owner, &program));
        owner.core.tasks.spawn(async move {
            if send_order(&core, &address, order).await {
                log::warn!(
                    "{} program={program} endpoint={endpoint}",
                    Event::CacheSwept
                );
            }
        });
    }
}

fn release_order(owner: &Owner, program: &id::Program) -> String {
    let order = serde_json::json!({
        "order": "release",
        "program": program,
        "scope": owner.shard.to_string(),
        "fence": owner.state.epoch(),
    });
    order.to_string()
}

/// Sends an order. Returns whether the endpoint confirmed it.
async fn send_order(core: &Core, address: &str, order: String) -> bool {
    let post = Post {
        address,
        path: "/orders",
        content_type: "application/json",
        headers: &[],
        body: order.into(),
    };
    let sent =
        tokio::time::timeout(ORDER_TIMEOUT.as_duration(), core.endpoint_client.post(post)).await;
    sent.is_ok_and(|answer| answer.is_ok_and(|answer| answer.status().is_success()))
}
