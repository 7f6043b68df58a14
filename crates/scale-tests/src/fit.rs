//! Ordinary least squares with several regressors: coefficients, residuals, the coefficient of determination (R2) and
//! the range of the measured points.

/// One measured point: the values of the regressors and the measured value.
#[derive(Clone, Debug, PartialEq)]
pub struct Point {
    /// Values of the regressors, in the same order in all points of a fit.
    pub regressors: Vec<f64>,
    /// The measured value.
    pub measured: f64,
}

/// A linear model `intercept + sum(slope * regressor)` fitted to points.
#[derive(Clone, Debug, PartialEq)]
pub struct LinearFit {
    /// The predicted value at 0 of all regressors.
    pub intercept: f64,
    /// One slope for each regressor.
    pub slopes: Vec<f64>,
    /// Measured minus predicted values, in the order of the points.
    pub residuals: Vec<f64>,
    /// The fraction of the variance that the model explains; 1 if the measured values do not vary.
    pub r_squared: f64,
    /// The minimum and maximum of each regressor over the points.
    pub range: Vec<(f64, f64)>,
}

/// The reason why no fit exists.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FitError {
    /// There are fewer points than coefficients.
    #[error("{points} points, at least {coefficients} needed for {coefficients} coefficients")]
    TooFewPoints {
        /// The number of points.
        points: usize,
        /// The number of coefficients of the model.
        coefficients: usize,
    },
    /// The points differ in their number of regressors.
    #[error("point with {found} regressors, expected {expected} as in the first point")]
    RegressorCountMismatch {
        /// The number of regressors of the first point.
        expected: usize,
        /// The number of regressors of the first point that differs.
        found: usize,
    },
    /// A regressor does not vary, or depends linearly on others.
    #[error("regressors are constant or linearly dependent over the points")]
    DependentRegressors,
}

/// A pivot of at most this fraction of the largest coefficient is treated as 0.
const SINGULAR_PIVOT_RATIO: f64 = 1e-10;

impl LinearFit {
    /// Fits the model to the points.
    ///
    /// # Errors
    ///
    /// When the points are too few, differ in their number of regressors, or do not determine the coefficients.
    pub fn least_squares(points: &[Point]) -> Result<LinearFit, FitError> {
        let regressor_count = points.first().map_or(0, |point| point.regressors.len());
        let mut counts = points.iter().map(|point| point.regressors.len());
        if let Some(found) = counts.find(|count| *count != regressor_count) {
            return Err(FitError::RegressorCountMismatch { expected: regressor_count, found });
        }
        let coefficients = regressor_count + 1;
        if points.len() < coefficients {
            return Err(FitError::TooFewPoints { points: points.len(), coefficients });
        }
        // Each regressor is divided by its largest absolute value, which keeps the equations well conditioned.
        let scales = regressor_scales(points, regressor_count);
        let solution = solve(normal_equations(points, &scales)).ok_or(FitError::DependentRegressors)?;
        let slopes: Vec<f64> =
            solution[1..].iter().zip(&scales).map(|(slope, scale)| slope / scale).collect();
        let mut fit =
            LinearFit { intercept: solution[0], slopes, residuals: vec![], r_squared: 1.0, range: vec![] };
        fit.residuals = points.iter().map(|point| point.measured - fit.predict(&point.regressors)).collect();
        fit.r_squared = r_squared(points, &fit.residuals);
        fit.range = (0..regressor_count).map(|index| regressor_range(points, index)).collect();
        Ok(fit)
    }

    /// Returns the value that the model predicts for `regressors`.
    pub fn predict(&self, regressors: &[f64]) -> f64 {
        let terms = self.slopes.iter().zip(regressors).map(|(slope, regressor)| slope * regressor);
        self.intercept + terms.sum::<f64>()
    }

    /// Returns true if each regressor lies within the range of the measured points.
    pub fn covers(&self, regressors: &[f64]) -> bool {
        let within = |(low, high): &(f64, f64), value: &f64| (*low..=*high).contains(value);
        self.range.iter().zip(regressors).all(|(range, value)| within(range, value))
    }

    /// Returns the largest absolute residual.
    pub fn largest_residual(&self) -> f64 {
        self.residuals.iter().map(|residual| residual.abs()).fold(0.0, f64::max)
    }
}

fn regressor_scales(points: &[Point], regressor_count: usize) -> Vec<f64> {
    let max_absolute =
        |index: usize| points.iter().map(|point| point.regressors[index].abs()).fold(0.0, f64::max);
    let scale = |max_absolute: f64| if max_absolute > 0.0 { max_absolute } else { 1.0 };
    (0..regressor_count).map(|index| scale(max_absolute(index))).collect()
}

fn regressor_range(points: &[Point], index: usize) -> (f64, f64) {
    let values = points.iter().map(|point| point.regressors[index]);
    values.fold((f64::INFINITY, f64::NEG_INFINITY), |(low, high), value| (low.min(value), high.max(value)))
}

fn r_squared(points: &[Point], residuals: &[f64]) -> f64 {
    let mean = points.iter().map(|point| point.measured).sum::<f64>() / points.len() as f64;
    let total: f64 = points.iter().map(|point| (point.measured - mean).powi(2)).sum();
    let unexplained: f64 = residuals.iter().map(|residual| residual.powi(2)).sum();
    if total > 0.0 {
        1.0 - unexplained / total
    } else {
        1.0
    }
}

/// Returns the rows of the normal equations, each with its right-hand side as the last value.
fn normal_equations(points: &[Point], scales: &[f64]) -> Vec<Vec<f64>> {
    let size = scales.len() + 1;
    let mut rows = vec![vec![0.0; size + 1]; size];
    for point in points {
        let mut values = vec![1.0];
        values.extend(point.regressors.iter().zip(scales).map(|(value, scale)| value / scale));
        values.push(point.measured);
        for (row, factor) in rows.iter_mut().zip(values.clone()) {
            row.iter_mut().zip(&values).for_each(|(cell, value)| *cell += factor * value);
        }
    }
    rows
}

/// Solves the equations by Gaussian elimination with partial pivoting; returns `None` if they are singular.
fn solve(mut rows: Vec<Vec<f64>>) -> Option<Vec<f64>> {
    let size = rows.len();
    for column in 0..size {
        let pivot =
            (column..size).max_by(|a, b| rows[*a][column].abs().total_cmp(&rows[*b][column].abs()))?;
        let max_absolute =
            rows.iter().flat_map(|row| &row[..size]).fold(0.0_f64, |max, cell| max.max(cell.abs()));
        if rows[pivot][column].abs() <= max_absolute * SINGULAR_PIVOT_RATIO {
            return None;
        }
        rows.swap(column, pivot);
        let pivot_row = rows[column].clone();
        for row in rows.iter_mut().skip(column + 1) {
            let factor = row[column] / pivot_row[column];
            row.iter_mut().zip(&pivot_row).for_each(|(cell, value)| *cell -= factor * value);
        }
    }
    let mut solution = vec![0.0; size];
    for column in (0..size).rev() {
        let known: f64 = (column + 1..size).map(|index| rows[column][index] * solution[index]).sum();
        solution[column] = (rows[column][size] - known) / rows[column][column];
    }
    Some(solution)
}
