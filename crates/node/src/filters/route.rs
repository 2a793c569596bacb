//! Finds the shard of a program and the VM that owns it.

use std::net::SocketAddr;

use settings::vm::Centre;
use settings::vm::Settings;
use wire::id;

use crate::core::Core;
use crate::view::Peer;
use crate::view::View;

/// How many ids are drawn to find one whose shard this VM owns; with a share of one shard in nine
/// the chance to miss all of them is 15 %, and a miss costs one hop between VMs.
const DRAWS: usize = 16;

/// Where an ask goes next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Hop {
    /// This VM owns the shard.
    Here(id::Shard),
    /// Another VM does, or knows who does.
    There(id::Vm, SocketAddr),
    /// No VM of this data centre is known to own the shard.
    NoOwner(id::Shard),
    /// No VM of the program's data centre can be reached.
    Unreachable(id::Centre),
}

/// Finds where an ask for `program` goes next.
#[must_use]
pub fn hop(core: &Core, view: &View, program: &id::Program) -> Hop {
    let shard = shard(&core.settings, program);
    if core.registry.holds(&shard) {
        return Hop::Here(shard);
    }
    let own = &core.settings.vm.name;
    let owner = view.owner(&shard).and_then(|owner| view.peer(&owner.vm));
    if let Some(owner) = owner.filter(|p| p.up && p.vm != *own) {
        return Hop::There(owner.vm.clone(), owner.address);
    }
    if shard.centre == core.settings.vm.centre {
        return Hop::NoOwner(shard);
    }
    match gate(view, &shard, program) {
        Some(peer) => Hop::There(peer.vm.clone(), peer.address),
        // A lost data centre's shard, whose owner elsewhere has died.
        None if owner.is_some_and(|p| p.centre != shard.centre) => Hop::NoOwner(shard),
        None => Hop::Unreachable(shard.centre),
    }
}

/// Picks a VM of the shard's data centre, which knows the owner better than this one.
fn gate<'a>(view: &'a View, shard: &id::Shard, program: &id::Program) -> Option<&'a Peer> {
    let up = |p: &&Peer| p.centre == shard.centre && p.up && !p.stopping;
    let count = view.peers.iter().filter(up).count();
    if count == 0 {
        return None;
    }
    let at = spread(program.as_str()) % count as u64;
    view.peers.iter().filter(up).nth(usize::try_from(at).ok()?)
}

/// Yields the shard of a program.
#[must_use]
pub fn shard(settings: &Settings, program: &id::Program) -> id::Shard {
    let centre = home(settings, program);
    let hash = spread(program.as_str());
    let index = u16::try_from(hash % u64::from(centre.shards.max(1))).unwrap_or(0);
    id::Shard {
        centre: centre.name.clone(),
        index,
    }
}

/// Yields the home of a program: the data centre that a minted id names, else one by its hash.
fn home<'a>(settings: &'a Settings, program: &id::Program) -> &'a Centre {
    let named = minted(program).and_then(|name| {
        let centres = settings.centres.iter();
        centres.into_iter().find(|c| c.name.as_str() == name)
    });
    named.unwrap_or_else(|| {
        // The upper half, as the lower one picks the shard.
        let at = (spread(program.as_str()) >> 32) % settings.centres.len() as u64;
        &settings.centres[usize::try_from(at).unwrap_or(0)]
    })
}

fn minted(program: &id::Program) -> Option<&str> {
    let (centre, hex) = program.as_str().strip_prefix("p-")?.rsplit_once('-')?;
    let drawn = hex.len() == 16 && hex.bytes().all(|b| b.is_ascii_hexdigit());
    drawn.then_some(centre)
}

/// Draws the id of a new program of this data centre, where possible one whose shard this VM
/// owns, else one whose shard has an owner.
#[must_use]
pub fn mint(core: &Core, view: &View) -> id::Program {
    let draw = || minted_id(&core.settings.vm.centre, rand::random());
    let mut best = draw();
    if core.stopping.is_cancelled() {
        return best;
    }
    for _ in 0..DRAWS {
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
pub fn keyed(caller: &id::Caller, key: &id::Key) -> id::Program {
    let hash = spread(&format!("{caller}/{key}"));
    parsed(&format!("k-{hash:016x}"))
}

fn minted_id(centre: &id::Centre, drawn: u64) -> id::Program {
    parsed(&format!("p-{centre}-{drawn:016x}"))
}

/// Parses an id that is built of valid parts; a data centre's name too long for it gives way.
fn parsed(text: &str) -> id::Program {
    id::Program::parse(text).unwrap_or_else(|_| {
        let digest = format!("k-{:016x}", spread(text));
        id::Program::parse(&digest).expect("hex digits make an id")
    })
}

fn spread(text: &str) -> u64 {
    xxhash_rust::xxh3::xxh3_64(text.as_bytes())
}

#[cfg(test)]
mod tests;
