//! Which endpoints a request avoids because a connection to them may hang, before its VM has lost the
//! time of an attempt.
//!
//! The load is a data centre that is cut off, or an endpoint without power: nothing refuses a
//! connection, so each VM would find out by itself, with one request that waits in vain for each
//! endpoint. Callers that are moved to other VMs during a cut would pay again there.
//!
//! Two rules keep requests from that. An attempt that takes many times as long as connections to that
//! data centre usually do goes on beside the requests, which go elsewhere meanwhile ([`Path`]). And VMs
//! tell each other which endpoints were silent. A hearer believes neither that nor its opposite for long:
//! a VM that is cut off alone would take good endpoints from all others. So the hearer checks an endpoint
//! with an attempt of its own when it would next use it, and the request goes elsewhere meanwhile
//! ([`Knowledge`]). What it has reached itself since the silence began, it doesn't suspect. Several
//! silences in a data centre are taken for a cut ([`is_cut_off`]). No request is
//! refused for a suspicion: if all endpoints are suspected, they are used as ever.

use wire::clock::Millis;

/// How long after a silence began VMs tell of it: the attempt that found it, and three messages on the
/// way to all VMs, twice.
pub const TOLD_FOR: Millis = Millis::new(1_000);
/// How long a silence that others told is remembered without a check: about as long as a cut for which
/// callers are moved. Remembered for too long, it costs a VM one check.
pub const MAX_AGE: Millis = Millis::new(10_000);
/// The most attempts of a VM that check what others told, at once. More endpoints wait for a later
/// request, and are avoided meanwhile.
pub const MAX_CHECKS: usize = 8;
/// Number of endpoints of a data centre that others found silent from which it is taken for cut off.
const MIN_TOLD: u32 = 2;
/// Multiple of the usual time of a connection after which an attempt is slow. Beyond a few round trips a
/// packet was lost, and is sent again only after the longest time that an attempt may take.
const SLOW_FACTOR: f64 = 8.0;
/// The shortest time after which an attempt is slow: the pauses of processes that run on a small share of
/// a processor.
const MIN_FIRST_WAIT_MS: f64 = 25.0;
/// Weight of the latest connection in the usual time.
const LATEST_WEIGHT: f64 = 0.125;

/// What an attempt to connect to an endpoint showed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Nothing answered.
    Silent,
    /// The endpoint answered.
    Reached,
}

/// What a VM found out about an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// What it found.
    pub evidence: Evidence,
    /// When the endpoint answered, or when the first attempt to which it was silent began.
    pub at: Millis,
}

impl Report {
    /// Returns whether other VMs need to hear it.
    #[must_use]
    pub fn is_news(&self, now: Millis) -> bool {
        now.since(self.at) < TOLD_FOR
    }

    /// Returns whether it is a silence that is remembered.
    fn is_silence(&self, now: Millis) -> bool {
        self.evidence == Evidence::Silent && now.since(self.at) < MAX_AGE
    }
}

/// Whether an endpoint gets requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It does.
    Trusted,
    /// Others found it silent since then, so it is checked before it gets any.
    Suspected(Millis),
    /// An attempt has been under way since then and may still fail.
    Checked(Millis),
}

/// What one VM knows of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Knowledge {
    /// The latest report that others told.
    told: Option<Report>,
    /// When this VM last reached the endpoint.
    reached_at: Option<Millis>,
    /// What this VM found that others don't know.
    own_news: Option<Report>,
    /// An attempt that may still fail, and when it is over at the latest.
    attempt: Option<Attempt>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Attempt {
    since: Millis,
    until: Millis,
}

impl Knowledge {
    /// Records that the endpoint answered this VM, which others hear if any VM told that it was silent.
    pub fn note_reached(&mut self, now: Millis) {
        if self.has_told_silent() || self.told_silence(now).is_some() {
            self.own_news = Some(Report {
                evidence: Evidence::Reached,
                at: now,
            });
        }
        self.reached_at = Some(now);
        self.attempt = None;
    }

