//! Result tables, printed as Markdown.

/// A table of text cells, in which each column is padded to its widest cell.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows below `heading`, which also sets the number of columns.
    pub fn new(heading: &[&str]) -> Table {
        Table {
            rows: vec![heading.iter().map(ToString::to_string).collect()],
        }
    }

    /// Appends a row; it must have at least as many cells as the heading.
    pub fn add_row(&mut self, cells: &[String]) {
        self.rows.push(cells.to_vec());
    }

    /// Formats the table as Markdown, without a final newline.
    pub fn render(&self) -> String {
        let columns = self.rows.first().map_or(0, Vec::len);
        let width = |column: usize| {
            self.rows
                .iter()
                .map(|row| row[column].len())
                .max()
                .unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        let mut lines = Vec::new();
        for (index, row) in self.rows.iter().enumerate() {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .map(|(cell, width)| format!("{cell:<width$}"))
                .collect();
            lines.push(format!("| {} |", cells.join(" | ")));
            if index == 0 {
                let separators: Vec<String> =
                    widths.iter().map(|width| "-".repeat(*width)).collect();
                lines.push(format!("| {} |", separators.join(" | ")));
            }
        }
        lines.join("\n")
    }
}
