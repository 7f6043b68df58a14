//! Takes what is asked of the book, has it kept on disk, and answers: one change of the disk at a time, and
//! what it refuses has not been. What ends an override never waits for a disk.

use crate::book::{Book, Bounds, Change, FileOrder, Proposal, Refused};
use crate::record::Order;
use crate::saved;
use crate::timeline::{Reading, Timeline};
use std::collections::VecDeque;
use std::mem::take;
use whinwall_policy::api::OverrideId;
use whinwall_policy::time::{Moment, Span};

/// Whoever waits for an answer.
pub type Ticket = u64;

/// Orders that wait for the disk; more are turned away at once.
const ROOM: usize = 256;
/// Before what the disk refused is tried again.
const PAUSE: Span = Span::ms(5000);
/// A stamp is never older: so much may a step of the wall's clock that nobody saw prolong at the most.
const STAMP_EACH: Span = Span::ms(60_000);

#[derive(Clone, Debug, PartialEq)]
pub enum Ask {
    Set(Order),
    Clear { id: String, by: String },
}

/// Whether it would outlive the program.
#[derive(Clone, Debug, PartialEq)]
pub enum Kept {
    OnDisk,
    /// The operators' file names no folder.
    Nowhere,
    /// The disk refuses; it is tried again.
    NotYet(String),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// `again` where it was so already.
    Set {
        number: OverrideId,
        again: bool,
        kept: Kept,
    },
    Cleared {
        number: OverrideId,
        again: bool,
        kept: Kept,
    },
    Refused(Refused),
    /// The disk refuses: nothing has changed.
    NotKept(String),
    /// Too many wait already: nothing has changed.
    Busy,
}

/// What is to be done outside.
#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// All of it or nothing, and a stamp by this line; `kept` is told how it went.
    Keep {
        serial: u64,
        puts: Vec<(OverrideId, Vec<u8>)>,
        drops: Vec<OverrideId>,
        line: Timeline,
    },
    Answer {
        ticket: Ticket,
        answer: Answer,
    },
    Note(String),
}

enum Store {
    Nowhere,
    Unread(String),
    Open,
}

/// What the disk is at work on.
struct Flight {
    serial: u64,
    set: Option<(Ticket, Change)>,
    rest: Change,
    cleared: Vec<(Ticket, OverrideId)>,
}

pub struct Clerk {
    book: Book,
    store: Store,
    orders: VecDeque<(Ticket, Order)>,
    /// Cleared already; whoever asked waits for the disk.
    cleared: Vec<(Ticket, OverrideId)>,
    flight: Option<Flight>,
    serial: u64,
    /// What the operators' file said, once it was read.
    file: Option<Vec<FileOrder>>,
    retry: Option<Moment>,
    stamp_due: Moment,
    refusing: bool,
    changed: bool,
    acts: Vec<Act>,
}

impl Clerk {
    /// Without a store all is lost with the program; with one, orders wait until it was read.
    pub fn start(now: Moment, reading: &Reading, bounds: Bounds, has_store: bool) -> Self {
        let store = if has_store { Store::Unread("it is not read yet".into()) } else { Store::Nowhere };
        Clerk {
            book: Book::open(bounds, Timeline::resume(now, reading, None).0),
            store,
            orders: VecDeque::new(),
            cleared: Vec::new(),
            flight: None,
            serial: 0,
            file: None,
            retry: None,
            stamp_due: now,
            refusing: false,
            changed: false,
            acts: Vec::new(),
        }
    }

    pub fn book(&self) -> &Book {
        &self.book
    }

    /// Whether what stands is other than when this was last asked.
    pub fn has_changed(&mut self) -> bool {
        take(&mut self.changed)
    }

    pub fn acts(&mut self) -> Vec<Act> {
        take(&mut self.acts)
    }

    pub fn ask(&mut self, now: Moment, ticket: Ticket, ask: Ask) {
        match ask {
            Ask::Set(_) if self.orders.len() >= ROOM => self.answer(ticket, Answer::Busy),
            Ask::Set(order) => self.orders.push_back((ticket, order)),
            Ask::Clear { id, by } => self.clear(now, ticket, &id, &by),
        }
        self.work(now);
    }

