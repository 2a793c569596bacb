//! Text tables for people; scripts use `--json`.

/// A header and rows of text cells.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a header, which is printed in upper case.
    #[must_use]
    pub fn new(header: &[&str]) -> Self {
        let header = header.iter().map(|cell| cell.to_uppercase()).collect();
        Self { rows: vec![header] }
    }

    /// Adds a row.
    pub fn add_row<I: IntoIterator<Item = String>>(&mut self, cells: I) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Renders the table with columns as wide as their widest cell.
    #[must_use]
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        let mut out = String::new();
        for row in &self.rows {
            out.push_str(render_row(row, &widths).trim_end());
            out.push('\n');
        }
        out
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

fn render_row(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths);
    let padded: Vec<String> = cells
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    padded.join("  ")
}

#[cfg(test)]
mod tests;
