//! The policies that are compared.

/// How VMs decide.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rules {
    /// By this crate.
    Ours,
    /// By this crate, with new programs let in by the price of eq. 6 of the DCAF paper.
    Price,
    /// By this crate, with routine calls bounded in size by algorithm 2 of the DCAF paper.
    MaxPower,
    /// The same bound for first calls only.
    MaxPowerFirst,
    /// By this crate, with nothing refused before the queue's own limits.
    Unlimited,
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

    /// The ways to let programs in, ours first.
    pub const ADMISSION: [Self; 5] = [
        Self::Ours,
        Self::Price,
        Self::MaxPower,
        Self::MaxPowerFirst,
        Self::Unlimited,
    ];

    /// Yields the name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::Price => "price (eq. 6)",
            Self::MaxPower => "max power, all",
            Self::MaxPowerFirst => "max power, first",
            Self::Unlimited => "no limit on first",
            Self::FifoLeast => "fifo + least outst.",
            Self::RoundRobin => "round robin",
            Self::LeastOutstanding => "least outstanding",
            Self::Sticky => "sticky only",
        }
    }
}
