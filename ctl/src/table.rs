//! Plain text tables.

/// A table whose first row is its header.
pub(crate) struct TextTable {
    rows: Vec<Vec<String>>,
}

impl TextTable {
    pub(crate) fn new(header: &[&str]) -> Self {
        Self { rows: vec![header.iter().map(|&cell| cell.to_owned()).collect()] }
    }

    pub(crate) fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Formats the rows as lines with aligned columns and without trailing spaces.
    pub(crate) fn lines(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let width_of = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or_default()
        };
        let widths: Vec<usize> = (0..columns).map(width_of).collect();
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                let padding = width + 2 - cell.chars().count();
                line.push_str(cell);
                line.extend(std::iter::repeat_n(' ', padding));
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }
}
