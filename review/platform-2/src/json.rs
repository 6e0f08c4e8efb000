//! A small JSON reader and writer, so that the cases need no dependency.

use std::collections::BTreeMap;
use std::fmt::{Display, Formatter};

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a text; `None` if it is not valid JSON.
    pub fn parse(text: &str) -> Option<Self> {
        let mut reader = Reader { bytes: text.as_bytes(), at: 0 };
        let value = reader.value()?;
        reader.skip_space();
        (reader.at == reader.bytes.len()).then_some(value)
    }

    /// Returns a field of an object.
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    /// Returns a field that holds a text, or an empty text.
    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Some(Self::Text(text)) => text,
            _ => "",
        }
    }

    /// Returns a field that holds a whole number.
    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name) {
            Some(Self::Number(number)) => Some(*number as u64),
            _ => None,
        }
    }

    /// Returns a field that holds a list, or an empty list.
    pub fn list(&self, name: &str) -> &[Json] {
        match self.get(name) {
            Some(Self::List(list)) => list,
            _ => &[],
        }
    }
}

/// Builds an object from its fields.
pub fn object<const N: usize>(fields: [(&str, Json); N]) -> Json {
    Json::Object(fields.into_iter().map(|(name, value)| (name.to_owned(), value)).collect())
}

impl From<&str> for Json {
    fn from(text: &str) -> Self {
        Self::Text(text.to_owned())
    }
}

impl From<String> for Json {
    fn from(text: String) -> Self {
        Self::Text(text)
    }
}

impl From<u64> for Json {
    fn from(number: u64) -> Self {
        Self::Number(number as f64)
    }
}

impl From<bool> for Json {
    fn from(value: bool) -> Self {
        Self::Bool(value)
    }
}

impl From<Vec<Json>> for Json {
    fn from(list: Vec<Json>) -> Self {
        Self::List(list)
    }
}

impl Display for Json {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Null => formatter.write_str("null"),
            Self::Bool(value) => write!(formatter, "{value}"),
            Self::Number(number) => write!(formatter, "{number}"),
            Self::Text(text) => write_text(formatter, text),
            Self::List(list) => {
                formatter.write_str("[")?;
                for (index, value) in list.iter().enumerate() {
                    write!(formatter, "{}{value}", if index == 0 { "" } else { "," })?;
                }
                formatter.write_str("]")
            }
            Self::Object(fields) => {
                formatter.write_str("{")?;
                for (index, (name, value)) in fields.iter().enumerate() {
                    formatter.write_str(if index == 0 { "" } else { "," })?;
                    write_text(formatter, name)?;
                    write!(formatter, ":{value}")?;
                }
                formatter.write_str("}")
            }
        }
    }
}

fn write_text(formatter: &mut Formatter<'_>, text: &str) -> std::fmt::Result {
    formatter.write_str("\"")?;
    for character in text.chars() {
        match character {
            '"' => formatter.write_str("\\\"")?,
            '\\' => formatter.write_str("\\\\")?,
            '\n' => formatter.write_str("\\n")?,
            character if (character as u32) < 0x20 => write!(formatter, "\\u{:04x}", character as u32)?,
            character => write!(formatter, "{character}")?,
        }
    }
    formatter.write_str("\"")
}

struct Reader<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
    }

    fn take(&mut self, text: &str) -> Option<()> {
        self.bytes[self.at..].starts_with(text.as_bytes()).then(|| self.at += text.len())
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match *self.bytes.get(self.at)? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.text().map(Json::Text),
            b't' => self.take("true").map(|()| Json::Bool(true)),
            b'f' => self.take("false").map(|()| Json::Bool(false)),
            b'n' => self.take("null").map(|()| Json::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Json> {
        let start = self.at;
        while self.bytes.get(self.at).is_some_and(|byte| byte.is_ascii_digit() || b"+-.eE".contains(byte)) {
            self.at += 1;
        }
        std::str::from_utf8(&self.bytes[start..self.at]).ok()?.parse().ok().map(Json::Number)
    }

    fn text(&mut self) -> Option<String> {
        self.take("\"")?;
        let mut bytes = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'b' => bytes.push(8),
                        b'f' => bytes.push(12),
                        b'u' => {
                            let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let character = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                            bytes.extend(character.to_string().bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                byte => bytes.push(byte),
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.take("[")?;
        let mut list = Vec::new();
        loop {
            self.skip_space();
            if self.take("]").is_some() {
                return Some(Json::List(list));
            }
            if !list.is_empty() {
                self.take(",")?;
            }
            list.push(self.value()?);
        }
    }

    fn object(&mut self) -> Option<Json> {
        self.take("{")?;
        let mut fields = BTreeMap::new();
        loop {
            self.skip_space();
            if self.take("}").is_some() {
                return Some(Json::Object(fields));
            }
            if !fields.is_empty() {
                self.take(",")?;
                self.skip_space();
            }
            let name = self.text()?;
            self.skip_space();
            self.take(":")?;
            fields.insert(name, self.value()?);
        }
    }
}

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as base64.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = BASE64[(word >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= chunk.len() { digit } else { '=' });
        }
    }
    text
}
