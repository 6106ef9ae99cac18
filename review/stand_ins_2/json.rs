//! Access to the members of JSON objects as raw text. The stand-in store need not know what it stores.

/// Returns the raw value of a member of an object.
pub fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at = skip_space(bytes, at + 1);
    while bytes.get(at) == Some(&b'"') {
        let key_end = end_of_value(bytes, at)?;
        let key = &text[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        if bytes.get(at) != Some(&b':') {
            return None;
        }
        let begin = skip_space(bytes, at + 1);
        let end = end_of_value(bytes, begin)?;
        if key == name {
            return Some(&text[begin..end]);
        }
        at = skip_space(bytes, end);
        if bytes.get(at) == Some(&b',') {
            at = skip_space(bytes, at + 1);
        }
    }
    None
}

/// Returns a member that is a string without escapes.
pub fn text<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    member(object, name)?.strip_prefix('"')?.strip_suffix('"')
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

fn end_of_value(bytes: &[u8], begin: usize) -> Option<usize> {
    let mut depth = 0;
    let mut at = begin;
    let mut in_text = false;
    while let Some(byte) = bytes.get(at) {
        if in_text {
            match byte {
                b'\\' => at += 1,
                b'"' => {
                    in_text = false;
                    if depth == 0 {
                        return Some(at + 1);
                    }
                }
                _ => {}
            }
        } else {
            match byte {
                b'"' => in_text = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' if depth == 0 => return Some(at),
                b'}' | b']' => {
                    depth -= 1;
                    if depth == 0 {
                        return Some(at + 1);
                    }
                }
                b',' if depth == 0 => return Some(at),
                _ => {}
            }
        }
        at += 1;
    }
    Some(at)
}
