//! The reader and the schema held against the same samples, and errors that name the place.

use quickcheck::{Arbitrary, Gen};
use regex::Regex;
use whinwall_operator_config::file::{self, Doors, LogForm};
use whinwall_operator_config::tree::{self, Element};
use whinwall_overrides::OverrideKind;

const SCHEMA: &str = include_str!("../../../deploy/operators.xsd");
const EXAMPLE: &str = include_str!("../../../deploy/operators.xml");

/// As much of XML Schema as ours is written in.
struct Schema(Element);

impl Schema {
    fn allows(&self, text: &str) -> bool {
        let Ok(root) = tree::read(text) else { return false };
        let outermost = self.0.children.iter().find(|child| child.name == "xs:element").unwrap();
        outermost.given("name") == Some(&root.name) && self.fits(&outermost.children[0], &root)
    }

    fn named(&self, name: &str) -> &Element {
        self.0.children.iter().find(|child| child.given("name") == Some(name)).expect(name)
    }

    fn fits(&self, complex: &Element, element: &Element) -> bool {
        let own: Vec<_> = complex.children.iter().filter(|child| child.name == "xs:attribute").collect();
        let known = |name: &str| own.iter().find(|attribute| attribute.given("name") == Some(name));
        let attributes = element.attributes.iter().all(|(name, value)| {
            known(name).is_some_and(|known| self.is_value(self.named(known.given("type").unwrap()), value))
        });
        let required = own.iter().filter(|attribute| attribute.given("use") == Some("required"));
        let all_there = required.map(|a| a.given("name").unwrap()).all(|name| element.given(name).is_some());
        let group =
            complex.children.iter().find(|child| ["xs:all", "xs:choice"].contains(&child.name.as_str()));
        let children = element.children.iter().all(|child| {
            let found = group.and_then(|g| g.children.iter().find(|e| e.given("name") == Some(&child.name)));
            let once = || element.children.iter().filter(|other| other.name == child.name).count() == 1;
            found.is_some_and(|found| {
                (group.unwrap().name == "xs:choice" || once())
                    && self.fits(self.named(found.given("type").unwrap()), child)
            })
        });
        attributes && all_there && children
    }

    fn is_value(&self, simple: &Element, value: &str) -> bool {
        let facets = &simple.children[0].children;
        let of = |name: &'static str| facets.iter().filter(move |facet| facet.name == name);
        let figure = |facet: &Element| facet.given("value").unwrap().parse::<usize>().unwrap();
        let mut listed = of("xs:enumeration").peekable();
        (listed.peek().is_none() || listed.any(|facet| facet.given("value") == Some(value)))
            && of("xs:pattern").all(|facet| {
                Regex::new(&format!("^(?:{})$", facet.given("value").unwrap())).unwrap().is_match(value)
            })
            && of("xs:minLength").all(|facet| value.len() >= figure(facet))
            && of("xs:maxLength").all(|facet| value.len() <= figure(facet))
    }
}

fn whole(inner: &str) -> String {
    format!("<operators version=\"1\">\n  {inner}\n</operators>")
}

const OUT: &str = r#"<out id="f-1" server="s-3" author="mb" reason="disk" until="2026-12-01T22:00:00Z"/>"#;

fn within(overrides: &str) -> String {
    whole(&format!("<overrides longest=\"12h\">{overrides}</overrides>"))
}

fn subsetting(attributes: &str, more: &str) -> String {
    let members =
        r#"<governor name="n1" address="127.0.0.1:8443"/><aggregator name="m1" address="127.0.0.1:7001"/>"#;
    whole(&format!("<subsetting {attributes}>{members}{more}</subsetting>"))
}

