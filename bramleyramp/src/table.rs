//! Plain text tables. The first column is left-aligned, the others are
//! right-aligned.

/// Separator between columns.
const GAP: &str = "  ";

/// Table under construction.
#[derive(Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a row of headings.
    pub fn new(headings: &[&str]) -> Table {
        let mut table = Table::default();
        table.add(headings.iter().map(|h| (*h).to_string()));
        table
    }

    /// Adds a row; it may have fewer cells than there are headings.
    pub fn add(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Returns the table as text, one line for each row.
    pub fn render(&self) -> String {
        let widths = self.widths();
        let mut text = String::new();
        for row in &self.rows {
            let cells: Vec<String> = row
                .iter()
                .zip(&widths)
                .enumerate()
                .map(|(i, (cell, width))| match i {
                    0 => format!("{cell:<width$}"),
                    _ => format!("{cell:>width$}"),
                })
                .collect();
            text.push_str(cells.join(GAP).trim_end());
            text.push('\n');
        }
        text
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells.map(|cell: &String| cell.chars().count()).max()
        };
        (0..columns).map(|c| width(c).unwrap_or(0)).collect()
    }
}
