//! Checks a JSON-with-comments document against a table of fields and reports every fault at once.
//!
//! The same tables describe the settings and the declarations, so that a test can hold
//! [docs/SETTINGS.md](../../../docs/SETTINGS.md) to the code.

use crate::Name;
use jsonc_parser::ast;
use jsonc_parser::common::Ranged;
use serde_json::{Map, Value};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// What a field may hold.
#[derive(Clone, Copy, Debug)]
pub enum FieldKind {
    /// A string that is not empty.
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
    /// One of a few words.
    Choice(&'static [&'static str]),
    /// A list of strings without duplicates.
    TextList,
    /// A list of objects, each with a unique `name`.
    Records(&'static [FieldSpec]),
}

/// One field of a document.
#[derive(Clone, Copy, Debug)]
pub struct FieldSpec {
    /// Key in the document. A key with a unit carries it as a suffix, such as `_ms`.
    pub name: &'static str,
    /// What the value may be.
    pub kind: FieldKind,
    /// Default as it would be written, or `None` where the field is required.
    pub default: Option<&'static str>,
    /// What the field does, in one sentence.
    pub meaning: &'static str,
}

/// One fault of a document, with where it stands and what was expected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentFault {
    /// File name as the user gave it.
    pub file: Name,
    /// Line, counted from 1.
    pub line: usize,
    /// Path of the key, such as `campaigns[0].places`.
    pub key: String,
    /// What is wrong and what was expected.
    pub message: String,
}

impl fmt::Display for DocumentFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}:{}: {}: {}", self.file, self.line, self.key, self.message)
    }
}

/// A document that matches its fields, with the line of each key for later checks.
#[derive(Clone, Debug)]
pub struct CheckedDocument {
    file: Name,
    value: Value,
    lines: BTreeMap<String, usize>,
}

impl CheckedDocument {
    /// Returns the content.
    pub fn value(&self) -> &Value {
        &self.value
    }

    /// Builds a fault at a key of this document.
    pub fn fault(&self, key: &str, message: impl Into<String>) -> DocumentFault {
        let line = self.lines.get(key).copied().unwrap_or(1);
        DocumentFault { file: self.file.clone(), line, key: key.into(), message: message.into() }
    }
}

/// Parses `text` and checks it against `fields`.
pub fn check_document(file: &str, text: &str, fields: &[FieldSpec]) -> Result<CheckedDocument, Vec<DocumentFault>> {
    let mut walk = DocumentWalk::new(file, text);
    let options = jsonc_parser::ParseOptions::default();
    let parsed = match jsonc_parser::parse_to_ast(text, &Default::default(), &options) {
        Ok(parsed) => parsed,
        Err(error) => {
            walk.fault(error.range().start, "", format!("not JSON with comments: {}", error.kind()));
            return Err(walk.faults);
        }
    };
    let value = match &parsed.value {
        Some(ast::Value::Object(object)) => Value::Object(walk.object(object, "", fields)),
        _ => {
            walk.fault(0, "", "expected an object at the top".into());
            Value::Null
        }
    };
    if walk.faults.is_empty() {
        Ok(CheckedDocument { file: walk.file, value, lines: walk.lines })
    } else {
        Err(walk.faults)
    }
}

/// The state of one walk over a parsed document.
struct DocumentWalk {
    file: Name,
    line_starts: Vec<usize>,
    lines: BTreeMap<String, usize>,
    faults: Vec<DocumentFault>,
}

impl DocumentWalk {
    fn new(file: &str, text: &str) -> Self {
        let breaks = text.bytes().enumerate().filter(|(_, byte)| *byte == b'\n');
        let line_starts = std::iter::once(0).chain(breaks.map(|(index, _)| index + 1)).collect();
        Self { file: file.into(), line_starts, lines: BTreeMap::new(), faults: Vec::new() }
    }

    fn line_of(&self, offset: usize) -> usize {
        self.line_starts.partition_point(|start| *start <= offset)
    }

    fn fault(&mut self, offset: usize, key: &str, message: String) {
        let line = self.line_of(offset);
        let key = if key.is_empty() { "document" } else { key };
        self.faults.push(DocumentFault { file: self.file.clone(), line, key: key.into(), message });
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
                self.fault(offset, &key, "the key stands twice".into());
                continue;
            }
            let Some(field) = fields.iter().find(|field| field.name == name) else {
                self.fault(offset, &key, format!("unknown key; expected one of {}", field_names(fields)));
                continue;
            };
            let value = self.value(&property.value, &key, field.kind);
            content.insert(name.into(), value);
        }
        for field in fields {
            if field.default.is_none() && !content.contains_key(field.name) {
                let message = format!("missing; expected {}", describe(field.kind));
                self.fault(object.range().start, &join_path(path, field.name), message);
            }
        }
        content
    }

    fn value(&mut self, value: &ast::Value<'_>, key: &str, kind: FieldKind) -> Value {
        match (kind, value) {
            (FieldKind::Records(fields), ast::Value::Array(array)) => self.records(array, key, fields),
            (FieldKind::TextList, ast::Value::Array(array)) => self.text_list(array, key),
            _ => self.scalar(value, key, kind).unwrap_or_else(|| {
                self.fault(value.range().start, key, format!("expected {}", describe(kind)));
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
                self.fault(offset, &path, "expected an object".into());
                continue;
            };
            let record = self.object(object, &path, fields);
            if let Some(name) = record.get("name").and_then(Value::as_str)
                && !seen.insert(name.to_owned())
            {
                self.fault(offset, &join_path(&path, "name"), format!("the name {name} stands twice"));
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
                    self.fault(offset, &path, format!("{} stands twice", text.value));
                }
                _ => self.fault(offset, &path, "expected a string".into()),
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

/// Returns what a field of this kind holds, in the words used in messages and pages.
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
