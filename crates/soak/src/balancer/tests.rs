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
fn one_miss_takes_no_vm_out() {
    let rows = rows(&[(0, 0), (0, MISS_THRESHOLD - 1), (1, 0)]);
    assert_eq!(chosen(&rows, 0), [0, 1]);
}

#[test]
fn half_in_rotation_get_all() {
    let rows = rows(&[(0, 0), (0, MISS_THRESHOLD), (1, 0)]);
    assert_eq!(chosen(&rows, 0), [0]);
}

/// Most VMs of a data centre restart at once. The platform goes on sending to all of them, also to
/// those that have said that they stop.
#[test]
fn fewer_than_half_in_rotation_leave_all_in_use() {
    let rows = rows(&[(0, MISS_THRESHOLD), (0, MISS_THRESHOLD), (0, 0), (1, 0)]);
    assert_eq!(chosen(&rows, 0), [0, 1, 2]);
}

#[test]
fn a_data_centre_without_any_is_served_elsewhere() {
    let rows = rows(&[(0, MISS_THRESHOLD), (0, MISS_THRESHOLD), (1, 0), (2, 0)]);
    assert_eq!(chosen(&rows, 0), [2, 3]);
}
