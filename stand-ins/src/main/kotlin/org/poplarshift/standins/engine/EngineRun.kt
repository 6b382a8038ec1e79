package org.poplarshift.standins.engine

/**
 * One execution of a request.
 *
 * @property requestId the value of `X-Request-Id`; a request that is sent again can run twice under the same identifier
 * @property requestedTokens number of tokens to generate
 * @property isCrashing whether the engine crashes when this run starts to generate tokens
 */
internal class EngineRun(
    val requestId: String,
    val prompt: String,
    val requestedTokens: Int,
    val isCrashing: Boolean,
    val output: RunOutput,
) {
    /** Number of tokens generated so far. */
    var generatedTokens = 0

    /** Monotonic time in milliseconds from which this run generates tokens. */
    var readyMillis = 0.0

    val promptTokens: Int
        get() = (prompt.length + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN

    private companion object {
        const val CHARACTERS_PER_TOKEN = 4
    }
}

/** Receives the events of a run. */
internal interface RunOutput {
    /** Called when [run] has generated another token. */
    fun onToken(run: EngineRun, text: String)

    /** Called when [run] has generated all tokens. */
    fun onFinished(run: EngineRun)

    /** Called when [run] was cancelled through the API. */
    fun onCancelled(run: EngineRun)
}
