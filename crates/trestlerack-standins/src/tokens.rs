//! Tokens that say who made them, so that a receiver can check labels against the text itself.

/// Returns the text of one token.
pub fn token(version: Option<u64>, engine: &str, index: u32) -> String {
    let version = version.map_or_else(|| "none".to_owned(), |version| version.to_string());
    format!("{version}/{engine}/{index} ")
}

/// What a token says about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParsedToken {
    /// Version that the engine really held.
    pub version: Option<u64>,
    /// Engine.
    pub engine: String,
    /// Index within the answer.
    pub index: u32,
}

/// Parses the tokens of a text, or `None` if it is not made of tokens.
pub fn parse(text: &str) -> Option<Vec<ParsedToken>> {
    text.split_whitespace().map(parse_token).collect()
}

fn parse_token(word: &str) -> Option<ParsedToken> {
    let mut parts = word.split('/');
    let (version, engine, index) = (parts.next()?, parts.next()?, parts.next()?);
    Some(ParsedToken { version: version.parse().ok(), engine: engine.to_owned(), index: index.parse().ok()? })
}