#[test]
fn schema_and_reader_agree() {
    let schema = Schema(tree::read(SCHEMA).unwrap());
    let good = [
        EXAMPLE.to_string(),
        "<operators version='1'/>".into(),
        whole("<log form=\"json\"/><overrides/>"),
        whole("<management address=\"127.0.0.1:8600\" token-file=\"/etc/token\"/>"),
        whole("<cores most=\"4\"/>"),
        whole("<management socket=\"/run/a&amp;b.sock\"/><store folder=\"/var/lib/w\"/>"),
        within(OUT),
        within(&format!("{OUT}{}", OUT.replace("f-1", "f-2"))),
        within(
            r#"<pin id="a" slices="4-9" server="s" author="m" reason="r" until="2026-12-01T22:00:00+01:00"/>"#,
        ),
        within(
            r#"<weight id="a" factor="0.5" server="s" author="m" reason="r" until="2026-12-01T22:00:00Z"/>"#,
        ),
    ];
    let good = good.into_iter().chain([
        subsetting(r#"subset="48" bytes-per-second="27000""#, ""),
        subsetting(r#"subset="100000" bytes-per-second="512""#, r#"<governor name="n2" slices="0-19,40"/>"#),
        subsetting(
            r#"subset="1" bytes-per-second="1000000000""#,
            r#"<aggregator name="m:2" address="[::1]:7"/>"#,
        ),
    ]);
    for text in good {
        assert!(schema.allows(&text), "the schema refuses {text}");
        file::read(&text).unwrap_or_else(|wrong| panic!("{wrong} in {text}"));
    }
    let bad = [
        "<operators/>".to_string(),
        "<operators version='2'/>".into(),
        "<overrides version='1'/>".into(),
        whole("<log/>"),
        whole("<log form=\"xml\"/>"),
        whole("<log form=\"text\"/><log form=\"text\"/>"),
        whole("<logs form=\"text\"/>"),
        whole("<store folder=\"var\"/>"),
        whole("<management address=\"10.0.0.1:80\" token-file=\"/t\"/>"),
        whole("<management door=\"/t\"/>"),
        whole("<overrides longest=\"soon\"/>"),
        whole("<overrides most=\"0\"/>"),
        whole("<cores most=\"65\"/>"),
        whole("<cores most=\"0\"/>"),
        whole("<cores/>"),
        within("<drain id=\"a\"/>"),
        within(&OUT.replace("author=\"mb\"", "")),
        within(&OUT.replace("f-1", "f 1")),
        within(&OUT.replace("author=\"mb\"", "author=\"mb\" factor=\"2\"")),
        within(&OUT.replace("2026-12-01T22:00:00Z", "tonight")),
        within(&OUT.replace("reason=\"disk\"", "reason=\"\"")),
        within(r#"<pin id="a" slices="4-" server="s" author="m" reason="r" until="2026-12-01T22:00:00Z"/>"#),
        within(
            r#"<weight id="a" factor="much" server="s" author="m" reason="r" until="2026-12-01T22:00:00Z"/>"#,
        ),
    ];
    let bad = bad.into_iter().chain([
        subsetting(r#"subset="0" bytes-per-second="27000""#, ""),
        subsetting(r#"subset="100001" bytes-per-second="27000""#, ""),
        subsetting(r#"subset="48" bytes-per-second="511""#, ""),
        subsetting(r#"subset="48" bytes-per-second="1000000001""#, ""),
        subsetting(r#"subset="48""#, ""),
        subsetting(r#"subset="48" bytes-per-second="27000" zone="a""#, ""),
        subsetting(r#"subset="48" bytes-per-second="27000""#, r#"<governor name="n 2"/>"#),
        subsetting(r#"subset="48" bytes-per-second="27000""#, r#"<governor name="n2" slices="0-"/>"#),
        subsetting(
            r#"subset="48" bytes-per-second="27000""#,
            r#"<governor name="n2" address="127.0.0.1:0"/>"#,
        ),
        subsetting(r#"subset="48" bytes-per-second="27000""#, r#"<aggregator name="m2"/>"#),
        subsetting(r#"subset="48" bytes-per-second="27000""#, r#"<proxy name="p2"/>"#),
    ]);
    for text in bad {
        assert!(!schema.allows(&text), "the schema takes {text}");
        assert!(file::read(&text).is_err(), "the reader takes {text}");
    }
}

#[test]
fn what_a_schema_can_not_say_is_refused_too() {
    for (text, expected) in [
        (whole("<management/>"), "either"),
        (whole("<management socket=\"/a\" address=\"127.0.0.1:1\"/>"), "either"),
        (whole("<management socket=\"/a\" token-file=\"/t\"/>"), "token-file"),
        (whole("<management address=\"127.0.0.1:1\"/>"), "token-file"),
        (within(&format!("{OUT}{OUT}")), "twice"),
        (within(&OUT.replace("2026-12-01", "2026-13-01")), "until"),
        (whole(&format!("<overrides most=\"1\">{OUT}{}</overrides>", OUT.replace("f-1", "f-2"))), "most"),
        (whole("text"), "text"),
        (format!("{}<more/>", whole("")), "outermost"),
        (whole("<!DOCTYPE x>"), "type"),
        ("<operators version='1'><overrides>".into(), "lacks its end"),
        ("<a>".repeat(100), "deep"),
        (String::new(), "no element"),
        ("<operators version='1' version='1'/>".into(), "uplicate"),
    ] {
        let wrong = file::read(&text).unwrap_err().to_string();
        assert!(wrong.contains(expected), "{wrong:?} lacks {expected:?} for {text}");
    }
}

#[test]
fn an_error_names_element_line_and_column() {
    let text = within(&format!("\n    {}", OUT.replace("mb", "").replace("disk", "é")));
    let wrong = file::read(&text).unwrap_err();
    assert_eq!((wrong.element.as_str(), wrong.place.line, wrong.place.column), ("out", 3, 5));
    assert!(wrong.to_string().starts_with("line 3, column 5: <out>: author: "), "{wrong}");
    let wrong = file::read("<operators version=\"1\">\n  <log form=\"text\">\n</operators>").unwrap_err();
    assert_eq!(wrong.place.line, 3, "{wrong}");
}

#[test]
fn what_is_said_is_read() {
    let pin = r#"<pin id="a" slices="4-9" server="s &quot;1&quot;" author="m" reason="r" until="2026-12-01T22:00:00Z"/>"#;
    let text = whole(&format!(
        "<log form=\"json\"/><management address=\"[::1]:8600\" token-file=\"/t\"/>
         <overrides most=\"7\">{OUT}{pin}</overrides>"
    ));
    let read = file::read(&text).unwrap();
    assert_eq!((read.log, read.bounds.max_active, read.store), (LogForm::Json, 7, None));
    assert!(matches!(read.management, Some(Doors::Address { address, .. }) if address.port() == 8600));
    let replica = "s \"1\"".to_string();
    assert_eq!(read.overrides[1].kind, OverrideKind::Pin { first: 4, last: 9, replica });
}

/// The example with some of its bytes lost, doubled or changed.
#[derive(Clone, Debug)]
struct Garbled(String);

impl Arbitrary for Garbled {
    fn arbitrary(gen: &mut Gen) -> Self {
        let mut bytes = within(OUT).into_bytes();
        for _ in 0..u8::arbitrary(gen) % 4 {
            let at = usize::arbitrary(gen) % bytes.len();
            match u8::arbitrary(gen) % 3 {
                0 => _ = bytes.remove(at),
                1 => bytes.insert(at, bytes[at]),
                _ => bytes[at] = u8::arbitrary(gen),
            }
        }
        Garbled(String::from_utf8_lossy(&bytes).into_owned())
    }
}

#[test]
fn garbled_files_are_read_or_refused() {
    fn holds(text: Garbled) -> bool {
        // Whatever is taken was said in full: never an override without its end.
        file::read(&text.0).map_or(true, |file| file.overrides.len() <= 1)
    }
    quickcheck::QuickCheck::new().tests(3000).quickcheck(holds as fn(Garbled) -> bool);
}
