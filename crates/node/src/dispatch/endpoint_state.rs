//! What this VM knows about one endpoint from its own calls and the endpoint's load reports: the
//! calls in flight, those that ended since the last report, the speed, and how many calls fail.

use policy::class::Class;
use policy::eject::Detector;
use policy::eject::Sample;
use policy::own_calls::Calls;
use policy::place;
use policy::place::Candidate;
use policy::place::Lane;
use settings::config::Endpoint;
use settings::config::Kind;
use wire::clock::Millis;
use wire::id;

use crate::view::Load;

/// Whether a call's content is suspected of crashing endpoints.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Content {
    /// It isn't suspected.
    #[default]
    Plain,
    /// An endpoint crashed while it ran the call. An endpoint runs at most one such call at a time,
    /// so that an innocent call isn't there when the one at fault crashes the next endpoint.
    Suspect,
}

/// Assumed tokens per second of an endpoint that has neither reported nor shown its speed. This is
/// the speed of a slow runner, so that an unknown endpoint isn't preferred to a known one.
const DEFAULT_SPEED: f64 = 20.0;
/// Prompt tokens that are prefilled in the time of one generated token. Prefill is batched over the
/// prompt; runners report no figure for it.
const PREFILL_SPEED_RATIO: f64 = 50.0;
/// How long an endpoint gets no calls after it was unreachable, or refused a call without a retry
/// time. This is about the delay of the load reports and of the platform's list, which show the
/// endpoint's state after that time.
pub const DEFAULT_PAUSE: Millis = Millis::new(1_000);

/// What this VM knows about one endpoint.
#[derive(Clone, Debug)]
pub struct State {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Detects from its calls whether it fails or is slow.
    pub detector: Detector,
    /// The number of queued calls that wait for this endpoint, counted in the last pass over the
    /// queue.
    pub waiting_calls: u32,
    /// This VM's calls at the endpoint, which correct the last load report.
    own_calls: Calls,
    /// Its reported speed in tokens per second, smoothed; 0 before the first report with a speed.
    speed: f64,
    /// When the endpoint made the last report with a speed.
    reported_at: Millis,
    /// Until when it gets no calls.
    paused_until: Millis,
    /// How many of the calls in flight are suspected of crashing endpoints.
    suspect_calls: u32,
}

impl State {
    /// Creates the state of an endpoint that this VM has known since `since`.
    #[must_use]
    pub fn new(endpoint: id::Endpoint, since: Millis) -> Self {
        Self {
            endpoint,
            detector: Detector::new(since),
            waiting_calls: 0,
            own_calls: Calls::default(),
            speed: 0.0,
            reported_at: Millis::ZERO,
            paused_until: Millis::ZERO,
            suspect_calls: 0,
        }
    }

    /// Records that a call is sent.
    pub fn record_sent(&mut self, now: Millis, content: Content) {
        self.own_calls.record_sent(now);
        self.suspect_calls += u32::from(content == Content::Suspect);
    }

    /// Records that the call sent at `sent_at` has ended.
    pub fn record_ended(
        &mut self,
        sent_at: Millis,
        now: Millis,
        content: Content,
        sample: Option<Sample>,
    ) {
        let suspect_calls = u32::from(content == Content::Suspect);
        self.suspect_calls = self.suspect_calls.saturating_sub(suspect_calls);
        self.own_calls.record_ended(sent_at, now);
        if let Some(sample) = sample {
            self.detector.note(sample);
        }
    }

    /// Sends the endpoint no calls until `until`.
    pub fn pause(&mut self, until: Millis) {
        self.paused_until = self.paused_until.max(until);
    }

    /// Records the endpoint's last load report. Recording the same report again has no effect.
    pub fn record_report(&mut self, load: &Load) {
        self.own_calls.record_report(load.at);
        if load.at <= self.reported_at || load.speed <= 0.0 {
            return;
        }
        self.reported_at = load.at;
        if self.speed <= 0.0 {
            self.speed = load.speed;
        }
        self.speed = place::smoothed(self.speed, load.speed);
    }

    /// Returns whether a call in flight is suspected of crashing endpoints.
    #[must_use]
    pub fn has_suspect(&self) -> bool {
        self.suspect_calls > 0
    }

    /// Returns how many of this VM's calls are in flight at the endpoint.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.own_calls.in_flight()
    }

    /// Returns the endpoint as a placement candidate, or `None` if it may get no calls. The caller
    /// sets the lane, which depends on the other endpoints.
    #[must_use]
    pub fn candidate(
        &self,
        endpoint: &Endpoint,
        load: Option<&Load>,
        cached: u64,
        now: Millis,
    ) -> Option<Candidate> {
        if now < self.paused_until || load.is_some_and(|load| !load.up || load.leaving) {
            return None;
        }
        let measured = self.detector.pace().map(|pace| 1_000.0 / pace.max(0.001));
        let speed = match endpoint.kind {
            Kind::Runner if self.speed > 0.0 => self.speed,
            _ => measured.unwrap_or(DEFAULT_SPEED),
        };
        Some(Candidate {
            slots: endpoint.slots,
            reported: load.map_or(0, |load| load.running.saturating_add(load.waiting)),
            sent: u32::try_from(self.own_calls.sent_since_report()).unwrap_or(u32::MAX),
            ended: u32::try_from(self.own_calls.ended_since_report()).unwrap_or(u32::MAX),
            in_flight: u32::try_from(self.own_calls.in_flight()).unwrap_or(u32::MAX),
            claimed: self.waiting_calls,
            speed,
            prefill: speed * PREFILL_SPEED_RATIO,
            cached,
            share: self.detector.share(now),
            lane: Lane::Shared,
            network_cost: 0.0,
        })
    }
}

/// Converts the class of the configuration to that of crate `policy`.
#[must_use]
pub fn policy_class(class: settings::config::Class) -> Class {
    match class {
        settings::config::Class::Urgent => Class::Urgent,
        settings::config::Class::Routine => Class::Routine,
    }
}

#[cfg(test)]
mod tests;
