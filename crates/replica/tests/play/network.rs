//! The network between the VMs of a play, and the platform as each VM reaches it.
//!
//! Each VM reaches each other one at an address of its own, so that the receiver knows who asks, and
//! requests of a VM that is cut off can be dropped in both directions. Addresses in lists are
//! translated where a list passes from one VM to another.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use platform::edge::Change;
use platform::edge::Entry;
use platform::edge::Fault;
use platform::edge::Lease;
use platform::edge::Machine;
use platform::edge::Outcome;
use platform::edge::Platform;
use platform::edge::Priority;
use platform::edge::Result;
use platform::edge::Txn;
use platform::edge::Write;
use platform::memory::Memory;
use replica::list::List;
use tokio::sync::mpsc;
use wire::clock::Millis;

/// Who reads and writes for programs: not a VM with a disk.
pub const FRONT: &str = "front";
/// How long a call of the platform takes.
const PLATFORM_TRIP: Duration = Duration::from_millis(3);

/// What a VM that is cut off doesn't reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cut {
    /// Neither other VMs nor the platform.
    All,
    /// Other VMs; it still reaches the platform.
    Vms,
}

/// What happened in a play, for whoever has to explain a failure.
#[derive(Debug)]
pub struct Trace {
    begun: Instant,
    lines: Mutex<Vec<String>>,
}

impl Trace {
    pub fn new() -> Self {
        Self {
            begun: Instant::now(),
            lines: Mutex::default(),
        }
    }

    pub fn note(&self, line: &str) {
        let at = self.begun.elapsed().as_millis();
        let mut lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(format!("{at:>6} ms  {line}"));
    }

    pub fn text(&self) -> String {
        let lines = self.lines.lock().unwrap_or_else(PoisonError::into_inner);
        lines.join("\n")
    }
}

#[derive(Debug, Default)]
struct State {
    /// Each VM's addresses by who asks: asker, VM, address.
    addresses: Vec<(String, String, SocketAddr)>,
    /// The VMs that are cut off.
    cuts: Vec<(String, Cut)>,
    /// How long each request for turns' texts takes.
    fetch_delay: Duration,
}

/// The network of a play.
#[derive(Debug)]
pub struct Network {
    pub trace: Trace,
    state: Mutex<State>,
}

impl Network {
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            trace: Trace::new(),
            state: Mutex::default(),
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn add_address(&self, asker: &str, vm: &str, address: SocketAddr) {
        let entry = (asker.to_owned(), vm.to_owned(), address);
        self.lock().addresses.push(entry);
    }

    /// Returns the address at which `asker` reaches a VM.
    pub fn address(&self, asker: &str, vm: &str) -> Option<SocketAddr> {
        let state = self.lock();
        let mut known = state.addresses.iter();
        known
            .find(|(from, to, _)| from == asker && to == vm)
            .map(|(_, _, address)| *address)
    }

    /// Returns the list as `reader` sees it.
    pub fn translate(&self, list: &List, reader: &str) -> List {
        let mut list = list.clone();
        for member in list.members.iter_mut().chain(&mut list.before) {
            if let Some(address) = self.address(reader, &member.vm) {
                member.address = address;
            }
        }
        list
    }

    pub fn cut(&self, vm: &str, cut: Cut) {
        self.lock().cuts.push((vm.to_owned(), cut));
    }

    pub fn heal(&self, vm: &str) {
        self.lock().cuts.retain(|(cut, _)| cut != vm);
    }

    /// Returns whether requests and answers pass between two of them.
    pub fn is_open(&self, one: &str, other: &str) -> bool {
        let state = self.lock();
        let is_cut = |vm: &str| state.cuts.iter().any(|(cut, _)| cut == vm);
        one == other || !(is_cut(one) || is_cut(other))
    }

    fn reaches_platform(&self, vm: &str) -> bool {
        let state = self.lock();
        !state.cuts.contains(&(vm.to_owned(), Cut::All))
    }

    pub fn set_fetch_delay(&self, delay: Duration) {
        self.lock().fetch_delay = delay;
    }

