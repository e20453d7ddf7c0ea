//! A plot of a report as SVG: first tokens' cumulative shares, and bars of the main figures.

use {
    crate::load::{
        measure::{ALL_CHATS, COLUMNS, Column},
        number::float,
        report::{Report, cumulative},
    },
    std::fmt::{self, Write},
};

const WIDTH: u32 = 1_000;
const HEIGHT: u32 = 460;
const CURVES: Panel = Panel {
    left: 60.0,
    top: 50.0,
    width: 420.0,
    height: 340.0,
};
const BARS_LEFT: f64 = 560.0;
const BARS_WIDTH: f64 = 300.0;
const BAR_HEIGHT: f64 = 14.0;
const BAR_GROUP_GAP: f64 = 24.0;
const STEPS: usize = 200;
const COLORS: [&str; 5] = ["#1b6ca8", "#d1495b", "#edae49", "#66a182", "#7a5195"];
const BAR_COLUMNS: [&str; 5] = [
    "first token p99 ms",
    "prefix hit rate",
    "recomputed per request",
    "met target share",
    "cost microcredits",
];
/// The decades of the axis of times, in microseconds.
const DECADES_US: [(u64, &str); 5] = [
    (1_000, "1 ms"),
    (10_000, "10 ms"),
    (100_000, "100 ms"),
    (1_000_000, "1 s"),
    (10_000_000, "10 s"),
];

struct Panel {
    left: f64,
    top: f64,
    width: f64,
    height: f64,
}

impl Panel {
    fn x(&self, time_us: u64) -> f64 {
        let first = float(DECADES_US[0].0).log10();
        let last = float(DECADES_US[DECADES_US.len() - 1].0).log10();
        let place = (float(time_us.max(1)).log10() - first) / (last - first);
        self.left + self.width * place.clamp(0.0, 1.0)
    }

    fn y(&self, share: f64) -> f64 {
        self.top + self.height * (1.0 - share)
    }
}

/// Draws a report.
///
/// # Errors
/// None in practice: writing to a string doesn't fail.
pub fn svg(report: &Report) -> Result<String, fmt::Error> {
    let mut out = String::new();
    writeln!(
        out,
        r#"<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 {WIDTH} {HEIGHT}" font-family="sans-serif" font-size="11">"#
    )?;
    writeln!(out, r#"<rect width="100%" height="100%" fill="white"/>"#)?;
    writeln!(
        out,
        r#"<text x="60" y="24" font-size="15">{} {}, seed {}: time to first token</text>"#,
        report.workload, report.scenario, report.seed
    )?;
    axes(&mut out)?;
    curves(report, &mut out)?;
    bars(report, &mut out)?;
    writeln!(out, "</svg>")?;
    Ok(out)
}

fn axes(out: &mut String) -> fmt::Result {
    let bottom = CURVES.y(0.0);
    for (time_us, label) in DECADES_US {
        let x = CURVES.x(time_us);
        writeln!(
            out,
            r##"<line x1="{x:.1}" x2="{x:.1}" y1="{:.1}" y2="{bottom:.1}" stroke="#ddd"/>"##,
            CURVES.top
        )?;
        writeln!(
            out,
            r#"<text x="{x:.1}" y="{:.1}" text-anchor="middle">{label}</text>"#,
            bottom + 16.0
        )?;
    }
    for share in [0.0, 0.5, 0.95, 1.0] {
        let y = CURVES.y(share);
        let right = CURVES.left + CURVES.width;
        writeln!(
            out,
            r##"<line x1="{:.1}" x2="{right:.1}" y1="{y:.1}" y2="{y:.1}" stroke="#ddd"/>"##,
            CURVES.left
        )?;
        writeln!(
            out,
            r#"<text x="{:.1}" y="{:.1}" text-anchor="end">{share}</text>"#,
            CURVES.left - 6.0,
            y + 4.0
        )?;
    }
    Ok(())
}

fn curves(report: &Report, out: &mut String) -> fmt::Result {
    for (policy, color) in report.policies().into_iter().zip(COLORS) {
        let mut times: Vec<u64> = report
            .runs_of(policy)
            .flat_map(|run| run.first_tokens_us.iter().copied())
            .collect();
        times.sort_unstable();
        let mut points = String::new();
        for (time_us, share) in cumulative(&times, STEPS) {
            write!(points, "{:.1},{:.1} ", CURVES.x(time_us), CURVES.y(share))?;
        }
        writeln!(
            out,
            r#"<polyline points="{points}" fill="none" stroke="{color}" stroke-width="2"/>"#
        )?;
    }
    Ok(())
}

fn bars(report: &Report, out: &mut String) -> fmt::Result {
    let mut y = CURVES.top;
    let columns = COLUMNS
        .iter()
        .filter(|column| BAR_COLUMNS.contains(&column.name));
    for column in columns {
        writeln!(
            out,
            r#"<text x="{BARS_LEFT}" y="{:.1}" font-weight="bold">{}</text>"#,
            y - 4.0,
            column.name
        )?;
        y = bar_group(report, column, y, out)? + BAR_GROUP_GAP;
    }
    Ok(())
}

fn bar_group(
    report: &Report,
    column: &Column,
    top: f64,
    out: &mut String,
) -> Result<f64, fmt::Error> {
    let median = |policy| report.spread(policy, ALL_CHATS, column).median;
    let policies = report.policies();
    let longest = policies.iter().map(|p| median(*p)).fold(0.0, f64::max);
    let mut y = top;
    for (policy, color) in policies.into_iter().zip(COLORS) {
        let value = median(policy);
        let width = BARS_WIDTH * value / longest.max(f64::MIN_POSITIVE);
        writeln!(
            out,
            r#"<rect x="{BARS_LEFT}" y="{y:.1}" width="{width:.1}" height="{:.1}" fill="{color}"/>"#,
            BAR_HEIGHT - 2.0
        )?;
        writeln!(
            out,
            r#"<text x="{:.1}" y="{:.1}">{value:.digits$} {policy}</text>"#,
            BARS_LEFT + width + 4.0,
            y + BAR_HEIGHT - 4.0,
            digits = column.digits,
        )?;
        y += BAR_HEIGHT;
    }
    Ok(y)
}
