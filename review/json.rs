//! A small JSON reader, and what the stand-ins need to write JSON.

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Table(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Value::Table(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Value::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self, name: &str) -> Option<f64> {
        match self.get(name)? {
            Value::Number(number) => Some(*number),
            _ => None,
        }
    }

    pub fn list(&self, name: &str) -> &[Value] {
        match self.get(name) {
            Some(Value::List(values)) => values,
            _ => &[],
        }
    }
}

pub fn parse(bytes: &[u8]) -> Option<Value> {
    let text = std::str::from_utf8(bytes).ok()?;
    let mut reader = Reader { rest: text };
    let value = reader.value()?;
    reader.skip_space();
    reader.rest.is_empty().then_some(value)
}

struct Reader<'a> {
    rest: &'a str,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        self.rest = self.rest.trim_start();
    }

    fn take(&mut self, token: &str) -> bool {
        self.skip_space();
        match self.rest.strip_prefix(token) {
            Some(rest) => {
                self.rest = rest;
                true
            }
            None => false,
        }
    }

    fn value(&mut self) -> Option<Value> {
        self.skip_space();
        match self.rest.chars().next()? {
            '{' => self.table(),
            '[' => self.list(),
            '"' => Some(Value::Text(self.string()?)),
            't' => self.take("true").then_some(Value::Bool(true)),
            'f' => self.take("false").then_some(Value::Bool(false)),
            'n' => self.take("null").then_some(Value::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Value> {
        let is_part = |c: char| c.is_ascii_digit() || matches!(c, '-' | '+' | '.' | 'e' | 'E');
        let end = self.rest.find(|c| !is_part(c)).unwrap_or(self.rest.len());
        let number = self.rest[..end].parse().ok()?;
        self.rest = &self.rest[end..];
        Some(Value::Number(number))
    }

    fn string(&mut self) -> Option<String> {
        if !self.take("\"") {
            return None;
        }
        let mut text = String::new();
        loop {
            let mut chars = self.rest.chars();
            let c = chars.next()?;
            self.rest = chars.as_str();
            match c {
                '"' => return Some(text),
                '\\' => {
                    let mut chars = self.rest.chars();
                    let escaped = chars.next()?;
                    self.rest = chars.as_str();
                    match escaped {
                        'n' => text.push('\n'),
                        't' => text.push('\t'),
                        'r' => text.push('\r'),
                        'b' => text.push('\u{8}'),
                        'f' => text.push('\u{c}'),
                        'u' => {
                            let code = u32::from_str_radix(self.rest.get(..4)?, 16).ok()?;
                            self.rest = &self.rest[4..];
                            text.push(char::from_u32(code)?);
                        }
                        other => text.push(other),
                    }
                }
                c => text.push(c),
            }
        }
    }

    fn list(&mut self) -> Option<Value> {
        self.take("[");
        let mut values = Vec::new();
        if self.take("]") {
            return Some(Value::List(values));
        }
        loop {
            values.push(self.value()?);
            if self.take("]") {
                return Some(Value::List(values));
            }
            if !self.take(",") {
                return None;
            }
        }
    }

    fn table(&mut self) -> Option<Value> {
        self.take("{");
        let mut fields = Vec::new();
        if self.take("}") {
            return Some(Value::Table(fields));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            if !self.take(":") {
                return None;
            }
            fields.push((name, self.value()?));
            if self.take("}") {
                return Some(Value::Table(fields));
            }
            if !self.take(",") {
                return None;
            }
        }
    }
}

/// Writes a string with its quotes.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            c if (c as u32) < 0x20 => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for place in 0..4 {
            if place <= chunk.len() {
                text.push(DIGITS[(bits >> (18 - 6 * place)) as usize & 63] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

pub fn from_base64(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let (mut bits, mut count) = (0_u32, 0);
    for c in text.bytes().filter(|&c| c != b'=') {
        bits = (bits << 6) | DIGITS.iter().position(|&digit| digit == c)? as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            bytes.push((bits >> count) as u8);
            bits &= (1 << count) - 1;
        }
    }
    Some(bytes)
}
