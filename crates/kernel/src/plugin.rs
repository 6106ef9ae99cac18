//! The look-up of plug-ins that register themselves.

use std::fmt;

/// A registration that can be found by name.
///
/// A crate defines a registration type, calls `inventory::collect!` on it, and each plug-in submits
/// one value with `inventory::submit!`.
pub trait Plugin: inventory::Collect + Sync {
    /// Returns the name that settings and declarations use.
    fn name(&self) -> &'static str;
}

/// No plug-in has the name.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownPlugin {
    /// The name asked for.
    pub name: String,
    /// The names there are, sorted.
    pub known: Vec<&'static str>,
}

impl fmt::Display for UnknownPlugin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "unknown name '{}', expected one of {}",
            self.name,
            self.known.join(", ")
        )?;
        match nearest(&self.name, &self.known) {
            Some(near) => write!(f, " (did you mean '{near}'?)"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for UnknownPlugin {}

/// Finds a registered plug-in.
///
/// # Errors
///
/// Fails with the known names when none matches.
pub fn lookup<P: Plugin>(name: &str) -> Result<&'static P, UnknownPlugin> {
    let mut known = Vec::new();
    for plugin in inventory::iter::<P> {
        if plugin.name() == name {
            return Ok(plugin);
        }
        known.push(plugin.name());
    }
    known.sort_unstable();
    Err(UnknownPlugin {
        name: name.to_owned(),
        known,
    })
}

/// Returns the known name that is closest to the given one, if any is close.
pub fn nearest<'a>(name: &str, known: &[&'a str]) -> Option<&'a str> {
    let limit = name.len() / 2 + 1;
    let scored = known
        .iter()
        .map(|candidate| (distance(name, candidate), *candidate));
    scored
        .filter(|(score, _)| *score <= limit)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Returns the edit distance between two names.
fn distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, from) in left.chars().enumerate() {
        let mut corner = row[0];
        row[0] = i + 1;
        for (j, to) in right.iter().enumerate() {
            let substituted = corner + usize::from(from != *to);
            corner = row[j + 1];
            row[j + 1] = substituted.min(row[j] + 1).min(corner + 1);
        }
    }
    row[right.len()]
}
