//! Members that were cut off or frozen for a while, and copy what they missed once they are back.

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use link::body::Body as ResponseBody;
use link::body::read;
use link::listen;
use replica::list::List;
use replica::list::Member;
use replica::message;
use replica::message::Answer;
use replica::message::Ask;
use replica::message::Body;
use replica::message::Holdings;
use replica::message::Status;
use replica::record::Key;
use replica::record::Record;
use replica::record::Turn;
use support::vm::Process;
use support::vm::Vm;
use support::vm::three_vms;

/// How long a process is frozen: longer than the pause after which a member compares what it holds.
const FREEZE: Duration = Duration::from_millis(1_200);
/// The pause between writes to a member: shorter than that one.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// How many such writes a member gets until it has compared what it holds.
const WRITES_BEFORE: usize = 6;
/// How long a member may take to copy what it missed.
const RECOVERY: Duration = Duration::from_secs(6);
/// For how long the other members are silent.
const SILENCE: Duration = Duration::from_secs(1);

fn turn(id: &str) -> Record {
    Record::Turn(Turn {
        key: Key::of(id),
        previous: None,
        text: Bytes::from_static(b"some text"),
    })
}

async fn write(vm: &Vm, id: &str) {
    let member = vm.member();
    let version = member.identity().list.version;
    let body = Body::Apply(vec![turn(id)]);
    let answer = member.answer(Ask { version, body }).await;
    assert_eq!(answer, Answer::Applied(Vec::new()));
}

/// Writes turns to a VM without a pause, until it holds the turn `missed` or `limit` has passed. Returns whether it
/// holds it.
async fn write_until_held(vm: &Vm, missed: &str, limit: Duration) -> bool {
    let begun = tokio::time::Instant::now();
    let mut count = 0;
    while begun.elapsed() < limit {
        write(vm, &format!("w{count}")).await;
        if vm.member().missing(&[Key::of(missed)]).is_empty() {
            return true;
        }
        count += 1;
        tokio::time::sleep(WRITE_INTERVAL).await;
    }
    false
}

/// Starts three complete members, the first of which does on its own what it does in a process.
async fn start() -> ([Vm; 3], List) {
    let (vms, list) = three_vms(Process::Current).await;
    for vm in &vms {
        vm.adopt(&list, list.version).await;
    }
    vms[0].drive();
    (vms, list)
}

/// Guards against a turn that stays on one disk fewer, as a frozen member takes the writes that waited in its
/// sockets for a sign that it was there all the time.
#[tokio::test]
async fn a_frozen_member_copies_what_it_missed() {
    let ([a, b, c], _) = start().await;
    for count in 0..WRITES_BEFORE {
        write(&a, &format!("before{count}")).await;
        tokio::time::sleep(WRITE_INTERVAL).await;
    }
    for vm in [&b, &c] {
        write(vm, "t1").await;
    }
    // Nothing runs in this process meanwhile, as on a frozen VM; a write is the first that it handles.
    thread::sleep(FREEZE);
    assert!(write_until_held(&a, "t1", RECOVERY).await, "still missing");
}

/// Guards against a turn that stays on one disk fewer, as a member that comes back before the others reach it asks
/// them once and never again.
#[tokio::test]
async fn a_comparison_without_an_answer_is_repeated() {
    let ([a, b, c], _) = start().await;
    for vm in [&b, &c] {
        write(vm, "t1").await;
        vm.silent.store(true, Ordering::SeqCst);
    }
    assert!(!write_until_held(&a, "t1", SILENCE).await);
    for vm in [&b, &c] {
        vm.silent.store(false, Ordering::SeqCst);
    }
    assert!(write_until_held(&a, "t1", RECOVERY).await, "still missing");
}

/// Guards against turns of a lost disk that count as dropped, as its empty successor doesn't have them: the
/// member that copies them asks nobody else.
#[tokio::test]
async fn turns_are_copied_from_the_disk_that_listed_them() {
    let copying = Vm::start("a", 1, Process::Current).await;
    let silent = Vm::start("b", 2, Process::Current).await;
    let comparisons = Arc::new(AtomicUsize::new(0));
    let emptied = start_lost_disk(comparisons.clone()).await;
    let list = List::default();
    let list = list
        .with(&copying.entry())
        .with(&silent.entry())
        .with(&emptied);
    copying.adopt(&list, list.version).await;
    silent.silent.store(true, Ordering::SeqCst);
    copying.drive();
    assert!(!write_until_held(&copying, "t1", RECOVERY).await);
    assert!(comparisons.load(Ordering::SeqCst) > 1, "asked once");
}

/// Starts a VM that loses its disk each time after it has told what it holds.
async fn start_lost_disk(comparisons: Arc<AtomicUsize>) -> Member {
    const MAX_ASK_BYTES: usize = 1024 * 1024;
    const DISK: u64 = 3;
    const NEW_DISK: u64 = 4;
    let listener = listen::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler = move |request: Request<Incoming>| {
        let comparisons = comparisons.clone();
        async move {
            let is_named = request.headers().contains_key(message::DISK_HEADER);
            let bytes = read(request.into_body(), MAX_ASK_BYTES).await.unwrap();
            let ask: Ask = rmp_serde::from_slice(&bytes).unwrap();
            let answer = match ask.body {
                Body::Keys => {
                    comparisons.fetch_add(1, Ordering::SeqCst);
                    Answer::Keys(Holdings {
                        ready: ask.version,
                        turns: vec![Key::of("t1")],
                        accounts: Vec::new(),
                    })
                }
                Body::Fetch(_) if is_named => Answer::OtherDisk(NEW_DISK),
                Body::Fetch(_) => Answer::Turns(Vec::new()),
                _ => Answer::Status(Status {
                    disk: NEW_DISK,
                    version: ask.version,
                    ready: 0,
                }),
            };
            Response::new(ResponseBody::whole(rmp_serde::to_vec(&answer).unwrap()))
        }
    };
    tokio::spawn(listen::run(listener, Arc::default(), handler));
    Member {
        vm: "c".to_owned(),
        centre: "c".to_owned(),
        address,
        disk: DISK,
    }
}
