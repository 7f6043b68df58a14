//! Runs the policy with the simulator's wire format: batches of events on standard input, replies on standard
//! output. It only decodes and encodes; all decisions are made by the policy.
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
        let reply = adapter.process_batch(&line?).map_err(|error| {
            io::Error::new(io::ErrorKind::InvalidData, format!("line {}: {error}", index + 1))
        })?;
        writeln!(output, "{reply}")?;
        output.flush()?;
    }
    Ok(())
}
