//! A small JSON reader and writer.

#[derive(Clone, Debug, PartialEq)]
pub enum J {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<J>),
    Obj(Vec<(String, J)>),
}

impl J {
    pub fn get(&self, key: &str) -> &J {
        static NULL: J = J::Null;
        match self {
            J::Obj(fields) => fields
                .iter()
                .find(|(k, _)| k == key)
                .map_or(&NULL, |(_, v)| v),
            _ => &NULL,
        }
    }

    pub fn num(&self) -> Option<u64> {
        match self {
            J::Num(number) if *number >= 0.0 => Some(*number as u64),
            _ => None,
        }
    }

    pub fn str(&self) -> &str {
        match self {
            J::Str(text) => text,
            _ => "",
        }
    }
}

/// Reads a JSON text; `Null` if it can't be read.
pub fn parse(bytes: &[u8]) -> J {
    let mut at = 0;
    value(bytes, &mut at).unwrap_or(J::Null)
}

fn space(b: &[u8], at: &mut usize) {
    while b.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(b: &[u8], at: &mut usize) -> Option<J> {
    space(b, at);
    match b.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                space(b, at);
                if *b.get(*at)? == b'}' {
                    *at += 1;
                    return Some(J::Obj(fields));
                }
                let J::Str(key) = value(b, at)? else {
                    return None;
                };
                space(b, at);
                if *b.get(*at)? != b':' {
                    return None;
                }
                *at += 1;
                fields.push((key, value(b, at)?));
                space(b, at);
                if *b.get(*at)? == b',' {
                    *at += 1;
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                space(b, at);
                if *b.get(*at)? == b']' {
                    *at += 1;
                    return Some(J::Arr(items));
                }
                items.push(value(b, at)?);
                space(b, at);
                if *b.get(*at)? == b',' {
                    *at += 1;
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                match *b.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(J::Str(String::from_utf8_lossy(&text).into_owned()));
                    }
                    b'\\' => {
                        *at += 1;
                        let c = *b.get(*at)?;
                        match c {
                            b'n' => text.push(b'\n'),
                            b't' => text.push(b'\t'),
                            b'r' => text.push(b'\r'),
                            b'u' => {
                                let hex = std::str::from_utf8(b.get(*at + 1..*at + 5)?).ok()?;
                                let code = u32::from_str_radix(hex, 16).ok()?;
                                let c = char::from_u32(code).unwrap_or('?');
                                text.extend(c.to_string().bytes());
                                *at += 4;
                            }
                            c => text.push(c),
                        }
                        *at += 1;
                    }
                    c => {
                        text.push(c);
                        *at += 1;
                    }
                }
            }
        }
        b't' => word(b, at, "true", J::Bool(true)),
        b'f' => word(b, at, "false", J::Bool(false)),
        b'n' => word(b, at, "null", J::Null),
        _ => {
            let from = *at;
            while b.get(*at).is_some_and(|c| b"+-.eE0123456789".contains(c)) {
                *at += 1;
            }
            let text = std::str::from_utf8(&b[from..*at]).ok()?;
            text.parse().ok().map(J::Num)
        }
    }
}

fn word(b: &[u8], at: &mut usize, text: &str, result: J) -> Option<J> {
    let found = b.get(*at..*at + text.len())? == text.as_bytes();
    *at += text.len();
    found.then_some(result)
}

/// A text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let b = [
            chunk[0],
            *chunk.get(1).unwrap_or(&0),
            *chunk.get(2).unwrap_or(&0),
        ];
        let n = (u32::from(b[0]) << 16) | (u32::from(b[1]) << 8) | u32::from(b[2]);
        for i in 0..4 {
            if i <= chunk.len() {
                out.push(DIGITS[(n >> (18 - 6 * i)) as usize & 63] as char);
            } else {
                out.push('=');
            }
        }
    }
    out
}
