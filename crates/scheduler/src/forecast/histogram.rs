//! A histogram of logarithms in which older observations lose their weight.

/// Width of a bucket, as a natural logarithm: a quantile is off by 4% at most.
const WIDTH: f32 = 0.08;

/// Units of weight of a whole observation.
const UNITS: f32 = 32.0;

/// Total weight at which all weights are halved.
const MAX_WEIGHT: f32 = 192.0;

/// Weights of `N` buckets; values beyond them count in the first or the last.
#[derive(Debug, Clone)]
pub(super) struct Histogram<const N: usize> {
    /// Lower bound of the first bucket.
    min: f32,
    weights: [u16; N],
    total: u32,
    median: f32,
}

impl<const N: usize> Histogram<N> {
    pub fn new(min: f32) -> Self {
        Self { min, weights: [0; N], total: 0, median: 0.0 }
    }

    /// Adds an observation of a weight of at most 1.
    pub fn add(&mut self, value: f32, weight: f32) {
        let bucket = ((value - self.min) / WIDTH).clamp(0.0, (N - 1) as f32) as usize;
        let units = (weight * UNITS).round().max(1.0) as u16;
        self.weights[bucket] += units;
        self.total += u32::from(units);
        if self.weight() > MAX_WEIGHT {
            self.scale(0.5);
        }
        self.median = self.quantile(0.5);
    }

    /// Reduces all weights so that they sum up to no more than `weight`.
    pub fn reduce_to(&mut self, weight: f32) {
        if self.weight() > weight {
            self.scale(weight / self.weight());
        }
    }

    fn scale(&mut self, factor: f32) {
        for weight in &mut self.weights {
            *weight = (f32::from(*weight) * factor).round() as u16;
        }
        self.total = self.weights.iter().map(|weight| u32::from(*weight)).sum();
    }

    /// Weight of all observations; that of a recent one is 1 at most.
    pub fn weight(&self) -> f32 {
        self.total as f32 / UNITS
    }

    /// The middle of the observations; 0 without any.
    pub fn median(&self) -> f32 {
        self.median
    }

    /// The value that a share of the observations does not exceed; 0 without observations.
    pub fn quantile(&self, share: f32) -> f32 {
        self.find(self.total as f32 * share)
    }

    /// The middle of the observations above a value; `None` if those are less than a hundredth.
    pub fn median_above(&self, value: f32) -> Option<f32> {
        let bucket = ((value - self.min) / WIDTH).max(0.0) as usize + 1;
        let above = self.weights.get(bucket..)?;
        let above: u32 = above.iter().map(|weight| u32::from(*weight)).sum();
        (above > 0 && above * 100 >= self.total)
            .then(|| self.find(self.total as f32 - above as f32 / 2.0))
    }

    /// The value below which observations of a weight lie.
    fn find(&self, weight: f32) -> f32 {
        let mut below = 0.0;
        let mut last = 0.0;
        for (bucket, units) in self.weights.iter().enumerate().filter(|(_, units)| **units > 0) {
            let units = f32::from(*units);
            let share = ((weight - below) / units).clamp(0.0, 1.0);
            last = self.min + (bucket as f32 + share) * WIDTH;
            below += units;
            if below >= weight {
                break;
            }
        }
        last
    }
}
