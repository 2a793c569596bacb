//! Updates that are forwarded a bounded number of times.
//!
//! Each item goes into a number of frames that grows with the logarithm of the fleet. By then all
//! but a few VMs have received it, and these few get it when digests are compared.

/// Sends of an item in addition to one for each doubling of the fleet. An item that each VM
/// forwards `n` times misses about one VM in `e^n`: one in 8,000 at 96 VMs. More sends would reach
/// hardly anyone and would add load while the whole fleet starts.
const EXTRA_SENDS: u32 = 2;

/// Returns how often one VM sends an item in a fleet of `vms`.
#[must_use]
pub fn transmit_limit(vms: usize) -> u32 {
    let doublings = usize::BITS - vms.leading_zeros();
    doublings + EXTRA_SENDS
}

/// Keys of items to send, with how often each was sent.
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
    /// Adds an item, or resets its count.
    pub fn push(&mut self, key: K) {
        self.items.retain(|(other, _)| *other != key);
        self.items.push((key, 0));
    }

    /// Takes up to `max` items for one frame, those sent least often first, and drops the items
    /// that have then been sent `limit` times.
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

    /// Returns whether no item is left to send.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
