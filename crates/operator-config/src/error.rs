//! Errors of the operators' file, with their location.

use crate::xml::MAX_DEPTH;
use std::fmt;

/// A position in the text of a file.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Location {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
}

/// An error in the file, as shown to the operator who edits it.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub struct ConfigError {
    /// The name of the element; empty if the error lies outside of any element.
    pub element: String,
    /// The position at which the element begins.
    pub location: Location,
    /// The message: the text of a [`StructureError`], of a [`ValueError`](crate::values::ValueError) or of an error
    /// of another package.
    pub reason: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Location { line, column } = self.location;
        write!(f, "line {line}, column {column}: ")?;
        if !self.element.is_empty() {
            write!(f, "<{}>: ", self.element)?;
        }
        f.write_str(&self.reason)
    }
}

/// An error in the structure of a file. The messages are shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StructureError {
    /// The text is not XML.
    #[error("malformed XML: {0}")]
    NotWellFormed(String),
    /// An end tag without a start tag.
    #[error("end tag without a start tag")]
    MissingStartTag,
    /// A start tag without an end tag.
    #[error("missing end tag")]
    MissingEndTag,
    /// Text between tags.
    #[error("text is not allowed; values are given in attributes")]
    TextContent,
    /// A processing instruction.
    #[error("processing instructions are not allowed")]
    ProcessingInstruction,
    /// A document type declaration.
    #[error("document type declarations are not allowed")]
    DocumentType,
    /// A second root element.
    #[error("more than one root element")]
    SecondRoot,
    /// No root element.
    #[error("missing root element")]
    MissingRoot,
    /// The root element has the wrong name.
    #[error("the root element must be <{0}>")]
    WrongRoot(&'static str),
    /// Elements that are nested too deep.
    #[error("elements are nested more than {MAX_DEPTH} levels deep")]
    TooDeep,
    /// An unknown attribute.
    #[error("unknown attribute {0:?}")]
    UnknownAttribute(String),
    /// A missing attribute.
    #[error("missing attribute {0:?}")]
    MissingAttribute(String),
    /// An element that its parent may not contain.
    #[error("element not allowed in <{parent}>")]
    UnknownElement {
        /// The name of the parent element.
        parent: String,
    },
    /// A second element with a name that may occur only once.
    #[error("duplicate element")]
    DuplicateElement,
    /// A missing element.
    #[error("missing element <{0}>")]
    MissingElement(String),
    /// More elements of one name than allowed.
    #[error("{count} <{name}> elements, at most {max} allowed")]
    TooManyElements {
        /// The number of elements in the file.
        count: usize,
        /// The name of the elements.
        name: String,
        /// The largest allowed number.
        max: usize,
    },
    /// A value that has to be unique but occurs more than once.
    #[error("{attribute}: duplicate value {value}")]
    DuplicateValue {
        /// The name of the attribute.
        attribute: String,
        /// The value as it is displayed.
        value: String,
    },
    /// More overrides than the `most` attribute of the file allows.
    #[error("{count} overrides, at most {max} allowed by \"most\"")]
    TooManyOverrides {
        /// The number of overrides in the file.
        count: usize,
        /// The largest allowed number.
        max: usize,
    },
    /// A token file given for a Unix socket, which needs no token as only its owner can connect.
    #[error("\"token-file\" is not allowed with \"socket\": only the socket's owner can connect")]
    TokenForSocket,
    /// Both a socket and an address, or neither of them.
    #[error("either \"socket\" or \"address\" is required")]
    SocketOrAddress,
}