    pub fn fetch_delay(&self) -> Duration {
        self.lock().fetch_delay
    }
}

/// The platform as one VM reaches it.
pub struct Gate {
    pub memory: Memory,
    pub network: Arc<Network>,
    pub vm: String,
}

impl Gate {
    async fn pass(&self) -> Result<()> {
        tokio::time::sleep(PLATFORM_TRIP).await;
        if self.network.reaches_platform(&self.vm) {
            return Ok(());
        }
        Err(Fault::Down("cut off".to_owned()))
    }

    fn translate_value(&self, value: &[u8], reader: &str) -> Vec<u8> {
        match rmp_serde::from_slice::<List>(value) {
            Ok(list) => rmp_serde::to_vec(&self.network.translate(&list, reader)).unwrap(),
            Err(_) => value.to_vec(),
        }
    }

    fn translate_entry(&self, entry: Entry) -> Entry {
        Entry {
            value: self.translate_value(&entry.value, &self.vm),
            ..entry
        }
    }

    fn note_lists(&self, txn: &Txn) {
        for write in &txn.writes {
            let Write::Put { value, .. } = write else {
                continue;
            };
            if let Ok(list) = rmp_serde::from_slice::<List>(value) {
                let line = format!("{} wrote the list: {}", self.vm, describe(&list));
                self.network.trace.note(&line);
            }
        }
    }
}

/// Returns a list's version, members and previous members in short.
pub fn describe(list: &List) -> String {
    let names = |members: &[replica::list::Member]| {
        let names = members
            .iter()
            .map(|member| format!("{}:{}", member.vm, member.disk));
        names.collect::<Vec<_>>().join(" ")
    };
    let reset = match &list.reset {
        Some(reset) => format!(" reset at {} {:?}", reset.version, reset.accounts),
        None => String::new(),
    };
    format!(
        "version {} [{}] before [{}]{reset}",
        list.version,
        names(&list.members),
        names(&list.before)
    )
}

#[async_trait]
impl Platform for Gate {
    async fn range(&self, prefix: &str, from: &str, limit: usize) -> Result<Vec<Entry>> {
        self.pass().await?;
        let entries = self.memory.range(prefix, from, limit).await?;
        let entries = entries.into_iter();
        Ok(entries.map(|entry| self.translate_entry(entry)).collect())
    }

    async fn read(&self, key: &str) -> Result<Option<Entry>> {
        self.pass().await?;
        let entry = self.memory.read(key).await?;
        Ok(entry.map(|entry| self.translate_entry(entry)))
    }

    async fn commit(&self, txn: &Txn, priority: Priority) -> Result<Outcome> {
        self.pass().await?;
        let mut sent = txn.clone();
        for write in &mut sent.writes {
            if let Write::Put { value, .. } = write {
                *value = self.translate_value(value, FRONT);
            }
        }
        match self.memory.commit(&sent, priority).await? {
            Outcome::Applied(revision) => {
                self.note_lists(txn);
                Ok(Outcome::Applied(revision))
            }
            Outcome::Refused(entries) => {
                let entries = entries.into_iter();
                let seen = entries.map(|entry| self.translate_entry(entry)).collect();
                Ok(Outcome::Refused(seen))
            }
        }
    }

    async fn grant(&self, ttl: Millis) -> Result<Lease> {
        self.pass().await?;
        self.memory.grant(ttl).await
    }

    async fn renew(&self, lease: Lease) -> Result<bool> {
        self.pass().await?;
        self.memory.renew(lease).await
    }

    async fn revoke(&self, lease: Lease) -> Result<()> {
        self.pass().await?;
        self.memory.revoke(lease).await
    }

    async fn watch(&self, prefix: &str, revision: u64) -> Result<mpsc::Receiver<Change>> {
        self.pass().await?;
        self.memory.watch(prefix, revision).await
    }

    async fn machines(&self) -> Result<Vec<Machine>> {
        self.pass().await?;
        self.memory.machines().await
    }
}
