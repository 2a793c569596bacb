//! What an endpoint's prefix cache holds, as far as one VM can know.
//!
//! Answers programs whose turns share long prompts. Without it a turn goes where a slot is free and
//! pays for its whole history again, and beside the reading itself stops every other stream of that
//! endpoint for as long. Cache events of the endpoints come late and with gaps, so a VM goes by the
//! prompts that it, and its peers as they tell, have sent.
//!
//! The endpoint drops the parts used least recently when its memory is short; so does this. The
//! memory that prompts under way take can't yield, so only [`YIELDING`] of it counts.

use wire::clock::Millis;

use crate::decay;

/// The share of an endpoint's memory that holds parts nobody works on: under high load running
/// prompts take the other half.
pub const YIELDING: f64 = 0.5;
/// The most parts that are remembered for an endpoint; at a thousand tokens each, several times
/// what fits its memory.
pub const MOST_PARTS: usize = 1024;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Names its content.
    pub id: u64,
    /// Its length.
    pub tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    part: Part,
    used: Millis,
}

/// The cache of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    /// In the order of the parts' ids.
    held: Vec<Held>,
    tokens: u64,
    room: u64,
}

impl Cache {
    /// Makes the empty cache of an endpoint with this much memory, in tokens.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "memories are some millions of tokens"
    )]
    pub fn new(memory: u64) -> Self {
        Self {
            room: (memory as f64 * YIELDING) as u64,
            ..Self::default()
        }
    }

    /// Yields how many tokens at the prompt's head are held: parts count up to the first gap.
    #[must_use]
    pub fn cached(&self, prompt: &[Part]) -> u64 {
        let known = prompt.iter().take_while(|part| self.find(part.id).is_ok());
        known.map(|part| part.tokens).sum()
    }

    /// Notes that the endpoint has read a prompt.
    pub fn note(&mut self, prompt: &[Part], now: Millis) {
        for part in prompt {
            match self.find(part.id) {
                Ok(at) => self.held[at].used = now,
                Err(at) => {
                    let held = Held {
                        part: *part,
                        used: now,
                    };
                    self.held.insert(at, held);
                    self.tokens += part.tokens;
                }
            }
        }
        self.shrink();
    }

    fn find(&self, id: u64) -> Result<usize, usize> {
        self.held.binary_search_by_key(&id, |held| held.part.id)
    }

    /// Drops the parts used least recently, an eighth at a time, so that not each note sorts.
    fn shrink(&mut self) {
        if self.tokens <= self.room && self.held.len() <= MOST_PARTS {
            return;
        }
        let mut ages: Vec<Millis> = self.held.iter().map(|held| held.used).collect();
        ages.sort_unstable();
        let oldest = ages[ages.len() / 8];
        self.held.retain(|held| held.used > oldest);
        self.tokens = self.held.iter().map(|held| held.part.tokens).sum();
    }
}

/// How many endpoints more than its share of the work would fill are presumed to hold a first part:
/// with just its share, each of them would have to be as fast as the middle one and take nothing
/// else.
pub const SPREAD: f64 = 2.0;
/// The fewest endpoints that are presumed to hold it: one may be away and one full.
pub const MIN_HOLDERS: usize = 3;
/// In this time a turn counts half as much for its first part's share of the work: some hundred
/// turns of a VM in a large deployment, and short beside the hours in which demand moves.
const DEMAND_HALF: Millis = Millis::new(10_000);
/// The most first parts whose demand is followed; rarer ones need no more than the fewest.
const MOST_FOLLOWED: usize = 256;

/// How much of a pool's work each first part asks for, as one VM sees it.
///
/// The client's balancer spreads the work over the VMs, so that each sees about the same shares.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    /// In the order of the parts' ids, at most [`MOST_FOLLOWED`].
    counts: Vec<Count>,
    total: f64,
    /// When a turn was noted last.
    at: Millis,
}

/// The turns that begin with one part, as they weighed when the last of them was noted.
#[derive(Clone, Copy, Debug)]
struct Count {
    first: u64,
    turns: f64,
    at: Millis,
}

impl Count {
    fn weigh(&self, now: Millis) -> f64 {
        self.turns * decay::remaining_weight(now.since(self.at), DEMAND_HALF)
    }
}

impl Demand {
    /// Notes a turn that begins with a part.
    pub fn note(&mut self, first: u64, now: Millis) {
        self.total = self.total * decay::remaining_weight(now.since(self.at), DEMAND_HALF) + 1.0;
        self.at = now;
        if let Ok(at) = self.find(first) {
            let count = &mut self.counts[at];
            count.turns = count.weigh(now) + 1.0;
            count.at = now;
            return;
        }
        if self.counts.len() >= MOST_FOLLOWED {
            self.counts.retain(|count| count.weigh(now) > 1.0);
        }
        if self.counts.len() >= MOST_FOLLOWED {
            return;
        }
        let count = Count {
            first,
            turns: 1.0,
            at: now,
        };
        let at = self.counts.partition_point(|count| count.first < first);
        self.counts.insert(at, count);
    }

    fn find(&self, first: u64) -> Result<usize, usize> {
        self.counts
            .binary_search_by_key(&first, |count| count.first)
    }

    /// Yields how many of so many endpoints should hold a first part.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a pool has some hundreds of endpoints"
    )]
    pub fn holders(&self, first: u64, endpoints: usize) -> usize {
        let found = self.find(first);
        let count = found.map_or(0.0, |at| self.counts[at].weigh(self.at));
        let share = count / self.total.max(1.0);
        let wanted = (share * endpoints as f64 * SPREAD).ceil() as usize;
        wanted.max(MIN_HOLDERS).min(endpoints)
    }
}

/// Yields for each endpoint of a pool, named by a number that never changes, whether it is presumed
/// to hold a prompt's first part, as `holders` of them are.
///
/// Answers many VMs before many endpoints. What one VM has sent says little of what the others
/// have; each would send the first turn of a program, whose long first part is shared, to any idle
/// endpoint, until every endpoint has read every first part. Rendezvous hashing has all VMs choose
/// the same few for a part without a message. Where VMs differ by one or two holders, the smaller
/// set lies within the larger one.
///
/// Few parts may ask for most of the work. With as few holders for such a part as for any other,
/// most turns went to a tenth of the endpoints while the others idled.
#[must_use]
pub fn presumed_holders(first: u64, endpoints: &[u64], holders: usize) -> Vec<bool> {
    if endpoints.len() <= holders {
        return vec![false; endpoints.len()];
    }
    let mut weights: Vec<u64> = endpoints.iter().map(|of| weight(first, *of)).collect();
    let by_endpoint = weights.clone();
    weights.sort_unstable_by(|a, b| b.cmp(a));
    let least = weights[holders - 1];
    by_endpoint.iter().map(|weight| *weight >= least).collect()
}

/// Mixes a part with an endpoint (the finalizer of `SplitMix64`).
fn weight(part: u64, endpoint: u64) -> u64 {
    let mut z = part.rotate_left(32) ^ endpoint;
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}

#[cfg(test)]
mod tests;
