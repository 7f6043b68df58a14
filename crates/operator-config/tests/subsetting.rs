//! The element `<subsetting>`: its contents, and errors that name the location.

use whinwall_operator_config::file;
use whinwall_operator_config::{AggregatorMember, ControllerMember, SubsettingConfig, UnknownMember};

const MEMBERS: &str = r#"
    <governor name="n1" address="127.0.0.1:8443" slices="0-19,40"/>
    <governor name="n2"/>
    <aggregator name="m1" address="127.0.0.1:7001"/>
    <aggregator name="m2" address="[::1]:7002"/>
"#;

fn with(attributes: &str, members: &str) -> String {
    format!("<operators version=\"1\">\n<subsetting {attributes}>{members}</subsetting>\n</operators>")
}

fn with_default_sizes(members: &str) -> String {
    with(r#"subset="48" bytes-per-second="27000""#, members)
}

fn read(text: &str) -> SubsettingConfig {
    file::parse(text).expect("a file that can be used").subsetting.expect("the element")
}

#[test]
fn subsetting_is_off_without_the_element() {
    assert_eq!(file::parse("<operators version='1'/>").expect("a file").subsetting, None);
}

#[test]
fn members_and_sizes_are_read() {
    let config = read(&with_default_sizes(MEMBERS));
    let address = |text: &str| text.parse().expect("an address");
    let controllers = [
        ControllerMember {
            name: "n1".into(),
            address: Some(address("127.0.0.1:8443")),
            slices: vec![(0, 19), (40, 40)],
        },
        ControllerMember { name: "n2".into(), address: None, slices: vec![] },
    ];
    let aggregators = [
        AggregatorMember { name: "m1".into(), address: address("127.0.0.1:7001") },
        AggregatorMember { name: "m2".into(), address: address("[::1]:7002") },
    ];
    let expected = SubsettingConfig {
        subset_size: 48,
        bytes_per_second: 27_000,
        controllers: controllers.into(),
        aggregators: aggregators.into(),
    };
    assert_eq!(config, expected);
    assert_eq!(config.membership().map(|membership| membership.len()), Ok(2));
    assert_eq!(config.parameters().subset_size, 48);
}

#[test]
fn members_are_found_by_name() {
    let config = read(&with_default_sizes(MEMBERS));
    assert_eq!(config.controller("n2").map(|controller| &controller.name), Ok(&"n2".to_string()));
    assert_eq!(config.aggregator("m2").map(|aggregator| &aggregator.name), Ok(&"m2".to_string()));
    assert_eq!(config.controller("n3"), Err(UnknownMember::Controller("n3".into())));
    let unknown = config.aggregator("m3").expect_err("not there");
    assert_eq!(unknown.to_string(), "<subsetting>: \"m3\" is not among its aggregators");
}

#[test]
fn errors_name_the_location_and_the_reason() {
    let sizes = |subset: &str, bytes: &str| {
        with(&format!("subset=\"{subset}\" bytes-per-second=\"{bytes}\""), MEMBERS)
    };
    let members = |more: &str| with_default_sizes(&format!("{MEMBERS}{more}"));
    let cases = [
        (
            sizes("0", "27000"),
            "line 2, column 1: <subsetting>: subset: \"0\" is no whole number from 1 to 100000",
        ),
        (sizes("many", "27000"), "subset: \"many\" is no whole number"),
        (sizes("48", "100"), "bytes-per-second: 100 bytes a second are too few for one report line"),
        (sizes("48", "2000000000"), "bytes-per-second: 2000000000 is more than"),
        (sizes("48", "27kB"), "bytes-per-second: \"27kB\" is no whole number"),
        (with("subset=\"48\"", MEMBERS), "it lacks \"bytes-per-second\""),
        (with("bytes-per-second=\"27000\"", MEMBERS), "it lacks \"subset\""),
        (members("<proxy name=\"p\"/>"), "<proxy>: it has no place in <subsetting>"),
        (members("<governor name=\"n1\"/>"), "line 7, column 1: <governor>: name: \"n1\" is there twice"),
        (
            members("<governor name=\"n3\" address=\"127.0.0.1:8443\"/>"),
            "address: 127.0.0.1:8443 is there twice",
        ),
        (
            members("<aggregator name=\"m1\" address=\"127.0.0.1:7003\"/>"),
            "<aggregator>: name: \"m1\" is there twice",
        ),
        (members("<aggregator name=\"m3\"/>"), "<aggregator>: it lacks \"address\""),
        (members("<aggregator name=\"m3\" address=\"here\"/>"), "address: \"here\" is no address"),
        (members("<aggregator name=\"m3\" address=\"127.0.0.1:0\"/>"), "\"127.0.0.1:0\" lacks a port"),
        (members("<governor/>"), "<governor>: it lacks \"name\""),
        (members("<governor name=\"\"/>"), "name: \"\" is no name"),
        (members("<governor name=\"a b\"/>"), "name: \"a b\" is no name"),
        (members("<governor name=\"n3\" slices=\"9-4\"/>"), "slices: \"9-4\" ends before it begins"),
        (members("<governor name=\"n3\" slices=\"all\"/>"), "slices: \"all\" is no slice or range of slices"),
        (members("<governor name=\"n3\" slices=\"0-9,9-12\"/>"), "slices: slice 9 is there twice"),
        (with_default_sizes("<governor name=\"n1\"/>"), "<subsetting>: no <aggregator> is named"),
        (
            with_default_sizes("<aggregator name=\"m1\" address=\"127.0.0.1:7001\"/>"),
            "<subsetting>: no <governor> is named",
        ),
        (members("") + "<x/>", "more than one outermost element"),
    ];
    for (text, expected) in cases {
        let error = file::parse(&text).expect_err(&text).to_string();
        assert!(error.contains(expected), "{error:?} lacks {expected:?}");
    }
}
