//! Validates a JSON-with-comments document against a table of fields and reports all errors at once.
//!
//! The same tables describe the settings and the declarations, so that a test can check that
//! [docs/SETTINGS.md](../../../docs/SETTINGS.md) matches the code.

use crate::Name;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// Type and accepted values of a field.
#[derive(Clone, Copy, Debug)]
pub enum FieldKind {
    /// A non-empty string.
    Text,
    /// An IP address and a port, such as `127.0.0.1:7000`.
    Address,
    /// A whole number in a closed range.
    Count {
        /// Smallest accepted value.
        min: u64,
        /// Largest accepted value.
        max: u64,
    },
    /// A decimal number in a closed range.
    Ratio {
        /// Smallest accepted value.
        min: f64,
        /// Largest accepted value.
        max: f64,
    },
    /// `true` or `false`.
    Flag,
    /// One of the given strings.
    Choice(&'static [&'static str]),
    /// A list of strings without duplicates.
    TextList,
    /// A list of objects, each with a unique `name`.
    Records(&'static [FieldSpec]),
}

/// One field of a document.
#[derive(Clone, Copy, Debug)]
pub struct FieldSpec {
    /// Key in the document. A unit is part of the key as a suffix, such as `_ms`.
    pub name: &'static str,
    /// Type and accepted values.
    pub kind: FieldKind,
    /// Default as written in a document, or `None` if the field is required.
    pub default: Option<&'static str>,
    /// Meaning of the field, in one sentence.
    pub meaning: &'static str,
}

/// An error in a document, with its location and what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError {
    /// File name as given by the user.
    pub file: Name,
    /// Line number, starting at 1.
    pub line: usize,
    /// Path of the key, such as `campaigns[0].places`.
    pub key: String,
    /// Description of the error and of the expected value.
    pub message: String,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}: {}", self.file, self.line, self.key, self.message)
    }
}

/// A valid document, with the line number of each key for further checks.
#[derive(Clone, Debug)]
pub struct CheckedDocument {
    file: Name,
    value: Value,
    lines: BTreeMap<String, usize>,
}

impl CheckedDocument {
    /// Returns the content of the document.
    pub fn value(&self) -> &Value {
        &self.value
    }

    /// Builds an error at a key of this document.
    pub fn error(&self, key: &str, message: impl Into<String>) -> DocumentError {
        let line = self.lines.get(key).copied().unwrap_or(1);
        DocumentError { file: self.file.clone(), line, key: key.into(), message: message.into() }
    }
}

/// Parses `text` and checks it against `fields`. Returns all errors if there are any.
pub fn check_document(file: &str, text: &str, fields: &[FieldSpec]) -> Result<CheckedDocument, Vec<DocumentError>> {
    let mut checker = DocumentChecker::new(file, text);
    let options = jsonc_parser::ParseOptions::default();
    let parsed = match jsonc_parser::parse_to_ast(text, &Default::default(), &options) {
        Ok(parsed) => parsed,
        Err(error) => {
            checker.error(error.range().start, "", format!("not JSON with comments: {}", error.kind()));
            return Err(checker.errors);
        }
    };
    let value = match &parsed.value {
        Some(ast::Value::Object(object)) => Value::Object(checker.object(object, "", fields)),
        _ => {
            checker.error(0, "", "expected an object at the top level".into());
            Value::Null
        }
    };
    if checker.errors.is_empty() {
        Ok(CheckedDocument { file: checker.file, value, lines: checker.lines })
    } else {
        Err(checker.errors)
    }
}

/// Checks a parsed document and collects its errors.
struct DocumentChecker {
    file: Name,
    line_starts: Vec<usize>,
    lines: BTreeMap<String, usize>,
    errors: Vec<DocumentError>,
}

impl DocumentChecker {
    fn new(file: &str, text: &str) -> Self {
        let breaks = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let line_starts = std::iter::once(0).chain(breaks.map(|(index, _)| index + 1)).collect();
        Self { file: file.into(), line_starts, lines: BTreeMap::new(), errors: Vec::new() }
    }