    /// Records that nothing answered an attempt of this VM that began at `since`. Others hear it if it is
    /// the first since the endpoint answered, and nobody else has told.
    pub fn note_silent(&mut self, since: Millis, now: Millis) {
        self.attempt = None;
        if !self.has_told_silent() && self.told_silence(now).is_none() {
            self.own_news = Some(Report {
                evidence: Evidence::Silent,
                at: since,
            });
        }
    }

    /// Records what another VM told. Returns whether it is newer than what others told before.
    pub fn note_told(&mut self, report: Report) -> bool {
        let is_newer = self.told.is_none_or(|told| report.at > told.at);
        if is_newer {
            self.told = Some(report);
        }
        is_newer
    }

    /// Records an attempt that began at `since` and is over by `until`.
    pub fn begin_attempt(&mut self, since: Millis, until: Millis) {
        self.attempt = Some(Attempt { since, until });
    }

    /// Returns whether the endpoint gets requests.
    #[must_use]
    pub fn verdict(&self, now: Millis) -> Verdict {
        match self.attempt {
            Some(attempt) if now < attempt.until => Verdict::Checked(attempt.since),
            Some(_) | None => match self.told_silence(now) {
                Some(since) => Verdict::Suspected(since),
                None => Verdict::Trusted,
            },
        }
    }

    fn has_told_silent(&self) -> bool {
        let last = self.own_news;
        last.is_some_and(|report| report.evidence == Evidence::Silent)
    }

    /// Returns since when the endpoint is silent by the last thing that others told; `None` if this VM has
    /// reached it since.
    fn told_silence(&self, now: Millis) -> Option<Millis> {
        let told = self.told.filter(|told| told.is_silence(now))?;
        let reached = self.reached_at.is_some_and(|reached| reached >= told.at);
        (!reached).then_some(told.at)
    }

    /// Returns what this VM found that others need to hear.
    #[must_use]
    pub fn own_news(&self, now: Millis) -> Option<Report> {
        self.own_news.filter(|report| report.is_news(now))
    }

    /// Returns what others told, if it needs to be passed on.
    #[must_use]
    pub fn told_news(&self, now: Millis) -> Option<Report> {
        self.told.filter(|report| report.is_news(now))
    }
}

/// Returns whether a data centre is taken for cut off, from the verdicts on its endpoints and when one of them
/// last answered: none of them is trusted then. One attempt under way is enough, which is soon over; one
/// silence that others told is not, as it may be the endpoint's own.
#[must_use]
pub fn is_cut_off(verdicts: impl IntoIterator<Item = Verdict>, last_answer: Millis) -> bool {
    let (mut checked, mut told) = (0, 0);
    for verdict in verdicts {
        match verdict {
            Verdict::Checked(since) if since > last_answer => checked += 1,
            Verdict::Suspected(since) if since > last_answer => told += 1,
            Verdict::Checked(_) | Verdict::Suspected(_) | Verdict::Trusted => {}
        }
    }
    checked > 0 || told >= MIN_TOLD
}

/// How long connections to the endpoints of a data centre take.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Path {
    usual_ms: Option<f64>,
}

impl Path {
    /// Records how long a connection took.
    pub fn note(&mut self, span_ms: f64) {
        self.usual_ms = Some(match self.usual_ms {
            None => span_ms,
            Some(usual) => usual + LATEST_WEIGHT * (span_ms - usual),
        });
    }

    /// Returns for how many milliseconds a request waits for a connection before it goes elsewhere; `None`
    /// if no connection has been made.
    #[must_use]
    pub fn first_wait_ms(&self) -> Option<f64> {
        let usual = self.usual_ms?;
        Some((usual * SLOW_FACTOR).max(MIN_FIRST_WAIT_MS))
    }
}

#[cfg(test)]
mod tests;
