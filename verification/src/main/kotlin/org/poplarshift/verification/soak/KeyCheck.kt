package org.poplarshift.verification.soak

/** Checks that nodes that know of the withdrawal of a key run nothing with it. */
class KeyCheck(private val ledger: SoakLedger, private val disturbances: Disturbances) {
    /**
     * Checks the runs of all calls against [withdrawnMillis], the time at which each withdrawn key was withdrawn. Returns
     * the number of calls that must not have run, by which a report shows whether a soak could find anything.
     */
    fun check(withdrawnMillis: Map<String, Long>): Int {
        val late = ledger.calls.filter { call ->
            withdrawnMillis[call.call.key]?.let { isLate(call, withdrawn = it) } ?: false
        }
        late.filter { it.runs.isNotEmpty() }.forEach {
            val detail = "${it.call.key} withdrawn at ${withdrawnMillis[it.call.key]}: ${it.describe()}"
            ledger.report(Promise.WITHDRAWN_KEY, detail)
        }
        return late.size
    }

    private fun isLate(call: SentCall, withdrawn: Long): Boolean {
        val handledMillis = call.runs.firstOrNull()?.startMillis ?: call.sentMillis
        return call.sentMillis > withdrawn + CONFIGURATION_MILLIS &&
            disturbances.isInTouch(call.node, call.sentMillis, handledMillis)
    }

    private companion object {
        // The time after which a version of the configuration must be in force at nodes in touch.
        const val CONFIGURATION_MILLIS = 2_000L
    }
}
