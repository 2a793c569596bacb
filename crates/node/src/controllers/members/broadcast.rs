//! News that is passed on a bounded number of times.
//!
//! Each item goes into a number of frames that grows with the logarithm of the fleet; by then all
//! but a few VMs have it, and these get it when digests are compared.

/// Sends of an item beyond one for each doubling of the fleet. An item that each VM passes on `n`
/// times misses one VM in about `e^n`: one in 8,000 at 96 VMs. More would be sent in vain, and
/// keep a fleet that starts as a whole busy.
const EXTRA_SENDS: u32 = 2;

/// Yields how often an item is sent by one VM in a fleet of `vms`.
#[must_use]
pub fn transmit_limit(vms: usize) -> u32 {
    let doublings = usize::BITS - vms.leading_zeros();
    doublings + EXTRA_SENDS
}

/// Names of items that are news, with how often each was sent.
#[derive(Clone, Debug)]
pub struct Queue<K> {
    items: Vec<(K, u32)>,
}

impl<K> Default for Queue<K> {
    fn default() -> Self {
        Self { items: Vec::new() }
    }
}

impl<K: Clone + PartialEq> Queue<K> {
    /// Adds an item, or starts it anew.
    pub fn push(&mut self, key: K) {
        self.items.retain(|(other, _)| *other != key);
        self.items.push((key, 0));
    }

    /// Takes up to `most` items for one frame, those sent least first, and drops those that have
    /// then been sent `sends` times.
    pub fn take(&mut self, max: usize, limit: u32) -> Vec<K> {
        self.items.sort_by_key(|(_, sent)| *sent);
        let mut taken = Vec::with_capacity(max.min(self.items.len()));
        for (key, sent) in self.items.iter_mut().take(max) {
            *sent += 1;
            taken.push(key.clone());
        }
        self.items.retain(|(_, sent)| *sent < limit);
        taken
    }

    /// Tells whether nothing is left to pass on.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
