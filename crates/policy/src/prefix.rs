//! Estimates what an endpoint's prefix cache holds, as far as one VM can know.
//!
//! This is for programs whose turns share long prompts. Without it, a turn goes to any free slot:
//! the endpoint prefills the program's whole history again, and during that time all its other
//! streams stop. Cache events from the endpoints arrive late and with gaps, so a VM relies on the
//! prompts that it has sent, and that its peers report to have sent.
//!
//! When its memory is short, an endpoint evicts the least recently used parts; so does this model.
//! Memory used by running prompts can't be evicted, so only [`EVICTABLE_SHARE`] of it counts.

use wire::clock::Millis;

use crate::decay;
use crate::rendezvous;

/// Share of an endpoint's memory that holds parts that no running call uses; under high load,
/// running prompts take the other half.
pub const EVICTABLE_SHARE: f64 = 0.5;
/// Most parts that are remembered for an endpoint. With a thousand tokens each, this is several
/// times what fits in its memory.
pub const MAX_PARTS: usize = 1024;

/// A part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identifies the part's content.
    pub id: u64,
    /// Length of the part.
    pub tokens: u64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    part: Part,
    last_used: Millis,
}

/// The estimated cache of one endpoint.
#[derive(Clone, Debug, Default)]
pub struct Cache {
    /// Sorted by part id.
    entries: Vec<Entry>,
    tokens: u64,
    capacity: u64,
}

impl Cache {
    /// Creates the empty cache of an endpoint with this much memory, in tokens.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "memories are some millions of tokens, far below 2^52"
    )]
    pub fn new(memory: u64) -> Self {
        Self {
            capacity: (memory as f64 * EVICTABLE_SHARE) as u64,
            ..Self::default()
        }
    }

    /// Returns how many tokens at the start of the prompt are cached: parts count up to the first
    /// gap.
    #[must_use]
    pub fn cached(&self, prompt: &[Part]) -> u64 {
        let known = prompt.iter().take_while(|part| self.find(part.id).is_ok());
        tokens(known)
    }

    /// Records that the endpoint has prefilled a prompt.
    pub fn note(&mut self, prompt: &[Part], now: Millis) {
        for part in prompt {
            match self.find(part.id) {
                Ok(at) => self.entries[at].last_used = now,
                Err(at) => {
                    let entry = Entry {
                        part: *part,
                        last_used: now,
                    };
                    self.entries.insert(at, entry);
                    self.tokens = self.tokens.saturating_add(part.tokens);
                }
            }
        }
        self.evict();
    }

    fn find(&self, id: u64) -> Result<usize, usize> {
        self.entries
            .binary_search_by_key(&id, |entry| entry.part.id)
    }

    /// Removes the least recently used parts, an eighth at a time, so that not every call of
    /// [`Self::note`] has to sort.
    fn evict(&mut self) {
        if self.tokens <= self.capacity && self.entries.len() <= MAX_PARTS {
            return;
        }
        let mut ages: Vec<Millis> = self.entries.iter().map(|entry| entry.last_used).collect();
        ages.sort_unstable();
        let oldest = ages[ages.len() / 8];
        self.entries.retain(|entry| entry.last_used > oldest);
        self.tokens = tokens(self.entries.iter().map(|entry| &entry.part));
    }
}

/// Returns how many tokens some parts have together. Callers may state any lengths.
pub(crate) fn tokens<'a>(parts: impl IntoIterator<Item = &'a Part>) -> u64 {
    let lengths = parts.into_iter().map(|part| part.tokens);
    lengths.fold(0, u64::saturating_add)
}

/// Factor by which the presumed holders of a first part exceed its share of the work. With exactly
/// its share, each of them would have to be as fast as the median endpoint and take no other calls.
pub const HOLDER_HEADROOM: f64 = 2.0;
/// Fewest presumed holders of a first part: one may be unavailable and one full.
pub const MIN_HOLDERS: usize = 3;
/// Half-life of a turn's weight in the demand for its first part: about a hundred turns of a VM in
/// a large deployment, and short compared with the hours in which demand shifts.
const DEMAND_HALF_LIFE: Millis = Millis::new(10_000);
/// Most first parts whose demand is tracked; rarer parts need no more than [`MIN_HOLDERS`].
const MAX_TRACKED: usize = 256;

