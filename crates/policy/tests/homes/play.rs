//! The parameters of a play, its troubles, and what engines did and callers got in it.

pub const ENGINES: usize = 44;
/// Number of first parts that programs share, chosen by Zipf's law, and their mean length.
pub const FIRST_PARTS: u64 = 16;
pub const FIRST_TOKENS: u64 = 12_600;
/// When all VMs restart, and when an engine fails and is back, without memory.
pub const RESTART: u64 = 90_000;
pub const FAILURE: u64 = 120_000;
pub const RECOVERY: u64 = 130_000;
/// What is looked at by itself for the time [`AFTERMATH`].
const TROUBLES: [u64; 2] = [RESTART, FAILURE];
const AFTERMATH: u64 = 10_000;

/// How a VM finds an engine that has read a history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// It knows what it sent itself.
    Alone,
    /// Programs have homes.
    Home,
    /// Each session has a home of its own, sub-agents too.
    SessionHome,
    /// VMs tell each other where a program's last turn ran.
    Told,
    /// The same, and first parts have the places that they have with homes.
    ToldPlaces,
    /// It sees all engines as they are.
    Oracle,
}

#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub way: Way,
    pub vms: usize,
    pub load: f64,
    pub first_parts: u64,
    pub seed: u64,
}

/// What engines did and callers got.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub turns: u64,
    pub prompt: u64,
    /// For each of [`TROUBLES`], the prompt tokens in the time after it, and those of them that were
    /// read again.
    pub after: [[u64; 2]; 2],
    /// Milliseconds of the turns that ended in the time after the failure, sorted.
    pub times_after_failure: Vec<u64>,
    /// Tokens that were read again: of histories, and of first parts that the engine was reading
    /// for another request, had evicted, or had never had.
    pub history: u64,
    pub under_way: u64,
    pub evicted: u64,
    pub spread: u64,
    /// Milliseconds of each turn, sorted.
    pub times: Vec<u64>,
    pub turns_of_engine: Vec<u64>,
}

impl Outcome {
    /// Returns the share of prompt tokens that were read though they weren't new.
    pub fn again(&self) -> f64 {
        let again = self.history + self.under_way + self.evicted + self.spread;
        again as f64 / self.prompt as f64
    }

    /// Returns the same for the time after the restart of all VMs and after the failure.
    pub fn again_after(&self) -> [f64; 2] {
        self.after.map(|[all, again]| again as f64 / all as f64)
    }

    pub fn time(&self, quantile: f64) -> u64 {
        self.times[(self.times.len() as f64 * quantile) as usize]
    }

    /// Returns the turns of the busiest engine as a multiple of the mean.
    pub fn imbalance(&self) -> f64 {
        let most = self.turns_of_engine.iter().max().copied().unwrap_or(0);
        most as f64 * ENGINES as f64 / self.turns as f64
    }

    pub fn row(&self, play: &Play) -> String {
        let share = |tokens: u64| 100.0 * tokens as f64 / self.prompt as f64;
        format!(
            "{:<12} {:>2} {:>3} {:.1} | {:>6} | {:>5.2} ({:>5.2} {:>5.2}) = {:>5.2} {:>5.2} {:>5.2} {:>5.2} | {:>6} {:>6} {:>6} | {:.2}",
            format!("{:?}", play.way),
            play.first_parts,
            play.vms,
            play.load,
            self.turns,
            100.0 * self.again(),
            100.0 * self.again_after()[0],
            100.0 * self.again_after()[1],
            share(self.history),
            share(self.under_way),
            share(self.evicted),
            share(self.spread),
            self.time(0.5),
            self.time(0.95),
            self.time(0.99),
            self.imbalance()
        )
    }
}

/// Returns the index of the trouble after which it is a short time.
pub fn trouble(now: u64) -> Option<usize> {
    let is_after = |trouble: &u64| (*trouble..trouble + AFTERMATH).contains(&now);
    TROUBLES.iter().position(is_after)
}
