//! Finds cache that endpoints hold for programs that are gone.
//!
//! Releases are repeated until they are confirmed, but are sent only to endpoints that the journal
//! names as holders. An engine may hold more: cache events arrive late and with gaps, and an
//! abandoned attempt may have been cached. The poller therefore asks the endpoint which programs it
//! holds, and asks the owner of each program whether that is gone. Only an owner's answer counts:
//! nothing follows from a shard without an owner, or from an owner that doesn't answer. The owner
//! sends the release order with its fence.

use wire::clock::Millis;
use wire::id;

/// How long an owner must report a program as gone before it is released. This is longer than a
/// handover or takeover takes, so that an owner that has lost its shard without noticing doesn't
/// release a program that the new owner has just started. With [`super::CACHE_INTERVAL`] a leak is
/// found within 45 s.
pub const GRACE: Millis = Millis::new(15_000);

/// A program that an endpoint holds and that its owner reported as gone.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Candidate {
    endpoint: id::Endpoint,
    program: id::Program,
    epoch: u64,
    since: Millis,
}

/// The programs that owners reported as gone.
#[derive(Clone, Debug, Default)]
pub struct Sweep {
    candidates: Vec<Candidate>,
}

impl Sweep {
    /// Handles the answer of an owner with this `epoch` about the programs of its shard that an
    /// endpoint holds: of `held`, those in `gone` are gone. Returns the programs that have been
    /// gone for [`GRACE`] in the same epoch, which the owner should release.
    pub fn on_answer(
        &mut self,
        endpoint: &id::Endpoint,
        epoch: u64,
        held: &[id::Program],
        gone: &[id::Program],
        now: Millis,
    ) -> Vec<id::Program> {
        self.candidates.retain(|c| {
            let is_asked = c.endpoint == *endpoint && held.contains(&c.program);
            !is_asked || (gone.contains(&c.program) && c.epoch == epoch)
        });
        let mut due = Vec::new();
        for program in gone {
            let same = |c: &&Candidate| c.endpoint == *endpoint && c.program == *program;
            match self.candidates.iter().find(same) {
                Some(known) if now.since(known.since) >= GRACE => due.push(program.clone()),
                Some(_) => {}
                None => self.candidates.push(Candidate {
                    endpoint: endpoint.clone(),
                    program: program.clone(),
                    epoch,
                    since: now,
                }),
            }
        }
        due
    }

    /// Drops the programs that an endpoint no longer holds.
    pub fn retain_held(&mut self, endpoint: &id::Endpoint, held: &[id::Program]) {
        self.candidates
            .retain(|c| c.endpoint != *endpoint || held.contains(&c.program));
    }
}
