//! Tracks whether enough members (VMs with a disk) answer this VM, and decides when turns are
//! refused because they don't.
//!
//! A turn needs a majority of the members. In a data centre that is cut off, every turn would wait
//! in vain, and its caller would come back to the same VM until the load balancer sends the caller
//! elsewhere. So the VM checks the members often, reports itself as not ready to the load balancer
//! after the first failed check, refuses turns at once from the second failed check on, and asks
//! their callers to come back when the load balancer is expected to have noticed.
//!
//! Members that answer may still be catching up with a new list. After a usual change all VMs see that for some
//! hundred milliseconds, and none may be missing then. If it lasts longer, the VM reports itself as not
//! ready, as other VMs may reach members that have caught up, but serves the turns that it can: a member that
//! is catching up returns what it holds.
//!
//! A turn whose records can't be read or whose tokens can't be reserved makes the VM suspect its
//! members. Their disks may be slow while they still answer. Counting the members as lost then
//! would refuse turns and break off answers that only have to wait. So a suspicion counts as one
//! failed check, however many turns raise it, and a check is made at once to confirm or clear it.

mod refusals;

use std::fmt;
use std::time::Duration;

use policy::balancer;
use replica::client::Coverage;
use replica::client::Fault;
use replica::client::Reach;
use wire::clock::Millis;
use wire::event::Event;

use crate::member_health::refusals::Refusals;
use crate::node::Node;

/// How long the members may take to answer a check. They usually answer within a few milliseconds;
/// one that is busy with many records takes some tens of milliseconds.
pub const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Consecutive failed checks after which turns are refused; a suspicion counts as one. A single
/// check may fail because two members pause.
const LOST_AFTER: u32 = 2;
/// The longest time that a restarting member is away: its process is started again after a short
/// delay. Members that are away for longer are cut off or down, for an unknown time.
const MAX_RESTART_TIME: Millis = Millis::new(1_000);
/// How long too few members may have caught up before the load balancer is told. They need up to 0.8 s where too
/// few others answer at once, and about as long again if one of them asks once more.
const MAX_CATCH_UP_TIME: Millis = Millis::new(1_500);
/// The most VMs that a log line names.
const MAX_NAMED_VMS: usize = 12;
/// The retry delay of a refused turn that needs no other VM: about the time in which a member
/// restarts, or in which a slow disk finishes its work.
pub const RETRY_DELAY: Millis = Millis::new(300);
/// The retry delay once the load balancer should have noticed that the VM isn't ready.
const RETRY_DELAY_NOTICED: Millis = Millis::new(100);

/// Checks whether enough members answer, and logs changes.
pub async fn check(node: &Node) -> Coverage {
    let version = node.replicas.list().version;
    let reach = node.replicas.reachable(CHECK_TIMEOUT).await;
    let now = node.clock.now();
    let seen = Seen::new(version, &reach);
    let changed = {
        let mut health = node.member_health();
        health.seen = seen;
        health.record_check(reach.coverage, now)
    };
    match reach.coverage {
        Coverage::Full | Coverage::CatchingUp if changed => {
            log_reach(Event::MembersRegained, seen, &reach);
        }
        Coverage::CatchingUp if node.member_health().should_log_behind(now) => {
            log_reach(Event::MembersBehind, seen, &reach);
        }
        Coverage::TooFew if reach.members > 0 && node.member_health().should_log_silent() => {
            log_reach(Event::MembersLost, seen, &reach);
        }
        Coverage::Full | Coverage::CatchingUp | Coverage::TooFew => {}
    }
    refusals::log_end(node, now);
    reach.coverage
}

/// Returns why a turn is refused, and what the last check found: in few words, as collectors truncate long lines.
#[must_use]
pub fn detail(node: &Node, fault: &Fault) -> String {
    let case = match fault {
        Fault::TooFew => "too few",
        Fault::NoList => "no list",
        Fault::CatchingUp => "catching up",
        Fault::ListChanged => "list changed",
        Fault::RecordsLost(_) => "records lost",
    };
    format!("{case}, {}", node.member_health().seen())
}

