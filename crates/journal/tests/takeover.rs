//! Appends, snapshots and takeovers on an in-memory platform, one failure per test.

use std::sync::Arc;
use std::sync::Mutex;

use async_trait::async_trait;
use journal::claim;
use journal::claim::Opened;
use journal::copy;
use journal::key;
use journal::log::Durable;
use journal::log::Fault;
use journal::log::Log;
use journal::log::Setup;
use journal::log::Status;
use journal::record::MAX_BYTES;
use journal::record::Record;
use journal::snapshot::Image;
use platform::client::Client;
use platform::edge::Entry;
use platform::edge::Platform;
use platform::edge::Priority;
use platform::edge::Txn;
use platform::edge::Write;
use platform::limit::Rate;
use platform::memory::Injection;
use platform::memory::Memory;
use rstest::rstest;
use wire::clock::Clock;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;
use wire::id;

/// Peers that return fixed batches to claimers and don't hold any.
#[derive(Default)]
struct FixedPeers {
    held: Vec<copy::Batch>,
    /// An owner that appends once more before the first response.
    owner: Option<Log>,
    /// The batches of lost shards that this VM keeps.
    kept: Arc<Mutex<Vec<copy::Batch>>>,
}

/// The incarnation of every VM.
const INCARNATION: u64 = 7;

#[async_trait]
impl copy::Peers for FixedPeers {
    async fn hold(
        &self,
        _holder: &copy::Holder,
        _shard: &id::Shard,
        _batch: &copy::Batch,
    ) -> copy::Result<()> {
        Err(copy::Fault::Unreachable)
    }

    async fn collect(
        &self,
        _vm: &id::Vm,
        _shard: &id::Shard,
        _epoch: u64,
    ) -> copy::Result<copy::Collected> {
        if let Some(owner) = &self.owner {
            let late = owner.append(vec![created("late")]);
            assert_eq!(late.await, Ok(Durable::Journal));
        }
        Ok(copy::Collected {
            incarnation: INCARNATION,
            held: self.held.clone(),
        })
    }

    async fn keep(&self, _shard: &id::Shard, held: Vec<copy::Batch>) {
        self.kept.lock().unwrap().extend(held);
    }

    async fn drained(&self, _holder: &copy::Holder, _shard: &id::Shard, _epoch: u64, _seq: u64) {}
}

fn shard() -> id::Shard {
    id::Shard {
        centre: id::Centre::parse("c").unwrap(),
        index: 0,
    }
}

async fn open(memory: &Memory, vm: &str) -> claim::Result<Opened> {
    open_with_peers(memory, vm, FixedPeers::default()).await
}

async fn open_with_peers(memory: &Memory, vm: &str, peers: FixedPeers) -> claim::Result<Opened> {
    open_on_platform(Arc::new(memory.clone()), vm, peers).await
}

async fn open_on_platform(
    platform: Arc<dyn Platform>,
    vm: &str,
    peers: FixedPeers,
) -> claim::Result<Opened> {
    let lease = platform.grant(Millis::new(60_000)).await.unwrap();
    let setup = Setup {
        platform,
        peers: Arc::new(peers),
        vm: id::Vm::parse(vm).unwrap(),
        shard: shard(),
        seed: lease.0,
        copy_holders: vec![copy::Holder {
            vm: id::Vm::parse("holder").unwrap(),
            incarnation: INCARNATION,
        }],
        acks: 0,
    };
    claim::open(setup, lease).await
}

/// Removes the ownership record, as the expiry of its lease does.
async fn expire_lease(memory: &Memory) {
    write(memory, vec![Write::Delete(key::owner(&shard()))]).await;
}

async fn write(memory: &Memory, writes: Vec<Write>) {
    let compares = Vec::new();
    let txn = Txn { compares, writes };
    memory.commit(&txn, Priority::Background).await.unwrap();
}

