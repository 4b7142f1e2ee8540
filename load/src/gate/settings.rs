//! Operator settings of the decisions, with defaults.

use medlarspur_lib::time::Millis;

/// Operator settings. The defaults admit up to the targets' slots and connections.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// Capacity reserved for requests, in percent of slots and connections.
    pub reserve: u8,
    /// Maximum share of one caller in a busy service, in percent.
    pub caller: u8,
    /// Maximum share of one caller network (a /24) in a busy service, in percent.
    pub network: u8,
    /// Maximum number of uploads at a target of a service without requests, waiting ones
    /// included, in percent of its slots.
    pub booking: u16,
    /// Maximum time that an opening is held.
    pub patience: Millis,
    /// Repeated openings admitted while busy, in percent of the new ones.
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
