//! Plays lists of members while disks are lost, VMs restart, are cut off, join and leave, against what
//! programs were promised.

use std::env;
use std::fmt::Write;
use std::time::Duration;
use std::time::Instant;

use course::Course;
use fleet::Fleet;
use network::Cut;
use oracle::Mode;
use orders::QUIET;
use tokio::task::JoinSet;

#[path = "play/course.rs"]
mod course;
#[path = "play/fleet.rs"]
mod fleet;
#[path = "play/network.rs"]
mod network;
#[path = "play/oracle.rs"]
mod oracle;
#[path = "play/orders.rs"]
mod orders;
mod support;
#[path = "play/traffic.rs"]
mod traffic;

/// How many plays of a kind run with each change of the code.
const PLAYS: u64 = 8;
/// How many plays a long run has by default.
const LONG_PLAYS: u64 = 100;
/// How many plays run at once.
const AT_ONCE: usize = 24;
/// How many disks are lost one after another in a play, and in one of a long run.
const DISKS: usize = 2;
const LONG_DISKS: usize = 4;
/// How many VMs a play begins with.
const VMS: [usize; 4] = [3, 3, 4, 6];
/// How long a VM whose disk is lost is silent.
const LOSS: Duration = Duration::from_secs(1);
/// How long a VM is waited for that is to leave.
const LEAVE: Duration = Duration::from_secs(3);
/// How long after a retirement a VM is replaced, so that the list has settled.
const AFTERWARDS: Duration = Duration::from_secs(15);
/// How long a zone is cut off.
const CUT: Duration = Duration::from_secs(6);
/// How many turns fill a disk for longer than [`FILLING_PAUSE`], if 32 of them take [`FETCH`].
const FILLING: usize = 3_200;
const FETCH: Duration = Duration::from_millis(60);
/// How long after the return of a lost disk the next one is lost, before it has copied everything.
const FILLING_PAUSE: Duration = Duration::from_secs(3);
/// How long a member that is back may go on with an old list.
const NEWS: Duration = Duration::from_secs(1);

/// Plays the orders of a seed. Returns a report if a promise is broken.
async fn play(mode: Mode, disks: usize, seed: u64) -> Result<(), String> {
    let vms = VMS[usize::try_from(seed).unwrap() % VMS.len()];
    let rounds = orders::draw(mode, vms, disks, seed);
    let course = Course::start(mode, vms, seed).await;
    orders::run(&course.fleet, &rounds).await;
    let served_after = course.finish().await.map_err(|report| {
        let mut drawn = String::new();
        for (at, round) in rounds.iter().enumerate() {
            for order in round {
                writeln!(drawn, "  round {at} {order}").unwrap();
            }
        }
        format!("{mode:?}, {vms} VMs, orders:\n{drawn}{report}")
    })?;
    println!("{mode:?} seed {seed}: {vms} VMs, served {served_after:?} after all were back");
    Ok(())
}

/// Plays all seeds, some at once. Prints a report of each that broke a promise, and returns these seeds.
async fn play_all(seeds: impl Iterator<Item = u64>, mode: Mode, disks: usize) -> Vec<u64> {
    let mut running = JoinSet::new();
    let mut failed = Vec::new();
    let mut seeds = seeds.peekable();
    while seeds.peek().is_some() || !running.is_empty() {
        if running.len() < AT_ONCE
            && let Some(seed) = seeds.next()
        {
            running.spawn(async move { (seed, play(mode, disks, seed).await) });
            continue;
        }
        if let Some(ended) = running.join_next().await
            && let (seed, Err(report)) = ended.unwrap()
        {
            eprintln!("{report}");
            failed.push(seed);
        }
    }
    failed
}

/// Guards against a turn or tokens that are lost though no more disks were lost at once than are
/// tolerated, and against turns that are refused for ever afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn tolerated_losses_cost_nothing_that_was_acknowledged() {
    assert_eq!(play_all(0..PLAYS, Mode::Tolerated, DISKS).await, [0; 0]);
}

/// Guards against turns that are refused for ever after any losses, and against a lost turn that is
/// called absent.
#[tokio::test(flavor = "multi_thread")]
async fn any_losses_end_in_service() {
    assert_eq!(play_all(0..PLAYS, Mode::Any, DISKS).await, [0; 0]);
}

/// The same as the two above with more seeds and more lost disks: `PLAY_SEED` says the first seed, 0 by
/// default, and `PLAY_COUNT` how many seeds are played in each mode, 100 by default. Run by
/// `cargo test -p replica --test play -- --ignored --nocapture`.
#[tokio::test(flavor = "multi_thread")]
#[ignore = "takes many minutes"]
async fn long_play() {
    let number = |name: &str| env::var(name).ok().map(|text| text.parse::<u64>().unwrap());
    let first = number("PLAY_SEED").unwrap_or(0);
    let count = number("PLAY_COUNT").unwrap_or(LONG_PLAYS);
    let tolerated = play_all(first..first + count, Mode::Tolerated, LONG_DISKS).await;
    let any = play_all(first..first + count, Mode::Any, LONG_DISKS).await;
    assert_eq!((tolerated, any), (Vec::new(), Vec::new()));
}

