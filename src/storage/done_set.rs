//! Sets of task numbers, kept compactly in memory and in records.

use thiserror::Error;

/// Text of six bits a character for bitmaps.
const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_";

#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("unreadable set of done tasks")]
pub struct InvalidDoneSet;

/// A set of numbers below a fixed bound.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DoneSet {
    words: Vec<u64>,
    bound: u32,
    count: u32,
}

impl DoneSet {
    pub fn new(bound: u32) -> Self {
        DoneSet { words: vec![0; bound.div_ceil(64) as usize], bound, count: 0 }
    }

    pub fn contains(&self, n: u32) -> bool {
        self.words.get(n as usize / 64).is_some_and(|word| word >> (n % 64) & 1 == 1)
    }

    /// Adds a number; false if it was there or is out of bounds.
    pub fn insert(&mut self, n: u32) -> bool {
        if n >= self.bound || self.contains(n) {
            return false;
        }
        self.words[n as usize / 64] |= 1 << (n % 64);
        self.count += 1;
        true
    }

    /// Adds those numbers of another set that are from `start` to before `end`.
    pub fn insert_range(&mut self, other: &DoneSet, start: u32, end: u32) {
        for n in (start..end.min(self.bound)).filter(|&n| other.contains(n)) {
            self.insert(n);
        }
    }

    pub fn len(&self) -> u32 {
        self.count
    }

    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    pub fn is_full(&self) -> bool {
        self.count == self.bound
    }

    /// The numbers from `start` to before `end` as text: ranges or a bitmap,
    /// whichever is shorter. Numbers are written relative to `start`.
    pub fn encode(&self, start: u32, end: u32) -> String {
        let end = end.min(self.bound);
        let bitmap_len = 1 + (end.saturating_sub(start)).div_ceil(6) as usize;
        self.ranges(start, end, bitmap_len).unwrap_or_else(|| self.bitmap(start, end))
    }

    fn ranges(&self, start: u32, end: u32, longest: usize) -> Option<String> {
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
            if out.len() > longest {
                return None;
            }
        }
        Some(out)
    }

    fn bitmap(&self, start: u32, end: u32) -> String {
        let mut out = String::from("b");
        for group in (start..end).step_by(6) {
            let bits =
                (0..6).filter(|i| group + i < end && self.contains(group + i)).fold(0, |b, i| b | 1 << i);
            out.push(char::from(DIGITS[bits as usize & 63]));
        }
        out
    }

    /// Adds what [`DoneSet::encode`] wrote for the numbers from `start` on.
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
            for (group, digit) in (0u32..).step_by(6).zip(bitmap.bytes()) {
                let bits = DIGITS.iter().position(|&d| d == digit).ok_or(InvalidDoneSet)?;
                (0..6).filter(|i| bits >> i & 1 == 1).try_for_each(|i| add(group + i))?;
            }
            Ok(())
        } else {
            Err(InvalidDoneSet)
        }
    }
}

#[cfg(test)]
mod tests;
