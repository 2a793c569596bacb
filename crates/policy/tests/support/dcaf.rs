//! Two admission rules after the DCAF paper (Jiang et al., 2020), compared with `policy::admit`'s
//! limit on the wait of first calls. They are used only in this simulator.

/// The price is computed from the offers of this many milliseconds.
const WINDOW: u64 = 10_000;
/// Milliseconds between two updates of the price.
const UPDATE_INTERVAL: u64 = 1_000;
/// Steps of the bisection.
const STEPS: u32 = 40;

/// A price on work under a fixed budget: the paper's eq. 6 with the actions "refuse" (no gain, no
/// cost) and "admit". The multiplier is found by its algorithm 1.
#[derive(Clone, Debug)]
pub struct Price {
    /// Service that the VM's part of the fleet provides, in milliseconds per millisecond.
    budget: f64,
    offers: Vec<Offer>,
    lambda: f64,
    updated: u64,
}

#[derive(Clone, Copy, Debug)]
struct Offer {
    at: u64,
    gain: f64,
    cost: f64,
}

impl Price {
    /// Creates the rule for a budget.
    pub fn new(budget: f64) -> Self {
        Self {
            budget,
            offers: Vec::new(),
            lambda: 0.0,
            updated: 0,
        }
    }

    /// Returns whether a job is admitted: its gain must be at least the price of its cost.
    pub fn admits(&mut self, now: u64, gain: f64, cost: f64) -> bool {
        self.offers.retain(|offer| offer.at + WINDOW > now);
        self.offers.push(Offer {
            at: now,
            gain,
            cost,
        });
        if self.updated + UPDATE_INTERVAL <= now {
            self.updated = now;
            self.lambda = self.solve(now.min(WINDOW));
        }
        gain >= self.lambda * cost
    }

    /// Returns the multiplier at which the admitted cost meets the budget.
    fn solve(&self, span: u64) -> f64 {
        let budget = self.budget * span as f64;
        if self.cost_at(0.0) <= budget {
            return 0.0;
        }
        let ratios = self.offers.iter().map(|offer| offer.gain / offer.cost);
        let mut low = 0.0;
        let mut high = ratios.fold(0.0, f64::max);
        for _ in 0..STEPS {
            let middle = f64::midpoint(low, high);
            if self.cost_at(middle) > budget {
                low = middle;
            } else {
                high = middle;
            }
        }
        high
    }

    fn cost_at(&self, lambda: f64) -> f64 {
        let admitted = self.offers.iter();
        let admitted = admitted.filter(|offer| offer.gain >= lambda * offer.cost);
        admitted.map(|offer| offer.cost).sum()
    }
}

/// The paper's gains of the proportional, the integral and the derivative term.
const GAINS: [f64; 3] = [1.0, 0.1, 0.2];
/// Setpoint of the wait, in milliseconds, as `admit::MAX_FIRST_WAIT`.
const TARGET: f64 = 2_000.0;
/// The bound without overload, in prompt tokens: above nearly all prompts.
const RESTING_BOUND: f64 = 32_000.0;
/// Limit of the integral term; without it, the bound stays low long after an overload.
const MAX_SUM: f64 = 60.0;

/// A bound on the largest job, controlled by feedback on the wait: the paper's algorithm 2.
#[derive(Clone, Copy, Debug)]
pub struct MaxPower {
    bound: f64,
    sum: f64,
    last: f64,
}

impl MaxPower {
    /// Creates the rule with its bound for no overload.
    pub const fn new() -> Self {
        Self {
            bound: RESTING_BOUND,
            sum: 0.0,
            last: 0.0,
        }
    }

    /// Updates the bound; called once a second. Each unit of control halves it.
    pub fn update(&mut self, wait: u64) {
        let error = wait as f64 / TARGET - 1.0;
        self.sum = (self.sum + error).clamp(0.0, MAX_SUM);
        let control = GAINS[0] * error + GAINS[1] * self.sum + GAINS[2] * (error - self.last);
        self.last = error;
        self.bound = RESTING_BOUND * (-control.max(0.0)).exp2();
    }

    /// Returns whether a job with this many prompt tokens is admitted.
    pub fn admits(&self, prompt: u64) -> bool {
        prompt as f64 <= self.bound
    }
}
