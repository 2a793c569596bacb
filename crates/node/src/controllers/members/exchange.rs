//! What one VM puts into its heartbeats and takes from others'.

use wire::clock::Millis;
use wire::id;
use xxhash_rust::xxh3::Xxh3;

use super::super::claims;
use super::Table;
use super::beat::Beat;
use super::beat::Life;
use super::beat::Line;
use super::listings::Listings;
use super::loads::Loads;
use super::owners::Owners;

/// Lines of VMs in a frame. An ordinary day of the letter's fleet has 178 restarts and failures,
/// each news of a few lines; 12 a frame carry a rack of 20 in two frames.
const VMS: usize = 12;
/// Lines of shards in a frame.
const OWNERS: usize = 12;
/// Loads in a frame: at 4 frames sent a round and about 50 bytes each this is 1.6 KB a second of
/// the 4 KB that the letter allows.
const LOADS: usize = 8;
/// Endpoints in a frame that leave or no longer do.
const LISTINGS: usize = 12;
/// How long what a VM knows must have been unchanged before a differing digest means that it
/// missed something, rather than that news is on its way.
const QUIET: Millis = Millis::new(5_000);
/// The least time between two exchanges of all lines: 380 VMs and 512 shards are 45 KB, thus
/// 1.5 KB a second while digests go on to differ.
const SYNC: Millis = Millis::new(30_000);

/// All that a VM hears and tells.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The VMs.
    pub table: Table,
    /// The shards' owners.
    pub owners: Owners,
    /// The endpoints' loads.
    pub loads: Loads,
    /// The endpoints that leave by the platform's list.
    pub listings: Listings,
    digest: u64,
    changed: Millis,
    synced: Option<Millis>,
}

/// What to do after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Nothing.
    Rest,
    /// Send [`Exchange::all`] to the same VM.
    Sync,
}

impl Exchange {
    /// Makes the state of a VM that starts.
    #[must_use]
    pub fn new(own: Line, now: Millis) -> Self {
        Self {
            table: Table::new(own, now),
            owners: Owners::default(),
            loads: Loads::default(),
            listings: Listings::default(),
            digest: 0,
            changed: now,
            synced: None,
        }
    }

    /// Builds a heartbeat for a VM, or the answer to one.
    pub fn frame(&mut self, to: &id::Vm, now: Millis) -> Beat {
        self.refresh(now);
        let vms = self.table.members().len();
        let own = self.table.own().clone();
        let near = self
            .table
            .find(to)
            .is_some_and(|m| m.line.centre == own.centre);
        let loads = if near { LOADS } else { 0 };
        Beat {
            me: own,
            digest: self.digest,
            full: false,
            vms: self.table.news(to, VMS),
            owners: self.owners.news(OWNERS, vms),
            loads: self.loads.pick(loads, now),
            listings: self.listings.news(LISTINGS, vms, now),
        }
    }

    /// Builds a heartbeat with all lines, which asks for all of the other's.
    pub fn all(&mut self, now: Millis) -> Beat {
        self.refresh(now);
        self.synced = Some(now);
        Beat {
            full: true,
            ..self.lines()
        }
    }

    /// Builds the last heartbeat of a VM that has given up its shards and goes.
    pub fn farewell(&mut self) -> Beat {
        let me = self.table.own().vm.clone();
        for line in claims::forgotten(&me, &[], self.owners.lines()) {
            self.owners.merge(&line);
        }
        let mut last = self.lines();
        last.me.life = Life::Down;
        last
    }

    /// Takes a heartbeat and builds the answer.
    pub fn answer(&mut self, beat: &Beat, now: Millis) -> Beat {
        self.take(beat, now);
        if beat.full {
            return self.lines();
        }
        self.frame(&beat.me.vm, now)
    }

    /// Takes the answer to a heartbeat.
    pub fn answered(&mut self, beat: &Beat, now: Millis) -> Next {
        self.take(beat, now);
        self.refresh(now);
        let differs = self.digest != beat.digest && !beat.full;
        let quiet = now.since(self.changed) >= QUIET;
        match self.synced {
            None => Next::Sync,
            Some(last) if differs && quiet && now.since(last) >= SYNC => Next::Sync,
            Some(_) => Next::Rest,
        }
    }

    fn take(&mut self, beat: &Beat, now: Millis) {
        self.table.merge(&beat.me, now);
        for line in &beat.vms {
            self.table.merge(line, now);
        }
        for line in &beat.owners {
            self.owners.merge(line);
        }
        for line in &beat.listings {
            self.listings.merge(line, now);
        }
        for line in &beat.loads {
            self.loads.merge(line, now);
        }
    }

    fn lines(&self) -> Beat {
        let others = self.table.members().iter().map(|m| &m.line);
        let told = others.filter(|l| l.life != Life::Down || l.incarnation > 0);
        Beat {
            me: self.table.own().clone(),
            digest: self.digest,
            full: false,
            vms: told.cloned().collect(),
            owners: self.owners.lines().to_vec(),
            loads: Vec::new(),
            listings: Vec::new(),
        }
    }

    fn refresh(&mut self, now: Millis) {
        let mut hash = Xxh3::new();
        self.table.digest(&mut hash);
        self.owners.digest(&mut hash);
        let digest = hash.digest();
        if digest != self.digest {
            self.digest = digest;
            self.changed = now;
        }
    }
}
