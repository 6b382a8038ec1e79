package org.poplarshift.standins.engine

/**
 * One run of a request.
 *
 * @property requestId the value of `X-Request-Id`; a resend may run twice under the same identifier
 * @property requestedTokens tokens to generate
 * @property isCrashing whether the engine dies when this run starts to generate
 */
internal class EngineRun(
    val requestId: String,
    val prompt: String,
    val requestedTokens: Int,
    val isCrashing: Boolean,
    val output: RunOutput,
) {
    /** Tokens generated so far. */
    var generatedTokens = 0

    /** Monotonic time from which this run generates tokens. */
    var readyMillis = 0.0

    val promptTokens: Int
        get() = (prompt.length + CHARACTERS_PER_TOKEN - 1) / CHARACTERS_PER_TOKEN

    private companion object {
        const val CHARACTERS_PER_TOKEN = 4
    }
}

/** Takes what a run produces. */
internal interface RunOutput {
    /** One more token was generated. */
    fun onToken(run: EngineRun, text: String)

    /** All tokens were generated. */
    fun onFinished(run: EngineRun)

    /** The run was cancelled through the API. */
    fun onCancelled(run: EngineRun)
}