/// The share of a pool's work that each first part accounts for, as one VM sees it.
///
/// The load balancer spreads the work over the VMs, so that each VM sees about the same shares.
#[derive(Clone, Debug)]
pub struct Demand {
    /// Sorted by part id, at most [`MAX_TRACKED`].
    counts: Vec<Count>,
    total: f64,
    /// When the last turn was recorded.
    updated: Millis,
    half_life: Millis,
}

impl Default for Demand {
    fn default() -> Self {
        Self::new(DEMAND_HALF_LIFE)
    }
}

/// The decayed count of turns that begin with one part, as of the last of them.
#[derive(Clone, Copy, Debug)]
struct Count {
    first: u64,
    turns: f64,
    updated: Millis,
}

impl Count {
    fn turns_at(&self, now: Millis, half_life: Millis) -> f64 {
        self.turns * decay::remaining_weight(now.since(self.updated), half_life)
    }
}

impl Demand {
    /// Creates a record without turns, in which a turn's weight has this half-life.
    #[must_use]
    pub fn new(half_life: Millis) -> Self {
        Self {
            counts: Vec::new(),
            total: 0.0,
            updated: Millis::ZERO,
            half_life,
        }
    }

    /// Records a turn that begins with a part.
    pub fn note(&mut self, first: u64, now: Millis) {
        self.total =
            self.total * decay::remaining_weight(now.since(self.updated), self.half_life) + 1.0;
        self.updated = now;
        if let Ok(at) = self.find(first) {
            let count = &mut self.counts[at];
            count.turns = count.turns_at(now, self.half_life) + 1.0;
            count.updated = now;
            return;
        }
        if self.counts.len() >= MAX_TRACKED {
            self.counts
                .retain(|count| count.turns_at(now, self.half_life) > 1.0);
        }
        if self.counts.len() >= MAX_TRACKED {
            return;
        }
        let count = Count {
            first,
            turns: 1.0,
            updated: now,
        };
        let at = self.counts.partition_point(|count| count.first < first);
        self.counts.insert(at, count);
    }

    fn find(&self, first: u64) -> Result<usize, usize> {
        self.counts
            .binary_search_by_key(&first, |count| count.first)
    }

    /// Returns the share of the turns that begin with a part, from 0 to 1; of `min_turns` turns while
    /// there are fewer.
    #[must_use]
    pub fn share(&self, first: u64, min_turns: f64) -> f64 {
        let found = self.find(first);
        let count = found.map_or(0.0, |at| {
            self.counts[at].turns_at(self.updated, self.half_life)
        });
        count / self.total.max(min_turns)
    }

    /// Returns how many of `endpoints` endpoints should hold a first part.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a pool has some hundreds of endpoints"
    )]
    pub fn holders(&self, first: u64, endpoints: usize) -> usize {
        let share = self.share(first, 1.0);
        let wanted = (share * endpoints as f64 * HOLDER_HEADROOM).ceil() as usize;
        wanted.max(MIN_HOLDERS).min(endpoints)
    }
}

/// Returns, for each endpoint of a pool, whether it is presumed to hold a prompt's first part.
///
/// `holders` endpoints are, or none if the pool has no more than that many. Each endpoint is
/// identified by a number that never changes.
///
/// This is for many VMs in front of many endpoints. The calls that one VM has sent say little about
/// those of the others. Each VM would send the first turn of a program, whose long first part is
/// shared, to any idle endpoint, until every endpoint has prefilled every first part. With
/// rendezvous hashing, all VMs choose the same few endpoints for a part without exchanging
/// messages. If VMs differ in the number of holders by one or two, the smaller set is a subset of
/// the larger one.
///
/// The number of holders depends on the demand because a few parts may account for most of the
/// work: with as few holders for such a part as for any other, most turns went to a tenth of the
/// endpoints while the others were idle.
#[must_use]
pub fn presumed_holders(first: u64, endpoints: &[u64], holders: usize) -> Vec<bool> {
    if endpoints.len() <= holders {
        return vec![false; endpoints.len()];
    }
    let mut weights: Vec<u64> = endpoints
        .iter()
        .map(|endpoint| rendezvous::weight(first, *endpoint))
        .collect();
    let by_endpoint = weights.clone();
    weights.sort_unstable_by(|a, b| b.cmp(a));
    let threshold = weights[holders - 1];
    by_endpoint
        .iter()
        .map(|weight| *weight >= threshold)
        .collect()
}

#[cfg(test)]
mod tests;
