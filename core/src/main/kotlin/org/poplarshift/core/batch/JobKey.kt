package org.poplarshift.core.batch

/** The name of a job; job identifiers are scoped to the organisation. */
data class JobKey(val organisation: String, val jobId: String)
