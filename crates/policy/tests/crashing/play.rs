//! Callers, VMs and endpoints that crash, on a virtual clock in steps of a millisecond.

use policy::crash::Content;
use policy::crash::Incarnation;
use policy::crash::Ledger;
use policy::crash::Outcome;
use policy::crash::Report;
use policy::crash::Scope;
use policy::crash::Verdict;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wire::clock::Millis;

use super::culprit::ATTEMPTS;
use super::culprit::Culprit;
use super::culprit::Request;

/// Length of a play in milliseconds.
const PLAY_MS: u64 = 120_000;
/// Endpoints of the service.
const ENDPOINTS: usize = 5;
/// How long an endpoint is away after a crash, in milliseconds.
const AWAY_MS: u64 = 3_000;
/// How long after it began the culprit an endpoint crashes, in milliseconds.
const CRASH_MS: u64 = 80;
/// How long it takes until other VMs know what one of them saw, in milliseconds.
const TELL_MS: u64 = 80;
/// How long a caller waits before its next attempt, at another VM, in milliseconds.
const PAUSE_MS: u64 = 100;
/// Attempts of a caller.
const TRIES: u32 = 2;
/// When the culprit comes for the first time, in milliseconds.
pub const CULPRIT_AT: u64 = 10_000;
/// The mean time between two programs that ask for the culprit, in milliseconds.
const CULPRIT_MS: u64 = 1_000;
/// How many contents are asked for by many callers, and which share of requests asks for one, in
/// percent.
const SHARED_CONTENTS: u64 = 4;
const SHARED_PERCENT: u32 = 5;
/// Share of requests whose answers get lost while their endpoint goes on, in percent.
const LOST_PERCENT: u32 = 3;

/// What the endpoints have to do, and what happens to them.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// How long an endpoint works on a request, in milliseconds.
    pub work_ms: u64,
    /// The mean time between two requests of others, in milliseconds.
    pub arrival_ms: u64,
    pub culprits: &'static [Culprit],
    /// The time between two crashes that no content causes, in milliseconds.
    pub crash_ms: u64,
}

/// A way to find the culprit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Nothing is remembered.
    None,
    /// So many breaks end a content, whatever their reason.
    Breaks(usize),
    /// So many crashes end it.
    Crashes(usize),
    /// `policy::crash` with requests that have nothing in common unless they are the same.
    Exact,
    /// The same with all requests to a resource as the same one.
    Resource,
    /// The same with each width of a request as a suspect of its own.
    Flat,
    /// `policy::crash`.
    Widths,
}

/// What happened in a play.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Endpoints that crashed under the culprit.
    pub crashed: u32,
    /// Requests of others.
    pub others: u32,
    /// Requests of others that were served in the end.
    pub served: u32,
    /// Requests of others that were refused for their content.
    pub refused: u32,
}

#[derive(Clone, Copy, Debug)]
struct Run {
    request: Request,
    endpoint: usize,
    incarnation: u64,
    ends_at: u64,
    runs: u32,
    tries: u32,
}

/// The next attempt of a caller.
#[derive(Clone, Copy, Debug)]
struct Repeat {
    request: Request,
    tries: u32,
    at: u64,
}

/// An attempt that waits until its refusal is settled.
#[derive(Clone, Copy, Debug)]
struct Doubted {
    request: Request,
    runs: u32,
    tries: u32,
    at: u64,
}

#[derive(Clone, Copy, Debug)]
struct Seen {
    request: Request,
    outcome: Outcome,
    is_crash: bool,
    known_at: u64,
}

/// Counts by content, for the ways without a ledger.
#[derive(Default)]
struct Counts(Vec<(Content, Vec<u64>)>);

impl Counts {
    fn of(&mut self, content: Content) -> &mut Vec<u64> {
        let index = match self.0.binary_search_by_key(&content, |(known, _)| *known) {
            Ok(index) => index,
            Err(index) => {
                self.0.insert(index, (content, Vec::new()));
                index
            }
        };
        &mut self.0[index].1
    }
}

