//! An instance whose fabric returns marks, so that instances need no agreement
//! on flows.
//!
//! | thread | duty | waits for |
//! |---|---|---|
//! | main | callers' packets and all decisions on them | packets, the inbox, the next thing due |
//! | `store` | follows the store, while this instance is a reader | the store |
//! | `pictures` | tells other instances all that is known here, asks them for what is lacking | other instances |
//! | `ready` | tells routers whether the instance is ready | a router |
//! | `ask` | asks targets whether they answer, from the first question on | the targets |
//!
//! A thread `log` writes log lines, which go to it through a bounded ring
//! ([`sink`](crate::sink)). The main thread alone has the flows. The others hand it values through the
//! [`Inbox`](inbox::Inbox) and never wait for it.

pub mod asker;
mod current;
pub mod inbox;
mod instance;
pub mod lines;
mod meters;
mod output;
mod peers;
pub mod pictures;
mod shown;
mod store;

pub use instance::{RunError, run};
