//! How a VM places a turn: what it presumes engines have cached, and the engine that it chooses.

use policy::class::Class;
use policy::home;
use policy::home::Homes;
use policy::place;
use policy::place::Candidate;
use policy::place::Lane;
use policy::place::Weights;
use policy::prefix;
use rand::Rng;
use rand::RngExt;
use wire::clock::Millis;

use crate::engine::FULL_BATCH;
use crate::engine::Job;
use crate::engine::PREFILL_RATIO;
use crate::engine::SLOTS;
use crate::play::ENGINES;
use crate::play::Way;
use crate::state::Line;
use crate::state::OUTPUT_TOKENS;
use crate::state::State;

/// Milliseconds after which a VM knows where another one sent a turn, if VMs tell each other.
const TELL_LAG: u64 = 300;
/// Share of the turns that arrive at the VM of the turn before.
const SAME_VM: f64 = 0.4;

impl State {
    pub fn place(&mut self, index: usize, now: u64) {
        let time = Millis::new(now);
        let line = &mut self.lines[index];
        let salt = line.rng.next_u64();
        if line.rng.random::<f64>() >= SAME_VM {
            line.vm = line.rng.random_range(0..self.play.vms);
        }
        let line = &self.lines[index];
        let engine = self.choose(line, salt, now);
        let prompt = line.prompt.clone();
        let (at, program) = (line.vm, line.program as usize);
        self.told[program].push((now, engine));
        let vm = &mut self.vms[at];
        vm.demand.note(prompt[0].id, time);
        vm.demand_for_places.note(prompt[0].id, time);
        vm.caches[engine].note(&prompt, time);
        vm.in_flight[engine] += 1;
        vm.sent[engine] += 1;
        let job = Job {
            line: index,
            vm: at,
            prefill_left: 0.0,
            output_left: OUTPUT_TOKENS as f64,
        };
        self.engines[engine].advance(now);
        self.engines[engine].waiting.push(job);
        self.start(engine, now);
    }

    fn choose(&self, line: &Line, salt: u64, now: u64) -> usize {
        let vm = &self.vms[line.vm];
        let usable: Vec<usize> = (0..ENGINES).filter(|at| self.engines[*at].is_up).collect();
        let ids: Vec<u64> = usable.iter().map(|at| self.ids[*at]).collect();
        let first = line.prompt[0];
        let holders = match self.play.way {
            Way::Alone | Way::Told | Way::Oracle => {
                let holders = vm.demand.holders(first.id, ids.len());
                prefix::presumed_holders(first.id, &ids, holders)
            }
            Way::Home | Way::SessionHome | Way::ToldPlaces => {
                home::places(first.id, &ids, &vm.demand_for_places)
            }
        };
        let holders_of = usable.iter().zip(&holders);
        let mut candidates: Vec<Candidate> = holders_of
            .map(|(at, holds)| self.candidate(line, *at, *holds))
            .collect();
        let call = place::Call {
            class: Class::Routine,
            prompt: line.prompt.iter().map(|part| part.tokens).sum(),
            output: OUTPUT_TOKENS,
            salt,
        };
        let weights = Weights::default();
        let key = match self.play.way {
            Way::Home => Some(line.program),
            Way::SessionHome => Some(line.session),
            Way::Told | Way::ToldPlaces => {
                self.presume_told(line, &usable, &mut candidates, now);
                None
            }
            Way::Alone | Way::Oracle => None,
        };
        let choice = match key {
            Some(key) => {
                let homes = Homes::of(key.wrapping_mul(0x9E37_79B9_7F4A_7C15), &ids, &holders);
                homes.presume(&line.prompt, &mut candidates);
                home::choose(&candidates, &call, &weights, &homes)
            }
            None => place::choose(&candidates, &call, &weights),
        };
        usable[choice.expect("engines are up").index]
    }

    fn candidate(&self, line: &Line, at: usize, holds: bool) -> Candidate {
        let (vm, engine) = (&self.vms[line.vm], &self.engines[at]);
        let speed = engine.speed / FULL_BATCH;
        let load = (engine.running.len() + engine.waiting.len()) as u32;
        let sees_all = self.play.way == Way::Oracle;
        let cached = if sees_all {
            let parts = &line.prompt[..engine.cached_parts(&line.prompt)];
            parts.iter().map(|part| part.tokens).sum()
        } else {
            let presumed = if holds { line.prompt[0].tokens } else { 0 };
            vm.caches[at].cached(&line.prompt).max(presumed)
        };
        Candidate {
            slots: SLOTS,
            reported: if sees_all { load } else { self.reported[at] },
            sent: if sees_all { 0 } else { vm.sent[at] },
            ended: if sees_all { 0 } else { vm.ended[at] },
            in_flight: vm.in_flight[at],
            claimed: 0,
            speed,
            prefill: speed * PREFILL_RATIO,
            cached,
            share: 1.0,
            lane: Lane::Open,
            network_cost: 0.0,
        }
    }

    /// Raises what the engine of the program's last turn that the VM was told of has cached.
    fn presume_told(&self, line: &Line, usable: &[usize], candidates: &mut [Candidate], now: u64) {
        let told = self.told[line.program as usize].iter().rev();
        let Some((_, engine)) = told.clone().find(|(at, _)| at + TELL_LAG <= now) else {
            return;
        };
        let Ok(index) = usable.binary_search(engine) else {
            return;
        };
        let before = &line.prompt[..line.prompt.len() - 1];
        let held = before.iter().map(|part| part.tokens).sum();
        candidates[index].cached = candidates[index].cached.max(held);
    }
}
