//! Results of a run.

use super::{
    scene::Scene,
    work::{State, Work},
};
use medlarspur_lib::bundle::Class;

#[derive(Debug)]
pub struct Outcome {
    pub works: Vec<Work>,
    /// Times from an opening to its refusal, in milliseconds.
    refusals: Vec<u64>,
    /// Refusals of work that a target ran.
    pub false_refusals: u64,
    /// Refusals whose opening reached a target that did not run the work.
    pub crossed: u64,
    /// Refusals that came after the caller was connected by another copy of its opening.
    pub ignored: u64,
    pub double_runs: u64,
    /// Openings that a target itself refused.
    pub overrun: u64,
    /// Times and targets of the openings that were sent.
    placed: Vec<(u64, usize)>,
    /// Times and durations, in slot-milliseconds, of work that a caller still waited for.
    useful: Vec<(u64, u64)>,
    hosts: usize,
}

impl Outcome {
    pub fn new(hosts: usize) -> Outcome {
        Outcome {
            works: Vec::new(),
            refusals: Vec::new(),
            false_refusals: 0,
            crossed: 0,
            ignored: 0,
            double_runs: 0,
            overrun: 0,
            placed: Vec::new(),
            useful: Vec::new(),
            hosts,
        }
    }

    pub fn record_refusal(&mut self, time: u64) {
        self.refusals.push(time);
    }

    pub fn record_placement(&mut self, now: u64, target: usize) {
        self.placed.push((now, target));
    }

    pub fn record_work(&mut self, now: u64, duration: u64, work: &Work) {
        if work.state != State::Failed {
            self.useful.push((now, duration));
        }
    }

    /// Returns the useful slot time while loaded, as a fraction of the capacity.
    pub fn goodput(&self, scene: &Scene) -> f64 {
        let within = |&(at, duration): &(u64, u64)| {
            let start = at.max(scene.loaded.start);
            let end = (at + duration).min(scene.loaded.end);
            end.saturating_sub(start)
        };
        self.useful.iter().map(within).sum::<u64>() as f64 / scene.capacity()
    }

    /// Returns the fraction of the work started while loaded that was done, for callers
    /// selected by `filter`.
    pub fn fraction_done(
        &self,
        scene: &Scene,
        class: Class,
        filter: impl Fn(&Work) -> bool,
    ) -> f64 {
        let is_counted =
            |w: &&Work| w.class == class && scene.loaded.contains(&w.start) && filter(w);
        let all = self.works.iter().filter(is_counted).count();
        let done = self.works.iter().filter(is_counted).filter(|w| w.wait().is_some()).count();
        if all == 0 { f64::NAN } else { done as f64 / all as f64 }
    }

    /// Returns a quantile of the wait from the last opening to a slot, in milliseconds.
    pub fn wait(&self, scene: &Scene, class: Class, quantile: f64) -> u64 {
        let is_counted = |w: &&Work| w.class == class && scene.loaded.contains(&w.start);
        quantile_of(self.works.iter().filter(is_counted).filter_map(Work::wait).collect(), quantile)
    }

    /// Returns a quantile of the time to a refusal, in milliseconds.
    pub fn refusal_time(&self, quantile: f64) -> u64 {
        quantile_of(self.refusals.clone(), quantile)
    }

    /// Returns the maximum over the mean, and the coefficient of variation, of the openings
    /// per target in the second half of the loaded time.
    pub fn imbalance(&self, scene: &Scene) -> (f64, f64) {
        let half = (scene.loaded.start + scene.loaded.end) / 2..scene.loaded.end;
        let mut placements = vec![0.0; self.hosts];
        for (_, target) in self.placed.iter().filter(|(at, _)| half.contains(at)) {
            placements[*target] += 1.0;
        }
        let mean = placements.iter().sum::<f64>() / self.hosts as f64;
        let spread = placements.iter().map(|g| (g - mean).powi(2)).sum::<f64>() / self.hosts as f64;
        let most = placements.iter().copied().fold(0.0, f64::max);
        (most / mean, spread.sqrt() / mean)
    }

    /// Returns the number of seconds after the load until service is normal: for three
    /// seconds, all but one in a hundred pieces of new work get a slot at the first try
    /// within 300 ms.
    pub fn recovery_seconds(&self, scene: &Scene) -> Option<u64> {
        let seconds = (scene.end - scene.loaded.end) / 1000;
        let mut all = vec![0u32; seconds as usize + 1];
        let mut bad = all.clone();
        for work in self.works.iter().filter(|w| w.start >= scene.loaded.end) {
            let second = ((work.start - scene.loaded.end) / 1000) as usize;
            let is_smooth = work.tries == 1 && work.wait().is_some_and(|wait| wait <= 300);
            all[second] += 1;
            bad[second] += u32::from(!is_smooth);
        }
        let is_normal = |s: usize| bad[s] * 100 <= all[s].max(100);
        (0..all.len().saturating_sub(4)).find(|&s| (s..s + 3).all(is_normal)).map(|s| s as u64)
    }
}

impl Work {
    /// Returns the wait from the last opening to a slot, if the work was done.
    pub fn wait(&self) -> Option<u64> {
        match self.state {
            State::Done { wait } => Some(wait),
            State::Trying | State::Failed => None,
        }
    }
}

fn quantile_of(mut values: Vec<u64>, quantile: f64) -> u64 {
    values.sort_unstable();
    let ix = (values.len() as f64 * quantile) as usize;
    values.get(ix.min(values.len().saturating_sub(1))).copied().unwrap_or(0)
}
