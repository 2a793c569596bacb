//! The two classes of work, as far as these decisions tell them apart.

/// How soon work is heard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Heard first, on every limit.
    Urgent,
    /// All other work.
    #[default]
    Routine,
}
