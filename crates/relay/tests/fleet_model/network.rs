//! The ways between VMs, and to the key-value service: how long a message takes, and whether it
//! arrives.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// Of a thousand messages, so many come late.
const LATE: u32 = 10;

/// An end of a way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A VM.
    Vm(usize),
    /// The key-value service.
    Store,
}

/// VMs that don't reach others: one way only.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cut {
    /// Whose messages are lost.
    pub from: Vec<End>,
    /// Where they are lost.
    pub to: Vec<End>,
}

/// The ways.
#[derive(Debug)]
pub struct Network {
    draws: ChaCha8Rng,
    /// Of a thousand messages, so many are lost and sent again, as connections do.
    pub lost: u32,
    cuts: Vec<Cut>,
}

impl Network {
    /// Makes ways that lose so many of a thousand messages.
    pub fn new(seed: u64, lost: u32) -> Self {
        Self {
            draws: ChaCha8Rng::seed_from_u64(seed),
            lost,
            cuts: Vec::new(),
        }
    }

    /// Cuts ways off.
    pub fn cut(&mut self, cut: Cut) {
        self.cuts.push(cut);
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Draws how many milliseconds a message takes; `None` where the way is
    /// cut.
    pub fn delay(&mut self, from: End, to: End) -> Option<u64> {
        let cuts = |cut: &Cut| cut.from.contains(&from) && cut.to.contains(&to);
        let lost = self.draws.random_range(0..1_000) < self.lost;
        let late = self.draws.random_range(0..1_000) < LATE;
        let usual = self.draws.random_range(1..=4);
        let later = self.draws.random_range(20..=120);
        let again = self.draws.random_range(200..=600);
        if self.cuts.iter().any(cuts) {
            return None;
        }
        Some(match (lost, late) {
            (true, _) => again,
            (false, true) => later,
            (false, false) => usual,
        })
    }

    /// Draws a number below `most`.
    pub fn below(&mut self, most: usize) -> usize {
        self.draws.random_range(0..most)
    }
}
