//! A whole small deployment in one process.

fn main() {}
