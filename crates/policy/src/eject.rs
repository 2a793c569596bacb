//! Ejects endpoints that fail or are slow, based on the outcome of their calls (outlier ejection).
//!
//! Without ejection, an endpoint that fails fast looks idle and attracts all calls; one that has
//! become slow holds up its calls and with them whole programs.
//!
//! An endpoint that is merely slower than others isn't faulty: [`crate::place`] gives it fewer
//! calls. An endpoint is ejected only if it fails, or is slower than differences in hardware
//! explain. It gets no calls for a time that doubles with each ejection, then a share that grows as
//! in [`crate::slow_start`]. At most [`MAX_EJECTED_SHARE`] of the endpoints are ejected at once,
//! the worst first: when many seem to fail, they have a common cause (the network, this VM, a
//! request that crashes endpoints), and the rest couldn't carry the load.

use wire::clock::Millis;

use crate::slow_start;

/// Largest share of the endpoints that is ejected at once. The rest has to carry their load: with
/// 0.7 of its endpoints, a fleet that runs at 0.7 of its capacity is exactly full.
pub const MAX_EJECTED_SHARE: f64 = 0.3;
/// Consecutive failures after which an endpoint is ejected. Two happen by chance, when one request
/// that crashes endpoints is tried twice; three from different calls don't.
pub const FAILURE_THRESHOLD: u32 = 3;
/// An endpoint this many times slower than the median is ejected. The users' endpoints differ
/// widely in speed, by up to about three times between generations of accelerators; four times
/// isn't explained by that.
pub const SLOWNESS_THRESHOLD: f64 = 4.0;
/// Completed calls that are needed before slowness counts; fewer depend too much on chance.
pub const MIN_SAMPLES: u32 = 5;
/// Weight of the latest call in an endpoint's pace: the pace is an average over about five calls.
pub const LATEST_WEIGHT: f64 = 0.2;
/// Duration of the first ejection. An engine takes longer to restart, so the duration doubles with
/// each further ejection.
pub const FIRST_EJECTION: Millis = Millis::new(5_000);
/// Longest ejection: a repaired endpoint is used again within this time.
pub const MAX_EJECTION: Millis = Millis::new(120_000);

/// The outcome of a call, as far as it concerns the endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sample {
    /// It succeeded.
    Done {
        /// Milliseconds per generated token.
        pace: f64,
    },
    /// The endpoint failed it, aborted it, or made no progress on it.
    Failed,
}

/// Whether an endpoint gets calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It gets its share of calls, which grows after an ejection.
    Active {
        /// Start of this state.
        since: Millis,
    },
    /// It is ejected.
    Ejected {
        /// End of the ejection.
        until: Millis,
    },
}

/// What one VM has observed of one endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Detector {
    state: State,
    pace: f64,
    samples: u32,
    failures: u32,
    ejections: u32,
}

/// A change made by [`sweep`], for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The endpoint's index in the list.
    pub index: usize,
    /// What happened to it.
    pub kind: Kind,
}

/// What happened to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// It was ejected because of failures.
    Failing {
        /// Consecutive failures.
        failures: u32,
    },
    /// It was ejected because it is slow.
    Slow {
        /// How many times slower than the median it is.
        times: f64,
    },
    /// It is used again.
    Back,
}

impl Detector {
    /// Creates the detector of an endpoint that has been in normal operation since `since`. A new
    /// endpoint's share grows from then on, so pass the time of its discovery, or zero for
    /// endpoints known when the VM starts.
    #[must_use]
    pub const fn new(since: Millis) -> Self {
        Self {
            state: State::Active { since },
            pace: 0.0,
            samples: 0,
            failures: 0,
            ejections: 0,
        }
    }

    /// Returns whether the endpoint gets calls.
    #[must_use]
    pub const fn state(&self) -> State {
        self.state
    }

    /// Returns the endpoint's milliseconds per token; `None` before a call has succeeded.
    #[must_use]
    pub fn pace(&self) -> Option<f64> {
        (self.samples > 0).then_some(self.pace)
    }

    /// Returns the share of its slots that may be used.
    #[must_use]
    pub fn share(&self, now: Millis) -> f64 {
        match self.state {
            State::Active { since } => slow_start::share(since, now),
            State::Ejected { .. } => 0.0,
        }
    }

