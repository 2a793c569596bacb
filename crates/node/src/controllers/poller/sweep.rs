//! Which programs' cache an endpoint holds although the programs are gone.
//!
//! Releases are repeated until confirmed, but only to endpoints that the journal names as holders.
//! An engine may hold more: cache events come late and with gaps, and an attempt that was given up
//! may have been cached. The keeper therefore asks what is held, and asks each program's owner
//! whether it is gone. Only an owner's word counts: a shard without an owner, or an owner that
//! doesn't answer, says nothing. The owner sends the order, under its fence.

use wire::clock::Millis;
use wire::id;

/// How long a program must have been gone by its owner's word: longer than a hand-over or takeover
/// takes, so that an owner which has lost its shard without knowing it doesn't release what the
/// new owner has just begun. With [`super::CACHE`] a leak is found within 45 s.
pub const GRACE: Millis = Millis::new(15_000);

/// What an owner said of a program that an endpoint holds.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Candidate {
    endpoint: id::Endpoint,
    program: id::Program,
    epoch: u64,
    since: Millis,
}

/// What owners have said to be gone.
#[derive(Clone, Debug, Default)]
pub struct Sweep {
    candidates: Vec<Candidate>,
}

impl Sweep {
    /// Takes an owner's answer, of ownership number `epoch`, on the programs of its shard that an
    /// endpoint holds: `held` of which it says that `gone` are. Yields those that have been gone
    /// for [`GRACE`] under the same ownership, for the owner to release.
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

    /// Drops what an endpoint no longer holds.
    pub fn retain_held(&mut self, endpoint: &id::Endpoint, held: &[id::Program]) {
        self.candidates
            .retain(|c| c.endpoint != *endpoint || held.contains(&c.program));
    }
}
