use super::*;

#[test]
fn columns_are_as_wide_as_their_widest_cell() {
    let mut table = Table::new(&["vm", "up"]);
    table.add_row(["tas-a-1".to_owned(), "yes".to_owned()]);
    assert_eq!(table.render(), "VM       UP\ntas-a-1  yes\n");
}
