package org.poplarshift.core.submission

/** What a record did to the ledger. */
sealed interface LedgerEffect {
    /** A new submission counts from now on. */
    data class Accepted(val state: SubmissionState) : LedgerEffect

    /** A proposal did not fit the limit of waiting tokens. */
    data object Rejected : LedgerEffect

    /** A proposal bears the id of another organisation's submission. */
    data object IdConflict : LedgerEffect

    /** The record says what an earlier one said already. */
    data object Duplicate : LedgerEffect

    /** A result has a position. */
    data class ResultAdded(val state: SubmissionState) : LedgerEffect

    /** The progress of a run is known. */
    data object ProgressSaved : LedgerEffect

    /** The caller's end of a submission counts from now on. */
    data class Ended(val state: SubmissionState) : LedgerEffect

    /** The record concerns no known submission or item. */
    data object Unknown : LedgerEffect
}
