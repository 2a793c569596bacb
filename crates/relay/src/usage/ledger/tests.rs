use adapter::config::Limit;
use policy::quota::Step;
use policy::quota::Verdict;
use wire::clock::Millis;

use super::Ledger;
use crate::tally::Origin;
use crate::usage::contact::Fleet;
use crate::usage::report::AllHeard;
use crate::usage::report::Count;
use crate::usage::report::Entry;
use crate::usage::report::Report;
use crate::usage::report::Scope;
use crate::usage::report::Sum;

const WINDOW: Millis = Millis::new(5_000);
const START: Millis = Millis::new(100_000);
const WORKSPACE: u64 = 3;
/// Allows 60 requests in a window.
const LIMIT: Limit = Limit {
    milli_per_second: 10_000,
    burst: 10,
};
const FLEET: Fleet = Fleet {
    vms: 3,
    centre_vms: 3,
    centres: 1,
    lag: Millis::new(200),
};
/// The process of each other VM.
const PROCESS: u64 = 7;
/// The common time of the other VMs at the start.
const COMMON_START: Millis = Millis::new(1_000_000);

fn ledger() -> Ledger {
    let mut ledger = Ledger::new("own", WINDOW, START);
    ledger.note(&Origin::Others, PROCESS, &told(0), START);
    ledger
}

/// Returns a report of requests that were all sent in the current slot.
fn told(sent: u32) -> Report {
    told_at(START, sent)
}

fn told_at(now: Millis, sent: u32) -> Report {
    told_by(WINDOW, now, sent)
}

fn told_by(counted_for: Millis, now: Millis, sent: u32) -> Report {
    let count = Count {
        age: 0,
        requests: sent,
    };
    Report {
        at: COMMON_START.plus(now.since(START)).as_u64(),
        entries: vec![Entry {
            workspace: WORKSPACE,
            sent: if sent > 0 { vec![count] } else { Vec::new() },
            ..Entry::default()
        }],
        counted_for: counted_for.as_u64(),
        vms: 2,
        heard: 2,
        all_heard: Some(AllHeard {
            at: COMMON_START.plus(now.since(START)).as_u64(),
            vms: 3,
        }),
    }
}

fn vm(name: &str) -> Origin {
    Origin::Vm(name.to_owned())
}

fn send(ledger: &mut Ledger, workspace: u64, now: Millis) {
    ledger.reserve(workspace, None, now);
    ledger.note_sent(workspace, now);
}

/// Returns how many requests of the workspace a report tells.
fn requests(report: &Report) -> u32 {
    let entries = report.entries.iter();
    let entry = entries.filter(|entry| entry.workspace == WORKSPACE);
    entry.map(|entry| entry.sum().admitted).sum()
}

/// Admits as many requests as the limit allows and returns their number.
fn fill(ledger: &mut Ledger, now: Millis) -> u32 {
    let mut admitted = 0;
    while ledger
        .decide(WORKSPACE, LIMIT, Step::Continues, FLEET, now)
        .0
        == Verdict::Admit
    {
        send(ledger, WORKSPACE, now);
        admitted += 1;
    }
    admitted
}

#[test]
fn the_others_count() {
    let mut ledger = ledger();
    ledger.note(&Origin::Others, PROCESS, &told(45), START);
    assert_eq!(fill(&mut ledger, START), 15);
}

/// A hub tells the sum of all others, and each of them tells its own count, too. Adding both up would
/// refuse requests at half the limit.
#[test]
fn sums_and_single_counts_are_not_added_up() {
    let mut ledger = ledger();
    ledger.note(&Origin::Others, PROCESS, &told(20), START);
    ledger.note(&vm("x"), PROCESS, &told(15), START);
    assert_eq!(fill(&mut ledger, START), 40);
}

/// A VM that was killed tells nothing any more, but what it had sent is still in the window.
#[test]
fn a_silent_vm_counts_for_the_window() {
    let mut ledger = ledger();
    ledger.note(&vm("x"), PROCESS, &told(50), START);
    let later = START.plus(WINDOW);
    ledger.note(&vm("y"), PROCESS, &told_at(later, 0), later);
    assert_eq!(fill(&mut ledger, later), 10);
}

/// The next process of a VM that was killed has sent nothing; what the one before had sent is still in the
/// window.
#[test]
fn a_restarted_vm_does_not_undo_its_count() {
    let mut ledger = ledger();
    ledger.note(&vm("x"), PROCESS, &told(50), START);
    let later = START.plus(Millis::new(2_000));
    ledger.note(&vm("x"), PROCESS, &told_at(later, 0), later);
    assert_eq!(fill(&mut ledger, later), 10);
}

/// A hub that has just taken over hasn't heard all VMs, so its sum is lower.
#[test]
fn a_new_hub_does_not_undo_what_the_hub_before_told() {
    let mut ledger = ledger();
    ledger.note(&Origin::Others, PROCESS, &told(50), START);
    let later = START.plus(Millis::new(2_000));
    ledger.note(&Origin::Others, PROCESS, &told_at(later, 5), later);
    // Later requests come on top.
    assert_eq!(fill(&mut ledger, later), 5);
}

/// A VM that restarts has lost what it knew; another one that has lived tells it what all had sent, its own
/// earlier process included.
#[test]
fn a_restarted_vm_is_told_what_all_had_sent() {
    let mut lived = ledger();
    lived.note(&vm("x"), PROCESS, &told(30), START);
    assert_eq!(fill(&mut lived, START), 30);
    let mut started = Ledger::new("own", WINDOW, START);
    let report = lived.report(Scope::Own, FLEET, |_| false, START);
    started.note(&vm("y"), PROCESS, &report, START);
    assert_eq!(fill(&mut started, START), 0);
}

