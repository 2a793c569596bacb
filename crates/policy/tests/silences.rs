//! Plays the load that `reachability` answers: endpoints that turn silent, many VMs that each have few
//! turns, and callers that are moved to other VMs two seconds after a cut. Compares ways to find out. Seeds
//! are fixed, so the results are deterministic; `--nocapture` prints them.

use std::collections::BTreeMap;

use policy::reachability;
use policy::reachability::Evidence;
use policy::reachability::Knowledge;
use policy::reachability::Path;
use policy::reachability::Report;
use policy::reachability::Verdict;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use wire::clock::Millis;

const VMS: usize = 121;
const ENDPOINTS: usize = 44;
const CENTRES: usize = 3;
const TURNS_PER_MS: f64 = 0.7;
/// What a connection takes.
const CONNECT_MS: u32 = 4;
const TIMEOUT_MS: u64 = 250;
/// After which a request on a kept connection breaks.
const UNACKED_MS: u64 = 650;
const RETRY_MS: u64 = 250;
const QUIET_MS: u64 = 300;
const IDLE_MS: u64 = 4_000;
/// How late VMs hear of each other at most.
const LAG_MS: u64 = 370;
/// How long a hearer avoids an endpoint that it doesn't check.
const LEASE_MS: u64 = 2_000;
const WARM_MS: u64 = 5_000;
const FAULT_MS: u64 = 5_000;
const MOVED_MS: u64 = 2_000;
const END_MS: u64 = 13_000;

/// How VMs find out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    /// Each by itself, with attempts that take as long as they may.
    Alone,
    /// The same, but a request goes elsewhere after a short first wait.
    FirstWait,
    /// Others tell, and the hearer avoids the endpoint for a while.
    Lease,
    /// Others tell, and the hearer checks the endpoint at once.
    CheckAtOnce,
    /// Others tell, and the hearer checks the endpoint when it would next use it.
    CheckBeforeUse,
    /// The same, and with the short first wait.
    Both,
}

impl Way {
    fn waits_first(self) -> bool {
        matches!(self, Self::FirstWait | Self::Both)
    }

    fn hears(self) -> bool {
        !matches!(self, Self::Alone | Self::FirstWait)
    }
}

/// What goes wrong between [`WARM_MS`] and [`FAULT_MS`] later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    Nothing,
    /// The last data centre is cut off; its callers move.
    Centre,
    /// One VM reaches no endpoint, but the other VMs.
    LoneVm,
    /// The first and second data centre don't reach the third one's endpoints; its VMs reach all.
    OneWay,
    /// Two endpoints are silent for half of each second.
    Flapping,
}

impl Fault {
    fn is_up(self, vm: usize, endpoint: usize, now: u64) -> bool {
        if !(WARM_MS..WARM_MS + FAULT_MS).contains(&now) {
            return true;
        }
        let is_cut = |index: usize| index % CENTRES == CENTRES - 1;
        match self {
            Self::Nothing => true,
            Self::Centre => is_cut(vm) == is_cut(endpoint),
            Self::LoneVm => vm != 0,
            Self::OneWay => is_cut(vm) || !is_cut(endpoint),
            Self::Flapping => endpoint > 1 || now % 1_000 >= 500,
        }
    }

    /// Returns whether a VM hears another one.
    fn hears(self, from: usize, to: usize, now: u64) -> bool {
        let is_cut = |index: usize| index % CENTRES == CENTRES - 1;
        let during = (WARM_MS..WARM_MS + FAULT_MS).contains(&now);
        self != Self::Centre || !during || is_cut(from) == is_cut(to)
    }
}

#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Outcome {
    turns: u32,
    /// Turns that lost a whole connection attempt.
    lost_attempt: u32,
    /// Turns on a kept connection that broke without a word.
    hung: u32,
    /// Turns that went elsewhere though their endpoint could be reached.
    detours: u32,
    lost_ms: u64,
    /// Connections that were made beside the requests.
    checks: u32,
    /// The most reports that a VM told within a second.
    reports: u32,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Turn {
        vm: usize,
        tries: u32,
        lost: u64,
    },
    /// An attempt that began at `since` ends; nobody waits for it if it's a check.
    Settle {
        vm: usize,
        endpoint: usize,
        since: u64,
    },
    Retry {
        vm: usize,
        endpoint: usize,
    },
    Hear {
        vm: usize,
        endpoint: usize,
        report: Report,
    },
}

