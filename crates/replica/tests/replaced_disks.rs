//! Members whose disk was lost, and that come back with another one at the same address.

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use platform::edge::Platform;
use platform::edge::Priority;
use platform::edge::Txn;
use platform::edge::Write;
use platform::memory::Memory;
use replica::call;
use replica::client::Coverage;
use replica::client::Fault;
use replica::client::Found;
use replica::client::Replicas;
use replica::inquiry::Inquiry;
use replica::list::List;
use replica::list::Member;
use replica::message::Answer;
use replica::message::Ask;
use replica::message::Body;
use replica::quorum::Verdict;
use replica::record::Key;
use replica::record::Record;
use replica::record::Reservation;
use replica::record::Settlement;
use replica::record::Turn;
use rstest::rstest;
use support::vm::LIST_KEY;
use support::vm::Process;
use support::vm::Vm;
use support::vm::client;
use support::vm::three_vms;
use tokio::time::timeout;
use wire::clock::Clock;

/// How long members that can't become complete replicas get for it: some steps of their drivers.
const STEPS: Duration = Duration::from_millis(1_500);
/// How long members may take to catch up: less than the time in which a silent member is given up.
const CATCH_UP: Duration = Duration::from_millis(500);
/// How long a refusal may take: twice the time in which a silent member is given up, and half a second.
const REFUSAL: Duration = Duration::from_millis(1_900);
/// How long members may take to become complete replicas once all answer.
const RECOVERY: Duration = Duration::from_secs(12);

fn turn() -> Turn {
    Turn {
        key: Key::of("t1"),
        previous: None,
        text: Bytes::from_static(b"some text"),
    }
}

