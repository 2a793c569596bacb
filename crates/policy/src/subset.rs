//! Chooses the endpoints that a VM uses where there are thousands.
//!
//! The load: hundreds of VMs before thousands of endpoints. If each VM compared all of them for each
//! request, it would have to be told the load of all of them several times a second, most of which it
//! never uses, and would keep connections to all. With some dozens the least loaded one is as good.
//!
//! Each VM ranks the endpoints by a hash of both ids. So all endpoints are used by about as many VMs,
//! an endpoint that leaves changes the choice of those VMs by one endpoint, and any VM can tell which
//! endpoints another one uses. Most are in the VM's data centre; the rest are for the moment when
//! these are full or cut off.

use crate::rendezvous;

/// Number of endpoints of a service that a VM uses. Where there are no more, it uses all.
pub const MAX_USED: usize = 96;
/// How many of them are in other data centres.
const FAR: usize = 24;

/// Where an endpoint is, seen from a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// In the VM's data centre.
    Near,
    /// In another one.
    Far,
}

/// An endpoint that a VM may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// A hash of its id.
    pub id: u64,
    /// Where it is.
    pub place: Place,
}

/// Returns the indexes of the candidates that a VM uses, at most `max`, in ascending order. `vm` is
/// a hash of the VM's name.
#[must_use]
pub fn choose(vm: u64, candidates: &[Candidate], max: usize) -> Vec<usize> {
    if candidates.len() <= max {
        return (0..candidates.len()).collect();
    }
    let near = ranked(vm, candidates, Place::Near);
    let far = ranked(vm, candidates, Place::Far);
    let far_used = (max * FAR / MAX_USED).max(max.saturating_sub(near.len()));
    let far_used = far_used.min(far.len());
    let near_used = max - far_used;
    let mut chosen: Vec<usize> = near.into_iter().take(near_used).collect();
    chosen.extend(far.into_iter().take(far_used));
    chosen.sort_unstable();
    chosen
}

/// Returns the indexes of the candidates at a place in the order of the VM's ranking.
fn ranked(vm: u64, candidates: &[Candidate], place: Place) -> Vec<usize> {
    let at_place = candidates.iter().enumerate();
    let at_place = at_place.filter(|(_, candidate)| candidate.place == place);
    let mut ranked: Vec<(u64, usize)> = at_place
        .map(|(index, candidate)| (rendezvous::weight(vm, candidate.id), index))
        .collect();
    ranked.sort_unstable();
    ranked.into_iter().map(|(_, index)| index).collect()
}

#[cfg(test)]
mod tests;
