//! A small JSON reader and writer, and base64, so that the stand-ins need no dependency.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Map(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a document; `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Json> {
        let mut parser = Parser { bytes: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.skip_space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    /// Returns a member of an object.
    pub fn get(&self, key: &str) -> Option<&Json> {
        if let Json::Map(map) = self { map.get(key) } else { None }
    }

    /// Returns a text member, or an empty text.
    pub fn text(&self, key: &str) -> &str {
        if let Some(Json::Text(text)) = self.get(key) { text } else { "" }
    }

    /// Returns a numeric member, or 0.
    pub fn number(&self, key: &str) -> u64 {
        if let Some(Json::Number(number)) = self.get(key) { *number as u64 } else { 0 }
    }

    /// Returns the entries of a list member.
    pub fn list(&self, key: &str) -> &[Json] {
        if let Some(Json::List(list)) = self.get(key) { list } else { &[] }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.bytes.get(self.at).is_some_and(|byte| byte.is_ascii_whitespace()) {
            self.at += 1;
        }
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        self.skip_space();
        (self.bytes.get(self.at) == Some(&byte)).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.bytes.get(self.at)? {
            b'{' => {
                self.at += 1;
                let mut map = BTreeMap::new();
                if self.take(b'}').is_some() {
                    return Some(Json::Map(map));
                }
                loop {
                    self.skip_space();
                    let key = self.text()?;
                    self.take(b':')?;
                    map.insert(key, self.value()?);
                    if self.take(b'}').is_some() {
                        return Some(Json::Map(map));
                    }
                    self.take(b',')?;
                }
            }
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                if self.take(b']').is_some() {
                    return Some(Json::List(list));
                }
                loop {
                    list.push(self.value()?);
                    if self.take(b']').is_some() {
                        return Some(Json::List(list));
                    }
                    self.take(b',')?;
                }
            }
            b'"' => self.text().map(Json::Text),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'n' => self.word("null", Json::Null),
            _ => {
                let start = self.at;
                while self.bytes.get(self.at).is_some_and(|byte| b"+-.eE0123456789".contains(byte)) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                text.parse().ok().map(Json::Number)
            }
        }
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn text(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            let byte = *self.bytes.get(self.at)?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(text).ok(),
                b'\\' => {
                    let escape = *self.bytes.get(self.at)?;
                    self.at += 1;
                    match escape {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'r' => text.push(b'\r'),
                        b'b' => text.push(8),
                        b'f' => text.push(12),
                        b'u' => {
                            let digits = std::str::from_utf8(self.bytes.get(self.at..self.at + 4)?).ok()?;
                            self.at += 4;
                            let character = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                            text.extend_from_slice(character.to_string().as_bytes());
                        }
                        other => text.push(other),
                    }
                }
                other => text.push(other),
            }
        }
    }
}

/// Quotes a text for a JSON document.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for character in text.chars() {
        match character {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            '\n' => quoted.push_str("\\n"),
            control if (control as u32) < 32 => quoted.push_str(&format!("\\u{:04x}", control as u32)),
            other => quoted.push(other),
        }
    }
    quoted.push('"');
    quoted
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as base64 with padding.
pub fn encode_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for position in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * position) & 63) as usize];
            text.push(if position <= chunk.len() { digit as char } else { '=' });
        }
    }
    text
}

/// Decodes base64; `None` if it is malformed.
pub fn decode_base64(text: &str) -> Option<Vec<u8>> {
    let (mut bytes, mut word, mut bits) = (Vec::new(), 0u32, 0);
    for digit in text.bytes().filter(|digit| *digit != b'=') {
        word = word << 6 | DIGITS.iter().position(|known| *known == digit)? as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    Some(bytes)
}