/// Asks a VM to leave, and waits until it is gone or has had the time for it.
async fn retire(fleet: &Fleet, name: &str) {
    let vm = fleet.vm(name).unwrap();
    fleet.retire(&vm);
    let begun = Instant::now();
    while fleet.vm(name).is_some() && begun.elapsed() < LEAVE {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn lose_disk(fleet: &Fleet, name: &str) {
    if let Some(vm) = fleet.vm(name) {
        fleet.lose_disk(&vm, LOSS).await;
    }
}

async fn finish(course: Course) {
    if let Err(report) = course.finish().await {
        panic!("{report}");
    }
}

/// Guards against a turn that only one disk has, as the list of three was shortened twice.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_after_a_retirement_leaves_no_turn_on_one_disk() {
    let mut course = Course::start(Mode::Tolerated, 3, 0).await;
    let fleet = course.fleet.clone();
    retire(&fleet, "vm2").await;
    let cut = fleet.vm("vm1").unwrap();
    fleet.cut(&cut, Cut::All, CUT).await;
    let begun = Instant::now();
    while course.caller.store().await.is_some() && begun.elapsed() < CUT {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    lose_disk(&fleet, "vm0").await;
    finish(course).await;
}

/// Guards against a list of one, whose disk is the only one with all turns.
#[tokio::test(flavor = "multi_thread")]
async fn a_disk_is_lost_after_two_of_three_were_to_leave() {
    let course = Course::start(Mode::Tolerated, 3, 0).await;
    let fleet = course.fleet.clone();
    retire(&fleet, "vm2").await;
    retire(&fleet, "vm1").await;
    lose_disk(&fleet, "vm0").await;
    finish(course).await;
}

/// Guards against turns that are refused for ever, as a VM that is gone for good stays in a list of which
/// one was to leave.
#[tokio::test(flavor = "multi_thread")]
async fn a_disk_is_lost_after_a_retirement_and_a_replacement() {
    let course = Course::start(Mode::Tolerated, 3, 0).await;
    let fleet = course.fleet.clone();
    retire(&fleet, "vm2").await;
    tokio::time::sleep(AFTERWARDS).await;
    fleet.remove(&fleet.vm("vm1").unwrap());
    tokio::time::sleep(LOSS).await;
    fleet.add(4).await;
    tokio::time::sleep(QUIET).await;
    lose_disk(&fleet, "vm0").await;
    finish(course).await;
}

/// Guards against turns that are refused for ever, as each disk is lost before the one lost before it has
/// copied everything.
#[tokio::test(flavor = "multi_thread")]
async fn three_disks_are_lost_while_the_ones_before_are_being_filled() {
    let mut course = Course::start(Mode::Any, 3, 0).await;
    course.caller.fill(FILLING).await;
    let fleet = course.fleet.clone();
    fleet.network.set_fetch_delay(FETCH);
    for name in ["vm0", "vm1", "vm2"] {
        lose_disk(&fleet, name).await;
        tokio::time::sleep(FILLING_PAUSE).await;
    }
    finish(course).await;
}

/// Waits until each VM uses the list in the platform.
async fn assert_all_use_the_list(fleet: &Fleet, limit: Duration) {
    let begun = Instant::now();
    loop {
        let version = fleet.list().await.unwrap().version;
        let versions = fleet.vms();
        let versions = versions
            .iter()
            .map(|vm| vm.member().unwrap().status().version);
        if versions.into_iter().all(|used| used == version) {
            return;
        }
        let text = fleet.network.trace.text();
        let state = fleet.describe();
        assert!(begun.elapsed() < limit, "after {limit:?}:\n{text}\n{state}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a member that goes on with an old list after it was cut off, as it reads the list only
/// now and then.
#[tokio::test(flavor = "multi_thread")]
async fn a_member_that_is_back_learns_at_once_that_a_vm_has_joined() {
    let course = Course::start_idle(Mode::Tolerated, 3, 0).await;
    let fleet = course.fleet.clone();
    let cut = fleet.vm("vm1").unwrap();
    let added = async {
        tokio::time::sleep(Duration::from_secs(1)).await;
        fleet.add(3).await;
    };
    tokio::join!(fleet.cut(&cut, Cut::All, CUT), added);
    assert!(fleet.list().await.unwrap().version > 1, "no new list");
    assert_all_use_the_list(&fleet, NEWS).await;
}

/// Guards against a member that goes on with a list of which it was taken off while it was cut off.
#[tokio::test(flavor = "multi_thread")]
async fn a_member_that_is_back_learns_at_once_that_it_was_taken_off() {
    let course = Course::start_idle(Mode::Tolerated, 4, 0).await;
    let fleet = course.fleet.clone();
    let cut = fleet.vm("vm1").unwrap();
    fleet.cut(&cut, Cut::All, CUT).await;
    assert!(fleet.list().await.unwrap().version > 1, "no new list");
    assert_all_use_the_list(&fleet, NEWS).await;
}
