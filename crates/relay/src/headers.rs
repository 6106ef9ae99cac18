//! Header fields, in the order received.

/// Fields that apply to one connection only, or that frame the body.
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
    /// The name, in the case in which it was sent.
    pub name: String,
    /// The value, which need not be valid UTF-8.
    pub value: Vec<u8>,
}

/// The header fields of one message; names may repeat.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Headers {
    fields: Vec<Header>,
}

impl Headers {
    /// Appends a field.
    pub fn push(&mut self, name: &str, value: impl AsRef<[u8]>) {
        self.fields.push(Header {
            name: name.to_owned(),
            value: value.as_ref().to_vec(),
        });
    }

    /// Iterates over the fields in order.
    pub fn iter(&self) -> impl Iterator<Item = &Header> {
        self.fields.iter()
    }

    /// Iterates over the values of a name, ignoring case.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let same_name = move |field: &&Header| field.name.eq_ignore_ascii_case(name);
        self.fields
            .iter()
            .filter(same_name)
            .map(|field| &*field.value)
    }

    /// Returns the first value of a name, ignoring case, if it is valid UTF-8.
    pub fn get(&self, name: &str) -> Option<&str> {
        let same_name = |field: &&Header| field.name.eq_ignore_ascii_case(name);
        let field = self.fields.iter().find(same_name)?;
        std::str::from_utf8(&field.value).ok()
    }

    /// Returns whether a comma-separated field contains a token, ignoring case.
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

    /// Removes all values of a field, and returns the first one if it is text.
    pub fn remove(&mut self, name: &str) -> Option<String> {
        let value = self.get(name).map(str::to_owned);
        self.fields
            .retain(|field| !field.name.eq_ignore_ascii_case(name));
        value
    }

    /// Returns the fields to forward: all but the hop-by-hop fields, those named in `Connection`,
    /// and those that frame the body.
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

    /// Appends the encoded fields to `out`, without the blank line that ends a head.
    pub(crate) fn write(&self, out: &mut Vec<u8>) {
        for field in &self.fields {
            out.extend_from_slice(field.name.as_bytes());
            out.extend_from_slice(b": ");
            out.extend_from_slice(&field.value);
            out.extend_from_slice(b"\r\n");
        }
    }
}
