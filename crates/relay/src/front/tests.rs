use super::NAMED;
use super::names;

#[test]
fn a_line_names_some_vms_and_counts_the_others() {
    let vms: Vec<String> = (0..NAMED + 3).map(|at| format!("v{at}")).collect();
    assert_eq!(names(&vms[..2]), "v0,v1");
    assert_eq!(names(&[]), "");
    let text = names(&vms);
    assert!(
        text.starts_with("v0,v1,") && text.ends_with(",+3"),
        "{text}"
    );
    assert_eq!(text.split(',').count(), NAMED + 1);
}
