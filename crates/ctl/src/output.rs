//! Output as tables or JSON.

use std::io::Write;
use std::str::FromStr;

use serde_json::Value;

/// Output format.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Output {
    /// Table with a heading line.
    Table,
    /// JSON array of objects.
    Json,
}

impl FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Output, String> {
        match text {
            "table" => Ok(Output::Table),
            "json" => Ok(Output::Json),
            other => Err(format!("expected table or json, found '{other}'")),
        }
    }
}

impl Output {
    /// Prints a line. A closed pipe is not an error: the reader needs no more output.
    pub(crate) fn line(self, text: &str) {
        let _ = writeln!(std::io::stdout(), "{text}");
    }

    /// Prints rows. The table shows the given columns only, JSON all fields.
    pub(crate) fn print(self, columns: &[&str], rows: &[Value]) {
        match self {
            Output::Json => self.line(&serde_json::to_string_pretty(rows).unwrap_or_default()),
            Output::Table => print_table(columns, rows),
        }
    }
}

fn cell(row: &Value, column: &str) -> String {
    match &row[column] {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

fn print_table(columns: &[&str], rows: &[Value]) {
    let width_of = |column: &&str| {
        let widest = rows.iter().map(|row| cell(row, column).len()).max();
        widest.unwrap_or(0).max(column.len())
    };
    let widths: Vec<usize> = columns.iter().map(width_of).collect();
    let line = |cells: Vec<String>| {
        let padded = cells
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        Output::Table.line(padded.collect::<Vec<_>>().join("  ").trim_end());
    };
    line(columns.iter().map(|column| column.to_uppercase()).collect());
    for row in rows {
        line(columns.iter().map(|column| cell(row, column)).collect());
    }
}
