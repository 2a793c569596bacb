//! Copies during which a process restarts, or the list changes.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use replica::list::List;
use replica::message::Answer;
use replica::message::Ask;
use replica::message::Body;
use replica::record::Key;
use replica::record::Record;
use replica::record::Turn;
use support::vm::Process;
use support::vm::Vm;
use support::vm::three_vms;
use tokio::time::sleep;
use tokio::time::timeout;

/// How many turns are copied: many times as many as are fetched at once.
const TURNS: usize = 1_000;
/// How long members may take to become complete replicas.
const RECOVERY: Duration = Duration::from_secs(12);

async fn write(vm: &Vm, ids: impl Iterator<Item = String>) {
    let turns = ids.map(|id| {
        Record::Turn(Turn {
            key: Key::of(&id),
            previous: None,
            text: Bytes::from_static(b"some text"),
        })
    });
    let member = vm.member();
    let version = member.identity().list.version;
    let body = Body::Apply(turns.collect());
    let answer = member.answer(Ask { version, body }).await;
    assert_eq!(answer, Answer::Applied(Vec::new()));
}

/// Starts three VMs, of which the first is silent, the second holds all turns, and the third has just joined and
/// copies them. Returns them once it has begun.
async fn start_copy() -> ([Vm; 3], List) {
    let (vms, list) = three_vms(Process::Current).await;
    let [a, b, c] = &vms;
    a.silent.store(true, Ordering::SeqCst);
    b.adopt(&list, list.version).await;
    write(b, (0..TURNS).map(|number| format!("t{number}"))).await;
    c.adopt(&list, 0).await;
    c.drive();
    let has_begun = async {
        while c.member().counts().0 == 0 {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(RECOVERY, has_begun).await.expect("it copies");
    assert!(c.member().counts().0 < TURNS, "nothing is left to copy");
    assert!(!c.is_ready(&list));
    (vms, list)
}

async fn wait_until_ready(vm: &Vm, list: &List) {
    let is_ready = async {
        while !vm.is_ready(list) {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(RECOVERY, is_ready).await.expect("it has caught up");
}

/// Guards against a member that says that it holds everything, as its source had restarted in the middle of the
/// copy and sent only a part.
#[tokio::test]
async fn a_copy_is_whole_though_its_source_restarts() {
    let ([_a, b, c], list) = start_copy().await;
    b.restart().await;
    assert_eq!(b.member().status().ready, list.version);
    wait_until_ready(&c, &list).await;
    assert_eq!(c.member().counts().0, TURNS);
}

/// Guards against a member that says that it holds everything, as it restarted in the middle of the copy.
#[tokio::test]
async fn a_copy_is_whole_though_its_member_restarts() {
    let ([_a, _b, c], list) = start_copy().await;
    c.restart().await;
    assert!(!c.is_ready(&list), "ready with a part of the turns");
    c.drive();
    wait_until_ready(&c, &list).await;
    assert_eq!(c.member().counts().0, TURNS);
}

/// Guards against a member that says that it holds everything that was acknowledged before the newer list, as the
/// list changed in the middle of its copy for the older one.
#[tokio::test]
async fn a_copy_for_an_older_list_does_not_count_for_a_newer_one() {
    let ([a, b, c], list) = start_copy().await;
    // Acknowledged under the older list, after the copy began.
    write(&b, ["later".to_owned()].into_iter()).await;
    let next = list.with(&a.entry());
    for vm in [&b, &c] {
        vm.member().adopt(&next).await.unwrap();
    }
    wait_until_ready(&c, &list).await;
    wait_until_ready(&c, &next).await;
    assert_eq!(c.member().missing(&[Key::of("later")]), []);
    assert_eq!(c.member().counts().0, TURNS + 1);
}
