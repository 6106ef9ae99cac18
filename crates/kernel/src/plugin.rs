//! Look-up of plug-ins by name.

use std::fmt;

/// A plug-in registration that can be looked up by name.
///
/// A crate defines a registration type and calls `inventory::collect!` on it. Each plug-in submits
/// one value of that type with `inventory::submit!`.
pub trait Plugin: inventory::Collect + Sync {
    /// Returns the name by which settings and declarations refer to the plug-in.
    fn name(&self) -> &'static str;
}

/// The error of a look-up for which no plug-in is registered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UnknownPlugin {
    /// Name that was looked up.
    pub name: String,
    /// Registered names, sorted.
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
            Some(nearest) => write!(f, " (did you mean '{nearest}'?)"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for UnknownPlugin {}

/// Returns the registered plug-in of the given name.
///
/// # Errors
///
/// Fails with the registered names when none matches.
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

/// Returns the known name with the smallest edit distance to `name`, or `None` if more than about
/// half of the characters differ. Used to suggest corrections.
pub fn nearest<'a>(name: &str, known: &[&'a str]) -> Option<&'a str> {
    let max_distance = name.len() / 2 + 1;
    let candidates = known
        .iter()
        .map(|candidate| (edit_distance(name, candidate), *candidate));
    candidates
        .filter(|(distance, _)| *distance <= max_distance)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Returns the Levenshtein distance between two names.
fn edit_distance(left: &str, right: &str) -> usize {
    let right: Vec<char> = right.chars().collect();
    let mut row: Vec<usize> = (0..=right.len()).collect();
    for (i, from) in left.chars().enumerate() {
        let mut diagonal = row[0];
        row[0] = i + 1;
        for (j, to) in right.iter().enumerate() {
            let substituted = diagonal + usize::from(from != *to);
            diagonal = row[j + 1];
            row[j + 1] = substituted.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[right.len()]
}
