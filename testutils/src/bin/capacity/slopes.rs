//! Measured points and straight lines fitted to them.

use medlarspur_lib::collections::Map;
use serde::Deserialize;
use snafu::{OptionExt, ResultExt, Snafu, ensure};
use std::fmt::Write;

/// Minimum number of measured sizes of a slope.
const MIN_POINTS: usize = 4;

/// Reasons why the slopes can't be used.
#[derive(Debug, Snafu)]
pub enum SlopesError {
    /// The text is not valid YAML or not a list of slopes.
    #[snafu(display("the slopes cannot be parsed"))]
    Parse { source: serde_norway::Error },
    /// A slope has too few sizes for a line.
    #[snafu(display("slope `{name}` has fewer than {MIN_POINTS} sizes"))]
    Points { name: String },
    /// A slope that the roles need is missing.
    #[snafu(display("slope `{name}` was not measured"))]
    Missing { name: String },
}

/// A quantity that was measured at several sizes.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Slope {
    pub name: String,
    pub what: String,
    pub x: String,
    pub y: String,
    pub command: String,
    pub points: Vec<(f64, f64)>,
}

/// All slopes, in the order of the text.
#[derive(Debug)]
pub struct Slopes {
    list: Vec<Slope>,
    positions: Map<String, usize>,
}

/// Straight line fitted to the points by least squares.
#[derive(Debug, Clone, Copy)]
pub struct Line {
    pub intercept: f64,
    pub gradient: f64,
    /// Share of the points' variance that the line explains (r²).
    pub fit: f64,
}

impl Line {
    /// Returns the value of the line at a size; never below zero.
    pub fn at(&self, x: f64) -> f64 {
        (self.intercept + self.gradient * x).max(0.0)
    }
}

impl Slope {
    pub fn line(&self) -> Line {
        let count = self.points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| self.points.iter().map(of).sum::<f64>() / count;
        let (x, y) = (mean(|it| it.0), mean(|it| it.1));
        let sum = |of: &dyn Fn(f64, f64) -> f64| -> f64 {
            self.points.iter().map(|it| of(it.0 - x, it.1 - y)).sum()
        };
        let (xx, xy, yy) = (sum(&|x, _| x * x), sum(&|x, y| x * y), sum(&|_, y| y * y));
        let gradient = if xx > 0.0 { xy / xx } else { 0.0 };
        let fit = if yy > 0.0 { gradient * xy / yy } else { 1.0 };
        Line { intercept: y - gradient * x, gradient, fit }
    }
}

impl Slopes {
    pub fn parse(text: &str) -> Result<Slopes, SlopesError> {
        let list: Vec<Slope> = serde_norway::from_str(text).context(ParseSnafu)?;
        for slope in &list {
            let is_enough = slope.points.len() >= MIN_POINTS;
            ensure!(is_enough, PointsSnafu { name: slope.name.as_str() });
        }
        let positions = list.iter().enumerate().map(|(at, it)| (it.name.clone(), at)).collect();
        Ok(Slopes { list, positions })
    }

    pub fn iter(&self) -> impl Iterator<Item = &Slope> {
        self.list.iter()
    }

    /// Returns the value of a slope's line at a size.
    pub fn at(&self, name: &str, x: f64) -> Result<f64, SlopesError> {
        let position = self.positions.get(name).context(MissingSnafu { name })?;
        Ok(self.list[*position].line().at(x))
    }

    /// Returns the slopes as a Markdown table, followed by their commands.
    pub fn table(&self) -> String {
        let mut text =
            "| slope | what | sizes | line | fit r² |\n|---|---|---|---|---|\n".to_owned();
        for slope in &self.list {
            let line = slope.line();
            let sizes: Vec<_> = slope.points.iter().map(|it| format!("{}", it.0)).collect();
            let Slope { name, what, x, y, .. } = slope;
            let (sizes, intercept, gradient) = (sizes.join(", "), line.intercept, line.gradient);
            let _ = writeln!(
                text,
                "| `{name}` | {what} | {sizes} {x} | {intercept:.0} + {gradient:.4} {y} | {:.3} |",
                line.fit
            );
        }
        text + &self.commands()
    }

    /// Returns a list of the different commands that measured the slopes.
    fn commands(&self) -> String {
        let general = |it: &Slope| it.command.replace(&it.name, "NAME");
        let mut commands: Vec<_> = self.list.iter().map(general).collect();
        commands.sort();
        commands.dedup();
        let lines = commands.iter().map(|it| format!("- `{it}`\n"));
        format!("\nMeasured by\n\n{}", lines.collect::<String>())
    }
}
