//! Gathers what other VMs hold for a shard's old owner.
//!
//! Exists for the failure "a turn that was answered during an outage is missing after the
//! takeover". Every VM that may hold a copy must have answered, since each answer may hold the one
//! copy of a turn, and since answering fences the old owner there. One that is gone (by the
//! platform's list, not by its silence) or was restarted has lost its copies; then the old owner
//! itself must answer, and steps down by that, unless it is gone as well.

use platform::edge::Machine;
use wire::id;

use super::Fault;
use super::Result;
use crate::copy;
use crate::copy::Batch;
use crate::copy::Collected;
use crate::log::Setup;
use crate::state::State;

/// Yields the pending batches by their numbers, each once.
pub(super) async fn collect(setup: &Setup, state: &State, epoch: u64) -> Result<Vec<Batch>> {
    let mut held = Vec::new();
    if state.copies().is_empty() {
        return Ok(held);
    }
    let machines = setup.platform.machines().await?;
    let mut complete = true;
    for holder in state.copies() {
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

/// Asks one VM; `None` where it is gone.
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
