//! The parser and the schema accept and reject the same samples, and errors name the location.

use quickcheck::{Arbitrary, Gen};
use regex::Regex;
use whinwall_operator_config::file::{self, LogFormat, ManagementEndpoint};
use whinwall_operator_config::xml::{self, Element};
use whinwall_overrides::OverrideKind;

const SCHEMA: &str = include_str!("../../../deploy/operators.xsd");
const EXAMPLE: &str = include_str!("../../../deploy/operators.xml");

/// An evaluator of the subset of XML Schema that `operators.xsd` uses.
struct Schema(Element);

impl Schema {
    fn accepts(&self, text: &str) -> bool {
        let Ok(root) = xml::parse(text) else { return false };
        let root_declaration = self.0.children.iter().find(|child| child.name == "xs:element").unwrap();
        root_declaration.attribute("name") == Some(&root.name)
            && self.matches_type(&root_declaration.children[0], &root)
    }

    fn type_named(&self, name: &str) -> &Element {
        self.0.children.iter().find(|child| child.attribute("name") == Some(name)).expect(name)
    }

    fn matches_type(&self, complex: &Element, element: &Element) -> bool {
        let declared: Vec<_> = complex.children.iter().filter(|child| child.name == "xs:attribute").collect();
        let declaration =
            |name: &str| declared.iter().find(|attribute| attribute.attribute("name") == Some(name));
        let attributes = element.attributes.iter().all(|(name, value)| {
            declaration(name).is_some_and(|found| {
                self.matches_simple_type(self.type_named(found.attribute("type").unwrap()), value)
            })
        });
        let required = declared.iter().filter(|attribute| attribute.attribute("use") == Some("required"));
        let has_required = required
            .map(|attribute| attribute.attribute("name").unwrap())
            .all(|name| element.attribute(name).is_some());
        let group =
            complex.children.iter().find(|child| ["xs:all", "xs:choice"].contains(&child.name.as_str()));
        let children = element.children.iter().all(|child| {
            let found = group.and_then(|group| {
                group.children.iter().find(|entry| entry.attribute("name") == Some(&child.name))
            });
            let occurs_once =
                || element.children.iter().filter(|other| other.name == child.name).count() == 1;
            found.is_some_and(|found| {
                (group.unwrap().name == "xs:choice" || occurs_once())
                    && self.matches_type(self.type_named(found.attribute("type").unwrap()), child)
            })
        });
        attributes && has_required && children
    }

    fn matches_simple_type(&self, simple: &Element, value: &str) -> bool {
        let facets = &simple.children[0].children;
        let facets_named = |name: &'static str| facets.iter().filter(move |facet| facet.name == name);
        let limit = |facet: &Element| facet.attribute("value").unwrap().parse::<usize>().unwrap();
        let mut enumeration = facets_named("xs:enumeration").peekable();
        (enumeration.peek().is_none() || enumeration.any(|facet| facet.attribute("value") == Some(value)))
            && facets_named("xs:pattern").all(|facet| {
                Regex::new(&format!("^(?:{})$", facet.attribute("value").unwrap())).unwrap().is_match(value)
            })
            && facets_named("xs:minLength").all(|facet| value.len() >= limit(facet))
            && facets_named("xs:maxLength").all(|facet| value.len() <= limit(facet))
    }
}

fn document(inner: &str) -> String {
    format!("<operators version=\"1\">\n  {inner}\n</operators>")
}

const OUT: &str = r#"<out id="f-1" server="s-3" author="mb" reason="disk" until="2026-12-01T22:00:00Z"/>"#;

fn with_overrides(overrides: &str) -> String {
    document(&format!("<overrides longest=\"12h\">{overrides}</overrides>"))
}

fn with_subsetting(attributes: &str, extra_members: &str) -> String {
    let members =
        r#"<governor name="n1" address="127.0.0.1:8443"/><aggregator name="m1" address="127.0.0.1:7001"/>"#;
    document(&format!("<subsetting {attributes}>{members}{extra_members}</subsetting>"))
}

