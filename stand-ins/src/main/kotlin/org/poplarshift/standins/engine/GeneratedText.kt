package org.poplarshift.standins.engine

import org.poplarshift.core.configuration.KeyDirectory

/** The text that an engine generates. It depends only on the prompt, so that a test can verify a whole response. */
object GeneratedText {
    private const val TAG_LENGTH = 4

    /** Returns the token at [index] of the response to [prompt]. */
    fun token(prompt: String, index: Int): String {
        val tag = KeyDirectory.hash(prompt).take(TAG_LENGTH)
        return if (index == 0) "$tag-0" else " $tag-$index"
    }

    /** Returns the complete response to [prompt] with [tokens] tokens. */
    fun complete(prompt: String, tokens: Int): String {
        val tag = KeyDirectory.hash(prompt).take(TAG_LENGTH)
        return (0 until tokens).joinToString(" ") { "$tag-$it" }
    }
}
