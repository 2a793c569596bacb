//! What ends a caller's connection.

/// What ended a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The caller ended its half, as it does when it closes the connection.
    EndOfWriting,
    /// The caller reset the connection, or left bytes unacknowledged for too long.
    Reset,
    /// The listener let it go.
    LetGo,
    /// The caller sent more than its request may bring.
    Protocol,
}

impl Ending {
    /// Returns the ending's name in the log.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::EndOfWriting => "end_of_writing",
            Self::Reset => "reset",
            Self::LetGo => "let_go",
            Self::Protocol => "protocol",
        }
    }
}
