//! The policies that are compared.

/// How VMs decide.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rules {
    /// By this crate.
    Ours,
    /// One first-in-first-out queue at the VM, then the endpoint with the least outstanding.
    FifoLeast,
    /// Each call to the next endpoint in turn, at once.
    RoundRobin,
    /// Each call to the endpoint with the least outstanding, at once.
    LeastOutstanding,
    /// Each program to one endpoint for good, drawn in turn, at once.
    Sticky,
}

impl Rules {
    /// All of them, ours first.
    pub const ALL: [Self; 5] = [
        Self::Ours,
        Self::FifoLeast,
        Self::RoundRobin,
        Self::LeastOutstanding,
        Self::Sticky,
    ];

    /// Yields the name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::FifoLeast => "fifo + least outst.",
            Self::RoundRobin => "round robin",
            Self::LeastOutstanding => "least outstanding",
            Self::Sticky => "sticky only",
        }
    }
}
