//! How a VM becomes the owner of a shard.
//!
//! Prevents this failure: a VM dies or pauses, and its programs wait for ever or run on two VMs.
//! The ownership record decides which VM tries; the [`Record::Opened`] in the journal is the fence
//! that makes the next append of every earlier owner fail.
//!
//! A claim takes these steps:
//!
//! 1. Read the journal.
//! 2. Write the ownership record if it is free.
//! 3. Collect the batches that other VMs hold for the old owner, which also fences the old owner on
//!    those VMs.
//! 4. Write these batches to the journal, with the keys and the bytes that the old owner chose, so
//!    that the result is the same whether the claimer or the old owner writes them.
//! 5. Append the fence.
//!
//! Records that the old owner appends in the meantime are read and applied as usual.
//!
//! After an outage all leases have expired at once. Claimers therefore wait for one lease time
//! first, so that the owners can [`reclaim`] their shards.

mod collect;
mod load;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use platform::edge;
use platform::edge::Compare;
use platform::edge::Outcome;
use platform::edge::Priority;
use platform::edge::Txn;
use platform::edge::Write;
use serde::Deserialize;
use serde::Serialize;
use wire::event::Event;
use wire::id;

use self::load::Loaded;
use crate::copy;
use crate::key;
use crate::log::KeyWrite;
use crate::log::Log;
use crate::log::Setup;
use crate::log::Tail;
use crate::log::WriteOutcome;
use crate::log::backoff;
use crate::log::encode;
use crate::log::nonce;
use crate::log::send;
use crate::record::Record;
use crate::state::State;

/// The maximum number of sends of one key. After that the claim fails, and the caller starts it
/// again.
const MAX_TRIES: u32 = 5;

/// The value of the ownership key `owner/<centre>/<index>`. The key expires with the owner's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// The VM that owns the shard.
    pub vm: id::Vm,
    /// One more than the epoch of the shard's previous opening.
    pub epoch: u64,
    /// The VMs that hold copies of pending batches.
    pub copies: Vec<copy::Holder>,
}

/// A shard that this VM owns.
#[derive(Debug)]
pub struct Opened {
    /// The epoch of this ownership, used as the fencing token of the orders that the owner sends.
    pub epoch: u64,
    /// The state rebuilt from the journal.
    pub state: State,
    /// The log to append to.
    pub log: Log,
}

/// Why a claim failed. The VM doesn't own the shard then.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// The ownership record belongs to another VM.
    #[display("{} owns the shard", _0.vm)]
    Owned(#[error(not(source))] Ownership),
    /// In the meantime, another VM has claimed or opened the shard, or the old owner has written a
    /// snapshot.
    #[display("another VM claims the shard")]
    Raced,
    /// A VM that may hold pending batches doesn't answer, and the platform still lists it.
    #[display("{_0} may hold pending batches and doesn't answer")]
    Waiting(#[error(not(source))] id::Vm),
    /// The platform doesn't answer as expected.
    #[display("{_0}")]
    Platform(edge::Fault),
    /// The journal has a gap or records that don't match the state.
    #[display("the journal is damaged: {_0}")]
    Damaged(#[error(not(source))] String),
}

/// The result of a claim.
pub type Result<T> = std::result::Result<T, Fault>;

impl From<edge::Fault> for Fault {
    fn from(fault: edge::Fault) -> Self {
        Self::Platform(fault)
    }
}

impl Ownership {
    /// Decodes the value of an ownership key. Returns `None` if the bytes are damaged.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(value).ok()
    }

    fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec_named(self).unwrap_or_default()
    }
}

