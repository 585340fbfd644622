//! A small JSON reader for the bodies of the store's calls.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    /// Returns the field `name` of an object, or `Null`.
    pub fn get(&self, name: &str) -> &Value {
        match self {
            Value::Object(fields) => fields.get(name).unwrap_or(&Value::Null),
            _ => &Value::Null,
        }
    }

    /// Returns the elements of a list, or none.
    pub fn list(&self) -> &[Value] {
        match self {
            Value::List(elements) => elements,
            _ => &[],
        }
    }

    /// Returns a text, or the empty one.
    pub fn text(&self) -> &str {
        match self {
            Value::Text(text) => text,
            _ => "",
        }
    }

    /// Returns a number, or zero.
    pub fn number(&self) -> f64 {
        match self {
            Value::Number(number) => *number,
            _ => 0.0,
        }
    }
}

/// Parses a value; `Null` if `text` is no JSON.
pub fn parse(text: &str) -> Value {
    let mut parser = Parser {
        bytes: text.as_bytes(),
        at: 0,
    };
    parser.value().unwrap_or(Value::Null)
}

/// Writes a text with its quotes. The texts of the stand-ins need no other escapes.
pub fn quote(text: &str) -> String {
    format!("\"{}\"", text.replace('\\', "\\\\").replace('"', "\\\""))
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while matches!(self.bytes.get(self.at), Some(b' ' | b'\n' | b'\r' | b'\t')) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn expect(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        self.bytes[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Value> {
        match self.peek()? {
            b'{' => self.object(),
            b'[' => self.array(),
            b'"' => Some(Value::Text(self.text()?)),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'n' => self.word("null", Value::Null),
            _ => self.digits(),
        }
    }

    fn object(&mut self) -> Option<Value> {
        self.expect(b'{')?;
        let mut fields = BTreeMap::new();
        while self.peek()? != b'}' {
            let name = self.text()?;
            self.expect(b':')?;
            fields.insert(name, self.value()?);
            if self.peek()? == b',' {
                self.at += 1;
            }
        }
        self.at += 1;
        Some(Value::Object(fields))
    }

    fn array(&mut self) -> Option<Value> {
        self.expect(b'[')?;
        let mut elements = Vec::new();
        while self.peek()? != b']' {
            elements.push(self.value()?);
            if self.peek()? == b',' {
                self.at += 1;
            }
        }
        self.at += 1;
        Some(Value::List(elements))
    }

    fn text(&mut self) -> Option<String> {
        self.expect(b'"')?;
        let mut text = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => break,
                b'\\' => {
                    self.at += 1;
                    text.push(*self.bytes.get(self.at)?);
                }
                byte => text.push(byte),
            }
            self.at += 1;
        }
        self.at += 1;
        String::from_utf8(text).ok()
    }

    fn digits(&mut self) -> Option<Value> {
        let rest = &self.bytes[self.at..];
        let is_part = |byte: &&u8| byte.is_ascii_digit() || b"+-.eE".contains(byte);
        let count = rest.iter().take_while(is_part).count();
        let number = std::str::from_utf8(&rest[..count]).ok()?.parse().ok()?;
        self.at += count;
        Some(Value::Number(number))
    }
}