#[derive(Clone, Debug, Default)]
struct View {
    knowledge: Knowledge,
    unreachable: bool,
    last_contact: u64,
    kept_until: u64,
    leased_until: u64,
}

struct Play {
    way: Way,
    fault: Fault,
    draws: ChaCha8Rng,
    views: Vec<Vec<View>>,
    paths: Vec<Path>,
    events: BTreeMap<(u64, u64), Event>,
    number: u64,
    told: Vec<Vec<u64>>,
    outcome: Outcome,
}

fn millis(at: u64) -> Millis {
    Millis::new(at)
}

impl Play {
    fn new(way: Way, fault: Fault) -> Self {
        Self {
            way,
            fault,
            draws: ChaCha8Rng::seed_from_u64(7),
            views: vec![vec![View::default(); ENDPOINTS]; VMS],
            paths: vec![Path::default(); VMS],
            events: BTreeMap::new(),
            number: 0,
            told: vec![Vec::new(); VMS],
            outcome: Outcome::default(),
        }
    }

    fn at(&mut self, at: u64, event: Event) {
        self.number += 1;
        self.events.insert((at, self.number), event);
    }

    fn run(mut self) -> Outcome {
        let mut arrivals = ChaCha8Rng::seed_from_u64(11);
        for now in 0..END_MS {
            if arrivals.random_bool(TURNS_PER_MS) {
                let vm = arrivals.random_range(0..VMS);
                let moves = self.fault == Fault::Centre
                    && vm % CENTRES == CENTRES - 1
                    && (WARM_MS + MOVED_MS..WARM_MS + FAULT_MS).contains(&now);
                let other = 1 + usize::from(now % 2 == 1);
                let vm = if moves { vm - other } else { vm };
                self.at(
                    now,
                    Event::Turn {
                        vm,
                        tries: 0,
                        lost: 0,
                    },
                );
            }
        }
        while let Some(((now, _), event)) = self.events.pop_first() {
            match event {
                Event::Turn { vm, tries, lost } => self.turn(vm, tries, lost, now),
                Event::Settle {
                    vm,
                    endpoint,
                    since,
                } => self.settle(vm, endpoint, since, now),
                Event::Retry { vm, endpoint } => self.retry(vm, endpoint, now),
                Event::Hear {
                    vm,
                    endpoint,
                    report,
                } => self.hear(vm, endpoint, report, now),
            }
        }
        for told in &self.told {
            let from = told.iter();
            let most = from.map(|from| {
                let second = *from..from + 1_000;
                told.iter().filter(|at| second.contains(at)).count()
            });
            let most = most.max();
            let most = u32::try_from(most.unwrap_or(0)).unwrap_or(u32::MAX);
            self.outcome.reports = self.outcome.reports.max(most);
        }
        self.outcome
    }

    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "some milliseconds"
    )]
    fn turn(&mut self, vm: usize, tries: u32, lost: u64, now: u64) {
        let Some(endpoint) = self.choose(vm, now) else {
            return;
        };
        let up = self.fault.is_up(vm, endpoint, now);
        let is_kept = self.views[vm][endpoint].kept_until > now;
        if up {
            self.reach(vm, endpoint, now);
            if !is_kept {
                self.paths[vm].note(f64::from(CONNECT_MS));
            }
            self.outcome.turns += 1;
            self.outcome.lost_ms += lost;
            return;
        }
        let (waits, breaks) = match self.paths[vm].first_wait_ms() {
            _ if is_kept => (UNACKED_MS, now + UNACKED_MS + TIMEOUT_MS),
            Some(wait) if self.way.waits_first() => (wait as u64, now + TIMEOUT_MS),
            Some(_) | None => (TIMEOUT_MS, now + TIMEOUT_MS),
        };
        self.outcome.hung += u32::from(is_kept);
        self.outcome.lost_attempt += u32::from(waits == TIMEOUT_MS);
        if waits < TIMEOUT_MS {
            let until = millis(now + TIMEOUT_MS);
            let known = &mut self.views[vm][endpoint].knowledge;
            known.begin_attempt(millis(now), until);
        }
        let since = breaks - TIMEOUT_MS;
        self.at(
            breaks,
            Event::Settle {
                vm,
                endpoint,
                since,
            },
        );
        if tries < 3 {
            let lost = lost + waits;
            let tries = tries + 1;
            self.at(now + waits, Event::Turn { vm, tries, lost });
        }
    }

    /// Chooses an endpoint; checks the one that would have been chosen if it is suspected.
    fn choose(&mut self, vm: usize, now: u64) -> Option<usize> {
        let usable = (0..ENDPOINTS).filter(|endpoint| !self.views[vm][*endpoint].unreachable);
        let usable: Vec<usize> = usable.collect();
        let first = *usable.get(self.draws.random_range(0..ENDPOINTS) % usable.len().max(1))?;
        let trusted = usable
            .iter()
            .copied()
            .filter(|at| self.is_trusted(vm, *at, now));
        let trusted: Vec<usize> = trusted.collect();
        if trusted.is_empty() || trusted.contains(&first) {
            return Some(first);
        }
        if self.fault.is_up(vm, first, now) {
            self.outcome.detours += 1;
        }
        let verdict = self.views[vm][first].knowledge.verdict(millis(now));
        if self.way != Way::Lease && !matches!(verdict, Verdict::Checked(_)) {
            self.check(vm, first, now);
        }
        Some(trusted[self.draws.random_range(0..trusted.len())])
    }

    fn is_trusted(&self, vm: usize, endpoint: usize, now: u64) -> bool {
        let view = &self.views[vm][endpoint];
        if self.way == Way::Lease {
            return view.leased_until <= now;
        }
        let centre = (endpoint % CENTRES..ENDPOINTS).step_by(CENTRES);
        let verdicts = centre
            .clone()
            .map(|at| self.views[vm][at].knowledge.verdict(millis(now)));
        let last_answer = centre.map(|at| self.views[vm][at].last_contact).max();
        view.knowledge.verdict(millis(now)) == Verdict::Trusted
            && !reachability::is_cut_off(verdicts, millis(last_answer.unwrap_or(0)))
    }

    fn check(&mut self, vm: usize, endpoint: usize, now: u64) {
        let until = millis(now + TIMEOUT_MS);
        let known = &mut self.views[vm][endpoint].knowledge;
        known.begin_attempt(millis(now), until);
        let ends = if self.fault.is_up(vm, endpoint, now) {
            now + u64::from(CONNECT_MS)
        } else {
            now + TIMEOUT_MS
        };
        self.at(
            ends,
            Event::Settle {
                vm,
                endpoint,
                since: now,
            },
        );
    }

    fn settle(&mut self, vm: usize, endpoint: usize, since: u64, now: u64) {
        if self.fault.is_up(vm, endpoint, now) {
            self.outcome.checks += 1;
            self.reach(vm, endpoint, now);
            return;
        }
        let view = &mut self.views[vm][endpoint];
        view.knowledge.note_silent(millis(since), millis(now));
        view.kept_until = 0;
        let was_unreachable = std::mem::replace(&mut view.unreachable, true);
        self.tell(vm, endpoint, now);
        if was_unreachable {
            return;
        }
        self.at(now + RETRY_MS, Event::Retry { vm, endpoint });
        for beside in (endpoint % CENTRES..ENDPOINTS).step_by(CENTRES) {
            let view = &mut self.views[vm][beside];
            if view.unreachable || now - view.last_contact < QUIET_MS {
                continue;
            }
            if self.way.hears() || self.way.waits_first() {
                self.check(vm, beside, now);
            } else {
                let event = Event::Settle {
                    vm,
                    endpoint: beside,
                    since: now,
                };
                self.at(now + TIMEOUT_MS, event);
            }
        }
    }

    fn retry(&mut self, vm: usize, endpoint: usize, now: u64) {
        if self.fault.is_up(vm, endpoint, now) {
            self.outcome.checks += 1;
            self.reach(vm, endpoint, now);
        } else {
            self.at(now + RETRY_MS, Event::Retry { vm, endpoint });
        }
    }

    fn reach(&mut self, vm: usize, endpoint: usize, now: u64) {
        let view = &mut self.views[vm][endpoint];
        view.knowledge.note_reached(millis(now));
        view.unreachable = false;
        view.last_contact = now;
        view.kept_until = now + IDLE_MS;
        self.tell(vm, endpoint, now);
    }

    /// Tells the other VMs what is news, each at a time of its own.
    fn tell(&mut self, vm: usize, endpoint: usize, now: u64) {
        let news = self.views[vm][endpoint].knowledge.own_news(millis(now));
        let Some(report) = news.filter(|_| self.way.hears()) else {
            return;
        };
        let is_new = millis(now).since(report.at) <= millis(TIMEOUT_MS);
        if !is_new || (report.evidence == Evidence::Reached && report.at != millis(now)) {
            return;
        }
        self.told[vm].push(now);
        for other in (0..VMS).filter(|other| *other != vm) {
            if self.fault.hears(vm, other, now) {
                let late = self.draws.random_range(60..LAG_MS);
                self.at(
                    now + late,
                    Event::Hear {
                        vm: other,
                        endpoint,
                        report,
                    },
                );
            }
        }
    }

    fn hear(&mut self, vm: usize, endpoint: usize, report: Report, now: u64) {
        let view = &mut self.views[vm][endpoint];
        if !view.knowledge.note_told(report) {
            return;
        }
        match (self.way, report.evidence) {
            (Way::Lease, Evidence::Silent) => view.leased_until = now + LEASE_MS,
            (Way::Lease, Evidence::Reached) => view.leased_until = 0,
            (Way::CheckAtOnce, Evidence::Silent)
                if matches!(view.knowledge.verdict(millis(now)), Verdict::Suspected(_)) =>
            {
                self.check(vm, endpoint, now);
            }
            _ => {}
        }
    }
}

