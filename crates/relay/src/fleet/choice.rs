//! Chooses a runner for a request.

use policy::class::Class;
use policy::decaying_mean;
use policy::decaying_mean::Mean;
use policy::home;
use policy::home::Homes;
use policy::place;
use policy::place::Candidate;
use policy::place::Weights;
use policy::prefix;
use policy::prefix::Demand;
use policy::subset::MAX_USED;
use wire::clock::Millis;

use crate::crashes;
use crate::fleet::Choice;
use crate::fleet::Demands;
use crate::fleet::Fleet;
use crate::fleet::Home;
use crate::fleet::Placement;
use crate::fleet::Request;
use crate::fleet::Software;
use crate::fleet::runner::PREFILL_TOKENS_PER_GENERATED;
use crate::fleet::runner::Runner;
use crate::fleet::subset;

/// Presumed milliseconds per token as long as no runner of the service has been measured, that is,
/// during the first second of the first VM. The pace is then the same for all runners, so it only
/// weighs prefill against the cost of another data centre.
const DEFAULT_PACE_MS: f64 = 3.0;
/// Presumed milliseconds per request of a plain service as long as none of its runners has been
/// measured.
const DEFAULT_PLAIN_PACE_MS: f64 = 50.0;
/// Number of other VMs that must hold a runner off before this VM avoids it as well. A single VM
/// may have a broken path to a runner that all others reach. If reports were ignored, each VM would
/// lose a request to find out by itself.
const MIN_HOLD_OFF_REPORTS: u32 = 2;

impl Fleet {
    /// Records the first part of the prompt of a turn that is being placed.
    pub fn note_demand(&mut self, service: &str, prompt: &[prefix::Part], now: Millis) {
        let Some(first) = prompt.first() else {
            return;
        };
        let index = self.find_demand(service).unwrap_or_else(|index| {
            let new = Demands {
                for_holders: Demand::default(),
                for_places: home::demand(),
            };
            self.demand.insert(index, (service.to_owned(), new));
            index
        });
        let demands = &mut self.demand[index].1;
        demands.for_holders.note(first.id, now);
        demands.for_places.note(first.id, now);
    }

    fn demand(&self, service: &str) -> Option<&Demands> {
        let index = self.find_demand(service).ok()?;
        Some(&self.demand[index].1)
    }

    fn find_demand(&self, service: &str) -> Result<usize, usize> {
        self.demand
            .binary_search_by(|(known, _)| known.as_str().cmp(service))
    }

    /// Returns the median pace of the service's runners, which is presumed for runners without
    /// measurements of their own.
    fn median_pace(&self, request: &Request<'_>) -> f64 {
        let default = match request.engine {
            Some(_) => DEFAULT_PACE_MS,
            None => DEFAULT_PLAIN_PACE_MS,
        };
        decaying_mean::median(self.paces(request.service, request.now), default)
    }

    fn paces(&self, service: &str, now: Millis) -> impl Iterator<Item = Mean> {
        let of_service = self
            .runners
            .iter()
            .filter(move |runner| runner.entry.service == service);
        of_service.map(move |runner| runner.pace.decayed_to(now))
    }

