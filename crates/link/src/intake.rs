//! Bounds the bodies that a process reads before it knows their sender.
//!
//! Bytes count as they come, not as they are announced, so that a peer that announces much and sends nothing
//! takes nothing from others. Short bodies find room while long ones wait for their ends.

use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::BodyExt;
use hyper::StatusCode;
use hyper::body::Body;
use tokio::time::timeout;

use crate::body::Collected;

/// The bytes of a body that may use all of the budget.
const SHORT_BYTES: usize = 64 * 1024;
/// The part of the budget, in percent, that the bytes beyond may use.
const LONG_PERCENT: usize = 75;

/// Why a body wasn't read.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// It is longer than allowed, or doesn't state its length.
    #[display("the body is over the limit, or has no length")]
    TooLong,
    /// There is no room for it.
    #[display("the process reads too many bodies")]
    Crowded,
    /// It didn't come in time.
    #[display("the body didn't come in time")]
    TooLate,
    /// It broke off.
    #[display("the body broke off: {_0}")]
    Broken(#[error(not(source))] String),
}

impl Fault {
    /// Returns the status that tells the sender.
    #[must_use]
    pub const fn status(&self) -> StatusCode {
        match self {
            Self::TooLong | Self::Broken(_) => StatusCode::BAD_REQUEST,
            Self::Crowded | Self::TooLate => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// The result of reading a body.
pub type Result<T> = std::result::Result<T, Fault>;

/// A budget for bodies.
#[derive(Clone, Debug)]
pub struct Intake {
    total: usize,
    used: Arc<AtomicUsize>,
}

/// The bytes of a body, counted until dropped.
#[derive(Debug)]
pub struct Taken {
    /// The body.
    pub bytes: Bytes,
    _claim: Claim,
}

#[derive(Debug)]
struct Claim {
    intake: Intake,
    bytes: usize,
}

impl Intake {
    /// Creates a budget of `total` bytes.
    #[must_use]
    pub fn new(total: usize) -> Self {
        Self {
            total,
            used: Arc::default(),
        }
    }

    /// Reads a body of at most `limit` bytes within `time`.
    ///
    /// # Errors
    ///
    /// Fails if the body states no length or a longer one, there is no room for it, it takes longer, or
    /// breaks off.
    pub async fn read<B>(&self, body: B, limit: usize, time: Duration) -> Result<Taken>
    where
        B: Body<Data = Bytes>,
        B::Error: std::fmt::Display,
    {
        let read = timeout(time, self.collect(body, limit));
        read.await.map_err(|_| Fault::TooLate)?
    }

    async fn collect<B>(&self, body: B, limit: usize) -> Result<Taken>
    where
        B: Body<Data = Bytes>,
        B::Error: std::fmt::Display,
    {
        let length = body.size_hint().exact().ok_or(Fault::TooLong)?;
        let length = usize::try_from(length).map_err(|_| Fault::TooLong)?;
        if length > limit {
            return Err(Fault::TooLong);
        }
        let mut claim = Claim {
            intake: self.clone(),
            bytes: 0,
        };
        let mut body = std::pin::pin!(body);
        let mut all = Collected::of(length);
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|fault| Fault::Broken(fault.to_string()))?;
            if let Ok(bytes) = frame.into_data() {
                claim.grow(bytes.len())?;
                all.extend(&bytes);
            }
        }
        Ok(Taken {
            bytes: all.join(),
            _claim: claim,
        })
    }
}

impl Claim {
    fn grow(&mut self, bytes: usize) -> Result<()> {
        let total = match self.bytes + bytes {
            0..=SHORT_BYTES => self.intake.total,
            _ => self.intake.total / 100 * LONG_PERCENT,
        };
        let fits = |used: usize| Some(used + bytes).filter(|more| *more <= total);
        let used = &self.intake.used;
        let claimed = used.fetch_update(Ordering::Relaxed, Ordering::Relaxed, fits);
        claimed.map_err(|_| Fault::Crowded)?;
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.intake.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
