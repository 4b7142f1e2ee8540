//! A connection as a target sees it.

use crate::content::take_line;
use medlarspur_lib::bundle::Class;
use std::collections::VecDeque;

/// One connection of a target.
pub(crate) struct Session {
    /// What kind of work it carries.
    pub class: Class,
    /// What has arrived and is not read yet.
    pub input: Vec<u8>,
    /// What is still to be sent.
    pub output: VecDeque<u8>,
    /// The id of the work, once its first line has come.
    pub id: Option<String>,
    /// How many lines of a feed were sent.
    pub lines: u64,
    /// The bytes that have to come after the first line.
    pub expected: Option<usize>,
    /// Whether the whole answer is in the output.
    pub answered: bool,
}

impl Session {
    /// A connection on which nothing has come yet.
    pub fn new(class: Class) -> Self {
        Self {
            class,
            input: Vec::new(),
            output: VecDeque::new(),
            id: None,
            lines: 0,
            expected: None,
            answered: false,
        }
    }

    /// Queues a line.
    pub fn queue_line(&mut self, line: &str) {
        self.output.extend(line.bytes());
    }

    /// Reads `REQ id` or `UP id length`; whether it was there.
    pub fn read_header(&mut self) -> bool {
        let Some(line) = take_line(&mut self.input) else {
            return false;
        };
        let mut words = line.split(' ').skip(1);
        self.id = Some(words.next().unwrap_or_default().into());
        self.expected = Some(words.next().and_then(|word| word.parse().ok()).unwrap_or(0));
        true
    }
}