struct Play {
    way: Way,
    load: Load,
    rng: ChaCha8Rng,
    now: u64,
    /// Per endpoint: the number of its life, and until when it is away.
    lives: [(u64, u64); ENDPOINTS],
    under_way: Vec<Run>,
    repeats: Vec<Repeat>,
    doubted: Vec<Doubted>,
    seen: Vec<Seen>,
    ledger: Ledger,
    counts: Counts,
    totals: Totals,
    next_content: u128,
}

pub fn play(way: Way, load: Load, seed: u64) -> Totals {
    let mut play = Play {
        way,
        load,
        rng: ChaCha8Rng::seed_from_u64(seed),
        now: 0,
        lives: [(0, 0); ENDPOINTS],
        under_way: Vec::new(),
        repeats: Vec::new(),
        doubted: Vec::new(),
        seen: Vec::new(),
        ledger: Ledger::default(),
        counts: Counts::default(),
        totals: Totals::default(),
        next_content: 1_000,
    };
    while play.now < PLAY_MS {
        play.step();
        play.now += 1;
    }
    play.totals
}

impl Play {
    fn happens(&mut self, mean_ms: u64) -> bool {
        self.rng.random_range(0..mean_ms) == 0
    }

    fn step(&mut self) {
        self.learn();
        self.finish();
        if self.now.is_multiple_of(self.load.crash_ms) {
            let number = self.now / self.load.crash_ms;
            self.crash(usize::try_from(number).unwrap_or_default() % ENDPOINTS);
        }
        if self.happens(self.load.arrival_ms) {
            let request = Request::innocent(self.other_content());
            self.totals.others += 1;
            self.send(request, 0, 0);
        }
        for (number, culprit) in (1..).zip(self.load.culprits) {
            if self.now > CULPRIT_AT * number && self.happens(CULPRIT_MS) {
                self.next_content += 1;
                self.send(culprit.request(self.next_content), 0, 0);
            }
        }
        let now = self.now;
        let repeated: Vec<Repeat> = self.repeats.extract_if(.., |next| next.at <= now).collect();
        for next in repeated {
            self.send(next.request, 0, next.tries);
        }
        let settled: Vec<Doubted> = self.doubted.extract_if(.., |next| next.at <= now).collect();
        for next in settled {
            self.send_or_refuse(next.request, next.runs, next.tries);
        }
    }

    fn other_content(&mut self) -> u128 {
        if self.rng.random_range(0..100) < SHARED_PERCENT {
            return u128::from(self.rng.random_range(0..SHARED_CONTENTS));
        }
        self.next_content += 1;
        self.next_content
    }

    /// Tells the VMs what one of them saw a while ago.
    fn learn(&mut self) {
        let now = self.time();
        let due: Vec<Seen> = self
            .seen
            .extract_if(.., |seen| seen.known_at <= self.now)
            .collect();
        for seen in due {
            if seen.is_crash {
                for (content, wider) in self.suspects(seen.request) {
                    let report = Report {
                        content,
                        wider,
                        outcome: seen.outcome,
                        age: Millis::ZERO,
                    };
                    self.ledger.note(report, now);
                }
            }
            match (self.way, seen.outcome) {
                (Way::Crashes(_), _) if !seen.is_crash => {}
                (Way::Breaks(_) | Way::Crashes(_), Outcome::Crashed(Incarnation(number))) => {
                    let known = self.counts.of(seen.request.content);
                    if !known.contains(&number) {
                        known.push(number);
                    }
                }
                _ => {}
            }
        }
    }

    fn time(&self) -> Millis {
        Millis::new(self.now + 1_000_000)
    }

    /// Returns until when a request waits as its refusal isn't settled.
    fn doubted_until(&self, request: Request) -> Option<u64> {
        let Request { content, wider, .. } = request;
        let wider = Some(wider);
        let Verdict::Refused(width) = self.ledger.verdict(content, wider) else {
            return None;
        };
        let rest = self
            .ledger
            .unsettled_for(content, wider, width, self.time());
        (rest > Millis::ZERO).then(|| self.now + rest.as_u64())
    }

