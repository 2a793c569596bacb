//! Tells when a VM that an ask was sent to is no longer worth waiting for.
//!
//! A VM that freezes or loses its power leaves connections behind that neither answer nor break.
//! Without this its callers would hang until their own time-outs, long after another VM has taken
//! the program over.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use wire::ask::Ask;
use wire::id;

use crate::core::Core;
use crate::filters::route;
use crate::filters::route::Hop;
use crate::view::View;

/// How long a VM must have been silent before its place is looked at. An owner hands a shard over
/// only when nothing runs of it any more, so its last replies are milliseconds old by then.
const SILENCE: Duration = Duration::from_secs(2);
/// How long the VMs are given to replace one that is thought down: a lease of five seconds has to
/// end, and the claim takes some more.
const TAKEOVER: Duration = Duration::from_secs(10);

/// Waits until `vm`, which says nothing, is no longer worth waiting for: another VM owns the
/// program, or the VM has been thought down for [`TAKEOVER`].
pub async fn gone(core: &Arc<Core>, ask: &Ask, vm: &id::Vm) {
    tokio::time::sleep(SILENCE).await;
    let mut news = core.view.subscribe();
    let mut down = None;
    loop {
        let view = news.borrow_and_update().clone();
        if replaced(core, &view, ask, vm) {
            return;
        }
        if view.peer(vm).is_some_and(|peer| peer.up) {
            down = None;
            let _closed = news.changed().await;
            continue;
        }
        let since = *down.get_or_insert_with(Instant::now);
        tokio::select! {
            () = tokio::time::sleep_until(since + TAKEOVER) => return,
            _changed = news.changed() => {}
        }
    }
}

/// Tells whether another VM of this data centre owns the program now. In other data centres the
/// ask went to any VM, which passes it on; that another one would be chosen today says nothing.
fn replaced(core: &Core, view: &View, ask: &Ask, vm: &id::Vm) -> bool {
    match route::hop(core, view, &ask.program) {
        Hop::Here(_) => true,
        Hop::There(other, _) => {
            let own = &core.settings.vm.centre;
            other != *vm && view.peer(vm).is_some_and(|peer| peer.centre == *own)
        }
        Hop::NoOwner(_) | Hop::Unreachable(_) => false,
    }
}