async fn list(memory: &Memory, prefix: &str) -> Vec<Entry> {
    memory.range(prefix, "", usize::MAX).await.unwrap()
}

fn created(name: &str) -> Record {
    Record::Created {
        program: id::Program::parse(name).unwrap(),
        caller: id::Caller::parse("crew").unwrap(),
        tokens: 100,
        turns: 3,
        idle: Millis::new(1_000),
        at: Millis::ZERO,
    }
}

fn intent(name: &str) -> Record {
    Record::Intent {
        program: id::Program::parse(name).unwrap(),
        key: id::Key::parse("key").unwrap(),
        attempt: id::Attempt(1),
        digest: id::Digest(1),
        at: Millis::ZERO,
    }
}

async fn append_program(opened: &mut Opened, name: &str) {
    opened.state.apply(&created(name));
    let append = opened.log.append(vec![created(name)]);
    assert_eq!(append.await, Ok(Durable::Journal));
}

/// Writes a snapshot and waits until its index is set and the covered keys are removed.
async fn write_snapshot(memory: &Memory, opened: &Opened) {
    opened.log.snapshot(Image::of(&opened.state));
    loop {
        tokio::task::yield_now().await;
        let first = list(memory, &key::journal_prefix(&shard())).await;
        if first[0].key != key::journal(&shard(), 0) {
            return;
        }
    }
}

#[tokio::test]
async fn a_deferrable_record_shares_a_write_when_the_budget_is_short() {
    // A VM has used half of its write budget, while turns end and others start. If each end were
    // written immediately, the starts would wait for the budget, and so would the first tokens of
    // the answers.
    let memory = Memory::default();
    let rate = Rate {
        reads: 1_000,
        writes: 9,
    };
    let clock = Clock::Manual(Arc::default());
    let limited = Client::new(memory.clone(), rate, Millis::new(500), clock);
    let mut opened = open_on_platform(Arc::new(limited), "a", FixedPeers::default())
        .await
        .unwrap();
    for name in ["p1", "p2"] {
        append_program(&mut opened, name).await;
    }
    let before = memory.writes();
    let program = id::Program::parse("p1").unwrap();
    let deferrable = opened.log.append(vec![Record::Forgotten { program }]);
    for _ in 0..20 {
        tokio::task::yield_now().await;
    }
    assert_eq!(memory.writes(), before);
    let start = opened.log.append(vec![created("p3")]);
    assert_eq!(start.await, Ok(Durable::Journal));
    assert_eq!(deferrable.await, Ok(Durable::Journal));
    assert_eq!(memory.writes(), before + 1);
}

#[tokio::test]
async fn appends_that_arrive_during_a_write_share_the_next_one() {
    // A hundred callers finish turns at once, on a platform that takes several hundred writes per
    // second from the whole fleet.
    let memory = Memory::default();
    let opened = open(&memory, "a").await.unwrap();
    let before = memory.writes();
    let names: Vec<String> = (0..100).map(|at| format!("p{at}")).collect();
    let appends: Vec<_> = names
        .iter()
        .map(|name| opened.log.append(vec![created(name)]))
        .collect();
    for append in appends {
        assert_eq!(append.await, Ok(Durable::Journal));
    }
    assert!(memory.writes() - before <= 2);
}

#[tokio::test]
async fn an_oversized_append_is_refused_and_writes_nothing() {
    let memory = Memory::default();
    let mut opened = open(&memory, "a").await.unwrap();
    let before = memory.writes();
    let names = (0..MAX_BYTES / 16).map(|at| created(&format!("p{at}")));
    let append = opened.log.append(names.collect());
    assert_eq!(append.await, Err(Fault::TooLarge));
    assert_eq!(memory.writes(), before);
    append_program(&mut opened, "p").await;
}

