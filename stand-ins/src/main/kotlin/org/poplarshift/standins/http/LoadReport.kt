package org.poplarshift.standins.http

import kotlinx.serialization.Serializable

/** The body of `GET /load`. */
@Serializable
data class LoadReport(val worker: String, val running: Int, val waiting: Int, val capacity: Int, val leaving: Boolean)
