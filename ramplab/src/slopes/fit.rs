//! Fits a straight line to measured points by least squares.

use crate::slopes::Point;

/// A fitted straight line and how well it fits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Increase of the quantity for each unit of size.
    pub slope: f64,
    /// Quantity at size zero.
    pub intercept: f64,
    /// Coefficient of determination: the fraction of the variance that the line
    /// explains, 0 to 1.
    pub r_squared: f64,
}

impl Fit {
    /// Fits a line to `points`; it is flat when they don't have two different
    /// sizes.
    pub fn least_squares(points: &[Point]) -> Fit {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|p| p.x).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.y).sum::<f64>() / n;
        let sxx: f64 = points.iter().map(|p| (p.x - mean_x).powi(2)).sum();
        let sxy: f64 = points.iter().map(|p| (p.x - mean_x) * (p.y - mean_y)).sum();
        let syy: f64 = points.iter().map(|p| (p.y - mean_y).powi(2)).sum();
        if sxx == 0.0 {
            return Fit {
                slope: 0.0,
                intercept: mean_y,
                r_squared: 1.0,
            };
        }
        let slope = sxy / sxx;
        Fit {
            slope,
            intercept: mean_y - slope * mean_x,
            r_squared: if syy == 0.0 {
                1.0
            } else {
                sxy * sxy / (sxx * syy)
            },
        }
    }

    /// Value of the line at size `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
