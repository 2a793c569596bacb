//! What a shard's actor looks after without being asked: programs that were idle for too long,
//! cache that engines hold for ended ones, and the journal's length.

use journal::gate;
use journal::snapshot::Image;
use wire::clock::Millis;
use wire::code::Code;
use wire::id;

use crate::owner::shard::Owner;

/// Records after which the journal gets an image of the state; a takeover then reads no more than
/// as many records, a fraction of a second's worth of pages.
const IMAGE_EVERY: u64 = 2_000;
/// How long an ended program is kept, so that its idempotency keys and its last answer's refusal
/// outlast every retry of a caller.
const RETENTION: Millis = Millis::new(60 * 60 * 1000);

/// Does what is due.
pub(super) fn tick(owner: &mut Owner) {
    end_idle(owner);
    forget(owner);
    if owner.appended >= IMAGE_EVERY {
        owner.appended = 0;
        owner.log.snapshot(Image::of(&owner.state));
    }
}

fn end_idle(owner: &mut Owner) {
    let now = owner.now();
    let idle: Vec<id::Program> = gate::idle(&owner.state, now).cloned().collect();
    for program in idle {
        let Some(caller) = owner.state.program(&program).map(|p| p.caller.clone()) else {
            continue;
        };
        let ended = gate::end(&owner.state, &program, &caller, Code::IdleExpired, now);
        let _durable = owner.apply(ended.unwrap_or_default());
    }
}

fn forget(owner: &mut Owner) {
    let now = owner.now();
    let ended = owner.state.programs().filter(|p| p.ended.is_some());
    let records: Vec<_> = ended
        .filter_map(|p| gate::forget(&owner.state, &p.id, RETENTION, now))
        .collect();
    let _durable = owner.apply(records);
    let state = &owner.state;
    owner
        .seats
        .retain(|p| state.program(p).is_some_and(|p| p.ended.is_none()));
}