/// Claims a shard and opens it.
///
/// # Errors
///
/// Returns a [`Fault`]; the caller may try again later.
pub async fn open(setup: Setup, lease: edge::Lease) -> Result<Opened> {
    // The record is checked before the journal, which may be long, is read: claiming a shard that
    // has an owner then costs only one read.
    let expected = free_revision(&setup).await?;
    let mut loaded = load::load(setup.platform.as_ref(), &setup.shard).await?;
    let epoch = loaded.state.epoch() + 1;
    let ownership = Ownership {
        vm: setup.vm.clone(),
        epoch,
        copies: setup.copy_holders.clone(),
    };
    write_ownership(&setup, &ownership, expected, lease).await?;
    log::info!(
        "{} shard={} epoch={epoch}",
        Event::ShardClaimed,
        setup.shard
    );
    let held = collect::collect(&setup, &loaded.state, epoch).await?;
    write_pending(&setup, &mut loaded, &held).await?;
    append_fence(&setup, &mut loaded, epoch).await?;
    notify_drained(&setup, &loaded, &held).await;
    log::info!("{} shard={} epoch={epoch}", Event::ShardOpened, setup.shard);
    let tail = Tail {
        seq: loaded.next - 1,
        epoch,
        index: loaded.index,
    };
    Ok(Opened {
        epoch,
        state: loaded.state,
        log: Log::start(setup, tail),
    })
}

/// Writes the ownership record again after its lease has expired, for an owner that still has the
/// shard open. Returns `false` if another VM holds the record.
///
/// # Errors
///
/// Fails if the platform doesn't answer as expected.
pub async fn reclaim(setup: &Setup, epoch: u64, lease: edge::Lease) -> Result<bool> {
    let ownership = Ownership {
        vm: setup.vm.clone(),
        epoch,
        copies: setup.copy_holders.clone(),
    };
    let expected = match free_revision(setup).await {
        Ok(expected) => expected,
        Err(Fault::Owned(_)) => return Ok(false),
        Err(fault) => return Err(fault),
    };
    match write_ownership(setup, &ownership, expected, lease).await {
        Ok(()) => Ok(true),
        Err(Fault::Raced) => Ok(false),
        Err(fault) => Err(fault),
    }
}

/// Releases a shard: removes the ownership record if it belongs to this VM. The caller must have
/// ended its appends.
///
/// # Errors
///
/// Fails if the platform doesn't answer as expected; the record is then deleted when the lease
/// expires.
pub async fn release(setup: &Setup, epoch: u64) -> Result<()> {
    let key = key::owner(&setup.shard);
    let Some(entry) = setup.platform.read(&key).await? else {
        return Ok(());
    };
    let is_own = |ownership: &Ownership| ownership.vm == setup.vm && ownership.epoch == epoch;
    if Ownership::decode(&entry.value).as_ref().is_some_and(is_own) {
        let txn = Txn {
            compares: vec![Compare {
                key: key.clone(),
                revision: entry.revision,
            }],
            writes: vec![Write::Delete(key)],
        };
        setup.platform.commit(&txn, Priority::Claim).await?;
        log::info!(
            "{} shard={} epoch={epoch}",
            Event::ShardReleased,
            setup.shard
        );
    }
    Ok(())
}

/// Returns the revision of the ownership record if the record is absent (0) or belongs to this VM.
async fn free_revision(setup: &Setup) -> Result<u64> {
    let Some(entry) = setup.platform.read(&key::owner(&setup.shard)).await? else {
        return Ok(0);
    };
    match Ownership::decode(&entry.value) {
        Some(ownership) if ownership.vm != setup.vm => Err(Fault::Owned(ownership)),
        // A record that can't be decoded protects no owner; the fence in the journal does.
        Some(_) | None => Ok(entry.revision),
    }
}

async fn write_ownership(
    setup: &Setup,
    ownership: &Ownership,
    expected: u64,
    lease: edge::Lease,
) -> Result<()> {
    let key = key::owner(&setup.shard);
    let txn = Txn {
        compares: vec![Compare {
            key: key.clone(),
            revision: expected,
        }],
        writes: vec![Write::Put {
            key: key.clone(),
            value: ownership.encode(),
            lease: Some(lease),
        }],
    };
    match setup.platform.commit(&txn, Priority::Claim).await {
        Ok(Outcome::Applied(_)) => Ok(()),
        Ok(Outcome::Refused(_)) => Err(Fault::Raced),
        // The write may still take effect later. The record then belongs to this VM, which tries
        // again anyway.
        Err(fault) => Err(fault.into()),
    }
}

