package org.poplarshift.standins.engine

import org.poplarshift.core.configuration.KeyDirectory

/** The text that an engine generates. It follows from the prompt, so that a test can check a whole response. */
object GeneratedText {
    private const val TAG_LENGTH = 4

    /** The token with the number [index] of the response to [prompt]. */
    fun token(prompt: String, index: Int): String {
        val tag = KeyDirectory.hash(prompt).take(TAG_LENGTH)
        return if (index == 0) "$tag-0" else " $tag-$index"
    }

    /** The complete response to [prompt] with [tokens] tokens. */
    fun complete(prompt: String, tokens: Int): String {
        val tag = KeyDirectory.hash(prompt).take(TAG_LENGTH)
        return (0 until tokens).joinToString(" ") { "$tag-$it" }
    }
}
