//! Priority classes of work.

/// The priority of a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Takes precedence over routine work at every limit.
    Urgent,
    /// All other work.
    #[default]
    Routine,
}
