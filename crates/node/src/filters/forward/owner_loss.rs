//! Detects that the VM that an ask was sent to no longer owns the program.
//!
//! The connections to a VM that freezes or loses power neither answer nor break. Without this
//! check, callers would hang until their own timeouts, long after another VM has taken the program
//! over.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use wire::ask::Ask;
use wire::id;

use crate::core::Core;
use crate::filters::route;
use crate::filters::route::Hop;
use crate::view::View;

/// How long a VM must have sent nothing before the first check. An owner hands a shard over only
/// when nothing of it runs any more, so its last replies are only milliseconds old by then and
/// still arrive within this time.
const CHECK_DELAY: Duration = Duration::from_secs(2);
/// How long the other VMs have to replace one that is considered down: its lease of 5 s must end,
/// and the claim takes some more time.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(10);

/// Waits until another VM owns the program, or `vm` has been considered down for
/// [`TAKEOVER_TIMEOUT`].
pub async fn detect(core: &Arc<Core>, ask: &Ask, vm: &id::Vm) {
    tokio::time::sleep(CHECK_DELAY).await;
    let mut views = core.view.subscribe();
    let mut down_since = None;
    loop {
        let view = views.borrow_and_update().clone();
        if is_replaced(core, &view, ask, vm) {
            return;
        }
        if view.peer(vm).is_some_and(|peer| peer.up) {
            down_since = None;
            let _closed = views.changed().await;
            continue;
        }
        let since = *down_since.get_or_insert_with(Instant::now);
        tokio::select! {
            () = tokio::time::sleep_until(since + TAKEOVER_TIMEOUT) => return,
            _changed = views.changed() => {}
        }
    }
}

/// Returns whether another VM of this data centre owns the program now. In another data centre, the
/// ask may have gone to a VM that only forwards it, so a different choice now doesn't mean that the
/// owner has changed.
fn is_replaced(core: &Core, view: &View, ask: &Ask, vm: &id::Vm) -> bool {
    match route::next_hop(core, view, &ask.program) {
        Hop::Local(_) => true,
        Hop::Remote(other, _) => {
            let own = &core.settings.vm.centre;
            other != *vm && view.peer(vm).is_some_and(|peer| peer.centre == *own)
        }
        Hop::NoOwner(_) | Hop::Unreachable(_) => false,
    }
}
