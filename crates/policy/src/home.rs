//! Gives each program a home: the endpoint at which its turns find the history that they share.
//!
//! This is for many VMs in front of many endpoints, where the turns of a program arrive at one VM
//! after the other. A VM knows only the prompts that it has sent itself. Without a home, a turn that
//! arrives at another VM than the one before runs at any presumed holder of its first part, which
//! prefills the program's whole history again, and all other streams there stop meanwhile.
//!
//! The homes of a program are [`HOMES`] of its first part's [`places`], the first ones by a rendezvous
//! hash of the program's id. The places are a fixed share of the pool, by a rendezvous hash of the
//! part's id, and are the presumed holders of that part; of a part that most programs begin with,
//! the whole pool is the place. All VMs compute the same ones from what a
//! request itself states, without messages and without state, also after a restart. Holders by demand
//! ([`prefix::Demand`]) don't serve here: VMs that see few turns each differ in them, so that homes
//! among them would differ as well, and a part seen twice in a row spreads over half the pool. The first
//! home is presumed to hold all of a prompt but its last part, which is new. The others are where
//! turns meet again that the first one has no room for: when a turn returns from there, its home
//! lacks only what was added in the meantime.
//!
//! A home is no more than a presumed cache and a preference within [`TOLERANCE`]: one that is full,
//! slow, or not among the candidates loses by its cost like any other endpoint.

use wire::clock::Millis;

use crate::place;
use crate::place::Call;
use crate::place::Candidate;
use crate::place::Choice;
use crate::place::Weights;
use crate::prefix;
use crate::prefix::Demand;
use crate::prefix::Part;
use crate::rendezvous;

/// Number of homes of a program: one for its turns, one for when that is full, and one for when
/// either is away.
pub const HOMES: usize = 3;
/// One endpoint in this many is a possible home of the programs with the same first part. Fewer
/// would be full with the programs of a part that many share; more would each have to keep parts
/// that are seldom used in the memory of histories.
pub const ENDPOINTS_PER_PLACE: usize = 4;
/// Share of the turns above which a first part's programs may have their homes anywhere: they would
/// fill the places twice over. Far above the shares of other parts, so that VMs that see few turns
/// agree on it.
pub const MAX_SHARE: f64 = 0.5;
/// Turns below which a VM takes no first part for one of so many programs.
const MIN_TURNS: f64 = 10.0;
/// Half-life of a turn's weight in the demand: a VM of a large deployment sees a turn a second.
const DEMAND_HALF_LIFE: Millis = Millis::new(120_000);
/// Costs within this share of the lowest one are accepted for a home. A first turn that runs
/// elsewhere saves less than that once, and each later one that looks for it at home prefills it.
pub const TOLERANCE: f64 = 0.25;

/// Returns the record of demand that [`places`] goes by, without turns.
#[must_use]
pub fn demand() -> Demand {
    Demand::new(DEMAND_HALF_LIFE)
}

/// Returns, for each endpoint of a pool, whether it may be a home of programs whose prompts begin with
/// the part `first`: one in [`ENDPOINTS_PER_PLACE`], or none if all may be, as in a small pool.
#[must_use]
pub fn places(first: u64, endpoints: &[u64], demand: &Demand) -> Vec<bool> {
    let count = if demand.share(first, MIN_TURNS) > MAX_SHARE {
        endpoints.len()
    } else {
        endpoints.len().div_ceil(ENDPOINTS_PER_PLACE).max(HOMES)
    };
    prefix::presumed_holders(first, endpoints, count)
}

/// The homes of one program, as indices of the candidates.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Homes {
    /// In the order of preference; `None` where a pool has fewer.
    indices: [Option<usize>; HOMES],
}

impl Homes {
    /// Ranks a pool's endpoints for a program. Each endpoint is identified by a number that never
    /// changes. `places` states which of them are [`places`] of the prompt's first part; if none is,
    /// all may be homes.
    #[must_use]
    pub fn of(program: u64, endpoints: &[u64], places: &[bool]) -> Self {
        let any = !places.contains(&true);
        let mut weights = [0; HOMES];
        let mut homes = Self::default();
        for (index, (endpoint, is_place)) in endpoints.iter().zip(places).enumerate() {
            if !(any || *is_place) {
                continue;
            }
            let weight = rendezvous::weight(program, *endpoint);
            let is_before = |at: &usize| homes.indices[*at].is_none() || weights[*at] < weight;
            let Some(at) = (0..HOMES).find(is_before) else {
                continue;
            };
            weights[at..].rotate_right(1);
            homes.indices[at..].rotate_right(1);
            weights[at] = weight;
            homes.indices[at] = Some(index);
        }
        homes
    }

    /// Returns which of the program's homes an endpoint is, from 1; `None` if it is none.
    #[must_use]
    pub fn rank(&self, index: usize) -> Option<usize> {
        let found = self.indices.iter().position(|home| *home == Some(index));
        found.map(|at| at + 1)
    }

    /// Raises what the first home is expected to have cached to what it has if the turn before ran
    /// there: all parts but the last one.
    ///
    /// If this VM itself sent that turn to another endpoint, the home is presumed to have all parts
    /// but the last two.
    pub fn presume(&self, prompt: &[Part], candidates: &mut [Candidate]) {
        let Some(home) = self.indices[0] else {
            return;
        };
        let before = &prompt[..prompt.len().saturating_sub(1)];
        let mut held = prefix::tokens(before);
        let ran_elsewhere = |(index, candidate): (usize, &Candidate)| {
            index != home && before.len() > 1 && candidate.cached >= held
        };
        if candidates.iter().enumerate().any(ran_elsewhere) {
            held = prefix::tokens(&before[..before.len() - 1]);
        }
        let candidate = &mut candidates[home];
        candidate.cached = candidate.cached.max(held);
    }
}

/// Chooses the first home whose cost is within [`TOLERANCE`] of the lowest one, else as
/// [`place::choose`]; returns `None` if no candidate may be used at all.
#[must_use]
pub fn choose(
    candidates: &[Candidate],
    call: &Call,
    weights: &Weights,
    homes: &Homes,
) -> Option<Choice> {
    let cheapest = place::choose(candidates, call, weights)?;
    let lowest = cheapest.cost.min(cheapest.runner_up_cost);
    let indices = homes.indices.iter().flatten().copied();
    let choices = place::choices_at(indices, candidates, call, weights);
    let mut accepted = choices.filter(|choice| choice.cost <= lowest * (1.0 + TOLERANCE));
    let chosen = accepted.next().map(|choice| Choice {
        runner_up_cost: if choice.index == cheapest.index {
            cheapest.runner_up_cost
        } else {
            lowest
        },
        ..choice
    });
    chosen.or(Some(cheapest))
}

#[cfg(test)]
mod tests;