/// Records that a turn found too few members, and returns when a check has confirmed or cleared the
/// suspicion. Turns that suspect the members at the same time share one check.
pub async fn suspect(node: &Node, fault: &Fault) {
    let now = node.clock.now();
    refusals::note(node, fault, now);
    let lost = node.member_health().suspect(now);
    if lost {
        log::warn!(
            "event=E{} text=\"{}\" why=\"a turn's tokens could not be set aside: {fault}\"",
            Event::MembersLost.number(),
            Event::MembersLost.text()
        );
        return;
    }
    let _guard = node.suspicion_check.lock().await;
    if node.member_health().is_suspected() {
        check(node).await;
    }
}

fn log_reach(event: Event, seen: Seen, reach: &Reach) {
    log::warn!(
        "event=E{} text=\"{}\" {} behind={} silent={}",
        event.number(),
        event.text(),
        seen.fields(),
        format_names(&reach.behind),
        format_names(&reach.silent)
    );
}

/// Joins the names of the first VMs, followed by the number of the remaining ones.
fn format_names(vms: &[String]) -> String {
    let listed = &vms[..vms.len().min(MAX_NAMED_VMS)];
    let more = vms.len() - listed.len();
    match more {
        0 => listed.join(","),
        _ => format!("{},+{more}", listed.join(",")),
    }
}

/// What a check found.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Seen {
    /// The version of the list whose members were asked; 0 if there was none.
    version: u64,
    /// How many members that list has.
    members: usize,
    /// How many of them answered.
    answered: usize,
    /// How many of those were still catching up.
    behind: usize,
}

impl Seen {
    fn new(version: u64, reach: &Reach) -> Self {
        Self {
            version,
            members: reach.members,
            answered: reach.answered,
            behind: reach.behind.len(),
        }
    }

    /// Returns the fields of a log line.
    fn fields(self) -> String {
        let Self {
            version,
            members,
            answered,
            behind,
        } = self;
        let ready = answered.saturating_sub(behind);
        format!("answered={answered} ready={ready} members={members} version={version}")
    }
}

impl fmt::Display for Seen {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            version,
            members,
            answered,
            behind,
        } = self;
        let ready = answered.saturating_sub(*behind);
        write!(f, "list {version}/{members}, {ready} ready {behind} behind")
    }
}

/// Whether turns are served.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum TurnService {
    /// No check has found enough members since the start.
    #[default]
    Starting,
    /// Turns are served.
    Served,
    /// Turns were served, and too few members answer now.
    Lost,
}

/// The health of the members, according to checks and turns.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    service: TurnService,
    /// Failed checks since the last successful one, including a suspicion that a failed check
    /// confirmed.
    failed_checks: u32,
    /// Whether a turn has found too few members since the last check.
    suspected: bool,
    /// Whether the lost members' names have been logged. A turn that finds the loss doesn't know
    /// the names.
    silent_logged: bool,
    /// The time of the first failure since the last successful check.
    failing_since: Millis,
    /// Since when too few of the members that answer have caught up; `None` if enough have.
    behind_since: Option<Millis>,
    /// Whether the names of the members that are catching up have been logged.
    behind_logged: bool,
    /// What the last check found.
    seen: Seen,
    /// The turns that are refused while the checks find enough members.
    refusals: Refusals,
}

impl Health {
    /// Records the result of a check. Returns whether turns start or stop being served, or the load
    /// balancer is no longer told that members are catching up.
    pub fn record_check(&mut self, coverage: Coverage, now: Millis) -> bool {
        match coverage {
            Coverage::Full => {
                self.behind_since = None;
                let was_logged = std::mem::take(&mut self.behind_logged);
                self.record_answers() || was_logged
            }
            Coverage::CatchingUp => {
                self.behind_since.get_or_insert(now);
                self.record_answers()
            }
            Coverage::TooFew => {
                self.record_first_failure(now);
                let suspicions = u32::from(std::mem::take(&mut self.suspected));
                self.failed_checks = self.failed_checks.saturating_add(1 + suspicions);
                self.update_service()
            }
        }
    }

