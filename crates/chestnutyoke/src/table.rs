//! Tables for people; scripts take `--json`.

/// Rows under a head, each cell a text.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Makes a table with its head.
    #[must_use]
    pub fn new(head: &[&str]) -> Self {
        let head = head.iter().map(|cell| cell.to_uppercase()).collect();
        Self { rows: vec![head] }
    }

    /// Adds a row.
    pub fn row<I: IntoIterator<Item = String>>(&mut self, cells: I) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Renders the table with columns as wide as their widest cell.
    #[must_use]
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let widths: Vec<usize> = (0..columns).map(|column| self.width(column)).collect();
        let mut out = String::new();
        for row in &self.rows {
            out.push_str(line(row, &widths).trim_end());
            out.push('\n');
        }
        out
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

fn line(row: &[String], widths: &[usize]) -> String {
    let cells = row.iter().zip(widths);
    let padded: Vec<String> = cells
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    padded.join("  ")
}

#[cfg(test)]
mod tests;
