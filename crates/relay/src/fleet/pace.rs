//! What VMs tell each other of how fast endpoints were, with each exchange.
//!
//! A VM measures an endpoint with its own answers only, and presumes the median of the pool of those that it
//! has few answers of. Where there are dozens of VMs, each gets an answer of an endpoint every few seconds,
//! so its median rests on a few of them; one that has just started, or all after a loss of power, has
//! none. So VMs tell each other their means and the weights of these, which add up to the mean of all,
//! and the median is that of all VMs' means.
//!
//! Each VM goes on comparing endpoints by its own means. If all went by the same ones, all would send to the
//! fastest endpoints until they hear, too late, that these are full.
//!
//! VMs pass on what they hear by the rules for all figures ([`crate::tally::is_forwarded`]), so no
//! sample counts twice. Only means that have changed lately are told; nothing is confirmed or repeated.

use policy::decaying_mean::Mean;
use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;

use crate::fleet::Fleet;
use crate::fleet::short_hash;
use crate::tally::Origin;

/// For how long after a change a mean is told: some exchanges, so that a lost message matters little.
const NEWS_SPAN: Millis = Millis::new(300);
/// The weight in samples below which what others told is forgotten.
const MIN_WEIGHT: f64 = 0.05;
/// The most means that a message holds, those of the highest weights: about a kilobyte and a half.
const MAX_TOLD: usize = 128;
/// Parts of a millisecond in which means are told.
const PARTS: f64 = 1_000.0;
/// Parts of a sample in which weights are told.
const WEIGHT_PARTS: f64 = 10.0;

/// A mean as VMs tell it. Encoded by position, so the order of fields must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Hash of the endpoint's id.
    pub runner: u32,
    /// Thousandths of a millisecond for each token, or for each request of a plain service.
    pub pace: u32,
    /// Tenths of a sample.
    pub weight: u32,
}

/// How fast an endpoint was.
#[derive(Clone, Debug, Default)]
pub(super) struct Known {
    /// By this VM's own answers.
    own: Mean,
    /// By those of others, as they told.
    told: Vec<(Origin, Mean)>,
}

impl Known {
    /// Records what an answer of this VM showed.
    pub(super) fn note_own(&mut self, pace: f64, now: Millis) {
        self.own.add(pace, now);
    }

    fn note_told(&mut self, origin: &Origin, told: Mean, now: Millis) {
        let is_kept =
            |known: &(Origin, Mean)| known.0 != *origin && weight(&known.1, now) > MIN_WEIGHT;
        self.told.retain(is_kept);
        self.told.push((origin.clone(), told));
    }

    /// Returns the mean of this VM's samples.
    pub(super) fn own(&self, now: Millis) -> Mean {
        self.own.decayed_to(now)
    }

    /// Returns the mean of all VMs' samples. What a hub told of all others and what they told themselves are
    /// the same samples, so the one of the higher weight counts.
    pub(super) fn all(&self, now: Millis) -> Mean {
        let from_hub = self.sum(now, |origin| *origin == Origin::Others);
        let one_by_one = self.sum(now, |origin| *origin != Origin::Others);
        let others = if weight(&from_hub, now) > weight(&one_by_one, now) {
            from_hub
        } else {
            one_by_one
        };
        self.own.plus(&others, now)
    }

    fn sum(&self, now: Millis, counts: impl Fn(&Origin) -> bool) -> Mean {
        let counted = self.told.iter().filter(|(origin, _)| counts(origin));
        counted.fold(Mean::default(), |sum, (_, mean)| sum.plus(mean, now))
    }

    /// Returns the mean of this VM's samples and of those of the origins that `speaks_for` selects, if it
    /// changed lately.
    fn news(&self, now: Millis, speaks_for: impl Fn(&Origin) -> bool) -> Option<(f64, f64)> {
        let told = self.told.iter().filter(|(origin, _)| speaks_for(origin));
        let changed = told.map(|(_, mean)| mean.updated());
        let changed_at = changed.fold(self.own.updated(), Millis::max);
        if now.since(changed_at) >= NEWS_SPAN {
            return None;
        }
        self.own.plus(&self.sum(now, speaks_for), now).value()
    }
}

fn weight(mean: &Mean, now: Millis) -> f64 {
    let value = mean.decayed_to(now).value();
    value.map_or(0.0, |(_, weight)| weight)
}

impl Fleet {
    /// Returns the means that others need to hear: of this VM's samples and of those that the origins told
    /// which `speaks_for` selects. Sorted by runner.
    #[must_use]
    pub fn paces_told(&self, now: Millis, speaks_for: impl Fn(&Origin) -> bool) -> Vec<Told> {
        let told = self.runners.iter().filter_map(|runner| {
            let (pace, weight) = runner.pace.news(now, &speaks_for)?;
            Some(Told {
                runner: short_hash(runner.id_hash),
                pace: rounded(pace * PARTS),
                weight: rounded(weight * WEIGHT_PARTS),
            })
        });
        let mut told: Vec<Told> = told.filter(|told| told.weight > 0).collect();
        if told.len() > MAX_TOLD {
            told.sort_by_key(|told| std::cmp::Reverse(told.weight));
            told.truncate(MAX_TOLD);
        }
        told.sort_by_key(|told| told.runner);
        told
    }

    /// Records means that another VM told.
    pub fn note_paces(&mut self, origin: &Origin, told: &[Told], now: Millis) {
        for runner in &mut self.runners {
            let hash = short_hash(runner.id_hash);
            if let Ok(index) = told.binary_search_by_key(&hash, |told| told.runner) {
                let pace = f64::from(told[index].pace) / PARTS;
                let weight = f64::from(told[index].weight) / WEIGHT_PARTS;
                let mean = Mean::of(pace, weight, now);
                runner.pace.note_told(origin, mean, now);
            }
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the conversion saturates"
)]
const fn rounded(value: f64) -> u32 {
    value.round() as u32
}
