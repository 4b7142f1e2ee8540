//! What callers got.

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
    /// Refusals whose opening, but no work, had reached a target.
    pub crossed: u64,
    /// Refusals that came after the caller was connected by another copy.
    pub ignored: u64,
    pub double_runs: u64,
    /// Openings that a target itself turned away.
    pub overrun: u64,
    /// When which target was placements an opening.
    placed: Vec<(u64, usize)>,
    /// When work that a caller still waited for duration how many slot-ms.
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

    /// Useful slot time while loaded, as a part of what there was.
    pub fn goodput(&self, scene: &Scene) -> f64 {
        let within = |&(at, duration): &(u64, u64)| {
            let start = at.max(scene.loaded.start);
            let end = (at + duration).min(scene.loaded.end);
            end.saturating_sub(start)
        };
        self.useful.iter().map(within).sum::<u64>() as f64 / scene.capacity()
    }

    /// The part of the work that began while loaded and got through, of
    /// callers that `who` picks.
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

    /// A quantile of the wait from the last opening to a slot, in milliseconds.
    pub fn wait(&self, scene: &Scene, class: Class, quantile: f64) -> u64 {
        let is_counted = |w: &&Work| w.class == class && scene.loaded.contains(&w.start);
        quantile_of(self.works.iter().filter(is_counted).filter_map(Work::wait).collect(), quantile)
    }

    /// A quantile of the time to a refusal, in milliseconds.
    pub fn refusal_time(&self, quantile: f64) -> u64 {
        quantile_of(self.refusals.clone(), quantile)
    }

    /// Largest over mean, and coefficient of variation, of what targets were
    /// placements in the second half of the loaded time.
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

    /// Seconds after the load until work that begins then gets through at the
    /// first try in 300 ms, but for one in a hundred, for three seconds on.
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
    /// The wait from the last opening to a slot, once it got through.
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
