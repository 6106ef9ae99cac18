//! The names of the users' wire, which stand in a file of their own.

const NAMES: &str = include_str!("wire.txt");

/// Returns a name of the users' wire.
pub fn wire(key: &str) -> &'static str {
    for line in NAMES.lines() {
        if let Some((known, name)) = line.split_once(' ') {
            if known == key {
                return name;
            }
        }
    }
    panic!("no name for {key}")
}
