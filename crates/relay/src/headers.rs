//! Header fields in the order in which they came.

/// The fields that concern one connection only, or frame the body on it.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// One header field.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Header {
    /// The name as it was sent.
    pub name: String,
    /// The value, which need not be text.
    pub value: Vec<u8>,
}

/// The header fields of one message.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers {
    fields: Vec<Header>,
}

impl Headers {
    /// Adds a field.
    pub fn push(&mut self, name: &str, value: impl AsRef<[u8]>) {
        self.fields.push(Header {
            name: name.to_owned(),
            value: value.as_ref().to_vec(),
        });
    }

    /// Returns the fields.
    pub fn iter(&self) -> impl Iterator<Item = &Header> {
        self.fields.iter()
    }

    /// Returns the values of a name, whatever its case.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let named = move |field: &&Header| field.name.eq_ignore_ascii_case(name);
        self.fields.iter().filter(named).map(|field| &*field.value)
    }

    /// Returns the first value of a name if it is text.
    pub fn get(&self, name: &str) -> Option<&str> {
        let named = |field: &&Header| field.name.eq_ignore_ascii_case(name);
        let field = self.fields.iter().find(named)?;
        std::str::from_utf8(&field.value).ok()
    }

    /// Returns whether a list-valued field holds a token.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        for value in self.get_all(name) {
            let Ok(value) = std::str::from_utf8(value) else {
                continue;
            };
            if value
                .split(',')
                .any(|part| part.trim().eq_ignore_ascii_case(token))
            {
                return true;
            }
        }
        false
    }

    /// Returns the fields that are meant for the far end, without those that frame the body.
    pub fn end_to_end(&self) -> Headers {
        let mut kept = Headers::default();
        for field in &self.fields {
            let lower = field.name.to_ascii_lowercase();
            if HOP_BY_HOP.contains(&&*lower) || self.has_token("connection", &lower) {
                continue;
            }
            kept.fields.push(field.clone());
        }
        kept
    }

    /// Writes the fields, without the blank line that ends a head.
    pub(crate) fn write(&self, out: &mut Vec<u8>) {
        for field in &self.fields {
            out.extend_from_slice(field.name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(&field.value);
            out.extend_from_slice(b"\r\n");
        }
    }
}
