//! What this VM knows of one endpoint from its own calls: which run, which ended since the last
//! load report, and how well they went.

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

/// What is known of a call's content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Content {
    /// Nothing speaks against it.
    #[default]
    Plain,
    /// An endpoint crashed while it ran the call. Such calls are kept apart from each other, so
    /// that one that is innocent isn't there when the guilty one crashes the next.
    Suspect,
}

/// Tokens a second reckoned with before an endpoint has reported or shown its speed: a slow
/// runner, so that an unknown one isn't preferred to a known one.
const SPEED: f64 = 20.0;
/// Prompt tokens prefilled in the time of one generated token. Prefill is batched over the prompt;
/// runners report no figure for it.
const PREFILL: f64 = 50.0;
/// How long an endpoint gets nothing after it couldn't be reached or refused without saying for
/// how long; about the lag of the load reports and the list, which then tell.
pub const PAUSE: Millis = Millis::new(1_000);

/// What this VM knows of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointState {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// What its calls have shown.
    pub detector: Detector,
    /// Calls that wait for it, as of the last look at the queue.
    pub claimed: u32,
    /// This VM's calls there, beside the last report.
    ledger: Calls,
    /// Its speed as reported, smoothed; 0 before the first report that names one.
    speed: f64,
    /// When the last report was made.
    reported: Millis,
    /// Until when it gets nothing.
    paused: Millis,
    /// How many of the running calls are under suspicion of crashing endpoints.
    suspects: u32,
}

impl EndpointState {
    /// Begins to keep an endpoint's state.
    #[must_use]
    pub fn new(endpoint: id::Endpoint, since: Millis) -> Self {
        Self {
            endpoint,
            detector: Detector::new(since),
            claimed: 0,
            ledger: Calls::default(),
            speed: 0.0,
            reported: Millis::ZERO,
            paused: Millis::ZERO,
            suspects: 0,
        }
    }

    /// Counts a call that is sent.
    pub fn begin(&mut self, now: Millis, content: Content) {
        self.ledger.record_sent(now);
        self.suspects += u32::from(content == Content::Suspect);
    }

    /// Counts the end of a call that was sent at `began`.
    pub fn end(&mut self, began: Millis, now: Millis, content: Content, sample: Option<Sample>) {
        let suspects = u32::from(content == Content::Suspect);
        self.suspects = self.suspects.saturating_sub(suspects);
        self.ledger.record_ended(began, now);
        if let Some(sample) = sample {
            self.detector.note(sample);
        }
    }

    /// Gives the endpoint nothing until then.
    pub fn pause(&mut self, until: Millis) {
        self.paused = self.paused.max(until);
    }

    /// Takes the endpoint's last report in; one that was taken in before changes nothing.
    pub fn report(&mut self, load: &Load) {
        self.ledger.record_report(load.at);
        if load.at <= self.reported || load.speed <= 0.0 {
            return;
        }
        self.reported = load.at;
        if self.speed <= 0.0 {
            self.speed = load.speed;
        }
        self.speed = place::smoothed(self.speed, load.speed);
    }

    /// Tells whether a call runs there that is under suspicion of crashing endpoints.
    #[must_use]
    pub fn has_suspect(&self) -> bool {
        self.suspects > 0
    }

    /// Yields how many of this VM's calls run there.
    #[must_use]
    pub fn running(&self) -> usize {
        self.ledger.in_flight()
    }

    /// Yields the endpoint as placement sees it, but for its lane, which depends on the others;
    /// `None` where it may get nothing.
    #[must_use]
    pub fn candidate(
        &self,
        endpoint: &Endpoint,
        load: Option<&Load>,
        cached: u64,
        now: Millis,
    ) -> Option<Candidate> {
        if now < self.paused || load.is_some_and(|load| !load.up || load.leaving) {
            return None;
        }
        let shown = self.detector.pace().map(|pace| 1_000.0 / pace.max(0.001));
        let speed = match endpoint.kind {
            Kind::Runner if self.speed > 0.0 => self.speed,
            _ => shown.unwrap_or(SPEED),
        };
        Some(Candidate {
            slots: endpoint.slots,
            reported: load.map_or(0, |load| load.running.saturating_add(load.waiting)),
            sent: u32::try_from(self.ledger.sent_since_report()).unwrap_or(u32::MAX),
            ended: u32::try_from(self.ledger.ended_since_report()).unwrap_or(u32::MAX),
            claimed: self.claimed,
            speed,
            prefill: speed * PREFILL,
            cached,
            share: self.detector.share(now),
            lane: Lane::Shared,
            network_cost: 0.0,
        })
    }
}

/// Converts the operators' class to the policy's.
#[must_use]
pub fn class(class: settings::config::Class) -> Class {
    match class {
        settings::config::Class::Urgent => Class::Urgent,
        settings::config::Class::Routine => Class::Routine,
    }
}

#[cfg(test)]
mod tests;
