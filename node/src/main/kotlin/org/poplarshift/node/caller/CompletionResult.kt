package org.poplarshift.node.caller

/** The outcome of parsing the body of a completion request. */
sealed interface CompletionResult {
    /**
     * The fields that the gateway interprets are valid.
     *
     * @property costTokens the estimated prompt tokens plus the requested maximum of generated tokens
     * @property prefix the first characters of the prompt
     * @property canonicalBody the body with sorted fields and without insignificant white space
     */
    data class Valid(val model: String, val costTokens: Long, val prefix: String, val canonicalBody: String) :
        CompletionResult

    /** The field at [path] is invalid; the path of the body itself is empty. */
    data class Invalid(val path: String, val expected: String) : CompletionResult {
        /** Returns the error message for the caller. */
        fun describe(): String = if (path.isEmpty()) "the body must be $expected" else "$path must be $expected"
    }
}
