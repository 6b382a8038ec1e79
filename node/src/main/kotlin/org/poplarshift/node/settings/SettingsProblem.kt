package org.poplarshift.node.settings

/**
 * One validation error in a settings file.
 *
 * @property path the field, such as `limits.bodyBytes`; empty for the file as a whole
 */
data class SettingsProblem(val file: String, val path: String, val found: String, val expected: String) {
    /** Returns a one-line description for the operator. */
    fun describe(): String {
        val place = if (path.isEmpty()) file else "$file: $path"
        return "$place: found $found, expected $expected"
    }
}
