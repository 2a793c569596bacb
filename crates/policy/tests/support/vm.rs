//! A VM: its queue, its view of the endpoints, and how it chooses among them.

use std::collections::VecDeque;

use policy::admit;
use policy::eject;
use policy::own_calls::Calls;
use policy::place;
use policy::queue::Limits;
use policy::queue::Queue;
use policy::retry;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wire::clock::Millis;

use super::dcaf::MaxPower;
use super::dcaf::Price;
use super::deployment::Deployment;
use super::rules::Rules;

/// The weight of the latest call in a VM's means of output and service.
const FRESH: f64 = 0.05;

/// What an endpoint says of itself.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// When it said so.
    pub at: u64,
    /// Calls that run or wait there.
    pub calls: u32,
    /// Tokens a second for one call.
    pub speed: f64,
    /// Programs and tokens that its cache holds, sorted by program.
    pub held: Vec<(usize, u64)>,
}

/// What a VM knows of an endpoint.
#[derive(Clone, Debug)]
pub struct View {
    /// Its slots.
    pub slots: u32,
    /// Its rate of prefill.
    pub prefill: f64,
    /// Its last report.
    pub report: Report,
    /// The VM's own calls there.
    pub ledger: Calls,
}

/// What a VM knows of a call that waits.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// Its program.
    pub program: usize,
    /// What its placement depends on.
    pub placed: place::Call,
    /// Where the program's last call ended.
    pub home: Option<Home>,
}

/// Where a program's prefix was left.
#[derive(Clone, Copy, Debug)]
pub struct Home {
    /// The endpoint.
    pub endpoint: usize,
    /// Tokens.
    pub tokens: u64,
    /// When.
    pub at: u64,
}

/// A VM's state.
pub struct Vm {
    /// How it decides.
    pub rules: Rules,
    /// The deployment's weights.
    pub weights: place::Weights,
    /// What waits, by our rules.
    pub queue: Queue<usize>,
    /// What waits, first in first out.
    pub fifo: VecDeque<usize>,
    /// Programs whose calls are at endpoints.
    pub under_way: Vec<usize>,
    /// The rate at which the queue drains.
    pub drain: admit::DrainRate,
    /// The endpoints.
    pub views: Vec<View>,
    /// What they are kept for.
    pub lanes: Vec<place::Lane>,
    /// What it saw them do.
    pub detectors: Vec<eject::Detector>,
    /// The price of work, where that rule is tried.
    pub price: Price,
    /// The bound on work, where that rule is tried.
    pub power: MaxPower,
    /// The retries that it may make.
    pub retries: retry::Budget,
    /// Its generator.
    pub rng: ChaCha8Rng,
    /// Mean tokens of a call.
    pub output: f64,
    /// Mean service of a call, in milliseconds.
    pub service: f64,
    /// The endpoint whose turn it is.
    turn: usize,
}

impl Vm {
    /// Builds a VM that knows the endpoints and nothing of their load.
    pub fn new(of: &Deployment, rules: Rules, number: usize) -> Self {
        let view = |spec: &super::deployment::Endpoint| View {
            slots: spec.slots,
            prefill: spec.prefill,
            report: Report {
                speed: spec.speed,
                ..Report::default()
            },
            ledger: Calls::default(),
        };
        let slots: f64 = of.endpoints.iter().map(|spec| f64::from(spec.slots)).sum();
        Self {
            rules,
            weights: of.weights,
            queue: Queue::new(Limits::default()),
            fifo: VecDeque::new(),
            under_way: Vec::new(),
            drain: admit::DrainRate::default(),
            views: of.endpoints.iter().map(view).collect(),
            lanes: place::lanes(&of.endpoints.iter().map(|e| e.speed).collect::<Vec<_>>()),
            detectors: vec![eject::Detector::new(Millis::ZERO); of.endpoints.len()],
            price: Price::new(slots / of.vms as f64),
            power: MaxPower::new(),
            retries: retry::Budget::new(Millis::ZERO),
            rng: ChaCha8Rng::seed_from_u64(number as u64),
            output: of.output,
            service: 5_000.0,
            turn: number * of.endpoints.len() / of.vms,
        }
    }

    /// Takes in a report.
    pub fn hear(&mut self, endpoint: usize, report: &Report) {
        let view = &mut self.views[endpoint];
        view.ledger.record_report(Millis::new(report.at));
        let speed = view.report.speed;
        view.report = report.clone();
        view.report.speed = place::smoothed(speed, report.speed);
    }

