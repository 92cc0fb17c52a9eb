//! Results of commands, and their formats: tables and JSON.

use base::prelude::*;
use serde_json::Value;
use strum::Display;
use strum::EnumString;

use crate::exit::Exit;

/// The output format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, EnumString, Display)]
#[strum(serialize_all = "lowercase")]
pub enum Format {
    /// Text and aligned tables.
    #[default]
    Table,
    /// JSON, for scripts.
    Json,
}

/// What the process prints, and its exit code.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// Printed on standard output.
    pub stdout: String,
    /// Printed on standard error.
    pub stderr: String,
    /// The exit code.
    pub exit: Exit,
}

/// The result of a command, in both formats.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Output {
    pub(crate) text: String,
    pub(crate) json: Value,
    pub(crate) exit: Exit,
}

impl Output {
    pub(crate) fn new(text: impl Into<String>, json: Value) -> Output {
        Output {
            text: text.into(),
            json,
            exit: Exit::Success,
        }
    }

    pub(crate) fn with_exit(mut self, exit: Exit) -> Output {
        self.exit = exit;
        self
    }

    pub(crate) fn with_code(self, code: Code) -> Output {
        self.with_exit(code.into())
    }

    pub(crate) fn render(&self, format: Format) -> String {
        match format {
            Format::Table => self.text.clone(),
            Format::Json => format!("{:#}\n", self.json),
        }
    }
}

/// Formats rows under a header, in columns separated by two spaces. Empty cells are shown as `-`.
pub(crate) fn render_table<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = header.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = render_line(&header, &widths);
    for row in rows {
        let cells = row.each_ref().map(|cell| match cell.as_str() {
            "" => "-",
            cell => cell,
        });
        text.push_str(&render_line(&cells, &widths));
    }
    text
}

fn render_line(cells: &[&str], widths: &[usize]) -> String {
    let mut text = String::new();
    for (cell, width) in cells.iter().zip(widths) {
        text.push_str(&format!("{cell:<width$}  "));
    }
    format!("{}\n", text.trim_end())
}
