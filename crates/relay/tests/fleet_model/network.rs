//! The network between VMs and the key-value service: how long messages take, and whether they
//! arrive.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Number of messages in a thousand that are late, by 20 to 120 ms.
const LATE_PER_MILLE: u32 = 10;

/// A sender or recipient of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Host {
    /// A VM, by number.
    Vm(usize),
    /// The key-value service.
    Store,
}

/// Messages lost between two groups of hosts, in one direction only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cut {
    /// Senders whose messages are lost.
    pub from: Vec<Host>,
    /// Recipients that the messages don't reach.
    pub to: Vec<Host>,
}

/// The network.
#[derive(Debug)]
pub struct Network {
    draws: ChaCha8Rng,
    /// Number of messages in a thousand that are lost and retransmitted, as TCP does.
    pub lost_per_mille: u32,
    cuts: Vec<Cut>,
}

impl Network {
    /// Creates a network that loses `lost_per_mille` of a thousand messages.
    pub fn new(seed: u64, lost_per_mille: u32) -> Self {
        Self {
            draws: ChaCha8Rng::seed_from_u64(seed),
            lost_per_mille,
            cuts: Vec::new(),
        }
    }

    /// Adds a cut.
    pub fn cut(&mut self, cut: Cut) {
        self.cuts.push(cut);
    }

    /// Removes all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Returns a random delay of a message in milliseconds; `None` if it is cut off.
    pub fn delay(&mut self, from: Host, to: Host) -> Option<u64> {
        let cuts = |cut: &Cut| cut.from.contains(&from) && cut.to.contains(&to);
        let lost = self.draws.random_range(0..1_000) < self.lost_per_mille;
        let late = self.draws.random_range(0..1_000) < LATE_PER_MILLE;
        let usual = self.draws.random_range(1..=4);
        let late_delay = self.draws.random_range(20..=120);
        let resend_delay = self.draws.random_range(200..=600);
        if self.cuts.iter().any(cuts) {
            return None;
        }
        Some(match (lost, late) {
            (true, _) => resend_delay,
            (false, true) => late_delay,
            (false, false) => usual,
        })
    }

    /// Returns a random number below `bound`.
    pub fn random_below(&mut self, bound: usize) -> usize {
        self.draws.random_range(0..bound)
    }
}