#[test]
fn a_request_that_was_not_sent_is_taken_back() {
    let mut ledger = ledger();
    let admitted =
        |ledger: &mut Ledger| requests(&ledger.report(Scope::Own, FLEET, |_| false, START));
    ledger.reserve(WORKSPACE, None, START);
    assert_eq!(admitted(&mut ledger), 1);
    ledger.release(WORKSPACE, START);
    assert_eq!(admitted(&mut ledger), 0);
    ledger.release(WORKSPACE, START);
    assert_eq!(admitted(&mut ledger), 0);
}

/// A hub's sum contains the requests of the VM that it tells. Counted twice, they would be refused below the
/// limit.
#[test]
fn a_vm_is_not_told_its_own_requests() {
    let mut hub = ledger();
    let all = |_: &Origin| true;
    assert_eq!(
        requests(&hub.report(Scope::AllBut("x"), FLEET, all, START)),
        0
    );
    hub.note(&vm("x"), PROCESS, &told(10), START);
    hub.note(&vm("y"), PROCESS, &told(20), START);
    assert_eq!(
        requests(&hub.report(Scope::AllBut("x"), FLEET, all, START)),
        20
    );
    assert_eq!(requests(&hub.report(Scope::Centre, FLEET, all, START)), 30);
}

/// A message that overtook a later one tells fewer requests of the VM than are known. The rest would be told to
/// it as those of others.
#[test]
fn a_late_message_does_not_make_a_vm_count_itself_twice() {
    let mut hub = ledger();
    hub.note(&vm("x"), PROCESS, &told(10), START);
    hub.note(&vm("x"), PROCESS, &told(4), START);
    let report = hub.report(Scope::AllBut("x"), FLEET, |_| true, START);
    assert_eq!(requests(&report), 0);
}

/// A VM that is cut off would have the whole limit for itself, and so would each other one.
#[test]
fn a_vm_that_hears_nobody_keeps_to_its_share() {
    let mut ledger = ledger();
    for _ in 0..6 {
        send(&mut ledger, WORKSPACE, START);
    }
    ledger.note(&Origin::Others, PROCESS, &told(24), START);
    let cut = START.plus(Millis::new(2_000));
    // Six, and a third of the thirty that were left.
    assert_eq!(fill(&mut ledger, cut), 10);
}

/// After a restart, a VM that others remember for must not presume that the limit is used up.
#[test]
fn others_that_have_counted_for_long_make_presumptions_needless() {
    let mut hot = told_by(Millis::new(100), START, 0);
    hot.entries[0].asked = 100;
    let mut started = Ledger::new("own", WINDOW, START);
    started.note(&vm("x"), PROCESS, &hot, START);
    started.note(
        &vm("y"),
        PROCESS,
        &told_by(Millis::new(100), START, 0),
        START,
    );
    assert!(fill(&mut started, START) < 20);
    let mut started = Ledger::new("own", WINDOW, START);
    started.note(&vm("x"), PROCESS, &told(0), START);
    started.note(&vm("y"), PROCESS, &told(0), START);
    assert_eq!(fill(&mut started, START), 60);
}

/// VMs are replaced by a later version one by one. The first ones hear only older processes, which tell sums.
#[test]
fn a_vm_that_hears_only_older_processes_counts_their_sums() {
    let mut ledger = Ledger::new("own", WINDOW, START);
    let sums = [Sum {
        workspace: WORKSPACE,
        admitted: 45,
        pending: 0,
    }];
    ledger.note_sums(&Origin::Others, &sums, WINDOW, START);
    assert_eq!(fill(&mut ledger, START), 15);
}

/// Dozens of VMs admit a few requests each. If each kept so small a part of the limit to itself, the
/// sum would never be known.
#[test]
fn a_single_vm_tells_every_count() {
    let mut ledger = ledger();
    let large = Limit {
        milli_per_second: 1_000_000,
        burst: 0,
    };
    let _verdict = ledger.decide(WORKSPACE, large, Step::Opens(8), FLEET, START);
    send(&mut ledger, WORKSPACE, START);
    let report = ledger.report(Scope::Own, FLEET, |_| false, START);
    assert_eq!(requests(&report), 1);
}

/// Thousands of workspaces are far from their limits. Telling the counts of all of them to other data
/// centres would cost more than their requests.
#[test]
fn small_sums_are_not_told() {
    let mut ledger = ledger();
    ledger.note(&vm("x"), PROCESS, &told(1), START);
    let large = Limit {
        milli_per_second: 1_000_000,
        burst: 0,
    };
    let _verdict = ledger.decide(WORKSPACE, large, Step::Opens(8), FLEET, START);
    let report = ledger.report(Scope::Centre, FLEET, |_| true, START);
    assert_eq!(report.entries, []);
}

/// More workspaces are near their limits than a message has room for: the nearest ones come first.
#[test]
fn the_counts_nearest_to_their_limits_are_told() {
    let mut ledger = ledger();
    assert_eq!(fill(&mut ledger, START), 60);
    for other in 10..400 {
        let _verdict = ledger.decide(other, LIMIT, Step::Opens(8), FLEET, START);
        send(&mut ledger, other, START);
    }
    let report = ledger.report(Scope::Own, FLEET, |_| false, START);
    assert_eq!(report.entries.len(), super::MAX_TOLD);
    assert_eq!(requests(&report), 60);
}