/// Writes the batches that the old owner left pending to the keys they were meant for. A batch
/// whose epoch isn't the journal's current one is left over from an owner that lost the shard
/// earlier; its key already holds another batch.
async fn write_pending(setup: &Setup, loaded: &mut Loaded, held: &[copy::Batch]) -> Result<()> {
    // The old owner may have appended until the collection fenced it. Without those keys, the first
    // pending batch would appear to follow a gap.
    let epoch = loaded.state.epoch();
    load::read_tail(setup.platform.as_ref(), &setup.shard, loaded).await?;
    if loaded.state.epoch() > epoch {
        return Err(Fault::Raced);
    }
    for batch in held.iter().filter(|batch| batch.epoch == epoch) {
        if batch.seq < loaded.next {
            continue;
        }
        if batch.seq > loaded.next {
            let gap = format!(
                "found pending batch {}, expected {}",
                batch.seq, loaded.next
            );
            log::error!("{} shard={} lost: {gap}", Event::ShardClaimed, setup.shard);
            return Ok(());
        }
        append_value(setup, loaded, batch.value.clone(), epoch).await?;
    }
    Ok(())
}

/// Appends the fence after everything that the old owner appends in the meantime.
async fn append_fence(setup: &Setup, loaded: &mut Loaded, epoch: u64) -> Result<()> {
    loop {
        let seq = loaded.next;
        let opened = Record::Opened {
            vm: setup.vm.clone(),
            epoch,
            copies: setup.copy_holders.clone(),
        };
        let damaged = || Fault::Damaged("the record of the new owner can't be encoded".to_owned());
        let nonce = nonce(setup.seed, seq);
        let value = encode(&setup.vm, nonce, vec![opened]).ok_or_else(damaged)?;
        if append_value(setup, loaded, value, epoch - 1).await? {
            return Ok(());
        }
    }
}

/// Writes a value to the journal key after the last one that was read. Returns `false` if that key
/// already holds another value: the rest of the journal is then read and applied. Fails if a newer
/// owner wrote a part of it.
async fn append_value(
    setup: &Setup,
    loaded: &mut Loaded,
    value: Bytes,
    old_epoch: u64,
) -> Result<bool> {
    let mut tries = 0;
    loop {
        let write = KeyWrite {
            seq: loaded.next,
            value: value.clone(),
            index: None,
            index_revision: loaded.index.revision,
        };
        match send(setup.platform.as_ref(), &setup.shard, &write).await {
            WriteOutcome::Written(_) => {
                loaded.apply_next(&value)?;
                return Ok(true);
            }
            WriteOutcome::Taken => {
                load::read_tail(setup.platform.as_ref(), &setup.shard, loaded).await?;
                if loaded.state.epoch() > old_epoch {
                    return Err(Fault::Raced);
                }
                return Ok(false);
            }
            // The old owner has written a snapshot in the meantime; the claim must start again.
            WriteOutcome::Superseded => return Err(Fault::Raced),
            WriteOutcome::Retry(fault) => {
                tries += 1;
                if tries >= MAX_TRIES {
                    return Err(fault.into());
                }
                tokio::time::sleep(backoff(tries, setup.seed).as_duration()).await;
            }
        }
    }
}

/// Tells the old owner's copy holders that its batches are in the journal and can be dropped.
async fn notify_drained(setup: &Setup, loaded: &Loaded, held: &[copy::Batch]) {
    if held.is_empty() {
        return;
    }
    for holder in &loaded.old_copy_holders {
        let epoch = loaded.state.epoch();
        let peers = &setup.peers;
        peers
            .drained(holder, &setup.shard, epoch, loaded.next)
            .await;
    }
}