    fn answer(&mut self, ticket: Ticket, answer: Answer) {
        self.acts.push(Act::Answer { ticket, answer });
    }

    fn clear(&mut self, now: Moment, ticket: Ticket, id: &str, by: &str) {
        let (number, again) = match self.book.propose_clear(now, id, by) {
            Err(refused) => return self.answer(ticket, Answer::Refused(refused)),
            Ok(Proposal::Known(number)) => (number, true),
            Ok(Proposal::New(change)) => {
                let number = change.puts.first().map_or(0, |one| one.number);
                self.book.make(change);
                self.changed = true;
                (number, false)
            }
        };
        let kept = match &self.store {
            Store::Nowhere => Kept::Nowhere,
            Store::Unread(why) => Kept::NotYet(why.clone()),
            Store::Open if again => Kept::OnDisk,
            Store::Open if self.cleared.len() < ROOM => return self.cleared.push((ticket, number)),
            Store::Open => Kept::NotYet("too many wait for the disk".into()),
        };
        self.answer(ticket, Answer::Cleared { number, again, kept });
    }

    /// The store was read. What is standing only here, by the file, is said again to the book that was kept.
    pub fn restored(
        &mut self,
        now: Moment,
        reading: &Reading,
        stamp: Option<&[u8]>,
        records: &[(OverrideId, Vec<u8>)],
    ) {
        let stamp = stamp.map(saved::read_stamp).transpose().unwrap_or_else(|why| {
            self.note(format!("the store's stamp can't be read: {why}; ends count by the wall's clock"));
            None
        });
        let bounds = self.book.bounds().clone();
        let (book, wrong) = Book::restore(bounds, now, reading, stamp.as_ref(), records);
        wrong
            .into_iter()
            .for_each(|why| self.note(format!("an override can't be read and is left out: {why}")));
        self.book = book;
        let (standing, listed) = (self.book.standing().count(), self.book.listed().count());
        self.note(format!("the store is read: {standing} overrides stand, {} have ended", listed - standing));
        (self.store, self.changed, self.flight) = (Store::Open, true, None);
        self.book.wall_told(now, reading.wall);
        if let Some(file) = self.file.take() {
            if let Err(refused) = self.file_said(now, reading.wall, self.book.bounds().clone(), file) {
                self.note(format!("the operators' file: {refused}; none of its overrides stands"));
            }
        }
        self.work(now);
    }

    pub fn not_read(&mut self, why: &str) {
        if !matches!(&self.store, Store::Unread(known) if known == why) {
            self.note(format!("the store can't be used: {why}; orders are refused until it can"));
        }
        self.store = Store::Unread(why.into());
    }

    fn note(&mut self, text: String) {
        self.acts.push(Act::Note(format!("overrides: {text}")));
    }

    /// What the operators' file says now; where it can't be, all stays as it was.
    pub fn file_said(
        &mut self,
        now: Moment,
        wall: Moment,
        bounds: Bounds,
        orders: Vec<FileOrder>,
    ) -> Result<(), Refused> {
        let former = self.book.bounds().clone();
        self.book.rebound(bounds);
        match self.book.propose_file(now, wall, &orders) {
            Ok(change) => {
                self.changed |= !change.is_empty();
                self.book.make(change);
                self.file = Some(orders);
                self.work(now);
                Ok(())
            }
            Err(refused) => {
                self.book.rebound(former);
                Err(refused)
            }
        }
    }

    /// The wall's clock was stepped.
    pub fn wall_told(&mut self, now: Moment, wall: Moment) {
        self.book.wall_told(now, wall);
        self.stamp_due = now;
        self.tick(now);
    }

    /// Ends what is over, and sees to the disk.
    pub fn tick(&mut self, now: Moment) {
        if self.book.expire(now) {
            self.changed = true;
            self.book.prune(now);
        }
        self.work(now);
    }

