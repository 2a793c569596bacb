//! Chooses a runner for a request.

use policy::class::Class;
use policy::decaying_mean;
use policy::place;
use policy::place::Candidate;
use policy::place::Weights;
use policy::prefix;
use policy::prefix::Demand;
use wire::clock::Millis;

use crate::fleet::Chosen;
use crate::fleet::Fleet;
use crate::fleet::Want;
use crate::fleet::runner::Runner;

/// Milliseconds that an engine is presumed to take for a token before any runner of its service was
/// measured: for the first second of the first VM. All runners have the same then, so that it only
/// weighs the reading of a prompt against the way to another data centre.
const FIRST_PACE: f64 = 3.0;
/// The same for a request of a plain service.
const FIRST_PACE_PLAIN: f64 = 50.0;
/// So many other VMs that hold a runner off are believed. One may have a broken way to a runner
/// that all others reach; were none believed, each VM would lose a request to find out by itself.
const BELIEVED: u32 = 2;

impl Fleet {
    /// Notes a turn of a service that is placed.
    pub fn note_demand(&mut self, service: &str, prompt: &[prefix::Part], now: Millis) {
        let Some(first) = prompt.first() else {
            return;
        };
        let at = self.find_demand(service).unwrap_or_else(|at| {
            let new = (service.to_owned(), Demand::default());
            self.demand.insert(at, new);
            at
        });
        self.demand[at].1.note(first.id, now);
    }

    fn demand(&self, service: &str) -> Option<&Demand> {
        let at = self.find_demand(service).ok()?;
        Some(&self.demand[at].1)
    }

    fn find_demand(&self, service: &str) -> Result<usize, usize> {
        self.demand
            .binary_search_by(|(known, _)| known.as_str().cmp(service))
    }

    /// Yields the pace of the service's runners that nobody has measured.
    fn middle_pace(&self, want: &Want<'_>) -> f64 {
        let of_service = self
            .runners
            .iter()
            .filter(|runner| runner.entry.service == want.service);
        let paces = of_service.map(|runner| runner.pace.decayed_to(want.now));
        let first = match want.engine {
            Some(_) => FIRST_PACE,
            None => FIRST_PACE_PLAIN,
        };
        decaying_mean::median(paces, first)
    }

    /// Chooses a runner; `None` where the service has none that may be used.
    #[must_use]
    pub fn choose(&self, want: &Want<'_>) -> Option<Chosen> {
        let mut usable: Vec<&Runner> = self
            .runners
            .iter()
            .filter(|runner| runner.may_take(want))
            .collect();
        let sound = |runner: &&Runner| {
            !runner.is_spared(want.now) && runner.told.all(want.now).1 < BELIEVED
        };
        if usable.iter().any(sound) {
            usable.retain(sound);
        }
        let pace = self.middle_pace(want);
        let usable_runners = usable.iter();
        let mut candidates: Vec<Candidate> = usable_runners
            .map(|runner| runner.candidate(want, pace))
            .collect();
        if let Some(first) = want.prompt.first() {
            let numbers: Vec<u64> = usable.iter().map(|runner| runner.number).collect();
            let demand = self.demand(want.service);
            let holders = demand.map_or(prefix::MIN_HOLDERS, |demand| {
                demand.holders(first.id, numbers.len())
            });
            let presumed = prefix::presumed_holders(first.id, &numbers, holders);
            for (candidate, presumed) in candidates.iter_mut().zip(presumed) {
                if presumed {
                    candidate.cached = candidate.cached.max(first.tokens);
                }
            }
        }
        let call = place::Call {
            class: Class::Routine,
            prompt: want.prompt_tokens,
            output: want.output_tokens.max(1),
            salt: want.salt,
        };
        let choice = place::choose(&candidates, &call, &Weights::default())?;
        let runner = usable[choice.index];
        let candidate = &candidates[choice.index];
        Some(Chosen {
            id: runner.id.clone(),
            address: runner.entry.address,
            occupied: place::occupied(candidate),
            slots: runner.entry.slots,
            cached: candidate.cached,
            cost: choice.cost,
            among: candidates.len(),
        })
    }
}
