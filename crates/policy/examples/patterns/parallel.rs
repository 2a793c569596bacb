//! Runs independent simulations in parallel.

use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;

/// Applies a function to each item on several threads; returns the results in the order of the
/// items.
pub fn map<T: Sync, R: Send>(
    items: &[T],
    threads: usize,
    apply: impl Fn(&T) -> R + Sync,
) -> Vec<R> {
    let next = AtomicUsize::new(0);
    let done = Mutex::new(Vec::new());
    thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                while let Some((index, item)) = take(items, &next) {
                    let result = apply(item);
                    done.lock().expect("no run panics").push((index, result));
                }
            });
        }
    });
    let mut done = done.into_inner().expect("no run panics");
    done.sort_by_key(|(index, _)| *index);
    done.into_iter().map(|(_, result)| result).collect()
}

fn take<'a, T>(items: &'a [T], next: &AtomicUsize) -> Option<(usize, &'a T)> {
    let index = next.fetch_add(1, Ordering::Relaxed);
    Some((index, items.get(index)?))
}
