//! Images of a shard's state, so that a takeover needn't read the journal from its beginning and
//! its old keys can go.
//!
//! Exists for the failure "the journal outgrows the platform, and a takeover outlasts the callers'
//! patience".

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::state::State;

/// An encoded state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Image(Bytes);

/// The value of the index key: names the image that a takeover begins with.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Index {
    /// The number of the last journal key that the image covers.
    pub seq: u64,
    /// The epoch of the owner that wrote it.
    pub epoch: u64,
    /// How many keys hold the image.
    pub chunks: u32,
}

impl Image {
    /// Encodes a state.
    #[must_use]
    pub fn of(state: &State) -> Self {
        todo!("{state:?}")
    }
}