    /// Returns what the last check found.
    #[must_use]
    pub const fn seen(&self) -> Seen {
        self.seen
    }

    /// Records that enough members answer. Returns whether turns start being served.
    fn record_answers(&mut self) -> bool {
        self.failed_checks = 0;
        self.suspected = false;
        self.silent_logged = false;
        std::mem::replace(&mut self.service, TurnService::Served) != TurnService::Served
    }

    /// Records that a turn found too few members. Returns whether turns stop being served.
    pub fn suspect(&mut self, now: Millis) -> bool {
        self.record_first_failure(now);
        self.suspected = true;
        self.update_service()
    }

    /// Returns whether a turn has found too few members since the last check.
    #[must_use]
    pub const fn is_suspected(&self) -> bool {
        self.suspected
    }

    /// Returns whether the members are lost and their names have not been logged; `true` only once
    /// per loss.
    fn should_log_silent(&mut self) -> bool {
        !self.serves_turns() && !std::mem::replace(&mut self.silent_logged, true)
    }

    /// Returns whether the load balancer is told that members are catching up and their names have not
    /// been logged; `true` only once until enough have caught up.
    fn should_log_behind(&mut self, now: Millis) -> bool {
        self.is_behind(now) && !std::mem::replace(&mut self.behind_logged, true)
    }

    /// Returns whether members have been catching up for longer than a change of the list takes.
    fn is_behind(&self, now: Millis) -> bool {
        self.behind_since
            .is_some_and(|since| now.since(since) >= MAX_CATCH_UP_TIME)
    }

    fn record_first_failure(&mut self, now: Millis) {
        if self.failed_checks == 0 && !self.suspected {
            self.failing_since = now;
        }
    }

    fn update_service(&mut self) -> bool {
        let failures = self.failed_checks.saturating_add(u32::from(self.suspected));
        let lost = failures >= LOST_AFTER && self.serves_turns();
        if lost {
            self.service = TurnService::Lost;
        }
        lost
    }

    /// Returns whether turns are served.
    #[must_use]
    pub const fn serves_turns(&self) -> bool {
        matches!(self.service, TurnService::Served)
    }

    /// Returns whether turns aren't served and the members have failed for longer than a restart
    /// takes.
    #[must_use]
    pub fn is_outage(&self, now: Millis) -> bool {
        !self.serves_turns() && now.since(self.failing_since) > MAX_RESTART_TIME
    }

    /// Returns whether the load balancer should send turns here.
    #[must_use]
    pub fn is_ready(&self, now: Millis) -> bool {
        self.serves_turns() && self.failed_checks == 0 && !self.suspected && !self.is_behind(now)
    }

    /// Returns when a refused turn may be retried: when the load balancer is expected to send it to
    /// another VM. A sooner retry would be refused as well and use up one of the turn's tries. The
    /// delay is short for a VM whose members answer but are slow, and for a VM that has just
    /// started: it needs only some more milliseconds, so the turn needs no other VM.
    #[must_use]
    pub fn retry_after(&self, now: Millis) -> Millis {
        if self.service == TurnService::Starting || self.is_ready(now) {
            return RETRY_DELAY;
        }
        balancer::DETECTION_TIME
            .since(now.since(self.unready_since()))
            .max(RETRY_DELAY_NOTICED)
    }

    /// Returns since when the load balancer is told that the VM isn't ready.
    fn unready_since(&self) -> Millis {
        let is_failing = self.failed_checks > 0 || self.suspected;
        match self.behind_since {
            Some(since) if !is_failing => since.plus(MAX_CATCH_UP_TIME),
            Some(_) | None => self.failing_since,
        }
    }
}

#[cfg(test)]
mod tests;
