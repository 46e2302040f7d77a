//! Compares summary rows with records.
//!
//! Two classes can be repaired soundly from the record: a row that lags behind
//! it, and a row that calls live work over. Everything else is reported and
//! left alone.

use crate::protocol::jobs::Standing;

/// What the store holds of one job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Evidence {
    /// `None`: no record. Inside: the final standing that it supports, if any.
    pub record: Option<Option<Standing>>,
    pub live_row: bool,
    pub over_row: Option<Standing>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Finding {
    Consistent,
    /// The record is final, the row not yet: the row follows the record.
    RowBehind(Standing),
    /// A row says over where the record says live: back among the live.
    Stranded,
    /// Cannot be derived soundly.
    Suspect(&'static str),
}

impl Finding {
    pub fn is_sound(self) -> bool {
        matches!(self, Finding::RowBehind(_) | Finding::Stranded)
    }
}

pub fn judge(evidence: Evidence) -> Finding {
    let Evidence { record, live_row, over_row } = evidence;
    match (record, live_row, over_row) {
        (None, false, None) => Finding::Consistent,
        (None, _, _) => Finding::Suspect("a row without a record"),
        (Some(_), false, None) => Finding::Suspect("a record without a row"),
        (Some(None), true, None) => Finding::Consistent,
        (Some(None), _, Some(_)) => Finding::Stranded,
        (Some(Some(settled)), false, Some(row)) if settled == row => Finding::Consistent,
        // Also with both rows: the move from one to the other is one
        // transaction, so this is damage, but the record decides it.
        (Some(Some(settled)), _, _) => Finding::RowBehind(settled),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn only_sound_cases_are_repaired_and_all_from_the_record() {
        use Standing::{Cancelled, Done};
        let judge = |record, live_row, over_row| judge(Evidence { record, live_row, over_row });
        assert_eq!(judge(Some(None), true, None), Finding::Consistent);
        assert_eq!(judge(Some(Some(Done)), false, Some(Done)), Finding::Consistent);
        assert_eq!(judge(Some(Some(Done)), true, None), Finding::RowBehind(Done));
        assert_eq!(judge(Some(Some(Cancelled)), false, Some(Done)), Finding::RowBehind(Cancelled));
        assert_eq!(judge(Some(None), false, Some(Done)), Finding::Stranded);
        for suspect in
            [judge(None, true, None), judge(None, false, Some(Done)), judge(Some(None), false, None)]
        {
            assert!(matches!(suspect, Finding::Suspect(_)) && !suspect.is_sound());
        }
    }
}
