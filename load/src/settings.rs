//! The numbers that operators may set for the decisions, with defaults.

use medlarspur_lib::time::Millis;

/// What operators may set. The defaults admit up to the targets' slots and
/// connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Room kept for requests, in percent of slots and connections.
    pub reserve: u8,
    /// What one caller may take of a busy service, in percent.
    pub caller: u8,
    /// What one caller network (a /24) may take of a busy service, in percent.
    pub network: u8,
    /// How many uploads are given to a target that has no requests, those that
    /// wait in it included, in percent of its slots.
    pub booking: u16,
    /// The longest that an opening is held.
    pub patience: Millis,
    /// Repeated tries let in beside new ones while busy, in percent of these.
    pub retries: u8,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            reserve: 25,
            caller: 10,
            network: 25,
            booking: 200,
            patience: Millis(250),
            retries: 20,
        }
    }
}
