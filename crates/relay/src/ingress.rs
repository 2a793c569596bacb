//! The limits of a process's listeners, as parts of its memory and descriptors.
//!
//! With the shares of `node` for requests that are known and for turns, and that of [`vm_messages`], they
//! leave over a tenth of the memory to what the process holds itself. Of the descriptors a third is left for
//! connections to endpoints, as each caller's request needs one, and a twelfth for all else. Each listener
//! has its own share, so that a crowd at one takes nothing from the others.

use std::sync::Arc;

use adapter::settings::Settings;
use link::ingress::Meaning;
use link::intake::Intake;
use link::listen;
use link::listen::Connections;
use link::listen::Fields;
use link::listen::Figures;
use policy::connections;
use wire::clock::Millis;
use wire::event::Event;

use crate::memory;
use crate::table::Table;

/// The largest head at the listeners that aren't for callers, in bytes.
const HEAD_BYTES: usize = 16 * 1024;
/// How long a head may take there, and for callers while no configuration is known: many times what the
/// slowest link of a VM needs.
const HEAD_TIME: Millis = Millis::new(10_000);
/// How long a connection may be idle there.
const IDLE_TIME: Millis = Millis::new(60_000);
/// The divisor of a front's memory that gives the bytes of other VMs' messages that are being read.
const FRONT_MESSAGES_DIVISOR: u64 = 16;
/// The same for a VM with a disk, whose requests hold turns.
const STORE_MESSAGES_DIVISOR: u64 = 4;

/// A part of a process's memory and descriptors, and what its callers may send.
#[derive(Clone, Copy, Debug)]
struct Share {
    memory_divisor: u64,
    descriptor_divisor: usize,
    fields: Fields,
    half_close: Meaning,
}

const CALLERS: Share = Share {
    memory_divisor: 5,
    descriptor_divisor: 3,
    fields: Fields::Any,
    half_close: Meaning::Undecided,
};
const VMS: Share = Share {
    memory_divisor: 16,
    descriptor_divisor: 6,
    fields: Fields::Usual,
    half_close: Meaning::Leaves,
};
const PROBES: Share = Share {
    memory_divisor: 32,
    descriptor_divisor: 24,
    fields: Fields::Usual,
    half_close: Meaning::Leaves,
};

/// The connections of a process's listeners.
#[derive(Debug)]
pub struct Listeners {
    /// Those of callers.
    pub callers: Arc<Connections>,
    /// Those of the balancer.
    pub ready: Arc<Connections>,
    /// Those of other VMs.
    pub vms: Arc<Connections>,
    /// Those of readers of metrics.
    pub metrics: Arc<Connections>,
}

impl Listeners {
    /// Creates listeners without connections.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        let connections = |share| {
            let limits = limits(settings, share);
            Arc::new(Connections::new(limits))
        };
        Self {
            callers: connections(CALLERS),
            ready: connections(PROBES),
            vms: connections(VMS),
            metrics: connections(PROBES),
        }
    }

    /// Sets the callers' limits to those of a configuration.
    pub fn apply(&self, settings: &Settings, table: &Table) {
        let mut limits = limits(settings, CALLERS);
        limits.head_bytes = table.head_bytes;
        limits.connections.head_time = table.head_time;
        limits.connections.idle_time = table.idle_time;
        self.callers.set_limits(limits);
    }

    /// Returns what became of the connections of all listeners.
    #[must_use]
    pub fn figures(&self) -> Figures {
        let figures = self.all().map(|connections| connections.figures());
        Figures {
            let_go: figures.iter().map(|listener| listener.let_go).sum(),
            expired: figures.iter().map(|listener| listener.expired).sum(),
            turned_away: figures.iter().map(|listener| listener.turned_away).sum(),
        }
    }

    /// Ends the connections whose time is up, and logs how many had to go for others since `logged`.
    pub fn sweep(&self, logged: &mut Figures) {
        for connections in self.all() {
            connections.expire();
        }
        let figures = self.figures();
        let let_go = figures.let_go - logged.let_go;
        let turned_away = figures.turned_away - logged.turned_away;
        if let_go + turned_away > 0 {
            log::warn!(
                "event=E{} text=\"{}\" let_go={let_go} turned_away={turned_away}",
                Event::ConnectionsLetGo.number(),
                Event::ConnectionsLetGo.text()
            );
        }
        *logged = figures;
    }

    const fn all(&self) -> [&Arc<Connections>; 4] {
        [&self.callers, &self.ready, &self.vms, &self.metrics]
    }
}

fn limits(settings: &Settings, share: Share) -> listen::Limits {
    listen::Limits {
        connections: connections::Limits {
            count: settings.max_descriptors / share.descriptor_divisor,
            bytes: memory::shareable(settings.memory_bytes) / share.memory_divisor,
            head_time: HEAD_TIME,
            idle_time: IDLE_TIME,
        },
        head_bytes: HEAD_BYTES,
        fields: share.fields,
        half_close: share.half_close,
    }
}

/// Creates the budget of other VMs' messages: that of a front if callers connect to the process, else that of
/// a VM with a disk.
#[must_use]
pub fn vm_messages(settings: &Settings) -> Intake {
    let divisor = match settings.callers {
        Some(_) => FRONT_MESSAGES_DIVISOR,
        None => STORE_MESSAGES_DIVISOR,
    };
    let bytes = memory::shareable(settings.memory_bytes) / divisor;
    Intake::new(usize::try_from(bytes).unwrap_or(usize::MAX))
}
