//! A straight line through measured points.

use serde::Serialize;

use crate::error::Error;

/// Cost as `fixed + each * size`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Line {
    /// Cost at size zero.
    pub fixed: f64,
    /// Cost of one more.
    pub each: f64,
}

impl Line {
    /// The line that fits `points` (size, cost) best, by least squares.
    ///
    /// # Errors
    /// When there are not two different sizes.
    fn fit(points: &[(f64, f64)]) -> Result<Line, Error> {
        let count = points.len() as f64;
        let mean_size = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_cost = points.iter().map(|point| point.1).sum::<f64>() / count;
        let sum_of_squares: f64 = points
            .iter()
            .map(|point| (point.0 - mean_size).powi(2))
            .sum();
        if points.len() < 2 || sum_of_squares == 0.0 {
            return Err(Error::TooFewSizes);
        }
        let sum_of_products: f64 = points
            .iter()
            .map(|point| (point.0 - mean_size) * (point.1 - mean_cost))
            .sum();
        let each = sum_of_products / sum_of_squares;
        Ok(Line {
            fixed: mean_cost - each * mean_size,
            each,
        })
    }

    /// The line of one cost of `points` by one size of them.
    ///
    /// # Errors
    /// When there are not two different sizes.
    pub fn fit_by<P>(
        points: &[P],
        size: impl Fn(&P) -> usize,
        cost: impl Fn(&P) -> f64,
    ) -> Result<Line, Error> {
        let pairs: Vec<(f64, f64)> = points
            .iter()
            .map(|point| (size(point) as f64, cost(point)))
            .collect();
        Line::fit(&pairs)
    }
}
