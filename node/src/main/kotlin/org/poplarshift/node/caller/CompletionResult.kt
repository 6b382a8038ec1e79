package org.poplarshift.node.caller

/** What the body of a completion request says. */
sealed interface CompletionResult {
    /**
     * The body is valid as far as this system reads it.
     *
     * @property costTokens the estimated prompt tokens plus the requested maximum of generated tokens
     * @property prefix the first characters of the prompt
     * @property canonicalBody the body with sorted fields and without insignificant space
     */
    data class Valid(val model: String, val costTokens: Long, val prefix: String, val canonicalBody: String) :
        CompletionResult

    /** The field at [path] is wrong; the path of the body itself is empty. */
    data class Invalid(val path: String, val expected: String) : CompletionResult {
        /** One sentence for the caller. */
        fun describe(): String = if (path.isEmpty()) "the body must be $expected" else "$path must be $expected"
    }
}
