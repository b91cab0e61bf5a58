//! Linear regression of measured costs.

use serde::Serialize;

use crate::error::Error;

/// A linear cost: `fixed + each * size`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Line {
    /// Cost at size zero.
    pub fixed: f64,
    /// Additional cost per unit of size.
    pub each: f64,
}

impl Line {
    /// Fits a line to `points` (size, cost) by least squares.
    ///
    /// # Errors
    /// Returns an error if there are fewer than two different sizes.
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

    /// Fits a line to the size and cost that the two functions take from each of `points`.
    ///
    /// # Errors
    /// Returns an error if there are fewer than two different sizes.
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
