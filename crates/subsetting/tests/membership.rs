//! Validation of controller names and parameters.

use whinwall_subsetting::{Membership, MembershipError, Parameters, ParametersError, MAX_CONTROLLERS};

fn named(names: &[&str]) -> Result<Membership, MembershipError> {
    Membership::new(names.iter().copied().map(str::to_string))
}

#[test]
fn names_are_sorted_and_found_by_position() {
    let membership = named(&["c", "a", "b"]).expect("valid names");
    assert_eq!(membership.names().collect::<Vec<_>>(), ["a", "b", "c"]);
    assert_eq!(membership.index("b"), Some(1));
    assert!(membership.contains("c") && !membership.contains("d"));
    assert_eq!(membership.name(3), None);
}

#[test]
fn invalid_name_lists_are_rejected_with_the_name_or_count() {
    assert_eq!(named(&[]), Err(MembershipError::Empty));
    assert_eq!(named(&["b", "a", "b"]), Err(MembershipError::Duplicate("b".into())));
    let absent = named(&["a"]).expect("valid names").require("b").expect_err("\"b\" is not a member");
    assert_eq!(absent.to_string(), "this governor's own name, \"b\", is not among the governors");
    let many = (0..=MAX_CONTROLLERS).map(|number| number.to_string());
    assert_eq!(Membership::new(many), Err(MembershipError::TooMany(MAX_CONTROLLERS + 1)));
}

#[test]
fn empty_subset_is_rejected() {
    assert_eq!(Parameters::new(0), Err(ParametersError::EmptySubset));
}
