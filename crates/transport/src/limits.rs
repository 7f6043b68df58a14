//! The network's time-outs and sizes. They bound what others may cost; nothing is decided by them.

use std::time::Duration;
use whinwall_policy::time::Span;

/// All parties are on the same network, a few milliseconds away: a dial that takes longer may be lost, and another
/// is begun. It may also be slow, so those before go on.
pub const CONNECT: Duration = Duration::from_millis(300);
/// So many dials, or requests for the list, go on beside each other: the first has more than two seconds then.
pub const DIALS: usize = 8;
/// The relay answers a call within 50 ms or never; the rest is for a busy machine.
pub const ANSWER: Duration = Duration::from_millis(150);
/// A request for news is answered like a call, but with all that stands behind the answer.
pub const NEWS_ANSWER: Duration = Duration::from_millis(500);
/// The relay gives a sign of life each second: two missed ones and some delay are silence.
pub const NEWS_SILENCE: Duration = Duration::from_millis(2500);
/// Discovery gives one every two seconds, from our own machine and at no cost, and what it has not delivered
/// counts as told after six: one missed sign and some delay are silence.
pub const LIST_SILENCE: Duration = Duration::from_millis(3000);
/// It answers at once, or is silent.
pub const LIST_ANSWER: Duration = Duration::from_millis(500);
/// From SIGTERM to our end, at most; SIGKILL comes 700 ms after it. It holds the answer to a call.
pub const ENDING: Duration = Duration::from_millis(300);
/// Whoever was told something in the end reads it from the kernel: nothing more to do for so long is the end.
pub const ANSWERED: Duration = Duration::from_millis(50);
/// A configuration that can't be used is read again for so long after its signal.
pub const READ_AGAIN: Duration = Duration::from_secs(5);
/// A watch of the list that tells no change for so long is asked for anew, beside itself: it may have missed one
/// while its signs of life went on. What discovery has to tell counts as told after six seconds.
pub const RENEW_LIST: Duration = Duration::from_secs(4);
/// A list below the version that is held comes from an agent that is behind, for so long; then it is a new count.
pub const BEHIND: Duration = Duration::from_secs(6);
/// What is read of whoever hears a last word, so that closing destroys it not on its way.
pub const LAST_READ: usize = 256 << 10;
/// Before the next attempt to reach the relay or discovery. A refused connection costs next to nothing.
pub const PAUSE: Duration = Duration::from_millis(100);
/// Whoever connects to us has joined in this time, or is let go: a second is what it may take, and three are
/// what a stranger may be kept waiting.
pub const JOIN: Duration = Duration::from_millis(1500);
/// Whoever gets an answer from us reads it in this time, or is let go.
pub const READS: Duration = Duration::from_millis(1000);
/// A collector speaks each second; one that was cut off connects anew and never ends its old connection.
pub const QUIET_PEER: Duration = Duration::from_secs(60);
/// A message to our address, or from the relay.
pub const LINE: usize = 1 << 20;
/// A message of whoever has not joined: only a name or a request for a sign of life is of use.
pub const FIRST_LINE: usize = 4 << 10;
/// A buffer that grew beyond this for one long line is given back after it.
pub const BUFFER: usize = 64 << 10;
/// A whole list of replicas.
pub const LIST: usize = 8 << 20;
/// Whoever has joined is read in pieces of this size: some hundreds of lines, a fraction of a millisecond's
/// work.
pub const CHUNK: usize = 64 << 10;
/// Chunks that wait for a reader, of all connections.
pub const CHUNKS: usize = 256;
/// What one peer may leave unread, in answers of a few bytes each.
pub const UNREAD_ANSWERS: usize = 64;
/// Lines that wait for the loop; readers stop there, and TCP holds the others back.
pub const INBOX: usize = 1024;
/// The part of our memory that lines which lack their end may take, all together, and those that wait for the
/// loop as much again.
pub const LINES_PART: usize = 8;
/// Descriptors kept for everything that is not a connection to our address.
pub const RESERVED: usize = 64;

/// In the decisions' measure of time.
pub fn span(time: Duration) -> Span {
    Span::ns(time.as_nanos() as u64)
}
