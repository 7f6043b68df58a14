//! Least-squares fits of points with known coefficients.

use whinwall_scale_tests::fit::{FitError, LinearFit, Point};

fn point(regressors: &[f64], measured: f64) -> Point {
    Point { regressors: regressors.to_vec(), measured }
}

#[test]
fn plane_is_fitted_exactly() {
    let plane = |lines: f64, replicas: f64| 0.0005 + 2.4e-6 * lines + 1e-7 * replicas;
    let sizes = [(275.0, 275.0), (2475.0, 275.0), (2200.0, 2200.0), (19_800.0, 2200.0), (9900.0, 1100.0)];
    let points: Vec<Point> = sizes.iter().map(|(x, y)| point(&[*x, *y], plane(*x, *y))).collect();
    let fit = LinearFit::least_squares(&points).unwrap();
    assert!((fit.intercept - 0.0005).abs() < 1e-12, "{fit:?}");
    assert!((fit.slopes[0] - 2.4e-6).abs() < 1e-14 && (fit.slopes[1] - 1e-7).abs() < 1e-13, "{fit:?}");
    assert!(fit.largest_residual() < 1e-12 && fit.r_squared > 0.999_999);
    assert_eq!(fit.range, [(275.0, 19_800.0), (275.0, 2200.0)]);
    assert!(fit.covers(&[19_800.0, 2200.0]) && !fit.covers(&[20_000.0, 2200.0]));
}

/// The least-squares line through (0, 0), (1, 2) and (2, 3) is y = 1/6 + 3/2 x.
#[test]
fn residuals_and_r_squared_match_a_hand_calculation() {
    let points = [point(&[0.0], 0.0), point(&[1.0], 2.0), point(&[2.0], 3.0)];
    let fit = LinearFit::least_squares(&points).unwrap();
    let near = |a: f64, b: f64| assert!((a - b).abs() < 1e-12, "{a} differs from {b}");
    near(fit.intercept, 1.0 / 6.0);
    near(fit.slopes[0], 1.5);
    let expected = [-1.0 / 6.0, 1.0 / 3.0, -1.0 / 6.0];
    fit.residuals.iter().zip(expected).for_each(|(residual, expected)| near(*residual, expected));
    near(fit.r_squared, 1.0 - (1.0 / 6.0) / (14.0 / 3.0));
    near(fit.predict(&[4.0]), 1.0 / 6.0 + 6.0);
}

#[test]
fn undetermined_fit_is_an_error() {
    let too_few = LinearFit::least_squares(&[point(&[1.0], 1.0)]);
    assert_eq!(too_few, Err(FitError::TooFewPoints { points: 1, coefficients: 2 }));
    let mismatched = LinearFit::least_squares(&[point(&[1.0], 1.0), point(&[1.0, 2.0], 1.0)]);
    assert_eq!(mismatched, Err(FitError::RegressorCountMismatch { expected: 1, found: 2 }));
    let dependent = [point(&[1.0, 2.0], 1.0), point(&[2.0, 4.0], 2.0), point(&[3.0, 6.0], 3.0)];
    assert_eq!(LinearFit::least_squares(&dependent), Err(FitError::DependentRegressors));
    assert_eq!(LinearFit::least_squares(&[]), Err(FitError::TooFewPoints { points: 0, coefficients: 1 }));
}
