package org.poplarshift.standins.caller

import kotlinx.serialization.Serializable

/** A page of results as callers receive it. */
@Serializable
class ResultPage(val total: Int, val next: Int, val results: List<Entry>) {
    /** The result of one item. */
    @Serializable
    class Entry(val id: String, val state: String, val output: String)
}
