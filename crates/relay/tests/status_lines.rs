//! Which statuses a response can have.

use relay::ResponseHead;
use serde::Deserialize;

#[derive(Deserialize)]
struct File {
    case: Vec<Case>,
}

#[derive(Deserialize)]
struct Case {
    line: String,
    expected: String,
}

#[test]
fn status_lines_are_parsed_as_listed() {
    let file: File = toml::from_str(include_str!("data/status_lines.toml")).unwrap();
    let mut faults = Vec::new();
    for Case { line, expected } in file.case {
        let head = format!("{line}\r\nContent-Length: 6\r\n\r\n");
        let actual = match ResponseHead::parse(head.as_bytes()) {
            Ok(Some((head, _))) => head.status.to_string(),
            Ok(None) => "incomplete".to_owned(),
            Err(err) => err.to_string(),
        };
        if actual != expected {
            faults.push(format!("{line}: {actual}, expected {expected}"));
        }
    }
    assert!(faults.is_empty(), "{faults:#?}");
}
