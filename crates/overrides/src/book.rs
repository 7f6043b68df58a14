//! All overrides of a controller. A change is proposed, kept on disk by whoever can, and only then made: until
//! then nothing of it is there. Ends need no disk: they come with the time.

use crate::record::{check, End, Kind, Order, Origin, Override};
use crate::timeline::{Reading, Stamp, Timeline};
use crate::{saved, words};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use whinwall_policy::api::OverrideId;
use whinwall_policy::time::{Moment, Span};

/// How much there may be; the operators' file can say otherwise.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    pub longest: Span,
    pub most: usize,
    /// Ended ones stay listed for so long, and no more of them than may stand.
    pub ended_kept: Span,
}

impl Default for Bounds {
    fn default() -> Self {
        Bounds { longest: Span::ms(24 * 3_600_000), most: 1000, ended_kept: Span::ms(24 * 3_600_000) }
    }
}

/// Shorter ones would be over before all proxies have heard of them.
const SHORTEST: Span = Span::ms(1000);

/// One that stands in the operators' file, with its end by the wall's clock.
#[derive(Clone, Debug, PartialEq)]
pub struct FileOrder {
    pub id: String,
    pub kind: Kind,
    pub author: String,
    pub reason: String,
    pub until: Moment,
}

/// Records to keep and to drop on disk, and to make the book's once they are there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Change {
    pub puts: Vec<Override>,
    pub drops: Vec<OverrideId>,
}

impl Change {
    pub fn is_empty(&self) -> bool {
        self.puts.is_empty() && self.drops.is_empty()
    }
}

#[derive(Debug, PartialEq)]
pub enum Proposal {
    /// It was asked for before, and is as it is: standing or ended.
    Known(OverrideId),
    New(Change),
}

/// Why an order is not taken.
#[derive(Clone, Debug, PartialEq)]
pub enum Refused {
    /// A part of it can't be.
    Wrong {
        part: &'static str,
        why: String,
    },
    /// The id belongs to another one.
    Taken {
        id: String,
    },
    Full {
        most: usize,
    },
    Unknown {
        id: String,
    },
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Refused::Wrong { part, why } => write!(f, "{part}: {why}"),
            Refused::Taken { id } => write!(f, "{id} is another override already"),
            Refused::Full { most } => write!(f, "{most} overrides stand already, which is the most"),
            Refused::Unknown { id } => write!(f, "there is no override {id}"),
        }
    }
}

pub struct Book {
    bounds: Bounds,
    line: Timeline,
    all: BTreeMap<OverrideId, Override>,
    /// The newest of each id.
    ids: BTreeMap<String, OverrideId>,
    /// Those that stand, by their ends.
    ends: BTreeSet<(Moment, OverrideId)>,
    next: OverrideId,
    /// Ended ones that are still on disk though nobody lists them any more.
    to_drop: Vec<OverrideId>,
    /// Those that ended and whose end is not on disk yet.
    to_note: BTreeSet<OverrideId>,
}

impl Book {
    /// A book without records that keeps its times by this line.
    pub fn open(bounds: Bounds, line: Timeline) -> Self {
        let (all, ids, ends, to_note) = Default::default();
        Book { bounds, line, all, ids, ends, next: 1, to_drop: Vec::new(), to_note }
    }

    /// What was kept on disk, read again at a start; records that can't be read are left out and told of.
    /// What ended meanwhile has ended, and all has where the clock can't be trusted.
    pub fn restore(
        bounds: Bounds,
        now: Moment,
        reading: &Reading,
        stamp: Option<&Stamp>,
        kept: &[(OverrideId, Vec<u8>)],
    ) -> (Self, Vec<String>) {
        let (line, sure) = Timeline::resume(now, reading, stamp);
        let mut book = Book::open(bounds, line);
        let mut wrong = Vec::new();
        for (number, bytes) in kept {
            book.next = book.next.max(number.saturating_add(1));
            match saved::read(bytes, &line) {
                Ok(one) if one.number == *number => book.take_in(one),
                Ok(one) => wrong.push(format!("record {number} says that it is {}", one.number)),
                Err(why) => wrong.push(format!("record {number}: {why}")),
            }
        }
        if !sure {
            let standing: Vec<_> = book.ends.iter().map(|(_, number)| *number).collect();
            for number in standing {
                book.end(number, now, End::ClockWentBack);
            }
        }
        book.expire(now);
        book.prune(now);
        (book, wrong)
    }

    pub fn bounds(&self) -> &Bounds {
        &self.bounds
    }

