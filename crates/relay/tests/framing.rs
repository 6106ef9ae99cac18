//! Requests with ambiguous framing are rejected.

use relay::{Framing, Headers};
use serde::Deserialize;

#[derive(Deserialize)]
struct File {
    case: Vec<Case>,
}

#[derive(Deserialize)]
struct Case {
    name: String,
    headers: Vec<[String; 2]>,
    expected: String,
}

#[test]
fn request_framing_matches_the_listed_cases() {
    let file: File = toml::from_str(include_str!("data/framing.toml")).unwrap();
    for case in file.case {
        let mut headers = Headers::default();
        for [name, value] in &case.headers {
            headers.push(name, value);
        }
        let actual = match Framing::of_request(&headers) {
            Ok(Framing::None) => "none".to_owned(),
            Ok(Framing::Length(bytes)) => format!("length {bytes}"),
            Ok(Framing::Chunked) => "chunked".to_owned(),
            Ok(Framing::UntilClose) => "until close".to_owned(),
            Err(err) => err.to_string(),
        };
        assert_eq!(actual, case.expected, "{}", case.name);
    }
}
