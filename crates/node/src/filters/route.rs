//! Maps programs to shards, and finds the VM that owns a program's shard.

use std::net::SocketAddr;

use settings::vm::Centre;
use settings::vm::Settings;
use wire::id;

use crate::core::Core;
use crate::view::Peer;
use crate::view::View;

/// The number of ids drawn to find one whose shard this VM owns. If it owns one shard in nine, the
/// chance that all of them miss is 15 %, and a miss costs one hop between VMs.
const MAX_DRAWS: usize = 16;

/// The next hop of an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Hop {
    /// This VM owns the shard.
    Local(id::Shard),
    /// Another VM owns the shard, or is in the data centre that knows the owner.
    Remote(id::Vm, SocketAddr),
    /// No VM of this data centre is known to own the shard.
    NoOwner(id::Shard),
    /// No VM of the program's data centre can be reached.
    Unreachable(id::Centre),
}

/// Returns the next hop of an ask for `program`.
#[must_use]
pub fn next_hop(core: &Core, view: &View, program: &id::Program) -> Hop {
    let shard = shard(&core.settings, program);
    if core.registry.holds(&shard) {
        return Hop::Local(shard);
    }
    let own = &core.settings.vm.name;
    let owner = view.owner(&shard).and_then(|owner| view.peer(&owner.vm));
    if let Some(owner) = owner.filter(|p| p.up && p.vm != *own) {
        return Hop::Remote(owner.vm.clone(), owner.address);
    }
    if shard.centre == core.settings.vm.centre {
        return Hop::NoOwner(shard);
    }
    match entry_vm(view, &shard, program) {
        Some(peer) => Hop::Remote(peer.vm.clone(), peer.address),
        // The shard's data centre is down, and so is its owner in another data centre.
        None if owner.is_some_and(|p| p.centre != shard.centre) => Hop::NoOwner(shard),
        None => Hop::Unreachable(shard.centre),
    }
}

/// Picks a VM in the shard's data centre, which has more recent news of the owner than this one.
fn entry_vm<'a>(view: &'a View, shard: &id::Shard, program: &id::Program) -> Option<&'a Peer> {
    let up = |p: &&Peer| p.centre == shard.centre && p.up && !p.stopping;
    let count = view.peers.iter().filter(up).count();
    if count == 0 {
        return None;
    }
    let index = hash(program.as_str()) % count as u64;
    view.peers
        .iter()
        .filter(up)
        .nth(usize::try_from(index).ok()?)
}

/// Returns the shard of a program.
#[must_use]
pub fn shard(settings: &Settings, program: &id::Program) -> id::Shard {
    let centre = home(settings, program);
    let hash = hash(program.as_str());
    let index = u16::try_from(hash % u64::from(centre.shards.max(1))).unwrap_or(0);
    id::Shard {
        centre: centre.name.clone(),
        index,
    }
}

/// Returns the home of a program: the data centre that a generated id names, else one chosen by the
/// id's hash.
fn home<'a>(settings: &'a Settings, program: &id::Program) -> &'a Centre {
    let named = named_centre(program).and_then(|name| {
        let centres = settings.centres.iter();
        centres.into_iter().find(|c| c.name.as_str() == name)
    });
    named.unwrap_or_else(|| {
        // The upper half of the hash, because the lower half picks the shard.
        let index = (hash(program.as_str()) >> 32) % settings.centres.len() as u64;
        &settings.centres[usize::try_from(index).unwrap_or(0)]
    })
}

/// Returns the data centre in a generated id; `None` for an id of another form.
fn named_centre(program: &id::Program) -> Option<&str> {
    let (centre, hex) = program.as_str().strip_prefix("p-")?.rsplit_once('-')?;
    let generated = hex.len() == 16 && hex.bytes().all(|b| b.is_ascii_hexdigit());
    generated.then_some(centre)
}

/// Generates the id of a new program in this data centre. Prefers an id whose shard this VM owns,
/// then one whose shard has an owner.
#[must_use]
pub fn generate(core: &Core, view: &View) -> id::Program {
    let draw = || random_id(&core.settings.vm.centre, rand::random());
    let mut best = draw();
    if core.stopping.is_cancelled() {
        return best;
    }
    for _ in 0..MAX_DRAWS {
        let drawn = draw();
        let shard = shard(&core.settings, &drawn);
        if core.registry.holds(&shard) {
            return drawn;
        }
        if view.owner(&shard).is_some() {
            best = drawn;
        }
    }
    best
}

/// Derives the program of a request that names none but has an idempotency key.
#[must_use]
pub fn program_of_key(caller: &id::Caller, key: &id::Key) -> id::Program {
    let hash = hash(&format!("{caller}/{key}"));
    id_of(&format!("k-{hash:016x}"))
}

fn random_id(centre: &id::Centre, drawn: u64) -> id::Program {
    id_of(&format!("p-{centre}-{drawn:016x}"))
}

/// Parses an id built from valid parts. An id that is too long, because of its data centre's name,
/// is replaced by a hash.
fn id_of(text: &str) -> id::Program {
    id::Program::parse(text).unwrap_or_else(|_| {
        let digest = format!("k-{:016x}", hash(text));
        id::Program::parse(&digest).expect("hex digits make an id")
    })
}

fn hash(text: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}

#[cfg(test)]
mod tests;
