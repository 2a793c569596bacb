//! What a shard's actor looks after without being asked: programs that were idle for too long,
//! cache that engines hold for ended ones, and the journal's length.

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

/// Orders to release that go out of one shard at a time; a lost one is sent again a second later.
const RELEASES: usize = 64;
/// How long an endpoint may take to confirm an order; less than the second between two sends.
const ORDER: Millis = Millis::new(800);
/// How long an ended program is kept, so that its idempotency keys and its last answer's refusal
/// outlast every retry of a caller.
const RETENTION: Millis = Millis::new(60 * 60 * 1000);

/// Does what is due.
pub(super) fn tick(owner: &mut Owner) {
    end_idle(owner);
    forget(owner);
    release(owner);
    name_holders(owner);
    if owner.log.is_snapshot_due() {
        owner.log.snapshot(Image::of(&owner.state));
    }
}

/// Names the VMs that hold copies anew where one was replaced. Without it an owner that opened its
/// shard as the first VM of its data centre, or whose holders were restarted since, would have
/// nowhere to put a committed turn in the next outage.
fn name_holders(owner: &mut Owner) {
    if !owner.log.may_change_holders() {
        return;
    }
    let holders = copies::holders(&owner.core, &owner.shard);
    let record = decision::change_copy_holders(&owner.state, &holders);
    let _durable = owner.apply(record.into_iter().collect());
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
        let _durable = owner.apply(ended.unwrap_or_default());
    }
}

fn forget(owner: &mut Owner) {
    let now = owner.now();
    let ended = owner.state.programs().filter(|p| p.ended.is_some());
    let records: Vec<_> = ended
        .filter_map(|p| decision::forget(&owner.state, &p.id, RETENTION, now))
        .collect();
    let _durable = owner.apply(records);
    let state = &owner.state;
    owner
        .last_endpoints
        .retain(|p| state.program(p).is_some_and(|p| p.ended.is_none()));
}

/// Asks endpoints again to release what they hold of ended programs, until they confirm.
fn release(owner: &mut Owner) {
    let view = owner.core.view();
    let held = decision::cache_holders(&owner.state).take(RELEASES);
    let held: Vec<(id::Program, id::Endpoint)> = held
        .map(|(program, endpoint)| (program.clone(), endpoint.clone()))
        .collect();
    for (program, endpoint) in held {
        let Some(address) = view
            .config
            .endpoint(endpoint.as_str())
            .map(|e| e.address.clone())
        else {
            // An endpoint that the operators took out of the configuration is gone with its cache.
            let record = decision::cache_released(&owner.state, &program, &endpoint);
            let _durable = owner.apply(record.into_iter().collect());
            continue;
        };
        let order = order(owner, &program);
        let core = owner.core.clone();
        let myself = owner.myself.clone();
        owner.core.tasks.spawn(async move {
            if confirmed(&core, &address, order).await {
                log::info!(
                    "{} program={program} endpoint={endpoint}",
                    Event::CacheReleased
                );
                let _gone = myself.cast(Message::Released(program, endpoint));
            }
        });
    }
}

/// Yields those of the programs that are gone: unknown to the shard, or ended. A program is known
/// from before its first dispatch on.
pub(super) fn gone(owner: &Owner, programs: Vec<id::Program>) -> Vec<id::Program> {
    let live = |id: &id::Program| {
        let program = owner.state.program(id);
        program.is_some_and(|p| p.ended.is_none())
    };
    programs.into_iter().filter(|id| !live(id)).collect()
}

/// Orders an endpoint to release those of the programs that are gone, though the journal doesn't
/// name it as their holder.
pub(super) fn sweep(owner: &Owner, endpoint: &id::Endpoint, programs: Vec<id::Program>) {
    let view = owner.core.view();
    let Some(known) = view.config.endpoint(endpoint.as_str()) else {
        return;
    };
    for program in gone(owner, programs) {
        let (core, address) = (owner.core.clone(), known.address.clone());
        let (endpoint, order) = (endpoint.clone(), order(owner, &program));
        owner.core.tasks.spawn(async move {
            if confirmed(&core, &address, order).await {
                log::warn!(
                    "{} program={program} endpoint={endpoint}",
                    Event::CacheSwept
                );
            }
        });
    }
}

fn order(owner: &Owner, program: &id::Program) -> String {
    let order = serde_json::json!({
        "order": "release",
        "program": program,
        "scope": owner.shard.to_string(),
        "fence": owner.state.epoch(),
    });
    order.to_string()
}

/// Sends an order and tells whether the endpoint confirmed it.
async fn confirmed(core: &Core, address: &str, order: String) -> bool {
    let post = Post {
        address,
        path: "/orders",
        kind: "application/json",
        headers: &[],
        body: order.into(),
    };
    let sent = tokio::time::timeout(ORDER.as_duration(), core.client.post(post)).await;
    sent.is_ok_and(|answer| answer.is_ok_and(|answer| answer.status().is_success()))
}
