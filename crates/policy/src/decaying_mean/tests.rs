use wire::clock::Millis;

use super::Mean;
use super::median;

const NOW: Millis = Millis::new(100_000);

fn mean(values: &[f64]) -> Mean {
    let mut mean = Mean::default();
    for value in values {
        mean.add(*value, NOW);
    }
    mean
}

#[test]
fn a_sample_loses_half_of_its_weight_in_five_seconds() {
    let mut mean = mean(&[4.0, 4.0]);
    let later = NOW.plus(Millis::new(5_000));
    mean.add(8.0, later);
    let (value, weight) = mean.value().expect("there are samples");
    assert!((value - 6.0).abs() < 1e-9, "{value}");
    assert!((weight - 2.0).abs() < 1e-9, "{weight}");
}

/// An endpoint becomes slow. Within two half-lives, its mean is nearer the new pace than the old
/// one.
#[test]
fn the_mean_follows_an_endpoint_that_becomes_slow() {
    let mut mean = mean(&[2.0; 20]);
    for at in 0..20 {
        mean.add(8.0, NOW.plus(Millis::new(500 * at)));
    }
    assert!(mean.value().expect("there are samples").0 > 5.0);
}

#[test]
fn an_unmeasured_endpoint_counts_as_the_median() {
    let pool = [mean(&[3.0]), mean(&[5.0]), mean(&[9.0]), Mean::default()];
    let median = median(pool.into_iter(), 1.0);
    assert!((median - 5.0).abs() < 1e-9);
    assert!((pool[3].shrunk_towards(median) - 5.0).abs() < 1e-9);
    assert!(
        (pool[2].shrunk_towards(median) - 7.0).abs() < 1e-9,
        "one sample"
    );
    assert!((super::median([Mean::default()].into_iter(), 1.0) - 1.0).abs() < 1e-9);
}
