//! Collects the batches that other VMs hold for a shard's old owner.
//!
//! Prevents the failure "a turn that was answered during an outage is missing after the takeover".
//! Every VM that may hold a copy must answer, because it may hold the only copy of a turn, and
//! because its answer fences the old owner there. A VM that is gone (no longer listed by the
//! platform; silence isn't enough) or was restarted has lost its copies. In that case the old owner
//! itself must answer, which makes it step down, unless it is gone as well.

use platform::edge::Machine;
use wire::id;

use super::Fault;
use super::Result;
use crate::copy;
use crate::copy::Batch;
use crate::copy::Collected;
use crate::log::Setup;
use crate::state::State;

/// Returns the pending batches sorted by epoch and number, without duplicates.
pub(super) async fn collect(setup: &Setup, state: &State, epoch: u64) -> Result<Vec<Batch>> {
    let mut held = Vec::new();
    if state.copy_holders().is_empty() {
        return Ok(held);
    }
    let machines = setup.platform.machines().await?;
    let mut complete = true;
    for holder in state.copy_holders() {
        match collect_from(setup, &holder.vm, epoch, &machines).await? {
            Some(answer) => {
                complete &= answer.incarnation == holder.incarnation;
                held.extend(answer.held);
            }
            None => complete = false,
        }
    }
    if let Some(owner) = state.owner().filter(|_| !complete) {
        let answer = collect_from(setup, owner, epoch, &machines).await?;
        held.extend(answer.into_iter().flat_map(|answer| answer.held));
    }
    held.sort_by_key(|batch| (batch.epoch, batch.seq));
    held.dedup_by_key(|batch| (batch.epoch, batch.seq));
    Ok(held)
}

/// Asks one VM. Returns `None` if it is gone.
async fn collect_from(
    setup: &Setup,
    vm: &id::Vm,
    epoch: u64,
    machines: &[Machine],
) -> Result<Option<Collected>> {
    match setup.peers.collect(vm, &setup.shard, epoch).await {
        Ok(answer) => Ok(Some(answer)),
        Err(copy::Fault::Fenced(_)) => Err(Fault::Raced),
        Err(_) if machines.iter().any(|m| m.name == vm.as_str()) => Err(Fault::Waiting(vm.clone())),
        Err(_) => Ok(None),
    }
}
