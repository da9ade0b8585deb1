//! JSON values: a parser and a writer, as far as the stand-ins need them.

use std::fmt;

/// A JSON value. Whole numbers keep all their digits.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Whole(u64),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    /// The value of a field; `Null` if there is none.
    pub fn get(&self, name: &str) -> &Json {
        let Json::Table(fields) = self else {
            return &Json::Null;
        };
        let found = fields.iter().find(|(key, _)| key == name);
        found.map_or(&Json::Null, |(_, value)| value)
    }

    pub fn whole(&self) -> Option<u64> {
        match self {
            Json::Whole(number) => Some(*number),
            Json::Number(number) => Some(*number as u64),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }
}

impl From<u64> for Json {
    fn from(number: u64) -> Self {
        Json::Whole(number)
    }
}

impl From<bool> for Json {
    fn from(value: bool) -> Self {
        Json::Bool(value)
    }
}

impl From<&str> for Json {
    fn from(text: &str) -> Self {
        Json::Text(text.to_owned())
    }
}

impl From<String> for Json {
    fn from(text: String) -> Self {
        Json::Text(text)
    }
}

impl<T: Into<Json>> From<Vec<T>> for Json {
    fn from(items: Vec<T>) -> Self {
        Json::List(items.into_iter().map(Into::into).collect())
    }
}

/// Creates a table from its fields.
pub fn table<const N: usize>(fields: [(&str, Json); N]) -> Json {
    let fields = fields.into_iter();
    Json::Table(fields.map(|(key, value)| (key.to_owned(), value)).collect())
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(value) => write!(f, "{value}"),
            Json::Whole(number) => write!(f, "{number}"),
            Json::Number(number) => write!(f, "{number}"),
            Json::Text(text) => write_text(f, text),
            Json::List(items) => {
                f.write_str("[")?;
                for (at, item) in items.iter().enumerate() {
                    let comma = if at > 0 { "," } else { "" };
                    write!(f, "{comma}{item}")?;
                }
                f.write_str("]")
            }
            Json::Table(fields) => {
                f.write_str("{")?;
                for (at, (key, value)) in fields.iter().enumerate() {
                    f.write_str(if at > 0 { "," } else { "" })?;
                    write_text(f, key)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for c in text.chars() {
        match c {
            '"' | '\\' => write!(f, "\\{c}")?,
            c if (c as u32) < 0x20 => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}

/// Parses a JSON text; `None` if it is invalid.
pub fn parse(text: &[u8]) -> Option<Json> {
    let mut parser = Parser { text, at: 0 };
    let value = parser.value()?;
    parser.skip_space();
    (parser.at == text.len()).then_some(value)
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&self) -> Option<u8> {
        self.text.get(self.at).copied()
    }

    fn skip_space(&mut self) {
        while self.peek().is_some_and(|c| c.is_ascii_whitespace()) {
            self.at += 1;
        }
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        self.skip_space();
        (self.peek()? == expected).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let rest = self.text.get(self.at..)?;
        rest.starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.peek()? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Text),
            b'[' => self.items(),
            b'{' => self.fields(),
            _ => self.number(),
        }
    }

    fn items(&mut self) -> Option<Json> {
        self.take(b'[')?;
        let mut items = Vec::new();
        if self.take(b']').is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b',').is_none() {
                self.take(b']')?;
                return Some(Json::List(items));
            }
        }
    }

    fn fields(&mut self) -> Option<Json> {
        self.take(b'{')?;
        let mut fields = Vec::new();
        if self.take(b'}').is_some() {
            return Some(Json::Table(fields));
        }
        loop {
            self.skip_space();
            let key = self.string()?;
            self.take(b':')?;
            fields.push((key, self.value()?));
            if self.take(b',').is_none() {
                self.take(b'}')?;
                return Some(Json::Table(fields));
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let c = self.peek()?;
            self.at += 1;
            match c {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let c = self.peek()?;
                    self.at += 1;
                    match c {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let c = char::from_u32(code)?;
                            bytes.extend_from_slice(c.to_string().as_bytes());
                            self.at += 4;
                        }
                        c => bytes.push(c),
                    }
                }
                c => bytes.push(c),
            }
        }
    }

    fn number(&mut self) -> Option<Json> {
        let from = self.at;
        while self.peek().is_some_and(|c| b"+-.eE0123456789".contains(&c)) {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.text[from..self.at]).ok()?;
        if let Ok(number) = text.parse() {
            return Some(Json::Whole(number));
        }
        text.parse().ok().map(Json::Number)
    }
}
