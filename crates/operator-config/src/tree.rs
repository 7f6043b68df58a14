//! XML as elements that know where they stand, for errors that name the place.

use quick_xml::events::{BytesStart, Event};
use quick_xml::{Reader, XmlVersion};
use std::fmt;

/// Nothing that is meant to be there nests deeper: an error, not a stack that overflows.
const DEEPEST: usize = 8;

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Place {
    pub line: usize,
    /// In characters, from 1.
    pub column: usize,
}

#[derive(Debug, Clone, PartialEq)]
pub struct Element {
    pub name: String,
    pub place: Place,
    pub attributes: Vec<(String, String)>,
    pub children: Vec<Element>,
}

/// What keeps the file from being used, and where.
#[derive(Clone, Debug, PartialEq)]
pub struct Wrong {
    /// Empty where the text is no XML.
    pub element: String,
    pub place: Place,
    pub why: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "line {}, column {}: ", self.place.line, self.place.column)?;
        match self.element.as_str() {
            "" => f.write_str(&self.why),
            element => write!(f, "<{element}>: {}", self.why),
        }
    }
}

fn place(text: &str, offset: usize) -> Place {
    let before = text.get(..offset).unwrap_or(text);
    let start = before.rfind('\n').map_or(0, |at| at + 1);
    Place { line: before.matches('\n').count() + 1, column: before[start..].chars().count() + 1 }
}

pub fn read(text: &str) -> Result<Element, Wrong> {
    let mut reader = Reader::from_str(text);
    let mut open: Vec<Element> = Vec::new();
    let mut root: Option<Element> = None;
    loop {
        let at = place(text, reader.buffer_position() as usize);
        let within = open.last().map_or(String::new(), |element| element.name.clone());
        let wrong = |place: Place, why: String| Wrong { element: within.clone(), place, why };
        let event = reader.read_event();
        let event = event.map_err(|why| {
            wrong(place(text, reader.error_position() as usize), format!("no well-formed XML: {why}"))
        })?;
        let (start, empty) = match event {
            Event::Start(start) => (start, false),
            Event::Empty(start) => (start, true),
            Event::End(_) => {
                let done = open.pop().ok_or_else(|| wrong(at, "an end without a start".into()))?;
                match open.last_mut() {
                    Some(parent) => parent.children.push(done),
                    None => root = Some(done),
                }
                continue;
            }
            Event::Eof => break,
            Event::Text(words) if words.trim().is_empty() => continue,
            Event::Comment(_) | Event::Decl(_) => continue,
            Event::Text(_) | Event::CData(_) | Event::GeneralRef(_) => {
                return Err(wrong(at, "text has no meaning here; all is said in attributes".into()));
            }
            Event::PI(_) => return Err(wrong(at, "instructions have no meaning here".into())),
            Event::DocType(_) => return Err(wrong(at, "a document type is not taken".into())),
        };
        if root.is_some() {
            return Err(wrong(at, "more than one outermost element".into()));
        }
        if open.len() == DEEPEST {
            return Err(wrong(at, "nested too deep".into()));
        }
        let element = element(&start, at)?;
        match (empty, open.last_mut()) {
            (false, _) => open.push(element),
            (true, Some(parent)) => parent.children.push(element),
            (true, None) => root = Some(element),
        }
    }
    let end = place(text, text.len());
    let unfinished = |element: &Element| Wrong {
        element: element.name.clone(),
        place: element.place,
        why: "it lacks its end".into(),
    };
    match open.last() {
        Some(element) => Err(unfinished(element)),
        None => root.ok_or(Wrong { element: String::new(), place: end, why: "no element at all".into() }),
    }
}

fn element(start: &BytesStart, at: Place) -> Result<Element, Wrong> {
    let name = start.name().as_ref().to_string();
    let mut attributes: Vec<(String, String)> = Vec::new();
    for attribute in start.attributes() {
        let wrong = |why: &dyn fmt::Display| Wrong { element: name.clone(), place: at, why: why.to_string() };
        let attribute = attribute.map_err(|why| wrong(&why))?;
        let value = attribute.normalized_value(XmlVersion::Explicit1_0).map_err(|why| wrong(&why))?;
        attributes.push((attribute.key.as_ref().to_string(), value.into_owned()));
    }
    Ok(Element { name, place: at, attributes, children: Vec::new() })
}

impl Element {
    pub fn wrong(&self, why: impl fmt::Display) -> Wrong {
        Wrong { element: self.name.clone(), place: self.place, why: why.to_string() }
    }

    /// Refuses attributes and children that nobody knows: a slip of the pen must not pass for a default.
    pub fn has_only(&self, attributes: &[&str], children: &[&str]) -> Result<(), Wrong> {
        for (name, _) in &self.attributes {
            if !attributes.contains(&name.as_str()) {
                return Err(self.wrong(format!("it has no attribute {name:?}")));
            }
        }
        for child in &self.children {
            if !children.contains(&child.name.as_str()) {
                return Err(child.wrong(format!("it has no place in <{}>", self.name)));
            }
        }
        Ok(())
    }

    pub fn given(&self, name: &str) -> Option<&str> {
        self.attributes.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// An attribute as `read` understands it.
    pub fn maybe<T, E: fmt::Display>(
        &self,
        name: &str,
        read: impl FnOnce(&str) -> Result<T, E>,
    ) -> Result<Option<T>, Wrong> {
        let value = self.given(name).map(read).transpose();
        value.map_err(|why| self.wrong(format!("{name}: {why}")))
    }

    /// ... and one that must be there.
    pub fn must<T, E: fmt::Display>(
        &self,
        name: &str,
        read: impl FnOnce(&str) -> Result<T, E>,
    ) -> Result<T, Wrong> {
        self.maybe(name, read)?.ok_or_else(|| self.wrong(format!("it lacks {name:?}")))
    }

    /// The one child of this name, where there is one.
    pub fn child(&self, name: &str) -> Result<Option<&Element>, Wrong> {
        let mut all = self.children.iter().filter(|child| child.name == name);
        let first = all.next();
        all.next().map_or(Ok(first), |second| Err(second.wrong("it is there twice")))
    }
}
