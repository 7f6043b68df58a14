//! Parses XML into elements that keep their location for error messages.

use crate::error::{ConfigError, Location, StructureError};
use quick_xml::events::{BytesStart, Event};
use quick_xml::{Reader, XmlVersion};
use std::fmt;

/// The largest nesting depth of elements. No file needs more, and deeper nesting could overflow the stack.
pub(crate) const MAX_DEPTH: usize = 8;

/// An XML element with its contents.
#[derive(Debug, Clone, PartialEq)]
pub struct Element {
    /// The name.
    pub name: String,
    /// The position at which it begins.
    pub location: Location,
    /// The attributes as names and values, in file order.
    pub attributes: Vec<(String, String)>,
    /// The child elements, in file order.
    pub children: Vec<Element>,
}

/// Parses a text that consists of one root element. Comments are ignored; any content other than elements and
/// attributes is rejected.
///
/// # Errors
/// The text is not well-formed XML, has no or several root elements, or has content that is not allowed.
pub fn parse(text: &str) -> Result<Element, ConfigError> {
    Parser { text, reader: Reader::from_str(text), open: Vec::new(), root: None }.parse()
}

struct Parser<'a> {
    text: &'a str,
    reader: Reader<&'a [u8]>,
    /// The elements whose end tag was not read yet, outermost first.
    open: Vec<Element>,
    root: Option<Element>,
}

/// The kinds of tag that begin an element: `<name>`, or `<name/>`, which ends it as well.
#[derive(Clone, Copy, PartialEq)]
enum Tag {
    Start,
    Empty,
}

impl Parser<'_> {
    fn parse(mut self) -> Result<Element, ConfigError> {
        loop {
            let location = self.location(self.reader.buffer_position());
            let event = match self.reader.read_event() {
                Ok(event) => event,
                Err(error) => {
                    let location = self.location(self.reader.error_position());
                    return Err(self.error(location, &StructureError::NotWellFormed(error.to_string())));
                }
            };
            let unexpected = match event {
                Event::Start(tag) => {
                    self.start_element(&tag, Tag::Start, location)?;
                    continue;
                }
                Event::Empty(tag) => {
                    self.start_element(&tag, Tag::Empty, location)?;
                    continue;
                }
                Event::End(_) => {
                    let element = self.open.pop();
                    let element =
                        element.ok_or_else(|| self.error(location, &StructureError::MissingStartTag))?;
                    self.close_element(element);
                    continue;
                }
                Event::Eof => return self.finish(),
                Event::Comment(_) | Event::Decl(_) => continue,
                Event::Text(text) if text.trim().is_empty() => continue,
                Event::Text(_) | Event::CData(_) | Event::GeneralRef(_) => StructureError::TextContent,
                Event::PI(_) => StructureError::ProcessingInstruction,
                Event::DocType(_) => StructureError::DocumentType,
            };
            return Err(self.error(location, &unexpected));
        }
    }

    fn start_element(&mut self, start: &BytesStart, tag: Tag, location: Location) -> Result<(), ConfigError> {
        if self.root.is_some() {
            return Err(self.error(location, &StructureError::SecondRoot));
        }
        if self.open.len() == MAX_DEPTH {
            return Err(self.error(location, &StructureError::TooDeep));
        }
        let element = Element::from_tag(start, location)?;
        match tag {
            Tag::Start => self.open.push(element),
            Tag::Empty => self.close_element(element),
        }
        Ok(())
    }

    fn close_element(&mut self, element: Element) {
        match self.open.last_mut() {
            Some(parent) => parent.children.push(element),
            None => self.root = Some(element),
        }
    }

    fn finish(self) -> Result<Element, ConfigError> {
        if let Some(unclosed) = self.open.last() {
            return Err(unclosed.error(StructureError::MissingEndTag));
        }
        let end = self.location(self.text.len() as u64);
        self.root.ok_or_else(|| ConfigError {
            element: String::new(),
            location: end,
            reason: StructureError::MissingRoot.to_string(),
        })
    }

    /// Returns an error about the innermost open element.
    fn error(&self, location: Location, reason: &StructureError) -> ConfigError {
        let element = self.open.last().map_or(String::new(), |element| element.name.clone());
        ConfigError { element, location, reason: reason.to_string() }
    }

    fn location(&self, offset: u64) -> Location {
        let before = self.text.get(..offset as usize).unwrap_or(self.text);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Location { line: before.matches('\n').count() + 1, column: before[line_start..].chars().count() + 1 }
    }
}

impl Element {
    fn from_tag(start: &BytesStart, location: Location) -> Result<Element, ConfigError> {
        let name = start.name().as_ref().to_string();
        let mut element = Element { name, location, attributes: Vec::new(), children: Vec::new() };
        for attribute in start.attributes() {
            let attribute = attribute.map_err(|error| element.error(error))?;
            let value =
                attribute.normalized_value(XmlVersion::Explicit1_0).map_err(|error| element.error(error))?;
            element.attributes.push((attribute.key.as_ref().to_string(), value.into_owned()));
        }
        Ok(element)
    }

    /// Returns an error about this element.
    pub fn error(&self, reason: impl fmt::Display) -> ConfigError {
        ConfigError { element: self.name.clone(), location: self.location, reason: reason.to_string() }
    }

    /// Rejects all attributes and children except these. Otherwise a misspelled one would be ignored and its default
    /// used silently.
    ///
    /// # Errors
    /// The first unknown attribute or child.
    pub fn allow_only(&self, attributes: &[&str], children: &[&str]) -> Result<(), ConfigError> {
        for (name, _) in &self.attributes {
            if !attributes.contains(&name.as_str()) {
                return Err(self.error(StructureError::UnknownAttribute(name.clone())));
            }
        }
        for child in &self.children {
            if !children.contains(&child.name.as_str()) {
                return Err(child.error(StructureError::UnknownElement { parent: self.name.clone() }));
            }
        }
        Ok(())
    }

    /// Returns the text of an attribute.
    pub fn attribute(&self, name: &str) -> Option<&str> {
        self.attributes.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Parses an optional attribute.
    ///
    /// # Errors
    /// The value is invalid.
    pub fn optional<T, E: fmt::Display>(
        &self,
        name: &str,
        parse: impl FnOnce(&str) -> Result<T, E>,
    ) -> Result<Option<T>, ConfigError> {
        let value = self.attribute(name).map(parse).transpose();
        value.map_err(|error| self.error(format!("{name}: {error}")))
    }

    /// Parses a required attribute.
    ///
    /// # Errors
    /// The attribute is missing, or its value is invalid.
    pub fn required<T, E: fmt::Display>(
        &self,
        name: &str,
        parse: impl FnOnce(&str) -> Result<T, E>,
    ) -> Result<T, ConfigError> {
        let value = self.optional(name, parse)?;
        value.ok_or_else(|| self.error(StructureError::MissingAttribute(name.into())))
    }

    /// Returns the text of a required attribute.
    ///
    /// # Errors
    /// The attribute is missing.
    pub fn required_text(&self, name: &str) -> Result<String, ConfigError> {
        let text = self.attribute(name).map(str::to_string);
        text.ok_or_else(|| self.error(StructureError::MissingAttribute(name.into())))
    }

    /// Returns the child with this name, which may occur at most once.
    ///
    /// # Errors
    /// There is more than one.
    pub fn optional_child(&self, name: &str) -> Result<Option<&Element>, ConfigError> {
        let mut children = self.children.iter().filter(|child| child.name == name);
        let first = children.next();
        match children.next() {
            None => Ok(first),
            Some(second) => Err(second.error(StructureError::DuplicateElement)),
        }
    }
}
