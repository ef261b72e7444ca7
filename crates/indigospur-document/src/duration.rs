//! Durations as people write them: `250ms`, `2.5s`, `10m`, `1h`.

use std::time::Duration;

const UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];

/// Decimals that count; a microsecond of an hour has as many.
const MOST_DECIMALS: usize = 10;

/// The duration that `text` names, to the microsecond, or `None` if it is not a number without a
/// sign, such as `2` or `2.5`, and a unit.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let unit = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = text.split_at(unit);
    let (_, millis) = UNITS.iter().find(|(name, _)| *name == unit)?;
    let (whole, part) = number.split_once('.').unwrap_or((number, "0"));
    let whole: u64 = whole.parse().ok()?;
    let part = part.get(..part.len().min(MOST_DECIMALS))?;
    let scale = 10_u64.pow(u32::try_from(part.len()).ok()?);
    let part: u64 = part.parse().ok()?;
    let micros = millis.checked_mul(1_000)?;
    let whole = whole.checked_mul(micros)?;
    Some(Duration::from_micros(
        whole.checked_add(part * micros / scale)?,
    ))
}

/// The shortest text that [`parse_duration`] reads back, in whole milliseconds.
pub fn show_duration(duration: Duration) -> String {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let (name, size) = UNITS
        .iter()
        .rev()
        .find(|(_, size)| millis > 0 && millis.is_multiple_of(*size))
        .unwrap_or(&UNITS[0]);
    format!("{}{name}", millis / size)
}
