//! Keeps a VM's platform calls within its rate budget.

use std::sync::Mutex;
use std::sync::PoisonError;

use async_trait::async_trait;
use tokio::sync::mpsc;
use wire::clock::Clock;
use wire::clock::Millis;

use crate::edge::Change;
use crate::edge::Entry;
use crate::edge::Fault;
use crate::edge::Lease;
use crate::edge::Machine;
use crate::edge::Outcome;
use crate::edge::Platform;
use crate::edge::Priority;
use crate::edge::Result;
use crate::edge::Txn;
use crate::limit::Budget;
use crate::limit::Rate;
use crate::limit::Verdict;

/// A platform whose calls wait for the rate budget. Among waiting writes, those of higher priority
/// go first because they need fewer tokens in the bucket.
pub struct Client<P> {
    inner: P,
    clock: Clock,
    budget: Mutex<Budget>,
    max_wait: Millis,
}

impl<P: Platform> Client<P> {
    /// Wraps `inner`. A call fails as soon as its total wait would exceed `max_wait`.
    pub fn new(inner: P, rate: Rate, max_wait: Millis, clock: Clock) -> Self {
        let budget = Mutex::new(Budget::new(rate, clock.now()));
        Self {
            inner,
            clock,
            budget,
            max_wait,
        }
    }

    /// Waits until `decide` lets the call be sent.
    async fn admit<F>(&self, decide: F) -> Result<()>
    where
        F: Fn(&mut Budget, Millis) -> Verdict + Send,
    {
        let mut wait_left = self.max_wait;
        loop {
            let verdict = {
                let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
                decide(&mut budget, self.clock.now())
            };
            let Verdict::Wait(span) = verdict else {
                return Ok(());
            };
            if span > wait_left {
                return Err(Fault::Limited(span));
            }
            wait_left = wait_left.since(span);
            tokio::time::sleep(span.as_duration()).await;
        }
    }

    async fn admit_read(&self) -> Result<()> {
        self.admit(Budget::read).await
    }

    async fn admit_write(&self, priority: Priority) -> Result<()> {
        self.admit(move |budget, now| budget.write(priority, now))
            .await
    }
}

#[async_trait]
impl<P: Platform> Platform for Client<P> {
    async fn range(&self, prefix: &str, from: &str, limit: usize) -> Result<Vec<Entry>> {
        self.admit_read().await?;
        self.inner.range(prefix, from, limit).await
    }

    async fn read(&self, key: &str) -> Result<Option<Entry>> {
        self.admit_read().await?;
        self.inner.read(key).await
    }

    async fn commit(&self, txn: &Txn, priority: Priority) -> Result<Outcome> {
        self.admit_write(priority).await?;
        self.inner.commit(txn, priority).await
    }

    async fn wait_for_budget(&self, priority: Priority) {
        loop {
            let verdict = {
                let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
                budget.probe(priority, self.clock.now())
            };
            let Verdict::Wait(span) = verdict else {
                return;
            };
            tokio::time::sleep(span.as_duration()).await;
        }
    }

    async fn grant(&self, ttl: Millis) -> Result<Lease> {
        self.admit_write(Priority::Claim).await?;
        self.inner.grant(ttl).await
    }

    async fn renew(&self, lease: Lease) -> Result<bool> {
        self.admit_write(Priority::Claim).await?;
        self.inner.renew(lease).await
    }

    async fn revoke(&self, lease: Lease) -> Result<()> {
        self.admit_write(Priority::Claim).await?;
        self.inner.revoke(lease).await
    }

    async fn watch(&self, prefix: &str, revision: u64) -> Result<mpsc::Receiver<Change>> {
        self.admit_read().await?;
        self.inner.watch(prefix, revision).await
    }

    async fn machines(&self) -> Result<Vec<Machine>> {
        self.admit_read().await?;
        self.inner.machines().await
    }
}