    /// Returns how long a turn takes that is served at once, by the median pace of the service's
    /// engines; `Millis::ZERO` if none has been measured.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_precision_loss,
        clippy::cast_sign_loss,
        reason = "token counts and spans are far below 2^52"
    )]
    pub fn turn_span(&self, service: &str, to_read: u64, to_generate: u64, now: Millis) -> Millis {
        let pace = decaying_mean::median(self.paces(service, now), 0.0);
        let read = to_read as f64 / PREFILL_TOKENS_PER_GENERATED;
        Millis::new((pace * (read + to_generate as f64)) as u64)
    }

    /// Chooses a runner; `None` if the service has no eligible one.
    #[must_use]
    pub fn choose(&self, request: &Request<'_>) -> Option<Choice> {
        let mut usable: Vec<&Runner> = self
            .runners
            .iter()
            .filter(|runner| runner.is_eligible(request))
            .collect();
        let preferred = |runner: &&Runner| {
            !runner.is_avoided(request.now)
                && runner.peer_reports.all(request.now).1 < MIN_HOLD_OFF_REPORTS
        };
        if usable.iter().any(preferred) {
            usable.retain(preferred);
        }
        let first = self.place(request, &usable)?;
        let trusted = self.trusted(&usable, request.now);
        if trusted.is_empty() || trusted.iter().any(|runner| runner.id == first.id) {
            return Some(first);
        }
        let placed = self.place(request, &trusted)?;
        Some(Choice {
            passed_over: Some(first.id),
            ..placed
        })
    }

    /// Places a request at one of some runners.
    fn place(&self, request: &Request<'_>, runners: &[&Runner]) -> Option<Choice> {
        let usable = subset::used(request.vm, request.centre, runners, MAX_USED);
        let pace = self.median_pace(request);
        let usable_runners = usable.iter();
        let mut candidates: Vec<Candidate> = usable_runners
            .map(|runner| runner.candidate(request, pace))
            .collect();
        let homes = self.presume(request, &usable, &mut candidates);
        let call = place::Call {
            class: Class::Routine,
            prompt: request.prompt_tokens,
            output: request.output_tokens.max(1),
            salt: request.salt,
        };
        let weights = Weights::default();
        let choice = match &homes {
            Some(homes) => home::choose(&candidates, &call, &weights, homes)?,
            None => place::choose(&candidates, &call, &weights)?,
        };
        let runner = usable[choice.index];
        let candidate = &candidates[choice.index];
        Some(Choice {
            id: runner.id.clone(),
            address: runner.entry.address,
            incarnation: crashes::incarnation(&runner.id, runner.entry.born),
            build: runner.entry.build.clone(),
            born: match request.software {
                Software::Any => None,
                Software::Known | Software::Build(_) => runner.entry.born,
            },
            occupied: place::occupied(candidate),
            slots: runner.entry.slots,
            cached: candidate.cached,
            cost_ms: choice.cost,
            candidates: candidates.len(),
            slowdown: runner.slowdown(),
            placement: placement(homes.as_ref(), choice.index),
            first_wait: match candidates.len() {
                0 | 1 => None,
                _ => self.first_wait(runner),
            },
            passed_over: None,
        })
    }

    /// Raises what runners are expected to have cached of a prompt by what any VM presumes of them.
    /// Returns the homes of the request's program, if it has some.
    fn presume(
        &self,
        request: &Request<'_>,
        usable: &[&Runner],
        candidates: &mut [Candidate],
    ) -> Option<Homes> {
        let first = request.prompt.first()?;
        let hashes: Vec<u64> = usable.iter().map(|runner| runner.id_hash).collect();
        let presumed = match request.home {
            Home::Of(_) => self.places(request.service, first.id, &hashes),
            Home::None => self.presumed_holders(request.service, first.id, &hashes),
        };
        for (candidate, presumed) in candidates.iter_mut().zip(&presumed) {
            if *presumed {
                candidate.cached = candidate.cached.max(first.tokens);
            }
        }
        let Home::Of(program) = request.home else {
            return None;
        };
        let homes = Homes::of(program, &hashes, &presumed);
        homes.presume(request.prompt, candidates);
        Some(homes)
    }

    fn places(&self, service: &str, first: u64, hashes: &[u64]) -> Vec<bool> {
        match self.demand(service) {
            Some(demand) => home::places(first, hashes, &demand.for_places),
            None => home::places(first, hashes, &home::demand()),
        }
    }

    fn presumed_holders(&self, service: &str, first: u64, hashes: &[u64]) -> Vec<bool> {
        let demand = self.demand(service);
        let holders = demand.map_or(prefix::MIN_HOLDERS, |demand| {
            demand.for_holders.holders(first, hashes.len())
        });
        prefix::presumed_holders(first, hashes, holders)
    }
}

fn placement(homes: Option<&Homes>, index: usize) -> Placement {
    match homes.map(|homes| homes.rank(index)) {
        None => Placement::Unassigned,
        Some(Some(rank)) => Placement::Home(rank),
        Some(None) => Placement::Elsewhere,
    }
}
