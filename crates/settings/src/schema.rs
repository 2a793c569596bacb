//! The schema of the settings file: each key's type, default and purpose.
//!
//! The check, the page `docs/SETTINGS.md` and the page's test are all driven by these tables, so
//! that they can't diverge.

/// The type and bounds of a key's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// An id: letters, digits and `. _ : -`.
    Id,
    /// An IP address and a port.
    Address,
    /// A list of at least one IP address with a port.
    Addresses,
    /// A whole number between two inclusive bounds.
    Number(u64, u64),
    /// A number from 0 to an inclusive bound.
    Weight(u32),
    /// A time span with its unit, between two inclusive bounds in milliseconds.
    Span(u64, u64),
    /// A size with its unit, between two inclusive bounds in bytes.
    Size(u64, u64),
    /// A rate per second, between two inclusive bounds.
    Rate(u64, u64),
}

/// A key of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Key {
    /// The key's name.
    pub name: &'static str,
    /// The type and bounds of its value.
    pub kind: Kind,
    /// The default as written in a file. `None` if the key is required.
    pub default: Option<&'static str>,
    /// The key's purpose.
    pub doc: &'static str,
}

/// How often a table may occur in a file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Count {
    /// Exactly once.
    One,
    /// At most once.
    Optional,
    /// At least once, as an array of tables.
    Some,
    /// Any number of times, as an array of tables.
    Any,
}

/// A table of the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Table {
    /// The table's name.
    pub name: &'static str,
    /// How often the table may occur.
    pub count: Count,
    /// The table's purpose.
    pub doc: &'static str,
    /// The table's keys.
    pub keys: &'static [Key],
}

const fn key(
    name: &'static str,
    kind: Kind,
    default: Option<&'static str>,
    doc: &'static str,
) -> Key {
    Key {
        name,
        kind,
        default,
        doc,
    }
}

const SECOND: u64 = 1_000;
const HOUR: u64 = 3_600 * SECOND;
const MIB: u64 = 1 << 20;

/// Every table of the settings file.
pub const TABLES: &[Table] = &[VM, LISTEN, PLATFORM, CENTRES, PEERS, LIMITS, WEIGHTS];

const VM: Table = Table {
    name: "vm",
    count: Count::One,
    doc: "The VM itself.",
    keys: &[
        key(
            "name",
            Kind::Id,
            None,
            "The VM's name, as in the platform's list of VMs.",
        ),
        key(
            "centre",
            Kind::Id,
            None,
            "The VM's data centre, one of `centres`.",
        ),
        key(
            "size",
            Kind::Number(1, 1_024),
            Some("1"),
            "The VM's size in cores; a VM twice as large owns about twice as many shards.",
        ),
    ],
};

const LISTEN: Table = Table {
    name: "listen",
    count: Count::One,
    doc: "Where the VM listens.",
    keys: &[
        key("callers", Kind::Address, None, "For callers."),
        key("peers", Kind::Address, None, "For other VMs."),
        key(
            "admin",
            Kind::Address,
            None,
            "For operators, health checks and metrics.",
        ),
    ],
};

const PLATFORM: Table = Table {
    name: "platform",
    count: Count::One,
    doc: "The platform's key-value service and list of VMs.",
    keys: &[
        key(
            "addresses",
            Kind::Addresses,
            None,
            "Where it answers; the first that does is used.",
        ),
        key(
            "timeout",
            Kind::Span(10, 60 * SECOND),
            Some("\"500ms\""),
            "How long a call may take before its outcome counts as unknown.",
        ),
        key(
            "writes",
            Kind::Rate(1, 10_000),
            Some("\"30/s\""),
            "Writes that this VM may make.",
        ),
        key(
            "reads",
            Kind::Rate(1, 100_000),
            Some("\"200/s\""),
            "Reads that this VM may make.",
        ),
        key(
            "lease",
            Kind::Span(SECOND, 60 * SECOND),
            Some("\"5s\""),
            "How long the VM's lease lasts without renewal; a dead VM's shards are free then.",
        ),
    ],
};

const CENTRES: Table = Table {
    name: "centres",
    count: Count::Some,
    doc: "All data centres of the deployment; the same in each VM's file.",
    keys: &[
        key("name", Kind::Id, None, "The data centre's name."),
        key(
            "shards",
            Kind::Number(1, 4_096),
            None,
            "How many shards its programs are split into; never changed once set.",
        ),
    ],
};

const PEERS: Table = Table {
    name: "peers",
    count: Count::Any,
    doc: "Other VMs to begin with; the rest is learnt from them.",
    keys: &[
        key("name", Kind::Id, None, "The VM's name."),
        key(
            "centre",
            Kind::Id,
            None,
            "Its data centre, one of `centres`.",
        ),
        key("address", Kind::Address, None, "Its listener for VMs."),
    ],
};

const LIMITS: Table = Table {
    name: "limits",
    count: Count::Optional,
    doc: "Limits at the door and on waiting.",
    keys: &[
        key(
            "connections",
            Kind::Number(1, 1_000_000),
            Some("4096"),
            "Connections of callers at once.",
        ),
        key(
            "connections_urgent",
            Kind::Number(0, 1_000_000),
            Some("256"),
            "Of these, how many are kept for urgent work; fewer than `connections`.",
        ),
        key(
            "body",
            Kind::Size(1_024, 16 * MIB),
            Some("\"2MiB\""),
            "The largest body.",
        ),
        key(
            "receive",
            Kind::Span(100, HOUR),
            Some("\"10s\""),
            "How long a request may take to arrive.",
        ),
        key(
            "queue",
            Kind::Number(1, 1_000_000),
            Some("2048"),
            "Calls that wait for an endpoint at once.",
        ),
        key(
            "wait",
            Kind::Span(10, HOUR),
            Some("\"30s\""),
            "How long a call may wait for an endpoint.",
        ),
        key(
            "silence",
            Kind::Span(100, HOUR),
            Some("\"20s\""),
            "How long a runner may be silent within an answer.",
        ),
        key(
            "grace",
            Kind::Span(100, HOUR),
            Some("\"2m\""),
            "How long a shutdown takes at most, as whoever stops the process kills it then; what may last longer is refused.",
        ),
    ],
};

const WEIGHTS: Table = Table {
    name: "weights",
    count: Count::Optional,
    doc: "What placement weighs against each other.",
    keys: &[
        key(
            "latency",
            Kind::Weight(100),
            Some("1.0"),
            "The weight of waiting time.",
        ),
        key(
            "cache",
            Kind::Weight(100),
            Some("1.0"),
            "The weight of prompt tokens that would be computed again.",
        ),
    ],
};
