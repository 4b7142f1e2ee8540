//! An instance for a fabric that returns marks, which make agreement between instances
//! on flows unnecessary.
//!
//! | thread | task | waits for |
//! |---|---|---|
//! | main | forwards callers' packets, decides on flows | packets, the inbox, the next deadline |
//! | `store` | follows the store, while this instance is a reader | the store |
//! | `pictures` | sends updates to other instances and pulls missing ones from them | other instances |
//! | `ready` | answers routers' health checks | a router |
//! | `ask` | probes targets; started by the first probe | the targets |
//! | `log` | writes log lines from a bounded queue ([`sink`](crate::sink)) | log lines |
//!
//! The flow table belongs to the main thread. The other threads send it values through the
//! [`Inbox`](inbox::Inbox) without waiting.

pub mod asker;
mod current;
pub mod inbox;
mod instance;
pub mod lines;
mod meters;
mod output;
pub mod pause;
mod peers;
pub mod pictures;
mod status;
mod store;

pub use instance::{RunError, run};