    /// Records the outcome of a call.
    pub fn note(&mut self, sample: Sample) {
        match sample {
            Sample::Failed => self.failures += 1,
            Sample::Done { pace } => {
                self.failures = 0;
                self.pace = match self.samples {
                    0 => pace,
                    _ => self.pace + LATEST_WEIGHT * (pace - self.pace),
                };
                self.samples = self.samples.saturating_add(1);
            }
        }
    }

    fn eject(&mut self, now: Millis) {
        let duration = FIRST_EJECTION.as_u64() << self.ejections.min(10);
        let until = now.plus(Millis::new(duration).min(MAX_EJECTION));
        self.ejections += 1;
        self.state = State::Ejected { until };
    }

    fn restore(&mut self, now: Millis) {
        self.state = State::Active { since: now };
        self.samples = 0;
        self.failures = 0;
    }

    /// Forgets earlier ejections once the endpoint has its full share again and has enough samples
    /// without failures.
    fn reset_ejections(&mut self, now: Millis) {
        let full = self.share(now) >= 1.0;
        if full && self.samples >= MIN_SAMPLES && self.failures == 0 {
            self.ejections = 0;
        }
    }

    fn fault(&self, median: Option<f64>) -> Option<Kind> {
        if self.failures >= FAILURE_THRESHOLD {
            return Some(Kind::Failing {
                failures: self.failures,
            });
        }
        let times = self.pace / median?;
        let slow = self.samples >= MIN_SAMPLES && times >= SLOWNESS_THRESHOLD;
        slow.then_some(Kind::Slow { times })
    }
}

/// Ejects and restores the endpoints of one pool (those that serve the same model). Must be called
/// about once a second.
pub fn sweep(detectors: &mut [Detector], now: Millis) -> Vec<Change> {
    let mut changes = Vec::new();
    for (index, detector) in detectors.iter_mut().enumerate() {
        match detector.state {
            State::Ejected { until } if until <= now => {
                detector.restore(now);
                changes.push(Change {
                    index,
                    kind: Kind::Back,
                });
            }
            State::Ejected { .. } => {}
            State::Active { .. } => detector.reset_ejections(now),
        }
    }
    let ejected = detectors.iter().filter(|d| is_ejected(d)).count();
    let allowed = max_ejected(detectors.len()).saturating_sub(ejected);
    for (index, kind) in worst_first(detectors).into_iter().take(allowed) {
        detectors[index].eject(now);
        changes.push(Change { index, kind });
    }
    changes
}

/// Returns how many endpoints of a pool may be ejected at once: none of one, one of two or three.
#[must_use]
pub fn max_ejected(endpoints: usize) -> usize {
    #[expect(
        clippy::cast_precision_loss,
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a pool has some hundreds of endpoints"
    )]
    let share = (endpoints as f64 * MAX_EJECTED_SHARE) as usize;
    share.max(1).min(endpoints.saturating_sub(1))
}

fn worst_first(detectors: &[Detector]) -> Vec<(usize, Kind)> {
    let median = median_pace(detectors);
    let mut faults: Vec<(usize, Kind)> = detectors
        .iter()
        .enumerate()
        .filter(|(_, detector)| !is_ejected(detector))
        .filter_map(|(index, detector)| Some((index, detector.fault(median)?)))
        .collect();
    faults.sort_by(|a, b| severity(&b.1).total_cmp(&severity(&a.1)));
    faults
}

/// Returns the sort key of faults: failures before slowness, each by its extent.
fn severity(kind: &Kind) -> f64 {
    match kind {
        Kind::Failing { failures } => 1e9 + f64::from(*failures),
        Kind::Slow { times } => *times,
        Kind::Back => 0.0,
    }
}

fn median_pace(detectors: &[Detector]) -> Option<f64> {
    let measured = detectors.iter().filter(|d| d.samples >= MIN_SAMPLES);
    let mut paces: Vec<f64> = measured.map(|d| d.pace).collect();
    paces.sort_by(f64::total_cmp);
    paces.get(paces.len() / 2).copied()
}

fn is_ejected(detector: &Detector) -> bool {
    matches!(detector.state, State::Ejected { .. })
}

#[cfg(test)]
mod tests;
