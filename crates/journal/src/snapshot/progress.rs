//! How far a log has come with its images: when one is due, what it covers, what may go.
//!
//! Exists for the failure "an image covers a record that it doesn't hold": an image asked for
//! covers exactly the appends that were handed over before it, and the log forms no batch across
//! that border.

use super::Image;
use super::Index;
use super::KnownIndex;

/// Batches after which an image may be due: a takeover reads at most this many small keys, in
/// tens of milliseconds by the range.
const BATCHES_BEFORE_IMAGE: u64 = 256;

/// What a new index has made useless.
#[derive(Debug)]
pub(crate) struct Removal {
    /// The number of the first journal key to remove.
    pub(crate) from: u64,
    /// The number of the last one.
    pub(crate) through: u64,
    /// The previous image.
    pub(crate) image: Option<Index>,
}

/// A log's images.
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
    /// An image waits for the appends before it to get their places.
    Requested {
        image: Image,
        arrivals: usize,
    },
    /// Its chunks are being written.
    Writing,
    /// Its index goes with the next batch.
    Ready(Index),
    /// The batch with its index is in line.
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

    /// Takes an image that covers the batches formed so far and the next `arrivals` appends.
    pub(crate) fn request(&mut self, image: Image, arrivals: usize) {
        if matches!(self.stage, Stage::Idle) {
            self.stage = Stage::Requested { image, arrivals };
        }
    }

    /// Yields the image once every append before it has its place.
    pub(crate) fn take_requested(&mut self) -> Option<Image> {
        if !matches!(self.stage, Stage::Requested { arrivals: 0, .. }) {
            return None;
        }
        match std::mem::replace(&mut self.stage, Stage::Writing) {
            Stage::Requested { image, .. } => Some(image),
            _ => None,
        }
    }

    /// Limits the appends of the next batch to those before an image.
    pub(crate) fn limit_batch(&self, count: usize) -> usize {
        match self.stage {
            Stage::Requested { arrivals, .. } => count.min(arrivals),
            _ => count,
        }
    }

    /// Notes a batch of so many appends.
    pub(crate) fn note_batch(&mut self, count: usize, bytes: usize) {
        if let Stage::Requested { arrivals, .. } = &mut self.stage {
            *arrivals -= count;
        }
        self.batches += 1;
        self.bytes += bytes as u64;
    }

    /// Tells whether the journal has grown enough since the last image.
    pub(crate) fn is_due(&self) -> bool {
        let last = self.known.index.as_ref().map_or(0, |index| index.bytes);
        self.batches >= BATCHES_BEFORE_IMAGE
            && self.bytes >= last
            && matches!(self.stage, Stage::Idle)
    }

    /// Notes that an image is written, or given up.
    pub(crate) fn note_written(&mut self, index: Option<Index>) {
        self.stage = index.map_or(Stage::Idle, Stage::Ready);
    }

    /// Tells whether an index waits for a batch to go with.
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

    /// Notes that the index is set.
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

    /// Notes that the journal keys up to `seq` are removed.
    pub(crate) fn note_removed(&mut self, seq: u64) {
        self.floor = self.floor.max(seq + 1);
    }

    /// Yields the revision of the index that appends must find.
    pub(crate) fn revision(&self) -> u64 {
        self.known.revision
    }

    /// Yields the number of the first journal key that may not have been removed.
    pub(crate) fn floor(&self) -> u64 {
        self.floor
    }
}