/// Guards against a turn that is called absent, as a member with an empty disk answered in the place of
/// the disk that was lost, and the only member that has the turn wasn't heard.
#[rstest]
#[case::named(Process::Current)]
#[case::not_named(Process::Earlier)]
#[tokio::test]
async fn a_member_does_not_answer_for_the_disk_that_it_lost(#[case] process: Process) {
    let (vms, list) = three_vms(process).await;
    let [a, b, c] = &vms;
    for vm in &vms {
        vm.adopt(&list, list.version).await;
    }
    // Two members have the turn, which is enough; then one of the two loses its disk.
    let turn = turn();
    let key = turn.key;
    for vm in [b, c] {
        let body = Body::Apply(vec![Record::Turn(turn.clone())]);
        let version = list.version;
        let answer = vm.member().answer(Ask { version, body }).await;
        assert_eq!(answer, Answer::Applied(Vec::new()));
    }
    c.lose_disk(4).await;
    let next = list.with(&c.entry());
    a.adopt(&next, list.version).await;
    c.adopt(&next, 0).await;
    b.silent.store(true, Ordering::SeqCst);
    a.drive();
    c.drive();
    tokio::time::sleep(STEPS).await;
    let reader = Replicas::new(client(), "a", 1);
    reader.adopt(next.clone());
    let found = reader.chain(key, &mut Inquiry::default(), |_| true).await;
    assert_ne!(found, Ok(Found::Absent), "the turn is called absent");
    assert!(!a.is_ready(&next) && !c.is_ready(&next));

    b.silent.store(false, Ordering::SeqCst);
    b.drive();
    let all_ready = async {
        while !vms.iter().all(|vm| vm.is_ready(&next)) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(RECOVERY, all_ready).await.expect("all are ready");
    b.silent.store(true, Ordering::SeqCst);
    let found = reader.chain(key, &mut Inquiry::default(), |_| true).await;
    let Ok(Found::Part(links, None)) = found else {
        panic!("{found:?}");
    };
    assert_eq!(links[0].text, turn.text);
}

/// Guards against a budget that is exceeded, as members that haven't caught up, and don't know what was
/// reserved before, count as knowing it.
#[tokio::test]
async fn a_reservation_does_not_rest_on_members_that_have_not_caught_up() {
    let (vms, list) = three_vms(Process::Current).await;
    for vm in &vms {
        vm.adopt(&list, 0).await;
    }
    let writer = Replicas::new(client(), "a", 1);
    writer.adopt(list);
    let reservation = Reservation {
        program: Key::of("p1"),
        turn: Key::of("t1"),
        most: 50,
    };
    let verdict = writer.reserve(reservation, None, 100).await;
    assert_eq!(verdict, Err(Fault::CatchingUp));
}

/// Guards against turns that are refused after each lost disk, as the new one doesn't count yet and the
/// others aren't asked for the rest, and against a budget that counts only what the new disk knows.
#[tokio::test]
async fn a_reservation_rests_on_the_majority_that_has_caught_up() {
    let (vms, list) = three_vms(Process::Current).await;
    let [a, b, c] = &vms;
    for vm in [a, b] {
        vm.adopt(&list, list.version).await;
    }
    c.adopt(&list, 0).await;
    let writer = Replicas::new(client(), "a", 1);
    writer.adopt(list);
    let program = Key::of("p1");
    let reserve = |turn, most| {
        let turn = Key::of(turn);
        writer.reserve(
            Reservation {
                program,
                turn,
                most,
            },
            None,
            100,
        )
    };
    assert_eq!(reserve("t1", 50).await, Ok(Verdict::Fits));
    assert_eq!(reserve("t2", 60).await, Ok(Verdict::Spent(50)));
    // A member that hasn't caught up doesn't make up for one that has.
    b.silent.store(true, Ordering::SeqCst);
    let asked = Instant::now();
    assert_eq!(reserve("t3", 1).await, Err(Fault::CatchingUp));
    // Another VM needs the rest of the turn's time.
    assert!(asked.elapsed() < REFUSAL, "{:?}", asked.elapsed());
    let settlement = Settlement {
        program,
        turn: Key::of("t1"),
        used: 50,
    };
    assert_eq!(writer.settle(settlement).await, Ok(()));
    let tail = Record::Reserve(Reservation {
        program,
        turn: Key::of("t4"),
        most: 1,
    });
    assert_eq!(writer.apply(program, vec![tail]).await, Ok(()));
}

/// Guards against a turn that is acknowledged and lost, as an empty disk that isn't in the list yet stores it in
/// the place of the lost one, and nobody copies from it.
#[tokio::test]
async fn a_disk_that_the_list_does_not_name_acknowledges_nothing() {
    let (vms, list) = three_vms(Process::Current).await;
    let [a, b, c] = &vms;
    for vm in [a, b] {
        vm.adopt(&list, list.version).await;
    }
    c.lose_disk(4).await;
    c.adopt(&list, 0).await;
    b.silent.store(true, Ordering::SeqCst);
    let writer = Replicas::new(client(), "a", 1);
    writer.adopt(list.clone());
    let turn = turn();
    let key = turn.key;
    let records = vec![Record::Turn(turn)];
    let written = writer.apply(key, records.clone()).await;
    assert_eq!(written, Err(Fault::CatchingUp));
    assert_eq!(c.member().counts(), (0, 0));
    let reach = writer.reachable(STEPS).await;
    assert_eq!((reach.coverage, reach.answered), (Coverage::TooFew, 1));
    assert_eq!(reach.silent, ["b", "c"]);

    // Once the list names the new disk, it counts at once, also before it has caught up.
    writer.adopt(list.with(&c.entry()));
    assert_eq!(writer.apply(key, records).await, Ok(()));
}

/// Guards against members that refuse turns after each change of the list, as they wait for the answer of a
/// silent one though the others' are enough.
#[tokio::test]
async fn members_catch_up_without_waiting_for_a_silent_one() {
    let (vms, list) = three_vms(Process::Current).await;
    let next = list.with(&vms[0].entry());
    let [a, b, c] = &vms;
    c.silent.store(true, Ordering::SeqCst);
    for vm in [a, b] {
        vm.adopt(&next, list.version).await;
    }
    let begun = Instant::now();
    for vm in [a, b] {
        vm.drive();
    }
    while !a.is_ready(&next) || !b.is_ready(&next) {
        assert!(begun.elapsed() < CATCH_UP, "they wait for c");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against an empty disk that answers in the name of the lost one, whatever is asked, and against
/// requests of processes that name no disk being refused.
#[tokio::test]
async fn a_request_for_a_lost_disk_is_refused() {
    let vm = Vm::start("a", 1, Process::Current).await;
    let lost_disk = vm.entry();
    let list = List::default().with(&lost_disk);
    vm.lose_disk(2).await;
    vm.adopt(&list, 0).await;
    let key = Key::of("t1");
    let gained = Body::Gained {
        vm: "a".to_owned(),
        losses: 1,
    };
    let bodies = [
        Body::Apply(Vec::new()),
        Body::Chain(key),
        Body::Account(key),
        Body::Keys,
        gained,
        Body::Fetch(vec![key]),
    ];
    let http = client();
    for body in bodies {
        let bytes = call::encode(list.version, body.clone()).unwrap();
        let answer = call::ask_with_list(&http, &lost_disk, &list, bytes.clone()).await;
        assert_eq!(answer, Some(Answer::OtherDisk(2)), "{body:?}");
        let answer = call::ask_with_list(&http, &vm.entry(), &list, bytes).await;
        let is_refused = matches!(answer, None | Some(Answer::OtherDisk(_)));
        assert!(!is_refused, "{body:?}: {answer:?}");
        let answer = call::ask(&http, vm.address, list.version, body.clone()).await;
        let is_refused = matches!(answer, None | Some(Answer::OtherDisk(_)));
        assert!(!is_refused, "{body:?}: {answer:?}");
    }
}

/// Starts a service that stores the list.
async fn store(list: &List) -> Arc<Memory> {
    let platform = Arc::new(Memory::new(Clock::System));
    let stored = Write::Put {
        key: LIST_KEY.to_owned(),
        value: rmp_serde::to_vec(list).unwrap(),
        lease: None,
    };
    let txn = Txn {
        compares: Vec::new(),
        writes: vec![stored],
    };
    platform.commit(&txn, Priority::Claim).await.unwrap();
    platform
}

/// Guards against a lost disk that stays on the list for ever, as another VM has got its address and answers there.
#[tokio::test]
async fn a_member_whose_address_passed_to_another_vm_is_taken_off() {
    let (vms, list) = three_vms(Process::Current).await;
    let successor = Vm::start("d", 4, Process::Current).await;
    let gone = Member {
        vm: "e".to_owned(),
        disk: 5,
        ..successor.entry()
    };
    let list = list.with(&successor.entry()).with(&gone);
    let platform = store(&list).await;
    for vm in vms.iter().chain([&successor]) {
        vm.adopt(&list, list.version).await;
        vm.drive_with(platform.clone());
    }
    let is_taken_off = async {
        while vms[0].member().identity().list.find(&gone.vm).is_some() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(RECOVERY, is_taken_off).await.expect("taken off");
    let kept = vms[0].member().identity().list.members;
    assert_eq!(kept.len(), 4, "{kept:?}");
}

/// Guards against a turn that is acknowledged and on one disk, as that disk is on the list twice: for its VM, and
/// for one that is gone and whose address it has got.
#[tokio::test]
async fn a_reset_list_names_each_disk_once() {
    let emptied = Vm::start("a", 1, Process::Current).await;
    let left = Vm::start("b", 2, Process::Current).await;
    let gone = Member {
        vm: "c".to_owned(),
        disk: 3,
        ..left.entry()
    };
    let list = List::default().with(&emptied.entry()).with(&left.entry());
    let list = list.with(&gone);
    left.adopt(&list, list.version).await;
    emptied.lose_disk(4).await;
    let platform = store(&list).await;
    for vm in [&emptied, &left] {
        vm.drive_with(platform.clone());
    }
    tokio::time::sleep(STEPS * 2).await;
    let members = left.member().identity().list.members;
    let same = members.iter().filter(|member| member.disk == 2).count();
    assert_eq!(same, 1, "{members:?}");
}