#[rstest]
#[case::lost_answer(Injection::LoseAnswer)]
#[case::lost_write(Injection::LoseWrite)]
#[case::delayed(Injection::Delay)]
#[tokio::test(start_paused = true)]
async fn an_append_of_unknown_outcome_is_written_once(#[case] play: Injection) {
    // The platform performs the write, loses it, or performs it later, and the response never
    // comes. The owner sends the same bytes until the key holds them.
    let memory = Memory::default();
    let mut opened = open(&memory, "a").await.unwrap();
    memory.inject(play);
    append_program(&mut opened, "p").await;
    memory.deliver();
    assert_eq!(list(&memory, &key::journal_prefix(&shard())).await.len(), 2);
    expire_lease(&memory).await;
    let next = open(&memory, "b").await.unwrap();
    assert!(
        next.state
            .program(&id::Program::parse("p").unwrap())
            .is_some()
    );
}

#[tokio::test]
async fn a_paused_owner_that_wakes_up_appends_nothing() {
    // An owner is paused beyond its lease and another VM takes over. The first owner wakes up with
    // a turn to commit. Its append is refused, and the turn is certainly not in the journal.
    let memory = Memory::default();
    let stale = open(&memory, "a").await.unwrap();
    assert!(matches!(
        open(&memory, "b").await,
        Err(claim::Fault::Owned(_))
    ));
    expire_lease(&memory).await;
    let mut next = open(&memory, "b").await.unwrap();
    assert_eq!((stale.epoch, next.epoch), (1, 2));
    let append = stale.log.append(vec![created("p")]);
    assert_eq!(append.await, Err(Fault::Lost { ran: Ran::No }));
    assert_eq!(stale.log.status(), Status::Lost);
    append_program(&mut next, "p").await;
}

#[tokio::test]
async fn a_paused_owner_whose_keys_were_removed_appends_nothing() {
    // As in the test above, but the new owner has also written a snapshot and removed the journal
    // keys that would block the paused owner. The paused owner's next key is absent again; the
    // changed index makes its append fail.
    let memory = Memory::default();
    let stale = open(&memory, "a").await.unwrap();
    expire_lease(&memory).await;
    let mut next = open(&memory, "b").await.unwrap();
    append_program(&mut next, "p").await;
    write_snapshot(&memory, &next).await;
    assert!(
        memory
            .read(&key::journal(&shard(), 1))
            .await
            .unwrap()
            .is_none()
    );
    let append = stale.log.append(vec![intent("p")]);
    assert_eq!(append.await, Err(Fault::Lost { ran: Ran::No }));
}

#[tokio::test(start_paused = true)]
async fn an_intent_is_withheld_during_an_outage_and_turns_wait() {
    let memory = Memory::default();
    let mut opened = open(&memory, "a").await.unwrap();
    append_program(&mut opened, "p").await;
    memory.set_down(true);
    let turn = opened.log.append(vec![created("q")]);
    let mut status = opened.log.watch();
    status
        .wait_for(|status| *status != Status::Open)
        .await
        .unwrap();
    let withheld = opened.log.append(vec![intent("p")]).await;
    assert!(matches!(
        withheld,
        Err(Fault::Withheld { ran: Ran::No, .. })
    ));
    memory.set_down(false);
    assert_eq!(turn.await, Ok(Durable::Journal));
    status
        .wait_for(|status| *status == Status::Open)
        .await
        .unwrap();
}

#[tokio::test]
async fn a_takeover_starts_from_the_image() {
    let memory = Memory::default();
    let mut opened = open(&memory, "a").await.unwrap();
    append_program(&mut opened, "p").await;
    write_snapshot(&memory, &opened).await;
    append_program(&mut opened, "q").await;
    expire_lease(&memory).await;
    let next = open(&memory, "b").await.unwrap();
    let ids: Vec<&str> = next.state.programs().map(|p| p.id.as_str()).collect();
    assert_eq!(ids, ["p", "q"]);
    assert_eq!(next.epoch, 2);
}

