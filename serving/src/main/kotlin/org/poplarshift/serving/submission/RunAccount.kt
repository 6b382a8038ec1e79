package org.poplarshift.serving.submission

/** The service that runs an item and the organisation that submitted it; runs are shared between and within them. */
data class RunAccount(val service: String, val organisation: String)
