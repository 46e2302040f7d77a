//! Sets of done tasks: bitmaps in memory, stored in records as text (ranges or a bitmap).

use thiserror::Error;

/// Bits in each character of a stored bitmap.
const BITS_PER_CHARACTER: u32 = 6;
/// Characters of a stored bitmap; a character's index is the value of its bits.
const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

/// A stored set of done tasks that cannot be decoded: damaged text, or a task out of bounds.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("unreadable set of done tasks")]
pub struct InvalidDoneSet;

/// A set of task numbers below a fixed bound.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DoneSet {
    /// One bit for each number below the bound, the lowest first.
    words: Vec<u64>,
    /// Number of tasks of the job: the set's numbers are below it.
    bound: u32,
    /// Size of the set.
    count: u32,
}

impl DoneSet {
    /// Creates an empty set of numbers below `bound`.
    pub fn new(bound: u32) -> Self {
        DoneSet { words: vec![0; bound.div_ceil(64) as usize], bound, count: 0 }
    }

    /// Whether a number is in the set.
    pub fn contains(&self, n: u32) -> bool {
        self.words.get(n as usize / 64).is_some_and(|word| word >> (n % 64) & 1 == 1)
    }

    /// Adds a number. Returns false if it was in the set already or is out of bounds.
    pub fn insert(&mut self, n: u32) -> bool {
        if n >= self.bound || self.contains(n) {
            return false;
        }
        self.words[n as usize / 64] |= 1 << (n % 64);
        self.count += 1;
        true
    }

    /// Adds the numbers of another set that lie in `start..end`.
    pub fn insert_range(&mut self, other: &DoneSet, start: u32, end: u32) {
        for n in (start..end.min(self.bound)).filter(|&n| other.contains(n)) {
            self.insert(n);
        }
    }

    /// Size of the set.
    pub fn len(&self) -> u32 {
        self.count
    }

    /// Whether the set has no numbers.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Whether the set has all numbers below the bound.
    pub fn is_full(&self) -> bool {
        self.count == self.bound
    }

    /// Encodes the numbers in `start..end`, relative to `start`, as ranges
    /// (`r0-5,9`) or as a bitmap (`bAB_`), whichever is shorter.
    pub fn encode(&self, start: u32, end: u32) -> String {
        let end = end.min(self.bound);
        let bitmap_len = 1 + (end.saturating_sub(start)).div_ceil(BITS_PER_CHARACTER) as usize;
        self.encode_ranges(start, end, bitmap_len).unwrap_or_else(|| self.encode_bitmap(start, end))
    }

    /// Encodes the numbers as ranges; `None` if the text exceeds `max_len` bytes.
    fn encode_ranges(&self, start: u32, end: u32, max_len: usize) -> Option<String> {
        let mut out = String::from("r");
        let mut n = start;
        while n < end {
            if !self.contains(n) {
                n += 1;
                continue;
            }
            let first = n;
            while n < end && self.contains(n) {
                n += 1;
            }
            if out.len() > 1 {
                out.push(',');
            }
            out.push_str(&(first - start).to_string());
            if n - first > 1 {
                out.push('-');
                out.push_str(&(n - 1 - start).to_string());
            }
            if out.len() > max_len {
                return None;
            }
        }
        Some(out)
    }

    /// Encodes the numbers as a bitmap, lowest bit first.
    fn encode_bitmap(&self, start: u32, end: u32) -> String {
        let mut out = String::from("b");
        for first in (start..end).step_by(BITS_PER_CHARACTER as usize) {
            let bits = (0..BITS_PER_CHARACTER)
                .filter(|i| first + i < end && self.contains(first + i))
                .fold(0, |b, i| b | 1 << i);
            out.push(char::from(DIGITS[bits as usize & 63]));
        }
        out
    }

    /// Adds the numbers that [`DoneSet::encode`] encoded relative to `start`.
    ///
    /// # Errors
    ///
    /// [`InvalidDoneSet`] if the text is damaged or names a number out of bounds. Numbers
    /// before the damage may have been added already.
    pub fn decode_into(&mut self, start: u32, text: &str) -> Result<(), InvalidDoneSet> {
        let mut add = |n: u32| {
            let n = start.checked_add(n).filter(|&n| n < self.bound).ok_or(InvalidDoneSet)?;
            self.insert(n);
            Ok(())
        };
        if let Some(ranges) = text.strip_prefix('r') {
            for range in ranges.split(',').filter(|r| !r.is_empty()) {
                let (first, last) = range.split_once('-').unwrap_or((range, range));
                let first: u32 = first.parse().map_err(|_| InvalidDoneSet)?;
                let last: u32 = last.parse().map_err(|_| InvalidDoneSet)?;
                (first..=last).try_for_each(&mut add)?;
            }
            Ok(())
        } else if let Some(bitmap) = text.strip_prefix('b') {
            for (offset, digit) in (0u32..).step_by(BITS_PER_CHARACTER as usize).zip(bitmap.bytes()) {
                let bits = DIGITS.iter().position(|&d| d == digit).ok_or(InvalidDoneSet)?;
                (0..BITS_PER_CHARACTER).filter(|i| bits >> i & 1 == 1).try_for_each(|i| add(offset + i))?;
            }
            Ok(())
        } else {
            Err(InvalidDoneSet)
        }
    }
}

#[cfg(test)]
mod tests;