    fn line_of(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    fn error(&mut self, offset: usize, key: &str, message: String) {
        let line = self.line_of(offset);
        let key = if key.is_empty() { "document" } else { key };
        self.errors.push(DocumentError { file: self.file.clone(), line, key: key.into(), message });
    }

    fn object(&mut self, object: &ast::Object<'_>, path: &str, fields: &[FieldSpec]) -> Map<String, Value> {
        let mut content = Map::new();
        for property in &object.properties {
            let name = property.name.as_str();
            let key = join_path(path, name);
            let offset = property.range().start;
            let line = self.line_of(offset);
            self.lines.insert(key.clone(), line);
            if content.contains_key(name) {
                self.error(offset, &key, "duplicate key".into());
                continue;
            }
            let Some(field) = fields.iter().find(|field| field.name == name) else {
                self.error(offset, &key, format!("unknown key; expected one of {}", field_names(fields)));
                continue;
            };
            let value = self.value(&property.value, &key, field.kind);
            content.insert(name.into(), value);
        }
        for field in fields {
            if field.default.is_none() && !content.contains_key(field.name) {
                let message = format!("missing; expected {}", describe(field.kind));
                self.error(object.range().start, &join_path(path, field.name), message);
            }
        }
        content
    }

    fn value(&mut self, value: &ast::Value<'_>, key: &str, kind: FieldKind) -> Value {
        match (kind, value) {
            (FieldKind::Records(fields), ast::Value::Array(array)) => self.records(array, key, fields),
            (FieldKind::TextList, ast::Value::Array(array)) => self.text_list(array, key),
            _ => self.scalar(value, key, kind).unwrap_or_else(|| {
                self.error(value.range().start, key, format!("expected {}", describe(kind)));
                Value::Null
            }),
        }
    }

    fn scalar(&self, value: &ast::Value<'_>, _key: &str, kind: FieldKind) -> Option<Value> {
        match (kind, value) {
            (FieldKind::Text, ast::Value::StringLit(text)) => {
                (!text.value.trim().is_empty()).then(|| Value::from(text.value.as_ref()))
            }
            (FieldKind::Address, ast::Value::StringLit(text)) => {
                let address: std::net::SocketAddr = text.value.parse().ok()?;
                Some(Value::from(address.to_string()))
            }
            (FieldKind::Choice(words), ast::Value::StringLit(text)) => {
                words.contains(&text.value.as_ref()).then(|| Value::from(text.value.as_ref()))
            }
            (FieldKind::Count { min, max }, ast::Value::NumberLit(number)) => {
                let count: u64 = number.value.parse().ok()?;
                (min..=max).contains(&count).then(|| Value::from(count))
            }
            (FieldKind::Ratio { min, max }, ast::Value::NumberLit(number)) => {
                let ratio: f64 = number.value.parse().ok()?;
                (min..=max).contains(&ratio).then(|| Value::from(ratio))
            }
            (FieldKind::Flag, ast::Value::BooleanLit(flag)) => Some(Value::from(flag.value)),
            _ => None,
        }
    }

    fn records(&mut self, array: &ast::Array<'_>, key: &str, fields: &[FieldSpec]) -> Value {
        let mut seen = BTreeSet::new();
        let mut records = Vec::new();
        for (index, element) in array.elements.iter().enumerate() {
            let path = format!("{key}[{index}]");
            let offset = element.range().start;
            let line = self.line_of(offset);
            self.lines.insert(path.clone(), line);
            let ast::Value::Object(object) = element else {
                self.error(offset, &path, "expected an object".into());
                continue;
            };
            let record = self.object(object, &path, fields);
            if let Some(name) = record.get("name").and_then(Value::as_str)
                && !seen.insert(name.to_owned())
            {
                self.error(offset, &join_path(&path, "name"), format!("duplicate name {name}"));
            }
            records.push(Value::Object(record));
        }
        Value::Array(records)
    }

    fn text_list(&mut self, array: &ast::Array<'_>, key: &str) -> Value {
        let mut seen = BTreeSet::new();
        let mut texts = Vec::new();
        for (index, element) in array.elements.iter().enumerate() {
            let path = format!("{key}[{index}]");
            let offset = element.range().start;
            let line = self.line_of(offset);
            self.lines.insert(path.clone(), line);
            match element {
                ast::Value::StringLit(text) if seen.insert(text.value.to_string()) => {
                    texts.push(Value::from(text.value.as_ref()));
                }
                ast::Value::StringLit(text) => {
                    self.error(offset, &path, format!("duplicate value {}", text.value));
                }
                _ => self.error(offset, &path, "expected a string".into()),
            }
        }
        Value::Array(texts)
    }
}

fn join_path(path: &str, name: &str) -> String {
    if path.is_empty() { name.into() } else { format!("{path}.{name}") }
}

fn field_names(fields: &[FieldSpec]) -> String {
    let names: Vec<_> = fields.iter().map(|field| field.name).collect();
    names.join(", ")
}

/// Describes the accepted values of a field kind, for error messages and documentation.
pub fn describe(kind: FieldKind) -> String {
    match kind {
        FieldKind::Text => "a string that is not empty".into(),
        FieldKind::Address => "an address such as \"127.0.0.1:7000\"".into(),
        FieldKind::Count { min, max } => format!("a whole number from {min} to {max}"),
        FieldKind::Ratio { min, max } => format!("a number from {min} to {max}"),
        FieldKind::Flag => "true or false".into(),
        FieldKind::Choice(words) => format!("one of {}", words.join(", ")),
        FieldKind::TextList => "a list of strings".into(),
        FieldKind::Records(_) => "a list of objects".into(),
    }
}