    /// When `tick` is needed next.
    pub fn next(&self) -> Option<Moment> {
        let disk = matches!(self.store, Store::Open) && self.flight.is_none();
        let retry = self.retry.filter(|_| disk && !self.book.unkept().is_empty());
        let stamp = (disk && self.book.next_end().is_some())
            .then_some(self.stamp_due.max(self.retry.unwrap_or_default()));
        [self.book.next_end(), retry, stamp].into_iter().flatten().min()
    }

    fn work(&mut self, now: Moment) {
        while self.flight.is_none() {
            let Some((ticket, order)) = self.orders.pop_front() else { break };
            match (&self.store, self.book.propose(now, &order)) {
                (_, Err(refused)) => self.answer(ticket, Answer::Refused(refused)),
                (Store::Unread(why), _) => {
                    let answer = Answer::NotKept(why.clone());
                    self.answer(ticket, answer);
                }
                (Store::Open, Ok(Proposal::New(change))) => self.fly(Some((ticket, change))),
                (Store::Open, Ok(Proposal::Known(number))) => {
                    self.answer(ticket, Answer::Set { number, again: true, kept: Kept::OnDisk });
                }
                (Store::Nowhere, Ok(proposal)) => {
                    let (number, again) = match proposal {
                        Proposal::Known(number) => (number, true),
                        Proposal::New(change) => {
                            let number = change.puts.last().map_or(0, |one| one.number);
                            self.book.make(change);
                            self.changed = true;
                            (number, false)
                        }
                    };
                    self.answer(ticket, Answer::Set { number, again, kept: Kept::Nowhere });
                }
            }
        }
        match self.store {
            // Nobody will ever ask for it.
            Store::Nowhere => {
                let all = self.book.unkept();
                self.book.kept(&all);
            }
            Store::Open if self.flight.is_none() => {
                let may = self.retry.is_none_or(|at| at <= now);
                let stamps = self.stamp_due <= now && self.book.next_end().is_some();
                if !self.cleared.is_empty() || (may && (stamps || !self.book.unkept().is_empty())) {
                    self.fly(None);
                }
            }
            _ => {}
        }
    }

    fn fly(&mut self, set: Option<(Ticket, Change)>) {
        self.serial += 1;
        let rest = self.book.unkept();
        let line = *self.book.line();
        let new = set.iter().flat_map(|(_, change)| &change.puts);
        let puts = rest.puts.iter().chain(new).map(|one| (one.number, saved::write(one, &line))).collect();
        let (drops, cleared) = (rest.drops.clone(), take(&mut self.cleared));
        self.acts.push(Act::Keep { serial: self.serial, puts, drops, line });
        self.flight = Some(Flight { serial: self.serial, set, rest, cleared });
    }

    /// How it went with what was to be kept. An answer that nobody waits for any more says nothing.
    pub fn kept(&mut self, now: Moment, serial: u64, outcome: Result<(), String>) {
        let Some(flight) = self.flight.take_if(|flight| flight.serial == serial) else { return };
        let kept = match &outcome {
            Ok(()) => {
                self.book.kept(&flight.rest);
                (self.retry, self.stamp_due) = (None, now + STAMP_EACH);
                if take(&mut self.refusing) {
                    self.note("the store works again".into());
                }
                Kept::OnDisk
            }
            Err(why) => {
                self.retry = Some(now + PAUSE);
                if !std::mem::replace(&mut self.refusing, true) {
                    self.note(format!("the store refuses: {why}"));
                }
                Kept::NotYet(why.clone())
            }
        };
        if let Some((ticket, change)) = flight.set {
            let number = change.puts.last().map_or(0, |one| one.number);
            match outcome {
                Ok(()) => {
                    self.book.make(change.clone());
                    self.book.kept(&change);
                    self.changed = true;
                    self.answer(ticket, Answer::Set { number, again: false, kept: Kept::OnDisk });
                }
                Err(why) => {
                    self.book.give_up(&change);
                    self.answer(ticket, Answer::NotKept(why));
                }
            }
        }
        for (ticket, number) in flight.cleared {
            let kept = kept.clone();
            self.answer(ticket, Answer::Cleared { number, again: false, kept });
        }
        self.tick(now);
    }
}
