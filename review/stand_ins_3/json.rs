//! Finds the raw text of members of JSON objects.

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while at < bytes.len() && bytes[at].is_ascii_whitespace() {
        at += 1;
    }
    at
}

fn skip_string(bytes: &[u8], at: usize) -> usize {
    let mut at = at + 1;
    while bytes[at] != b'"' {
        at += if bytes[at] == b'\\' { 2 } else { 1 };
    }
    at + 1
}

fn skip_value(bytes: &[u8], at: usize) -> usize {
    let mut depth = 0;
    let mut at = at;
    while at < bytes.len() {
        match bytes[at] {
            b'"' => {
                at = skip_string(bytes, at);
                if depth == 0 {
                    return at;
                }
                continue;
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return at,
            b'}' | b']' if depth == 1 => return at + 1,
            b'}' | b']' => depth -= 1,
            b',' if depth == 0 => return at,
            _ => {}
        }
        at += 1;
    }
    at
}

/// Returns the raw text of a member of an object.
pub fn member<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let bytes = object.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(bytes, at);
        if bytes.get(at) != Some(&b'"') {
            return None;
        }
        let end = skip_string(bytes, at);
        let key = &object[at + 1..end - 1];
        at = skip_space(bytes, end) + 1;
        at = skip_space(bytes, at);
        let end = skip_value(bytes, at);
        if key == name {
            return Some(object[at..end].trim());
        }
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return None;
        }
        at += 1;
    }
}