    /// Returns what the ledger knows of a request.
    fn suspects(&self, request: Request) -> Vec<(Content, Option<Scope>)> {
        let Request { content, wider, .. } = request;
        match self.way {
            Way::None | Way::Breaks(_) | Way::Crashes(_) => Vec::new(),
            Way::Exact => vec![(content, None)],
            Way::Resource => vec![(wider.resource, None)],
            Way::Flat => vec![(content, None), (wider.body, None), (wider.resource, None)],
            Way::Widths => vec![(content, Some(wider))],
        }
    }

    fn is_refused(&mut self, request: Request) -> bool {
        if let Way::Breaks(limit) | Way::Crashes(limit) = self.way {
            return self.counts.of(request.content).len() >= limit;
        }
        let mut suspects = self.suspects(request).into_iter();
        suspects.any(|(content, wider)| self.ledger.verdict(content, wider) != Verdict::Allowed)
    }

    /// Sends a request, or has it wait first.
    fn send(&mut self, request: Request, runs: u32, tries: u32) {
        match self.doubted_until(request) {
            Some(at) if self.way == Way::Widths => self.doubted.push(Doubted {
                request,
                runs,
                tries,
                at,
            }),
            _ => self.send_or_refuse(request, runs, tries),
        }
    }

    /// Sends a request to the endpoint with the least work.
    fn send_or_refuse(&mut self, request: Request, runs: u32, tries: u32) {
        if self.is_refused(request) {
            self.totals.refused += u32::from(!request.is_culprit);
            return;
        }
        let work = |endpoint: &usize| {
            let runs = self.under_way.iter();
            runs.filter(|run| run.endpoint == *endpoint).count()
        };
        let alive = (0..ENDPOINTS).filter(|endpoint| self.lives[*endpoint].1 <= self.now);
        let Some(endpoint) = alive.min_by_key(work) else {
            return;
        };
        let span = if request.is_culprit {
            CRASH_MS
        } else {
            self.load.work_ms
        };
        self.under_way.push(Run {
            request,
            endpoint,
            incarnation: self.lives[endpoint].0,
            ends_at: self.now + span,
            runs: runs + 1,
            tries,
        });
    }

    fn finish(&mut self) {
        let now = self.now;
        let done: Vec<Run> = self
            .under_way
            .extract_if(.., |run| run.ends_at <= now)
            .collect();
        for run in done {
            if run.request.is_culprit {
                if self.lives[run.endpoint].0 == run.incarnation {
                    self.totals.crashed += 1;
                    self.under_way.push(run);
                    self.crash(run.endpoint);
                }
                continue;
            }
            if self.rng.random_range(0..100) < LOST_PERCENT {
                self.note_break(run, false);
                self.send_again(run);
                continue;
            }
            self.totals.served += 1;
            self.seen.push(Seen {
                request: run.request,
                outcome: Outcome::Completed,
                is_crash: true,
                known_at: now + TELL_MS,
            });
        }
    }

    fn crash(&mut self, endpoint: usize) {
        if self.lives[endpoint].1 > self.now {
            return;
        }
        self.lives[endpoint].0 += 1;
        self.lives[endpoint].1 = self.now + AWAY_MS;
        let lost: Vec<Run> = self
            .under_way
            .extract_if(.., |run| run.endpoint == endpoint)
            .collect();
        for run in lost {
            self.note_break(run, true);
            self.send_again(run);
        }
    }

    fn note_break(&mut self, run: Run, is_crash: bool) {
        let number = run.endpoint as u64 + run.incarnation * ENDPOINTS as u64;
        // A break that isn't a crash counts by itself.
        let number = if is_crash {
            number
        } else {
            1_000_000 + self.now
        };
        self.seen.push(Seen {
            request: run.request,
            outcome: Outcome::Crashed(Incarnation(number)),
            is_crash,
            known_at: if run.runs < ATTEMPTS {
                self.now
            } else {
                self.now + TELL_MS
            },
        });
        self.learn();
    }

    fn send_again(&mut self, run: Run) {
        if run.runs < ATTEMPTS {
            self.send(run.request, run.runs, run.tries);
        } else if run.tries + 1 < TRIES {
            self.repeats.push(Repeat {
                request: run.request,
                tries: run.tries + 1,
                at: self.now + PAUSE_MS,
            });
        }
    }
}