#[tokio::test]
async fn an_owner_that_dies_before_setting_its_index_leaves_the_journal_intact() {
    // The owner dies with its image half written. The next owner reads the journal, and its own
    // first image removes the leftover chunks.
    let memory = Memory::default();
    let mut opened = open(&memory, "a").await.unwrap();
    append_program(&mut opened, "p").await;
    let key = key::chunk(&shard(), 1, 1, 0);
    let (value, lease) = (b"half".to_vec(), None);
    let half = Write::Put { key, value, lease };
    write(&memory, vec![half]).await;
    expire_lease(&memory).await;
    let next = open(&memory, "b").await.unwrap();
    assert_eq!(next.state.programs().count(), 1);
    write_snapshot(&memory, &next).await;
    while memory
        .read(&key::chunk(&shard(), 1, 1, 0))
        .await
        .unwrap()
        .is_some()
    {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn an_owner_that_dies_before_the_removal_leaves_keys_that_are_removed_later() {
    // The owner dies between setting the index and removing the covered keys. The next owner starts
    // from the image, and its own next image removes the old keys.
    let memory = Memory::default();
    let mut opened = open(&memory, "a").await.unwrap();
    append_program(&mut opened, "p").await;
    let covered = list(&memory, &key::journal_prefix(&shard())).await;
    write_snapshot(&memory, &opened).await;
    let restored = covered.into_iter().map(|entry| Write::Put {
        key: entry.key,
        value: entry.value,
        lease: None,
    });
    write(&memory, restored.collect()).await;
    expire_lease(&memory).await;
    let mut next = open(&memory, "b").await.unwrap();
    assert_eq!(next.state.programs().count(), 1);
    append_program(&mut next, "q").await;
    write_snapshot(&memory, &next).await;
}

#[tokio::test]
async fn a_journal_with_a_missing_key_is_not_served() {
    let memory = Memory::default();
    let mut opened = open(&memory, "a").await.unwrap();
    append_program(&mut opened, "p").await;
    append_program(&mut opened, "q").await;
    let missing = key::journal(&shard(), 1);
    write(&memory, vec![Write::Delete(missing)]).await;
    expire_lease(&memory).await;
    assert!(matches!(
        open(&memory, "b").await,
        Err(claim::Fault::Damaged(_))
    ));
}

#[tokio::test]
async fn a_released_shard_can_be_claimed_at_once() {
    let memory = Memory::default();
    let opened = open(&memory, "a").await.unwrap();
    let setup = Setup {
        platform: Arc::new(memory.clone()),
        peers: Arc::new(FixedPeers::default()),
        vm: id::Vm::parse("a").unwrap(),
        shard: shard(),
        seed: 0,
        copy_holders: Vec::new(),
        acks: 0,
    };
    let ended = Record::Ended {
        program: id::Program::parse("p").unwrap(),
        code: Code::ProgramEnded,
        at: Millis::ZERO,
    };
    let append = opened.log.append(vec![created("p"), ended]);
    assert_eq!(append.await, Ok(Durable::Journal));
    claim::release(&setup, opened.epoch).await.unwrap();
    let next = open(&memory, "b").await.unwrap();
    assert_eq!(next.state.programs().count(), 1);
}

fn pending_batch(epoch: u64, seq: u64) -> copy::Batch {
    let batch = journal::record::Batch {
        writer: id::Vm::parse("a").unwrap(),
        nonce: 1,
        records: vec![created("p")],
    };
    let value = rmp_serde::to_vec_named(&batch).unwrap().into();
    copy::Batch { epoch, seq, value }
}

#[tokio::test]
async fn pending_batches_follow_the_old_owners_last_append() {
    // The old owner is cut off and sends a copy of a turn. Before that it appended another turn
    // that the claimer hadn't read yet. Both turns were answered, and neither may be lost.
    let memory = Memory::default();
    let old = open(&memory, "a").await.unwrap();
    expire_lease(&memory).await;
    let peers = FixedPeers {
        held: vec![pending_batch(1, 2)],
        owner: Some(old.log.clone()),
        ..FixedPeers::default()
    };
    let next = open_with_peers(&memory, "b", peers).await.unwrap();
    let ids: Vec<&str> = next.state.programs().map(|p| p.id.as_str()).collect();
    assert_eq!(ids, ["late", "p"]);
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_steps_down_reports_nothing_absent_that_it_hands_over() {
    // A claimer asks the old owner to step down while an intent is being written. The claimer
    // writes the batches that it gets, so the old owner must not tell its caller that the intent
    // isn't in the journal.
    let memory = Memory::default();
    let mut opened = open(&memory, "a").await.unwrap();
    append_program(&mut opened, "p").await;
    let before = memory.writes();
    memory.inject(Injection::LoseWrite);
    let append = opened.log.append(vec![intent("p")]);
    while memory.writes() == before {
        tokio::task::yield_now().await;
    }
    assert_eq!(opened.log.step_down().await.len(), 1);
    assert_eq!(append.await, Err(Fault::Lost { ran: Ran::Unknown }));
    let late = opened.log.append(vec![intent("p")]);
    assert_eq!(late.await, Err(Fault::Lost { ran: Ran::No }));
    assert_eq!(opened.log.step_down().await.len(), 1);
}

#[rstest]
#[case::of_the_last_owner(2, true)]
#[case::of_an_owner_before(1, false)]
#[tokio::test]
async fn only_the_last_owners_pending_batches_are_taken_over(
    #[case] epoch: u64,
    #[case] taken: bool,
) {
    // A VM that was considered gone when the second owner took over is back and still holds a batch
    // of the first owner. The third owner must not append that batch after the second owner's.
    let memory = Memory::default();
    for vm in ["a", "b"] {
        open(&memory, vm).await.unwrap();
        expire_lease(&memory).await;
    }
    let peers = FixedPeers {
        held: vec![pending_batch(epoch, 2)],
        ..FixedPeers::default()
    };
    let next = open_with_peers(&memory, "c", peers).await.unwrap();
    assert_eq!(next.state.programs().count(), usize::from(taken));
}

#[tokio::test(start_paused = true)]
async fn an_intent_that_may_be_written_is_never_reported_absent() {
    // The platform writes an intent, its response is lost, and then the platform goes down. The
    // caller is told that the outcome is unknown, because the intent may be in the journal.
    let memory = Memory::default();
    let mut opened = open(&memory, "a").await.unwrap();
    append_program(&mut opened, "p").await;
    let before = memory.writes();
    memory.inject(Injection::LoseAnswer);
    let append = opened.log.append(vec![intent("p")]);
    while memory.writes() == before {
        tokio::task::yield_now().await;
    }
    memory.set_down(true);
    let withheld = append.await;
    assert!(matches!(
        withheld,
        Err(Fault::Withheld {
            ran: Ran::Unknown,
            ..
        })
    ));
}

#[tokio::test]
async fn queued_batches_are_kept_before_anyone_learns_of_the_loss() {
    // An owner learns from its next append that the shard has another owner. Its node then drops
    // the log, whose queue may hold the only copy of an answered turn.
    let memory = Memory::default();
    let peers = FixedPeers::default();
    let kept = Arc::clone(&peers.kept);
    let stale = open_with_peers(&memory, "a", peers).await.unwrap();
    expire_lease(&memory).await;
    open(&memory, "b").await.unwrap();
    let append = stale.log.append(vec![created("p")]);
    assert!(matches!(append.await, Err(Fault::Lost { .. })));
    let kept: Vec<(u64, u64)> = kept
        .lock()
        .unwrap()
        .iter()
        .map(|h| (h.epoch, h.seq))
        .collect();
    assert_eq!(kept, [(1, 1)]);
}
