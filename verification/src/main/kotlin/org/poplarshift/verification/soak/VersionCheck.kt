package org.poplarshift.verification.soak

/**
 * Checks that a stream holds events of one software version, over all calls of its caller, and that streams go on while
 * workers of their version serve.
 */
class VersionCheck(private val ledger: SoakLedger, private val disturbances: Disturbances) {
    /** Checks all streams and returns what became of those that callers have taken up. */
    fun check(): Resumption {
        val streams = ledger.calls.filter { it.kind.isStream }.groupBy { it.beginning }.values
        streams.forEach { checkVersions(it) }
        val takenUp = streams.map { calls -> calls.filter { it.takeUp != null } }.filter { it.isNotEmpty() }
        val comparable = takenUp.filter { calls -> calls.all { isInTouch(it) && it.takeUp!!.servingWorkers > 1 } }
        val begun = streams.map { it.first() }.filter { it.kind == CallKind.RESUMABLE && isInTouch(it) }
        val resumption = Resumption(
            takenUp = takenUp.size,
            resumed = takenUp.count { calls -> calls.any { isServed(it) } },
            comparable = comparable.size,
            resumedShare = share(comparable) { calls -> calls.any { isServed(it) } },
            begunShare = share(begun) { isServed(it) },
        )
        if (resumption.isTooRare) ledger.report(Promise.RESUMED_STREAM, "$resumption")
        return resumption
    }

    private fun checkVersions(calls: List<SentCall>) {
        val versions = calls.flatMap { it.versions.values }.toSet()
        if (versions.size > 1) ledger.report(Promise.ONE_VERSION, "$versions: ${calls.map { it.describe() }}")
    }

    // Withdrawn keys and rates above the limit are refused for other reasons.
    private fun isInTouch(call: SentCall): Boolean = call.call.key == SoakOrganisations.LASTING_KEY &&
        call.result?.let { disturbances.isInTouch(call.node, call.sentMillis, it.endMillis) } == true

    private fun isServed(call: SentCall) = call.result?.status == OK

    private fun <T> share(all: List<T>, condition: (T) -> Boolean): Double =
        if (all.isEmpty()) 0.0 else all.count(condition).toDouble() / all.size

    private companion object {
        const val OK = 200
    }
}
