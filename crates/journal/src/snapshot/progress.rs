//! The snapshot progress of a log: when an image is due, what it covers, and which keys may be
//! removed.
//!
//! Prevents the failure "an image covers a record that it doesn't contain": a requested image
//! covers exactly the appends made before the request, and the log forms no batch across that
//! boundary.

use super::Image;
use super::Index;
use super::KnownIndex;

/// The number of batches after which an image may be due. In a takeover, reading this many small
/// keys takes tens of milliseconds with range reads.
const BATCHES_BEFORE_IMAGE: u64 = 256;

/// The keys that a new index has superseded.
#[derive(Debug)]
pub(crate) struct Removal {
    /// The number of the first journal key to remove.
    pub(crate) from: u64,
    /// The number of the last journal key to remove.
    pub(crate) through: u64,
    /// The previous image.
    pub(crate) image: Option<Index>,
}

/// The snapshot state of a log.
#[derive(Debug)]
pub(crate) struct Progress {
    known: KnownIndex,
    floor: u64,
    batches: u64,
    bytes: u64,
    stage: Stage,
}

#[derive(Debug)]
enum Stage {
    Idle,
    /// An image waits until all appends made before it are part of a batch.
    Requested {
        image: Image,
        arrivals: usize,
    },
    /// The image's chunks are being written.
    Writing,
    /// The image's index is set together with the next batch.
    Ready(Index),
    /// The batch that sets the index is queued.
    Sent,
}

impl Progress {
    pub(crate) fn new(known: KnownIndex) -> Self {
        Self {
            floor: known.index.as_ref().map_or(0, |index| index.floor),
            known,
            batches: 0,
            bytes: 0,
            stage: Stage::Idle,
        }
    }

    /// Accepts an image that covers the batches formed so far and the next `arrivals` appends.
    pub(crate) fn request(&mut self, image: Image, arrivals: usize) {
        if matches!(self.stage, Stage::Idle) {
            self.stage = Stage::Requested { image, arrivals };
        }
    }

    /// Returns the image once every append made before it is part of a batch.
    pub(crate) fn take_requested(&mut self) -> Option<Image> {
        if !matches!(self.stage, Stage::Requested { arrivals: 0, .. }) {
            return None;
        }
        match std::mem::replace(&mut self.stage, Stage::Writing) {
            Stage::Requested { image, .. } => Some(image),
            _ => None,
        }
    }

    /// Limits the appends of the next batch to those that a requested image covers.
    pub(crate) fn limit_batch(&self, count: usize) -> usize {
        match self.stage {
            Stage::Requested { arrivals, .. } => count.min(arrivals),
            _ => count,
        }
    }

    /// Records that a batch of `count` appends was formed.
    pub(crate) fn note_batch(&mut self, count: usize, bytes: usize) {
        if let Stage::Requested { arrivals, .. } = &mut self.stage {
            *arrivals -= count;
        }
        self.batches += 1;
        self.bytes += bytes as u64;
    }

    /// Returns whether the journal has grown enough since the last image.
    pub(crate) fn is_due(&self) -> bool {
        let last = self.known.index.as_ref().map_or(0, |index| index.bytes);
        self.batches >= BATCHES_BEFORE_IMAGE
            && self.bytes >= last
            && matches!(self.stage, Stage::Idle)
    }

    /// Records that an image was written, or abandoned.
    pub(crate) fn note_written(&mut self, index: Option<Index>) {
        self.stage = index.map_or(Stage::Idle, Stage::Ready);
    }

    /// Returns whether an index waits for the next batch.
    pub(crate) fn is_ready(&self) -> bool {
        matches!(self.stage, Stage::Ready(_))
    }

    pub(crate) fn take_ready(&mut self) -> Option<Index> {
        if !self.is_ready() {
            return None;
        }
        match std::mem::replace(&mut self.stage, Stage::Sent) {
            Stage::Ready(index) => Some(index),
            _ => None,
        }
    }

    /// Records that the index is set, and returns what may now be removed.
    pub(crate) fn note_index_set(&mut self, revision: u64, index: &Index) -> Removal {
        let known = KnownIndex {
            revision,
            index: Some(index.clone()),
        };
        let old = std::mem::replace(&mut self.known, known);
        self.stage = Stage::Idle;
        self.batches = 0;
        self.bytes = 0;
        Removal {
            from: self.floor,
            through: index.seq,
            image: old.index,
        }
    }

    /// Records that the journal keys up to `seq` are removed.
    pub(crate) fn note_removed(&mut self, seq: u64) {
        self.floor = self.floor.max(seq + 1);
    }

    /// Returns the revision that appends require the index to have.
    pub(crate) fn revision(&self) -> u64 {
        self.known.revision
    }

    /// Returns the number of the first journal key that may still exist.
    pub(crate) fn floor(&self) -> u64 {
        self.floor
    }
}
