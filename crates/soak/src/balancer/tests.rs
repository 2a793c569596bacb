use std::net::SocketAddr;

use super::MISS_THRESHOLD;
use super::Row;
use super::choose;

fn rows(misses: &[(usize, u32)]) -> Vec<Row> {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let row = |(centre, misses): &(usize, u32)| Row {
        centre: *centre,
        callers: address,
        ready: address,
        misses: *misses,
    };
    misses.iter().map(row).collect()
}

fn chosen(rows: &[Row], centre: usize) -> Vec<usize> {
    let mut found: Vec<usize> = (0..12).map(|hash| choose(rows, centre, hash)).collect();
    found.sort_unstable();
    found.dedup();
    found
}

#[test]
fn one_missed_probe_keeps_a_vm_in_rotation() {
    let rows = rows(&[(0, 0), (0, MISS_THRESHOLD - 1), (1, 0)]);
    assert_eq!(chosen(&rows, 0), [0, 1]);
}

#[test]
fn with_half_in_rotation_only_those_are_used() {
    let rows = rows(&[(0, 0), (0, MISS_THRESHOLD), (1, 0)]);
    assert_eq!(chosen(&rows, 0), [0]);
}

/// Most VMs of a data centre restart at once. The platform's balancer then goes on sending to all
/// of them, including those that have announced that they stop.
#[test]
fn with_fewer_than_half_in_rotation_all_are_used() {
    let rows = rows(&[(0, MISS_THRESHOLD), (0, MISS_THRESHOLD), (0, 0), (1, 0)]);
    assert_eq!(chosen(&rows, 0), [0, 1, 2]);
}

#[test]
fn a_data_centre_without_any_uses_other_centres() {
    let rows = rows(&[(0, MISS_THRESHOLD), (0, MISS_THRESHOLD), (1, 0), (2, 0)]);
    assert_eq!(chosen(&rows, 0), [2, 3]);
}
