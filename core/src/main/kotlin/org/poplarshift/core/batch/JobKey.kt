package org.poplarshift.core.batch

/** The key of a job. Job identifiers are unique within an organisation. */
data class JobKey(val organisation: String, val jobId: String)
