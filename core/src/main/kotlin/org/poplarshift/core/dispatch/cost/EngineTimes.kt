package org.poplarshift.core.dispatch.cost

/** How long the steps of an inference engine take at the usual speed, in milliseconds. Measured values of the platform's engines. */
internal object EngineTimes {
    /** Time of a step, which produces one output token for each running request, with one request. */
    const val STEP_MILLIS = 2.9

    /** Time by which each further running request lengthens a step. */
    const val STEP_MILLIS_PER_REQUEST = 0.1

    /** Prompt tokens that are read in one millisecond. Engines read 55 to 109. */
    const val READ_TOKENS_PER_MILLI = 80.0

    /** Returns the time of reading [promptTokens] in steps. */
    fun readSteps(promptTokens: Int): Double = promptTokens / (READ_TOKENS_PER_MILLI * STEP_MILLIS)
}