    /// Judges the endpoints.
    pub fn sweep(&mut self, now: Millis) {
        eject::sweep(&mut self.detectors, now);
        let speed = |(view, detector): (&View, &eject::Detector)| {
            if detector.share(now) < 1.0 {
                return 0.0;
            }
            view.report.speed
        };
        let speeds: Vec<f64> = self.views.iter().zip(&self.detectors).map(speed).collect();
        self.lanes = place::lanes(&speeds);
        let wait = admit::Load {
            waiting: self.queue.len(),
            own: 0,
            room: 1,
            drain: self.drain.rate(),
        };
        self.power.renew(wait.wait().as_u64());
    }

    /// Takes in what a call was like.
    pub fn learn(&mut self, output: u64, service: u64) {
        self.output += FRESH * (output as f64 - self.output);
        self.service += FRESH * (service as f64 - self.service);
    }

    /// Chooses an endpoint for a call that is sent at once, by a rule without a queue.
    pub fn direct(&mut self, home: Option<usize>) -> usize {
        match self.rules {
            Rules::Sticky => home.unwrap_or_else(|| self.next_in_turn()),
            Rules::RoundRobin => self.next_in_turn(),
            _ => self.least_outstanding(),
        }
    }

    /// Yields the endpoint with the fewest calls, and among equals the next in turn.
    pub fn least_outstanding(&mut self) -> usize {
        let first = self.next_in_turn();
        let count = self.views.len();
        let order = (0..count).map(|n| (first + n) % count);
        let least = order.min_by_key(|at| outstanding(&self.views[*at]));
        least.unwrap_or(first)
    }

    /// Tells whether an endpoint is thought to have a free slot.
    pub fn has_slot(&self, endpoint: usize) -> bool {
        let view = &self.views[endpoint];
        outstanding(view) < view.slots
    }

    fn next_in_turn(&mut self) -> usize {
        self.turn = (self.turn + 1) % self.views.len();
        self.turn
    }
}

/// The part of a VM's state that a placement reads.
pub struct Fleet<'a> {
    /// The endpoints.
    pub views: &'a [View],
    /// What they are kept for.
    pub lanes: &'a [place::Lane],
    /// What the VM saw them do.
    pub detectors: &'a [eject::Detector],
    /// The deployment's weights.
    pub weights: &'a place::Weights,
}

impl Fleet<'_> {
    /// Yields the endpoints as they are for a call of which nothing is cached anywhere.
    pub fn candidates(&self, now: Millis) -> Vec<place::Candidate> {
        let endpoints = self.views.iter().zip(self.detectors).zip(self.lanes);
        let candidate = |((view, detector), lane): ((&View, &eject::Detector), &place::Lane)| {
            place::Candidate {
                slots: view.slots,
                reported: view.report.calls,
                sent: view.ledger.sent_since_report() as u32,
                ended: view.ledger.ended_since_report() as u32,
                claimed: 0,
                speed: view.report.speed,
                prefill: view.prefill,
                cached: 0,
                share: detector.share(now),
                lane: *lane,
                network_cost: 0.0,
            }
        };
        endpoints.map(candidate).collect()
    }

    /// Chooses the endpoint of a call by our rules.
    pub fn choose(
        &self,
        call: &Call,
        candidates: &mut [place::Candidate],
    ) -> Option<place::Choice> {
        for (index, (candidate, view)) in candidates.iter_mut().zip(self.views).enumerate() {
            candidate.cached = cached(index, view, call);
        }
        place::choose(candidates, &call.placed, self.weights)
    }
}

/// Yields what an endpoint is thought to hold: what the VM itself left there since the report, else
/// what the report says.
fn cached(index: usize, view: &View, call: &Call) -> u64 {
    if let Some(home) = call.home
        && home.endpoint == index
        && home.at >= view.report.at
    {
        return home.tokens;
    }
    let held = &view.report.held;
    match held.binary_search_by_key(&call.program, |(program, _)| *program) {
        Ok(at) => held[at].1,
        Err(_) => 0,
    }
}

fn outstanding(view: &View) -> u32 {
    let reported = view
        .report
        .calls
        .saturating_sub(view.ledger.ended_since_report() as u32);
    reported + view.ledger.sent_since_report() as u32
}
