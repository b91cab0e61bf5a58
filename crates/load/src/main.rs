//! Load, histories, checks and measures.

fn main() {}
