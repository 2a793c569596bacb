//! The sets of rules that are compared.

/// How VMs decide.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rules {
    /// With the decisions of this crate.
    Ours,
    /// With the decisions of this crate, but new programs are admitted by the price of eq. 6 of the
    /// DCAF paper.
    Price,
    /// With the decisions of this crate, but the size of routine calls is bounded by algorithm 2 of
    /// the DCAF paper.
    MaxPower,
    /// Like [`Self::MaxPower`], but only for first calls.
    MaxPowerFirst,
    /// With the decisions of this crate, but no call is refused before the queue's own limits are
    /// reached.
    Unlimited,
    /// One first-in, first-out queue at the VM, then the endpoint with the fewest outstanding
    /// calls.
    FifoLeast,
    /// Sends each call at once to the next endpoint in turn.
    RoundRobin,
    /// Sends each call at once to the endpoint with the fewest outstanding calls.
    LeastOutstanding,
    /// Binds each program to the next endpoint in turn, and sends its calls there at once.
    Sticky,
}

impl Rules {
    /// The compared rules, this crate's first.
    pub const ALL: [Self; 5] = [
        Self::Ours,
        Self::FifoLeast,
        Self::RoundRobin,
        Self::LeastOutstanding,
        Self::Sticky,
    ];

    /// The compared rules for admission, this crate's first.
    pub const ADMISSION: [Self; 5] = [
        Self::Ours,
        Self::Price,
        Self::MaxPower,
        Self::MaxPowerFirst,
        Self::Unlimited,
    ];

    /// Returns the name in the table.
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
