//! Lists of members that change while VMs leave and come back, and that lose more disks than they bear.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use link::client::Client;
use link::client::Limits;
use link::intake::Intake;
use link::listen;
use platform::edge::Platform;
use platform::edge::Priority;
use platform::edge::Txn;
use platform::edge::Write;
use platform::memory::Memory;
use replica::client::Fault;
use replica::client::Found;
use replica::client::Replicas;
use replica::inquiry::Inquiry;
use replica::ledger;
use replica::list::Certainty;
use replica::list::List;
use replica::list::Member;
use replica::list::Reset;
use replica::member::Driver;
use replica::member::Phase;
use replica::message::Answer;
use replica::quorum::Verdict;
use replica::record::Key;
use replica::record::Record;
use replica::record::Reservation;
use replica::record::Turn;
use replica::server;
use rstest::rstest;
use support::Disk;
use tokio::sync::watch;
use tokio::time::timeout;
use wire::clock::Clock;
use wire::clock::Millis;

/// The most bytes of requests that a member reads at once.
const MAX_BYTES: usize = 32 * 1024 * 1024;
/// The size of a disk in bytes.
const DISK_BYTES: u64 = 500_000_000;
/// How long members may take to become complete replicas once all answer.
const RECOVERY: Duration = Duration::from_secs(12);
/// The key of the list in the key-value service.
const KEY: &str = "members";
/// The budget of each program, in tokens.
const BUDGET: u64 = 100;

/// A VM at whose address one member after another answers.
struct Vm {
    name: &'static str,
    address: SocketAddr,
    member: Arc<Mutex<Arc<server::Member>>>,
}

impl Vm {
    async fn start(name: &'static str, disk: u64) -> Self {
        let listener = listen::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let member = Arc::new(Mutex::new(open(&Disk::default(), disk).await));
        let shared = member.clone();
        let handler = move |request| {
            let member = shared.lock().unwrap().clone();
            server::serve(member, Intake::new(MAX_BYTES), request)
        };
        tokio::spawn(listen::run(listener, Arc::default(), handler));
        Self {
            name,
            address,
            member,
        }
    }

    fn member(&self) -> Arc<server::Member> {
        self.member.lock().unwrap().clone()
    }

    fn entry(&self) -> Member {
        Member {
            vm: self.name.to_owned(),
            centre: self.name.to_owned(),
            address: self.address,
            disk: self.member().status().disk,
        }
    }

    async fn replace(&self, disk: &Disk, number: u64) {
        let member = open(disk, number).await;
        *self.member.lock().unwrap() = member;
    }

    async fn adopt(&self, list: &List, ready: u64) {
        self.member().adopt(list).await.unwrap();
        self.member().set_ready(ready).await.unwrap();
    }

    async fn store(&self, record: Record) {
        let stored = self.member().apply(vec![record]).await;
        assert!(!matches!(stored, Answer::Failed(_)), "{stored:?}");
    }

    fn drive(&self, platform: &Arc<Memory>, phase: Phase) -> watch::Receiver<Phase> {
        let (phase, phases) = watch::channel(phase);
        let driver = Driver {
            member: self.member(),
            http: client(),
            platform: platform.clone(),
            key: KEY.to_owned(),
            own: self.entry(),
            losses: 1,
            max_silence: ledger::RETENTION,
            clock: Clock::System,
            phase,
        };
        tokio::spawn(driver.run());
        phases
    }

    fn is_complete(&self) -> bool {
        let list = self.member().identity().list;
        list.has_member(&self.entry()) && self.member().status().has_caught_up()
    }
}

async fn open(disk: &Disk, number: u64) -> Arc<server::Member> {
    let member = server::open_on(disk.medium(), DISK_BYTES, number, Clock::System);
    member.await.unwrap()
}

fn client() -> Arc<Client> {
    Client::new(Limits {
        connect_timeout: Duration::from_secs(1),
        unacked_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
        reuse_delay: Duration::ZERO,
        max_idle: 4,
        max_buffer: 64 * 1024,
        max_answer: u64::MAX,
    })
}

async fn write_list(platform: &Memory, list: &List) {
    let write = Write::Put {
        key: KEY.to_owned(),
        value: rmp_serde::to_vec(list).unwrap(),
        lease: None,
    };
    let txn = Txn {
        compares: Vec::new(),
        writes: vec![write],
    };
    platform.commit(&txn, Priority::Claim).await.unwrap();
}

fn turn(id: &str) -> Turn {
    Turn {
        key: Key::of(id),
        previous: None,
        text: Bytes::from_static(b"some text"),
    }
}

fn reservation(program: &str) -> Reservation {
    Reservation {
        program: Key::of(program),
        turn: Key::of("t1"),
        most: 50,
    }
}

fn reader(list: &List) -> Replicas {
    let reader = Replicas::new(client(), "a", 1);
    reader.adopt(list.clone());
    reader
}

