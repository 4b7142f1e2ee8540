//! To be described.

fn main() {}
