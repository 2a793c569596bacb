//! Bytes that are collected without knowing how many come.

use std::collections::VecDeque;

use bytes::Bytes;

/// The bytes of a segment. A buffer that doubles instead leaves gaps in the heap, as it is copied into a
/// new one again and again.
const SEGMENT_BYTES: usize = 16 * 1024;

/// Bytes in segments, so that those that have come aren't copied as more come.
#[derive(Debug, Default)]
pub struct Segments {
    /// All but the last one are full.
    segments: VecDeque<Vec<u8>>,
}

impl Segments {
    /// Returns how many bytes were collected.
    #[must_use]
    pub fn len(&self) -> usize {
        let last = self.segments.back().map_or(0, Vec::len);
        self.full() * SEGMENT_BYTES + last
    }

    /// Returns whether none were.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns how much memory they take.
    #[must_use]
    pub fn memory(&self) -> usize {
        let last = self.segments.back().map_or(0, Vec::capacity);
        self.full() * SEGMENT_BYTES + last
    }

    /// Adds bytes.
    pub fn extend(&mut self, bytes: &[u8]) {
        let mut rest = bytes;
        while !rest.is_empty() {
            let last = self.segments.back().map_or(SEGMENT_BYTES, Vec::len);
            if last == SEGMENT_BYTES {
                self.begin_segment();
            }
            let Some(segment) = self.segments.back_mut() else {
                return;
            };
            let (piece, after) = rest.split_at(rest.len().min(SEGMENT_BYTES - segment.len()));
            segment.extend_from_slice(piece);
            rest = after;
        }
    }

    /// Returns all bytes as one.
    #[must_use]
    pub fn join(mut self) -> Bytes {
        if self.segments.len() <= 1 {
            return self.segments.pop_front().unwrap_or_default().into();
        }
        let mut all = Vec::with_capacity(self.len());
        while let Some(segment) = self.segments.pop_front() {
            all.extend_from_slice(&segment);
        }
        all.into()
    }

    /// Adds a segment. The first one grows as it is filled, as most answers are short.
    fn begin_segment(&mut self) {
        let capacity = match self.segments.len() {
            0 => 0,
            _ => SEGMENT_BYTES,
        };
        self.segments.push_back(Vec::with_capacity(capacity));
    }

    /// Returns how many segments are before the last one.
    fn full(&self) -> usize {
        self.segments.len().saturating_sub(1)
    }
}

#[cfg(test)]
mod tests;