async fn find(reader: &Replicas, id: &str) -> replica::client::Result<Found> {
    let mut inquiry = Inquiry::default();
    reader.chain(Key::of(id), &mut inquiry, |_| true).await
}

/// Builds the list that one of its three members is left of.
fn reset(before: &List, left: &Member, at: Millis) -> List {
    let reset = Reset {
        version: before.version + 1,
        at,
        losses: 1,
        left: vec![left.disk],
        knowing: vec![left.disk],
        accounts: Certainty::Some,
    };
    before.reset(vec![left.clone()], vec![left.clone()], reset)
}

/// Returns the list of three members whose first one is this VM.
fn list_of_three(vm: &Vm) -> List {
    let mut list = List::default().with(&vm.entry());
    for (at, name) in ["b", "c"].into_iter().enumerate() {
        list = list.with(&Member {
            vm: name.to_owned(),
            centre: name.to_owned(),
            address: ([127, 0, 0, 1], 1).into(),
            disk: 100 + at as u64,
        });
    }
    list
}

async fn until_complete(vms: &[&Vm]) {
    let all_complete = async {
        while !vms.iter().all(|vm| vm.is_complete()) {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(RECOVERY, all_complete)
        .await
        .expect("all are complete");
}

/// Guards against VMs that refuse turns for ever, as the only complete member's disk is gone and the list waits for
/// it.
#[tokio::test]
async fn a_list_whose_last_complete_disk_is_lost_serves_turns_again() {
    let platform = Arc::new(Memory::new(Clock::System));
    let a = Vm::start("a", 1).await;
    let b = Vm::start("b", 2).await;
    let list = List::default().with(&a.entry());
    write_list(&platform, &list).await;
    b.store(Record::Turn(turn("kept"))).await;
    a.replace(&Disk::default(), 3).await;
    for vm in [&a, &b] {
        vm.adopt(&list, 0).await;
        vm.drive(&platform, Phase::Member);
    }
    until_complete(&[&a, &b]).await;
    let list = a.member().identity().list;
    let front = reader(&list);
    assert_eq!(
        front.reserve(reservation("new"), None, BUDGET).await,
        Ok(Verdict::Fits)
    );
    let key = Key::of("later");
    assert_eq!(
        front.apply(key, vec![Record::Turn(turn("later"))]).await,
        Ok(())
    );
    let found = find(&front, "kept").await;
    assert!(matches!(found, Ok(Found::Part(..))), "{found:?}");
}

/// Guards against "no such turn" for one that may have been on a disk that is lost.
#[rstest]
#[case::soon(Millis::ZERO, false)]
#[case::when_nothing_of_before_is_kept(ledger::RETENTION, true)]
#[tokio::test]
async fn a_turn_that_may_be_lost_is_not_called_absent(
    #[case] age: Millis,
    #[case] is_absent: bool,
) {
    let a = Vm::start("a", 1).await;
    let at = Millis::new(Clock::System.now().as_u64() - age.as_u64());
    let list = reset(&list_of_three(&a), &a.entry(), at);
    a.adopt(&list, list.version).await;
    let found = find(&reader(&list), "unknown").await;
    assert_eq!(found == Ok(Found::Absent), is_absent, "{found:?}");
}

/// Guards against a budget that is exceeded, as the account of a program lacks what lost disks held.
#[tokio::test]
async fn a_program_whose_account_may_lack_entries_gets_no_tokens() {
    let disk = Disk::default();
    let a = Vm::start("a", 1).await;
    a.replace(&disk, 1).await;
    let before = list_of_three(&a);
    a.adopt(&before, before.version).await;
    a.store(Record::Reserve(reservation("old"))).await;
    let list = reset(&before, &a.entry(), Clock::System.now());
    a.adopt(&list, list.version).await;
    // The mark is on disk.
    a.replace(&disk, 9).await;

    let front = reader(&list);
    let old = Reservation {
        turn: Key::of("t2"),
        most: 1,
        ..reservation("old")
    };
    let refused = front.reserve(old, None, BUDGET).await;
    assert!(matches!(refused, Err(Fault::RecordsLost(_))), "{refused:?}");
    let unknown = front.check_account(Key::of("wholly lost")).await;
    assert!(matches!(unknown, Err(Fault::RecordsLost(_))), "{unknown:?}");
    assert_eq!(
        front.reserve(reservation("new"), None, BUDGET).await,
        Ok(Verdict::Fits)
    );
    assert_eq!(front.check_account(Key::of("new")).await, Ok(()));
}

/// Guards against programs that are refused though enough disks are left that hold their accounts.
#[test]
fn an_account_on_enough_disks_is_complete() {
    let member = |number: u64, centre: &str| Member {
        vm: format!("store-{number}"),
        centre: centre.to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        disk: number,
    };
    let members = (1..=9).map(|number| {
        member(
            number,
            ["a", "b", "c"][usize::try_from(number % 3).unwrap()],
        )
    });
    let list = members.fold(List::default(), |list, member| list.with(&member));
    // Of each data centre but the last, one disk is lost.
    let left: Vec<u64> = (1..=9).filter(|number| ![3, 4].contains(number)).collect();
    let reset = Reset {
        version: list.version + 1,
        at: Millis::ZERO,
        losses: 1,
        knowing: left.clone(),
        left: left.clone(),
        accounts: Certainty::Some,
    };
    let mut incomplete = 0;
    for number in 0..1_000_u32 {
        let program = Key::of(&format!("p{number}"));
        let group = list.group(program, 1);
        let gone = group.iter().filter(|member| !left.contains(&member.disk));
        let is_complete = gone.count() < 2;
        assert_eq!(reset.is_complete(&list, program), is_complete);
        incomplete += usize::from(!is_complete);
    }
    assert!((1..500).contains(&incomplete), "{incomplete}");
    assert!(!reset.is_complete(&List::default(), Key::of("p0")));
}

/// Guards against acknowledged turns on too few disks, as a VM is emptied though the others aren't enough for a
/// loss.
#[tokio::test]
async fn a_vm_is_not_emptied_while_the_others_are_too_few_for_a_loss() {
    let platform = Arc::new(Memory::new(Clock::System));
    let vms = [
        Vm::start("a", 1).await,
        Vm::start("b", 2).await,
        Vm::start("c", 3).await,
    ];
    let mut list = List::default();
    for vm in &vms {
        list = list.with(&vm.entry());
    }
    write_list(&platform, &list).await;
    let [a, b, c] = &vms;
    for vm in &vms {
        vm.adopt(&list, list.version).await;
    }
    let phases = a.drive(&platform, Phase::Leaving);
    for vm in [b, c] {
        vm.drive(&platform, Phase::Member);
    }
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(*phases.borrow(), Phase::Leaving);
    assert_eq!(b.member().identity().list, list);

    let d = Vm::start("d", 4).await;
    d.drive(&platform, Phase::Member);
    let left = async {
        let mut phases = phases;
        phases
            .wait_for(|phase| *phase == Phase::Left)
            .await
            .map(drop)
    };
    timeout(RECOVERY, left)
        .await
        .expect("the VM is emptied")
        .unwrap();
    assert_eq!(b.member().identity().list.members.len(), 3);
}

/// Guards against acknowledged turns on one disk only, as a silent member of two is removed.
#[tokio::test]
async fn a_list_of_two_keeps_a_silent_member() {
    let platform = Arc::new(Memory::new(Clock::System));
    let a = Vm::start("a", 1).await;
    let mut list = List::default().with(&a.entry());
    list = list.with(&Member {
        vm: "b".to_owned(),
        centre: "b".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        disk: 2,
    });
    write_list(&platform, &list).await;
    a.adopt(&list, list.version).await;
    a.drive(&platform, Phase::Member);
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert_eq!(a.member().identity().list, list);
}

/// Guards against a member that stays with a list that has changed while it was away, and serves nobody until it
/// happens to read the new one.
#[tokio::test]
async fn a_member_that_was_away_learns_of_the_new_list_at_once() {
    let platform = Arc::new(Memory::new(Clock::System));
    let a = Vm::start("a", 1).await;
    let b = Vm::start("b", 2).await;
    let old = List::default().with(&a.entry()).with(&b.entry());
    write_list(&platform, &old).await;
    b.adopt(&old, old.version).await;
    b.drive(&platform, Phase::Member);
    // Its driver has read the list when it changes.
    tokio::time::sleep(Duration::from_millis(500)).await;
    let new = old.without("b");
    write_list(&platform, &new).await;
    a.adopt(&new, new.version).await;
    a.drive(&platform, Phase::Member);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(b.member().identity().list.version > old.version);
    until_complete(&[&a, &b]).await;
}

/// Guards against turns that are refused for as long as a new member copies the texts of all others.
#[tokio::test]
async fn a_member_admits_turns_while_it_still_copies_texts() {
    let platform = Arc::new(Memory::new(Clock::System));
    let disk = Disk::default();
    let a = Vm::start("a", 1).await;
    a.replace(&disk, 1).await;
    let list = List::default().with(&a.entry());
    write_list(&platform, &list).await;
    a.adopt(&list, list.version).await;
    a.store(Record::Turn(turn("kept"))).await;
    // The text can't be read, so that its copy doesn't end.
    disk.use_up_descriptors();
    let b = Vm::start("b", 2).await;
    b.drive(&platform, Phase::Member);
    a.drive(&platform, Phase::Member);
    let admitted = async {
        loop {
            let front = reader(&b.member().identity().list);
            if front.list().members.len() == 2
                && front.reserve(reservation("new"), None, BUDGET).await == Ok(Verdict::Fits)
            {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(RECOVERY, admitted)
        .await
        .expect("the turn is admitted");
    assert!(!b.is_complete());
}
