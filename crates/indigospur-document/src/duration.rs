//! Durations in settings and rule sets: `250ms`, `2.5s`, `10m`, `1h`.

use std::time::Duration;

/// Units with their length in milliseconds.
const UNITS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];

/// Maximum number of decimals that are read; enough for a microsecond as a fraction of an hour.
const MAX_DECIMALS: usize = 10;

/// Parses an unsigned decimal number followed by a unit (`ms`, `s`, `m` or `h`), such as `2s` or
/// `2.5s`. Truncates to whole microseconds. Returns `None` for any other text and on overflow.
pub fn parse_duration(text: &str) -> Option<Duration> {
    let unit_start = text.find(|c: char| !c.is_ascii_digit() && c != '.')?;
    let (number, unit) = text.split_at(unit_start);
    let (_, millis) = UNITS.iter().find(|(name, _)| *name == unit)?;
    let (whole, fraction) = number.split_once('.').unwrap_or((number, "0"));
    let whole: u64 = whole.parse().ok()?;
    let fraction = fraction.get(..fraction.len().min(MAX_DECIMALS))?;
    let scale = 10_u64.pow(u32::try_from(fraction.len()).ok()?);
    let fraction: u64 = fraction.parse().ok()?;
    let micros = millis.checked_mul(1_000)?;
    let whole = whole.checked_mul(micros)?;
    Some(Duration::from_micros(
        whole.checked_add(fraction * micros / scale)?,
    ))
}

/// Formats a duration, truncated to whole milliseconds, as an integer with the largest unit that
/// divides it. [`parse_duration`] parses the result.
pub fn format_duration(duration: Duration) -> String {
    let millis = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let (name, size) = UNITS
        .iter()
        .rev()
        .find(|(_, size)| millis > 0 && millis.is_multiple_of(*size))
        .unwrap_or(&UNITS[0]);
    format!("{}{name}", millis / size)
}