fn play(way: Way, fault: Fault) -> Outcome {
    let outcome = Play::new(way, fault).run();
    println!("{fault:<9?} {way:<15?} {outcome:?}");
    outcome
}

/// Guards against turns that lose a connection attempt each in a cut of which other VMs know, and against
/// ways that keep only a part of them from it.
#[test]
fn in_a_cut_no_turn_loses_a_whole_attempt() {
    let alone = play(Way::Alone, Fault::Centre);
    let first_wait = play(Way::FirstWait, Fault::Centre);
    play(Way::Lease, Fault::Centre);
    play(Way::CheckAtOnce, Fault::Centre);
    let check = play(Way::CheckBeforeUse, Fault::Centre);
    let both = play(Way::Both, Fault::Centre);
    assert!(alone.lost_attempt > 100, "{alone:?}");
    assert_eq!(first_wait.lost_attempt + both.lost_attempt, 0);
    assert!(both.hung < first_wait.hung, "{both:?} {first_wait:?}");
    assert!(both.lost_ms < first_wait.lost_ms && both.lost_ms < check.lost_ms);
    assert!(both.lost_ms * 2 < alone.lost_ms);
}

/// Guards against one VM with a broken path that takes good endpoints from all others, and against checks
/// that cost more connections than the fault.
#[rstest]
#[case::lone(Fault::LoneVm)]
#[case::one_way(Fault::OneWay)]
#[case::flapping(Fault::Flapping)]
fn what_others_tell_in_error_costs_little(#[case] fault: Fault) {
    let alone = play(Way::Alone, fault);
    play(Way::FirstWait, fault);
    let lease = play(Way::Lease, fault);
    let at_once = play(Way::CheckAtOnce, fault);
    play(Way::CheckBeforeUse, fault);
    let both = play(Way::Both, fault);
    assert!(both.lost_ms <= alone.lost_ms);
    assert!(both.detours < both.turns / 20, "{both:?}");
    if fault == Fault::LoneVm {
        assert!(both.detours * 2 < lease.detours);
        assert!(both.checks < at_once.checks);
    }
}

/// Guards against anything that is told, checked or avoided in quiet times.
#[test]
fn in_quiet_times_nothing_differs() {
    let alone = play(Way::Alone, Fault::Nothing);
    for way in [Way::FirstWait, Way::CheckBeforeUse, Way::Both] {
        assert_eq!(play(way, Fault::Nothing), alone);
    }
    assert_eq!((alone.detours, alone.checks, alone.reports), (0, 0, 0));
}