/// Files that the schema and the parser accept.
fn valid_files() -> Vec<String> {
    let without_subsetting = [
        EXAMPLE.to_string(),
        "<operators version='1'/>".into(),
        document("<log form=\"json\"/><overrides/>"),
        document("<management address=\"127.0.0.1:8600\" token-file=\"/etc/token\"/>"),
        document("<cores most=\"4\"/>"),
        document("<management socket=\"/run/a&amp;b.sock\"/><store folder=\"/var/lib/w\"/>"),
        with_overrides(OUT),
        with_overrides(&format!("{OUT}{}", OUT.replace("f-1", "f-2"))),
        with_overrides(
            r#"<pin id="a" slices="4-9" server="s" author="m" reason="r" until="2026-12-01T22:00:00+01:00"/>"#,
        ),
        with_overrides(
            r#"<weight id="a" factor="0.5" server="s" author="m" reason="r" until="2026-12-01T22:00:00Z"/>"#,
        ),
    ];
    let with_subsetting = [
        with_subsetting(r#"subset="48" bytes-per-second="27000""#, ""),
        with_subsetting(
            r#"subset="100000" bytes-per-second="512""#,
            r#"<governor name="n2" slices="0-19,40"/>"#,
        ),
        with_subsetting(
            r#"subset="1" bytes-per-second="1000000000""#,
            r#"<aggregator name="m:2" address="[::1]:7"/>"#,
        ),
    ];
    without_subsetting.into_iter().chain(with_subsetting).collect()
}

/// Files that the schema and the parser reject.
fn invalid_files() -> Vec<String> {
    let without_subsetting = [
        "<operators/>".to_string(),
        "<operators version='2'/>".into(),
        "<overrides version='1'/>".into(),
        document("<log/>"),
        document("<log form=\"xml\"/>"),
        document("<log form=\"text\"/><log form=\"text\"/>"),
        document("<logs form=\"text\"/>"),
        document("<store folder=\"var\"/>"),
        document("<management address=\"10.0.0.1:80\" token-file=\"/t\"/>"),
        document("<management door=\"/t\"/>"),
        document("<overrides longest=\"soon\"/>"),
        document("<overrides most=\"0\"/>"),
        document("<cores most=\"65\"/>"),
        document("<cores most=\"0\"/>"),
        document("<cores/>"),
        with_overrides("<drain id=\"a\"/>"),
        with_overrides(&OUT.replace("author=\"mb\"", "")),
        with_overrides(&OUT.replace("f-1", "f 1")),
        with_overrides(&OUT.replace("author=\"mb\"", "author=\"mb\" factor=\"2\"")),
        with_overrides(&OUT.replace("2026-12-01T22:00:00Z", "tonight")),
        with_overrides(&OUT.replace("reason=\"disk\"", "reason=\"\"")),
        with_overrides(
            r#"<pin id="a" slices="4-" server="s" author="m" reason="r" until="2026-12-01T22:00:00Z"/>"#,
        ),
        with_overrides(
            r#"<weight id="a" factor="much" server="s" author="m" reason="r" until="2026-12-01T22:00:00Z"/>"#,
        ),
    ];
    let with_subsetting = [
        with_subsetting(r#"subset="0" bytes-per-second="27000""#, ""),
        with_subsetting(r#"subset="100001" bytes-per-second="27000""#, ""),
        with_subsetting(r#"subset="48" bytes-per-second="511""#, ""),
        with_subsetting(r#"subset="48" bytes-per-second="1000000001""#, ""),
        with_subsetting(r#"subset="48""#, ""),
        with_subsetting(r#"subset="48" bytes-per-second="27000" zone="a""#, ""),
        with_subsetting(r#"subset="48" bytes-per-second="27000""#, r#"<governor name="n 2"/>"#),
        with_subsetting(r#"subset="48" bytes-per-second="27000""#, r#"<governor name="n2" slices="0-"/>"#),
        with_subsetting(
            r#"subset="48" bytes-per-second="27000""#,
            r#"<governor name="n2" address="127.0.0.1:0"/>"#,
        ),
        with_subsetting(r#"subset="48" bytes-per-second="27000""#, r#"<aggregator name="m2"/>"#),
        with_subsetting(r#"subset="48" bytes-per-second="27000""#, r#"<proxy name="p2"/>"#),
    ];
    without_subsetting.into_iter().chain(with_subsetting).collect()
}

#[test]
fn schema_and_parser_agree() {
    let schema = Schema(xml::parse(SCHEMA).unwrap());
    for text in valid_files() {
        assert!(schema.accepts(&text), "the schema rejects {text}");
        file::parse(&text).unwrap_or_else(|error| panic!("{error} in {text}"));
    }
    for text in invalid_files() {
        assert!(!schema.accepts(&text), "the schema accepts {text}");
        assert!(file::parse(&text).is_err(), "the parser accepts {text}");
    }
}

#[test]
fn violations_that_the_schema_cannot_express_are_rejected() {
    for (text, expected) in [
        (document("<management/>"), "either"),
        (document("<management socket=\"/a\" address=\"127.0.0.1:1\"/>"), "either"),
        (document("<management socket=\"/a\" token-file=\"/t\"/>"), "token-file"),
        (document("<management address=\"127.0.0.1:1\"/>"), "token-file"),
        (with_overrides(&format!("{OUT}{OUT}")), "duplicate value"),
        (with_overrides(&OUT.replace("2026-12-01", "2026-13-01")), "until"),
        (document(&format!("<overrides most=\"1\">{OUT}{}</overrides>", OUT.replace("f-1", "f-2"))), "most"),
        (document("text"), "text"),
        (format!("{}<more/>", document("")), "more than one root element"),
        (document("<!DOCTYPE x>"), "type"),
        ("<operators version='1'><overrides>".into(), "missing end tag"),
        ("<a>".repeat(100), "deep"),
        (String::new(), "missing root element"),
        ("<operators version='1' version='1'/>".into(), "uplicate"),
    ] {
        let error = file::parse(&text).unwrap_err().to_string();
        assert!(error.contains(expected), "{error:?} does not contain {expected:?} for {text}");
    }
}

#[test]
fn error_names_element_line_and_column() {
    let text = with_overrides(&format!("\n    {}", OUT.replace("mb", "").replace("disk", "é")));
    let error = file::parse(&text).unwrap_err();
    assert_eq!((error.element.as_str(), error.location.line, error.location.column), ("out", 3, 5));
    assert!(error.to_string().starts_with("line 3, column 5: <out>: author: "), "{error}");
    let error = file::parse("<operators version=\"1\">\n  <log form=\"text\">\n</operators>").unwrap_err();
    assert_eq!(error.location.line, 3, "{error}");
}

#[test]
fn attributes_are_parsed() {
    let pin = r#"<pin id="a" slices="4-9" server="s &quot;1&quot;" author="m" reason="r" until="2026-12-01T22:00:00Z"/>"#;
    let text = document(&format!(
        "<log form=\"json\"/><management address=\"[::1]:8600\" token-file=\"/t\"/>
         <overrides most=\"7\">{OUT}{pin}</overrides>"
    ));
    let parsed = file::parse(&text).unwrap();
    assert_eq!(
        (parsed.log_format, parsed.override_limits.max_active, parsed.store_folder),
        (LogFormat::Json, 7, None)
    );
    assert!(
        matches!(parsed.management, Some(ManagementEndpoint::Address { address, .. }) if address.port() == 8600)
    );
    let replica = "s \"1\"".to_string();
    assert_eq!(parsed.overrides[1].kind, OverrideKind::Pin { first: 4, last: 9, replica });
}

/// A valid file with up to three bytes removed, duplicated or replaced.
#[derive(Clone, Debug)]
struct CorruptFile(String);

impl Arbitrary for CorruptFile {
    fn arbitrary(gen: &mut Gen) -> Self {
        let mut bytes = with_overrides(OUT).into_bytes();
        for _ in 0..u8::arbitrary(gen) % 4 {
            let at = usize::arbitrary(gen) % bytes.len();
            match u8::arbitrary(gen) % 3 {
                0 => _ = bytes.remove(at),
                1 => bytes.insert(at, bytes[at]),
                _ => bytes[at] = u8::arbitrary(gen),
            }
        }
        CorruptFile(String::from_utf8_lossy(&bytes).into_owned())
    }
}

#[test]
fn corrupt_files_are_parsed_or_rejected() {
    fn is_complete_or_rejected(text: CorruptFile) -> bool {
        // An accepted file has at most the override of the original, never a partial one.
        file::parse(&text.0).map_or(true, |file| file.overrides.len() <= 1)
    }
    quickcheck::QuickCheck::new().tests(3000).quickcheck(is_complete_or_rejected as fn(CorruptFile) -> bool);
}
