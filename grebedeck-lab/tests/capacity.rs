//! The table of slopes in `docs/CAPACITY.md`: its format and its generation.

use grebedeck_lab::cost::page::{BEGIN_MARKER, END_MARKER, TABLE_HEADER, replace, table};
use grebedeck_lab::cost::{Slope, probes};

const PAGE: &str = include_str!("../../docs/CAPACITY.md");

#[test]
fn the_capacity_page_has_a_well_formed_row_for_each_probe() {
    let begin = PAGE.find(BEGIN_MARKER).expect("the page has the marker before the table");
    let end = PAGE.find(END_MARKER).expect("the page has the marker after the table");
    let rows: Vec<&str> = PAGE[begin + BEGIN_MARKER.len()..end].trim().lines().collect();

    assert_eq!(rows[0], TABLE_HEADER);
    assert_eq!(rows.len(), probes::ALL.len() + 2);

    for (row, probe) in rows[2..].iter().zip(probes::ALL) {
        let cells: Vec<&str> = row.trim_matches('|').split('|').map(str::trim).collect();
        assert_eq!(cells.len(), 8, "{row}");
        assert_eq!(cells[0], probe.name);

        for number in [3, 4, 6, 7] {
            assert!(cells[number].parse::<f64>().is_ok(), "{row}");
        }
    }
}

#[test]
fn a_fitted_slope_replaces_the_table_between_the_markers() {
    let points = vec![(1.0, 12.0), (2.0, 14.0), (4.0, 18.0)];
    let slope = Slope::fit("a cost", "bytes", "thing", points, 10.0);
    assert!((slope.slope - 2.0).abs() < 1e-9 && (slope.at_size - 30.0).abs() < 1e-9);
    assert!(slope.spread < 1e-9);

    let page =
        replace(&format!("before\n{BEGIN_MARKER}\nold\n{END_MARKER}\nafter"), &table(&[slope]))
            .unwrap();
    assert!(page.contains("| a cost | bytes | thing | 2.00 | 10.0 | 0% | 10 | 30.0 |"), "{page}");
    assert!(page.starts_with("before") && page.ends_with("after") && !page.contains("old"));
}