    pub fn rebound(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    pub fn line(&self) -> &Timeline {
        &self.line
    }

    fn take_in(&mut self, one: Override) {
        let number = one.number;
        self.next = self.next.max(number.saturating_add(1));
        if let Some(former) = self.all.get(&number) {
            self.ends.remove(&(former.ends, number));
        }
        if one.stands() {
            self.ends.insert((one.ends, number));
        }
        let newest = self.ids.entry(one.id.clone()).or_insert(number);
        *newest = number.max(*newest);
        self.all.insert(number, one);
    }

    fn end(&mut self, number: OverrideId, at: Moment, why: End) {
        let Some(one) = self.all.get_mut(&number).filter(|one| one.stands()) else { return };
        self.ends.remove(&(one.ends, number));
        one.ended = Some((at, why));
        self.to_note.insert(number);
    }

    /// Those that stand, the oldest first.
    pub fn standing(&self) -> impl Iterator<Item = &Override> {
        self.all.values().filter(|one| one.stands())
    }

    /// All that are listed, the oldest first.
    pub fn listed(&self) -> impl Iterator<Item = &Override> {
        self.all.values()
    }

    pub fn get(&self, id: &str) -> Option<&Override> {
        self.all.get(self.ids.get(id)?)
    }

    pub fn number(&self, number: OverrideId) -> Option<&Override> {
        self.all.get(&number)
    }

    pub fn next_end(&self) -> Option<Moment> {
        self.ends.first().map(|(at, _)| *at)
    }

    /// Ends what is over; true where something was. An end lies where it was meant to be, however late it is
    /// noticed.
    pub fn expire(&mut self, now: Moment) -> bool {
        let mut any = false;
        while let Some((at, number)) = self.ends.first().copied().filter(|(at, _)| *at <= now) {
            self.end(number, at, End::Expired);
            any = true;
        }
        any
    }

    /// Takes ended ones off the list that are old, or too many.
    pub fn prune(&mut self, now: Moment) {
        let mut ended: Vec<_> =
            self.all.values().filter_map(|one| Some((one.ended.as_ref()?.0, one.number))).collect();
        ended.sort_unstable();
        let too_many = ended.len().saturating_sub(self.bounds.most);
        for (at_place, (at, number)) in ended.into_iter().enumerate() {
            // One of the file's has to be known for as long as the file has it, or it would come again.
            let from_file = self.all[&number].origin == Origin::File;
            if at_place < too_many || (now - at > self.bounds.ended_kept && !from_file) {
                self.drop_record(number);
            }
        }
    }

    fn drop_record(&mut self, number: OverrideId) {
        if let Some(one) = self.all.remove(&number) {
            if self.ids.get(&one.id) == Some(&number) {
                self.ids.remove(&one.id);
            }
            self.to_drop.push(number);
            self.to_note.remove(&number);
        }
    }

    /// What would become of this order; nothing changes.
    pub fn propose(&self, now: Moment, order: &Order) -> Result<Proposal, Refused> {
        let Order { id, kind, author, reason, lasts } = order;
        check(id, kind, author, reason).map_err(|(part, why)| Refused::Wrong { part, why })?;
        if let Some(known) = self.get(id) {
            let same = known.is_what(kind, author, reason);
            return same.then_some(Proposal::Known(known.number)).ok_or(Refused::Taken { id: id.clone() });
        }
        let wrong = |why| Err(Refused::Wrong { part: "for", why });
        if *lasts < SHORTEST {
            return wrong(format!("shorter than {}", words::write_span(SHORTEST)));
        }
        if *lasts > self.bounds.longest {
            return wrong(format!("longer than {}, the longest", words::write_span(self.bounds.longest)));
        }
        let one = self.new_one(now, order, Origin::Request, now + *lasts, None);
        self.with_replaced(now, one).map(Proposal::New)
    }

    fn new_one(
        &self,
        now: Moment,
        order: &Order,
        origin: Origin,
        ends: Moment,
        until_wall: Option<Moment>,
    ) -> Override {
        Override {
            number: self.next,
            id: order.id.clone(),
            kind: order.kind.clone(),
            author: order.author.clone(),
            reason: order.reason.clone(),
            origin,
            set: now,
            ends,
            until_wall,
            ended: None,
        }
    }

    /// Together with the ends of those whose place it takes.
    fn with_replaced(&self, now: Moment, one: Override) -> Result<Change, Refused> {
        let over = self.standing().filter(|other| one.kind.replaces(&other.kind) || other.id == one.id);
        let ended = |other: &Override| {
            let by = one.id.clone();
            Override { ended: Some((now, End::Replaced { by })), ..other.clone() }
        };
        let mut puts: Vec<_> = over.map(ended).collect();
        if self.ends.len() + 1 - puts.len().min(self.ends.len()) > self.bounds.most {
            return Err(Refused::Full { most: self.bounds.most });
        }
        puts.push(one);
        Ok(Change { puts, drops: Vec::new() })
    }

    /// The end of one by somebody's word. One that has ended stays as it is.
    pub fn propose_clear(&self, now: Moment, id: &str, by: &str) -> Result<Proposal, Refused> {
        let one = self.get(id).ok_or_else(|| Refused::Unknown { id: id.into() })?;
        if !one.stands() {
            return Ok(Proposal::Known(one.number));
        }
        let over = Override { ended: Some((now, End::Cleared { by: by.into() })), ..one.clone() };
        Ok(Proposal::New(Change { puts: vec![over], drops: Vec::new() }))
    }

    /// The change is made; `kept` says where it is on disk too.
    pub fn make(&mut self, change: Change) {
        for one in change.puts {
            // It may have expired while the disk was at work.
            let over = self.all.get(&one.number).is_some_and(|known| !known.stands());
            if !over {
                self.to_note.insert(one.number);
                self.take_in(one);
            }
        }
    }

    /// A change that the disk refused is not made; but what was new in it may be there all the same, and must
    /// not come up at the next start.
    pub fn give_up(&mut self, change: &Change) {
        for one in change.puts.iter().filter(|one| !self.all.contains_key(&one.number)) {
            self.next = self.next.max(one.number.saturating_add(1));
            self.to_drop.push(one.number);
        }
    }

    /// What the disk lacks: changes that it was not asked for, ends that have come, and records that nobody
    /// needs.
    pub fn unkept(&self) -> Change {
        let puts = self.to_note.iter().filter_map(|number| self.all.get(number)).cloned().collect();
        Change { puts, drops: self.to_drop.clone() }
    }

    /// This is on disk now.
    pub fn kept(&mut self, change: &Change) {
        // What has changed again meanwhile is still to be kept.
        for one in change.puts.iter().filter(|one| self.all.get(&one.number) == Some(*one)) {
            self.to_note.remove(&one.number);
        }
        self.to_drop.retain(|number| !change.drops.contains(number));
    }

    /// What the operators' file says now, the wall's clock being there: new ones come, changed ones take
    /// their own place, and those that it no longer has end. One that was cleared stays cleared for as long
    /// as the file has it unchanged. Nothing changes where one can't be.
    pub fn propose_file(&self, now: Moment, wall: Moment, orders: &[FileOrder]) -> Result<Change, Refused> {
        let mut ahead = Book { bounds: self.bounds.clone(), ..Book::open(Bounds::default(), self.line) };
        self.all.values().cloned().for_each(|one| ahead.take_in(one));
        ahead.next = self.next;
        let mut change = Change::default();
        let mut put = |ahead: &mut Book, part: Change| {
            part.puts.iter().cloned().for_each(|one| ahead.take_in(one));
            for one in part.puts {
                change.puts.retain(|other: &Override| other.number != one.number);
                change.puts.push(one);
            }
        };
        let named: BTreeSet<&str> = orders.iter().map(|order| order.id.as_str()).collect();
        let gone: Vec<_> = ahead
            .standing()
            .filter(|one| one.origin == Origin::File && !named.contains(one.id.as_str()))
            .map(|one| Override {
                ended: Some((now, End::Cleared { by: "the operators' file".into() })),
                ..one.clone()
            })
            .collect();
        put(&mut ahead, Change { puts: gone, drops: Vec::new() });
        for FileOrder { id, kind, author, reason, until } in orders {
            check(id, kind, author, reason).map_err(|(part, why)| Refused::Wrong { part, why })?;
            let left = *until - wall;
            if let Some(known) = ahead.get(id) {
                if known.origin == Origin::Request {
                    return Err(Refused::Taken { id: id.clone() });
                }
                if known.is_what(kind, author, reason) && known.until_wall == Some(*until) {
                    continue;
                }
            }
            // One that was over before it was read never stands.
            if left == Span::default() {
                continue;
            }
            if left > self.bounds.longest {
                let longest = words::write_span(self.bounds.longest);
                let why = format!("{id} ends later than {longest} from now, the longest");
                return Err(Refused::Wrong { part: "until", why });
            }
            let (id, kind) = (id.clone(), kind.clone());
            let order = Order { id, kind, author: author.clone(), reason: reason.clone(), lasts: left };
            let one = ahead.new_one(now, &order, Origin::File, now + left, Some(*until));
            let part = ahead.with_replaced(now, one)?;
            put(&mut ahead, part);
        }
        Ok(change)
    }

    /// The wall's clock is there now. Who named an end by it has it no later than it says, and no later than
    /// it would have been: a step back prolongs nothing.
    pub fn wall_told(&mut self, now: Moment, wall: Moment) {
        let sooner = |one: &Override| {
            let ends = now + (one.until_wall? - wall);
            (one.stands() && ends < one.ends).then_some((one.number, ends))
        };
        let sooner: Vec<_> = self.all.values().filter_map(sooner).collect();
        for (number, ends) in sooner {
            if let Some(one) = self.all.get_mut(&number) {
                self.ends.remove(&(one.ends, number));
                one.ends = ends;
                self.ends.insert((ends, number));
            }
        }
    }
}
