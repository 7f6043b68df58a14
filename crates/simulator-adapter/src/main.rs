//! The policy on the simulator's wire format: batches of events on standard input, replies on standard output.
//! Decodes and encodes; decides nothing.
#![warn(clippy::unwrap_used)]

mod action;
mod adapter;
mod event;

use adapter::Adapter;
use std::io::{self, BufRead, Write};

fn main() -> io::Result<()> {
    let mut adapter = Adapter::default();
    let mut output = io::BufWriter::new(io::stdout().lock());
    for (index, line) in io::stdin().lock().lines().enumerate() {
        let reply = adapter.batch(&line?).map_err(|error| {
            io::Error::new(io::ErrorKind::InvalidData, format!("line {}: {error}", index + 1))
        })?;
        writeln!(output, "{reply}")?;
        output.flush()?;
    }
    Ok(())
}
