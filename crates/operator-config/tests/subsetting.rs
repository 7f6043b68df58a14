//! The element `<subsetting>`: its parsed contents, and errors that name the location.

use whinwall_operator_config::file;
use whinwall_operator_config::{AggregatorMember, ControllerMember, SubsettingConfig, UnknownMember};

const MEMBERS: &str = r#"
    <governor name="n1" address="127.0.0.1:8443" slices="0-19,40"/>
    <governor name="n2"/>
    <aggregator name="m1" address="127.0.0.1:7001"/>
    <aggregator name="m2" address="[::1]:7002"/>
"#;

fn document(attributes: &str, members: &str) -> String {
    format!("<operators version=\"1\">\n<subsetting {attributes}>{members}</subsetting>\n</operators>")
}

fn with_default_attributes(members: &str) -> String {
    document(r#"subset="48" bytes-per-second="27000""#, members)
}

fn parse(text: &str) -> SubsettingConfig {
    file::parse(text).expect("valid file").subsetting.expect("<subsetting>")
}

#[test]
fn subsetting_is_off_without_the_element() {
    assert_eq!(file::parse("<operators version='1'/>").expect("valid file").subsetting, None);
}

#[test]
fn members_and_attributes_are_parsed() {
    let config = parse(&with_default_attributes(MEMBERS));
    let address = |text: &str| text.parse().expect("valid address");
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
    let config = parse(&with_default_attributes(MEMBERS));
    assert_eq!(config.controller("n2").map(|controller| &controller.name), Ok(&"n2".to_string()));
    assert_eq!(config.aggregator("m2").map(|aggregator| &aggregator.name), Ok(&"m2".to_string()));
    assert_eq!(config.controller("n3"), Err(UnknownMember::Controller("n3".into())));
    let unknown = config.aggregator("m3").expect_err("unknown aggregator");
    assert_eq!(unknown.to_string(), "<subsetting>: no aggregator is named \"m3\"");
}

#[test]
fn errors_name_the_location_and_the_reason() {
    let attributes = |subset: &str, bytes_per_second: &str| {
        document(&format!("subset=\"{subset}\" bytes-per-second=\"{bytes_per_second}\""), MEMBERS)
    };
    let members = |extra: &str| with_default_attributes(&format!("{MEMBERS}{extra}"));
    let cases = [
        (
            attributes("0", "27000"),
            "line 2, column 1: <subsetting>: subset: \"0\" is not an integer from 1 to 100000",
        ),
        (attributes("many", "27000"), "subset: \"many\" is not an integer from 1 to 100000"),
        (
            attributes("48", "100"),
            "bytes-per-second: budget of 100 bytes per second, at least 512 needed for one report line",
        ),
        (attributes("48", "2000000000"), "bytes-per-second: budget of 2000000000 bytes per second, at most"),
        (attributes("48", "27kB"), "bytes-per-second: invalid integer \"27kB\""),
        (document("subset=\"48\"", MEMBERS), "missing attribute \"bytes-per-second\""),
        (document("bytes-per-second=\"27000\"", MEMBERS), "missing attribute \"subset\""),
        (members("<proxy name=\"p\"/>"), "<proxy>: element not allowed in <subsetting>"),
        (members("<governor name=\"n1\"/>"), "line 7, column 1: <governor>: name: duplicate value \"n1\""),
        (
            members("<governor name=\"n3\" address=\"127.0.0.1:8443\"/>"),
            "address: duplicate value 127.0.0.1:8443",
        ),
        (
            members("<aggregator name=\"m1\" address=\"127.0.0.1:7003\"/>"),
            "<aggregator>: name: duplicate value \"m1\"",
        ),
        (members("<aggregator name=\"m3\"/>"), "<aggregator>: missing attribute \"address\""),
        (members("<aggregator name=\"m3\" address=\"here\"/>"), "address: invalid address \"here\""),
        (
            members("<aggregator name=\"m3\" address=\"127.0.0.1:0\"/>"),
            "\"127.0.0.1:0\" has port 0; a port from 1 to 65535 is required",
        ),
        (members("<governor/>"), "<governor>: missing attribute \"name\""),
        (members("<governor name=\"\"/>"), "name: invalid name \"\""),
        (members("<governor name=\"a b\"/>"), "name: invalid name \"a b\""),
        (members("<governor name=\"n3\" slices=\"9-4\"/>"), "slices: \"9-4\" ends before it begins"),
        (members("<governor name=\"n3\" slices=\"all\"/>"), "slices: \"all\" is no slice or range of slices"),
        (members("<governor name=\"n3\" slices=\"0-9,9-12\"/>"), "slices: duplicate slice 9"),
        (with_default_attributes("<governor name=\"n1\"/>"), "<subsetting>: missing element <aggregator>"),
        (
            with_default_attributes("<aggregator name=\"m1\" address=\"127.0.0.1:7001\"/>"),
            "<subsetting>: missing element <governor>",
        ),
        (members("") + "<x/>", "more than one root element"),
    ];
    for (text, expected) in cases {
        let error = file::parse(&text).expect_err(&text).to_string();
        assert!(error.contains(expected), "{error:?} does not contain {expected:?}");
    }
}
