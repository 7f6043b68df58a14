//! Why a file cannot be used, and where.

use std::fmt;

/// A position in the text of a file.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Location {
    /// The line, from 1.
    pub line: usize,
    /// The column in characters, from 1.
    pub column: usize,
}

/// What is wrong in a file, for whoever edits it.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub struct ConfigError {
    /// The name of the element; empty where the text is not XML.
    pub element: String,
    /// Where the element begins.
    pub location: Location,
    /// What is wrong: the text of a [`StructureError`], of a [`ValueError`](crate::values::ValueError), or of
    /// another package's error.
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

/// What is wrong with the structure of a file. The messages are shown to operators.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StructureError {
    /// The text is not XML.
    #[error("no well-formed XML: {0}")]
    NotWellFormed(String),
    /// An end tag without a start tag.
    #[error("an end without a start")]
    EndWithoutStart,
    /// A start tag without an end tag.
    #[error("it lacks its end")]
    Unclosed,
    /// Text between tags.
    #[error("text has no meaning here; all is said in attributes")]
    Text,
    /// A processing instruction.
    #[error("instructions have no meaning here")]
    ProcessingInstruction,
    /// A document type declaration.
    #[error("a document type is not taken")]
    DocumentType,
    /// A second root element.
    #[error("more than one outermost element")]
    SecondRoot,
    /// No root element.
    #[error("no element at all")]
    NoElement,
    /// Another root element than the file has to have.
    #[error("the outermost element must be <{0}>")]
    WrongRoot(&'static str),
    /// More levels of elements than any file has.
    #[error("nested too deep")]
    TooDeep,
    /// An unknown attribute.
    #[error("it has no attribute {0:?}")]
    UnknownAttribute(String),
    /// A missing attribute.
    #[error("it lacks {0:?}")]
    MissingAttribute(String),
    /// An unknown element.
    #[error("it has no place in <{parent}>")]
    UnknownElement {
        /// The element that it is in.
        parent: String,
    },
    /// A second element of a name that may be there once.
    #[error("it is there twice")]
    DuplicateElement,
    /// No element of a name that has to be there.
    #[error("no <{0}> is named")]
    MissingElement(String),
    /// More elements of a name than may be there.
    #[error("{count} times <{name}> are more than {max}")]
    TooManyElements {
        /// How many there are.
        count: usize,
        /// Their name.
        name: String,
        /// How many there may be.
        max: usize,
    },
    /// A value that has to be unique, and is not.
    #[error("{attribute}: {value} is there twice")]
    DuplicateValue {
        /// The attribute's name.
        attribute: String,
        /// The value as it is shown.
        value: String,
    },
    /// More overrides than the file itself permits.
    #[error("{count} overrides are more than the most, {max}")]
    TooManyOverrides {
        /// How many there are.
        count: usize,
        /// How many there may be.
        max: usize,
    },
    /// A token file for a socket.
    #[error("a socket is for its owner alone and takes no \"token-file\"")]
    TokenForSocket,
    /// Both a socket and an address, or neither.
    #[error("it must have either \"socket\" or \"address\"")]
    SocketOrAddress,
}
