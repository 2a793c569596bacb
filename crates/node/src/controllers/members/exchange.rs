//! What a VM puts into its heartbeats, and how it merges those of others.

use wire::clock::Millis;
use wire::id;
use xxhash_rust::xxh3::Xxh3;

use super::super::claims;
use super::Table;
use super::heartbeat::Heartbeat;
use super::heartbeat::Liveness;
use super::heartbeat::Status;
use super::listings::Listings;
use super::loads::Loads;
use super::owners::Owners;

/// The most VM statuses in a frame. A fleet of 380 VMs has 178 restarts and failures on an ordinary
/// day, each of which causes a few updates; with 12 in a frame, the failure of a rack of 20 VMs
/// fits in two frames.
const MAX_VMS: usize = 12;
/// The most shard owners in a frame.
const MAX_OWNERS: usize = 12;
/// The most load reports in a frame: at 4 frames a round and about 50 bytes a report these are 1.6
/// KB a second, of the 4 KB a second that are allowed.
const MAX_LOADS: usize = 8;
/// The most findings in a frame about whether an endpoint is leaving.
const MAX_LISTINGS: usize = 12;
/// How long this VM's knowledge must have been unchanged before a differing digest means that this
/// VM missed an update, and not that the update is still spreading.
const SETTLING_TIME: Millis = Millis::new(5_000);
/// The minimum time between two full syncs. The state of 380 VMs and 512 shards is 45 KB, that is
/// 1.5 KB a second while digests keep differing.
const SYNC_INTERVAL: Millis = Millis::new(30_000);

/// Everything that a VM receives and sends with heartbeats.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// The VMs.
    pub table: Table,
    /// The shards' owners.
    pub owners: Owners,
    /// The endpoints' loads.
    pub loads: Loads,
    /// The endpoints that are leaving according to the platform's list.
    pub listings: Listings,
    digest: u64,
    changed_at: Millis,
    synced_at: Option<Millis>,
}

/// What to do after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Nothing.
    Nothing,
    /// Send [`Exchange::full_sync`] to the same VM.
    Sync,
}

impl Exchange {
    /// Makes the state of a VM that starts.
    #[must_use]
    pub fn new(own: Status, now: Millis) -> Self {
        Self {
            table: Table::new(own, now),
            owners: Owners::default(),
            loads: Loads::default(),
            listings: Listings::default(),
            digest: 0,
            changed_at: now,
            synced_at: None,
        }
    }

    /// Builds a heartbeat for a VM, or the answer to one.
    pub fn heartbeat(&mut self, to: &id::Vm, now: Millis) -> Heartbeat {
        self.update_digest(now);
        let vms = self.table.members().len();
        let own = self.table.own().clone();
        let same_centre = self
            .table
            .find(to)
            .is_some_and(|m| m.status.centre == own.centre);
        let max_loads = if same_centre { MAX_LOADS } else { 0 };
        Heartbeat {
            me: own,
            digest: self.digest,
            full: false,
            vms: self.table.take_updates(to, MAX_VMS),
            owners: self.owners.take_updates(MAX_OWNERS, vms),
            loads: self.loads.take_reports(max_loads, now),
            listings: self.listings.take_updates(MAX_LISTINGS, vms, now),
        }
    }

    /// Builds a heartbeat with all statuses and owners, which asks the receiver for all of its own.
    pub fn full_sync(&mut self, now: Millis) -> Heartbeat {
        self.update_digest(now);
        self.synced_at = Some(now);
        Heartbeat {
            full: true,
            ..self.full_state(now)
        }
    }

    /// Builds the last heartbeat of a VM that has given up its shards and shuts down.
    pub fn leave(&mut self, now: Millis) -> Heartbeat {
        let me = self.table.own().vm.clone();
        for owner in claims::stale_ownerships(&me, &[], self.owners.entries()) {
            self.owners.merge(&owner);
        }
        let mut last = self.full_state(now);
        last.me.liveness = Liveness::Down;
        last
    }

    /// Merges a heartbeat and builds the answer.
    pub fn answer(&mut self, heartbeat: &Heartbeat, now: Millis) -> Heartbeat {
        self.merge(heartbeat, now);
        if heartbeat.full {
            return self.full_state(now);
        }
        self.heartbeat(&heartbeat.me.vm, now)
    }

    /// Merges the answer to a heartbeat.
    pub fn on_answer(&mut self, heartbeat: &Heartbeat, now: Millis) -> Next {
        self.merge(heartbeat, now);
        self.update_digest(now);
        let differs = self.digest != heartbeat.digest && !heartbeat.full;
        let quiet = now.since(self.changed_at) >= SETTLING_TIME;
        match self.synced_at {
            None => Next::Sync,
            Some(last) if differs && quiet && now.since(last) >= SYNC_INTERVAL => Next::Sync,
            Some(_) => Next::Nothing,
        }
    }

    fn merge(&mut self, heartbeat: &Heartbeat, now: Millis) {
        self.table.merge(&heartbeat.me, now);
        for status in &heartbeat.vms {
            self.table.merge(status, now);
        }
        for owner in &heartbeat.owners {
            self.owners.merge(owner);
        }
        for listing in &heartbeat.listings {
            self.listings.merge(listing, now);
        }
        for load in &heartbeat.loads {
            self.loads.merge(load, now);
        }
    }

    fn full_state(&self, now: Millis) -> Heartbeat {
        let others = self.table.members().iter().map(|m| &m.status);
        let known = others.filter(|s| s.liveness != Liveness::Down || s.incarnation > 0);
        Heartbeat {
            me: self.table.own().clone(),
            digest: self.digest,
            full: false,
            vms: known.cloned().collect(),
            owners: self.owners.entries().to_vec(),
            loads: Vec::new(),
            listings: self.listings.all_leaving(now),
        }
    }

    fn update_digest(&mut self, now: Millis) {
        let mut hash = Xxh3::new();
        self.table.digest(&mut hash);
        self.owners.digest(&mut hash);
        let digest = hash.digest();
        if digest != self.digest {
            self.digest = digest;
            self.changed_at = now;
        }
    }
}
