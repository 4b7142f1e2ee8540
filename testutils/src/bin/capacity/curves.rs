//! Draws the slopes as one SVG image with a panel for each.

use crate::slopes::{Slope, Slopes};
use std::fmt::Write;

const COLUMNS: usize = 3;
const WIDTH: f64 = 300.0;
const HEIGHT: f64 = 190.0;
/// Margin of a panel for its title and labels.
const MARGIN: f64 = 34.0;

/// Draws all slopes as SVG.
pub fn draw(slopes: &Slopes) -> String {
    let count = slopes.iter().count();
    let (wide, high) = (WIDTH * COLUMNS as f64, HEIGHT * count.div_ceil(COLUMNS) as f64);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" viewBox=\"0 0 {wide} {high}\" \
         font-family=\"sans-serif\" font-size=\"10\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n"
    );
    for (ix, slope) in slopes.iter().enumerate() {
        let (x, y) = ((ix % COLUMNS) as f64 * WIDTH, (ix / COLUMNS) as f64 * HEIGHT);
        let _ = writeln!(svg, "<g transform=\"translate({x} {y})\">{}</g>", panel(slope));
    }
    svg.push_str("</svg>\n");
    svg
}

fn panel(slope: &Slope) -> String {
    let most = |of: fn(&(f64, f64)) -> f64| slope.points.iter().map(of).fold(1.0, f64::max);
    let (right, top) = (most(|it| it.0), most(|it| it.1) * 1.05);
    let across = |x: f64| MARGIN + x / right * (WIDTH - 2.0 * MARGIN);
    let up = |y: f64| HEIGHT - MARGIN - y / top * (HEIGHT - 2.0 * MARGIN);
    let line = slope.line();
    let (x0, x1, y0, y1) = (across(0.0), across(right), up(line.at(0.0)), up(line.at(right)));
    let (floor, ceiling) = (up(0.0), up(top));
    let mut svg = format!(
        "<text x=\"{x0}\" y=\"14\" font-weight=\"bold\">{}</text>\
         <text x=\"{x0}\" y=\"27\">{:.0} {}</text>\
         <text x=\"{x1}\" y=\"{}\" text-anchor=\"end\">{right:.0} {}</text>\
         <path d=\"M{x0} {ceiling}V{floor}H{x1}\" fill=\"none\" stroke=\"gray\"/>\
         <path d=\"M{x0} {y0}L{x1} {y1}\" stroke=\"steelblue\"/>",
        slope.name,
        top / 1.05,
        slope.y,
        floor + 14.0,
        slope.x,
    );
    for (x, y) in &slope.points {
        let _ = write!(
            svg,
            "<circle cx=\"{:.1}\" cy=\"{:.1}\" r=\"3\" fill=\"firebrick\"/>",
            across(*x),
            up(*y)
        );
    }
    svg
}
