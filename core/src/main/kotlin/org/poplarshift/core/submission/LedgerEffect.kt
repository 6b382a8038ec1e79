package org.poplarshift.core.submission

/** The effect of applying a record to the ledger. */
sealed interface LedgerEffect {
    /** The proposal was accepted as a new submission. */
    data class Accepted(val state: SubmissionState) : LedgerEffect

    /** The proposal exceeded the limit of waiting tokens. */
    data object Rejected : LedgerEffect

    /** The proposal has the id of another organisation's submission. */
    data object IdConflict : LedgerEffect

    /** An earlier record has already made this one redundant. */
    data object Duplicate : LedgerEffect

    /** The result was added to the results of its submission. */
    data class ResultAdded(val state: SubmissionState) : LedgerEffect

    /** The progress of a run was saved. */
    data object ProgressSaved : LedgerEffect

    /** The submission was ended by its caller. */
    data class Ended(val state: SubmissionState) : LedgerEffect

    /** The record refers to an unknown submission or item. */
    data object Unknown : LedgerEffect
}
