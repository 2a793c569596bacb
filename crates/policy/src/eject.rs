//! Which endpoints get no work for a while, by what they do.
//!
//! Answers a slow or failing endpoint. Without it an endpoint that fails fast looks idle and draws
//! all the work; one that has become slow holds its calls, and with them whole programs.
//!
//! An endpoint that is slower than others is no fault: [`crate::place`] gives it less. Only one
//! that is slower than hardware explains, or that fails, is ejected: it gets nothing for a span that
//! doubles each time, then a share that grows as in [`crate::slow_start`]. At most [`MAX_SHARE`] of the
//! endpoints are out at once, the worst first: when many seem to fail, the cause is common to them
//! (the network, this VM, a poisoned request), and the rest couldn't carry the load.

use wire::clock::Millis;

use crate::slow_start;

/// The most endpoints that are out at once, as a share. The rest has to carry their load: at 0.7
/// of the endpoints a fleet that runs at 0.7 of its capacity is just full.
pub const MAX_SHARE: f64 = 0.3;
/// Failures in a row that eject. Two happen by chance: one poisoned request that is tried twice;
/// three from different calls don't.
pub const FAILURES: u32 = 3;
/// How many times slower than the median ejects. The users' back ends differ widely in speed, up
/// to some three times between generations of accelerators; four isn't explained by that.
pub const SLOW: f64 = 4.0;
/// Calls that must have ended before slowness counts; fewer are too much up to chance.
pub const SAMPLES: u32 = 5;
/// The weight of the latest call in an endpoint's pace: some five calls make the figure.
pub const FRESH: f64 = 0.2;
/// How long the first ejection lasts; a restart of an engine takes longer, so it doubles.
pub const FIRST_SPAN: Millis = Millis::new(5_000);
/// The longest ejection: an endpoint that was mended is used again within that time.
pub const MAX_SPAN: Millis = Millis::new(120_000);

/// What a call showed of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sample {
    /// It ended well.
    Done {
        /// Milliseconds for each token generated.
        pace: f64,
    },
    /// The endpoint failed it, broke it off, or made no progress on it.
    Failed,
}

/// Whether an endpoint gets work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It gets its share, which grows after an ejection.
    In {
        /// Since when.
        since: Millis,
    },
    /// It is ejected.
    Out {
        /// Until when.
        until: Millis,
    },
}

/// What one VM has seen of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Detector {
    state: State,
    pace: f64,
    samples: u32,
    failures: u32,
    ejections: u32,
}

/// A change that [`sweep`] made, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The endpoint's place in the list.
    pub index: usize,
    /// What became of it.
    pub kind: Kind,
}

/// What became of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// It was ejected for failures.
    Failing {
        /// Failures in a row.
        failures: u32,
    },
    /// It was ejected for slowness.
    Slow {
        /// How many times slower than the median.
        times: f64,
    },
    /// It comes back.
    Back,
}

impl Detector {
    /// Builds the detector of an endpoint that is in good standing since `since`; a new endpoint's
    /// share grows from then, so pass the time of its discovery, or zero at the VM's own start.
    #[must_use]
    pub const fn new(since: Millis) -> Self {
        Self {
            state: State::In { since },
            pace: 0.0,
            samples: 0,
            failures: 0,
            ejections: 0,
        }
    }

    /// Yields whether the endpoint gets work.
    #[must_use]
    pub const fn state(&self) -> State {
        self.state
    }

    /// Yields the milliseconds a token that the endpoint takes; `None` before a call has ended.
    #[must_use]
    pub fn pace(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.pace)
    }

    /// Yields the share of its slots that may be used.
    #[must_use]
    pub fn share(&self, now: Millis) -> f64 {
        match self.state {
            State::In { since } => slow_start::share(since, now),
            State::Out { .. } => 0.0,
        }
    }

    /// Takes in what a call showed.
    pub fn note(&mut self, sample: Sample) {
        match sample {
            Sample::Failed => self.failures += 1,
            Sample::Done { pace } => {
                self.failures = 0;
                self.pace = match self.samples {
                    0 => pace,
                    _ => self.pace + FRESH * (pace - self.pace),
                };
                self.samples = self.samples.saturating_add(1);
            }
        }
    }

    fn eject(&mut self, now: Millis) {
        let span = FIRST_SPAN.as_u64() << self.ejections.min(10);
        let until = now.plus(Millis::new(span).min(MAX_SPAN));
        self.ejections += 1;
        self.state = State::Out { until };
    }

    fn take_back(&mut self, now: Millis) {
        self.state = State::In { since: now };
        self.samples = 0;
        self.failures = 0;
    }

    /// Forgets earlier ejections once the endpoint has its full share without a new one.
    fn forgive(&mut self, now: Millis) {
        let full = self.share(now) >= 1.0;
        if full && self.samples >= SAMPLES && self.failures == 0 {
            self.ejections = 0;
        }
    }

    fn fault(&self, median: Option<f64>) -> Option<Kind> {
        if self.failures >= FAILURES {
            return Some(Kind::Failing {
                failures: self.failures,
            });
        }
        let times = self.pace / median?;
        let slow = self.samples >= SAMPLES && times >= SLOW;
        slow.then_some(Kind::Slow { times })
    }
}

/// Ejects and takes back the endpoints of one pool (those that serve the same model); to be called
/// about once a second.
pub fn sweep(detectors: &mut [Detector], now: Millis) -> Vec<Change> {
    let mut changes = Vec::new();
    for (index, detector) in detectors.iter_mut().enumerate() {
        match detector.state {
            State::Out { until } if until <= now => {
                detector.take_back(now);
                changes.push(Change {
                    index,
                    kind: Kind::Back,
                });
            }
            State::Out { .. } => {}
            State::In { .. } => detector.forgive(now),
        }
    }
    let out = detectors.iter().filter(|d| is_out(d)).count();
    let left = most_out(detectors.len()).saturating_sub(out);
    for (index, kind) in worst_first(detectors).into_iter().take(left) {
        detectors[index].eject(now);
        changes.push(Change { index, kind });
    }
    changes
}

/// Yields how many of a pool's endpoints may be out at once: none of one, one of two or three.
#[must_use]
pub fn most_out(endpoints: usize) -> usize {
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a pool has some hundreds of endpoints"
    )]
    let share = (endpoints as f64 * MAX_SHARE) as usize;
    share.max(1).min(endpoints.saturating_sub(1))
}

fn worst_first(detectors: &[Detector]) -> Vec<(usize, Kind)> {
    let median = median_pace(detectors);
    let mut faults: Vec<(usize, Kind)> = detectors
        .iter()
        .enumerate()
        .filter(|(_, detector)| !is_out(detector))
        .filter_map(|(index, detector)| Some((index, detector.fault(median)?)))
        .collect();
    faults.sort_by(|a, b| badness(&b.1).total_cmp(&badness(&a.1)));
    faults
}

/// Orders faults: failing ones before slow ones, each by its extent.
fn badness(kind: &Kind) -> f64 {
    match kind {
        Kind::Failing { failures } => 1e9 + f64::from(*failures),
        Kind::Slow { times } => *times,
        Kind::Back => 0.0,
    }
}

fn median_pace(detectors: &[Detector]) -> Option<f64> {
    let known = detectors.iter().filter(|d| d.samples >= SAMPLES);
    let mut paces: Vec<f64> = known.map(|d| d.pace).collect();
    paces.sort_by(f64::total_cmp);
    paces.get(paces.len() / 2).copied()
}

fn is_out(detector: &Detector) -> bool {
    matches!(detector.state, State::Out { .. })
}

#[cfg(test)]
mod tests;
