package org.poplarshift.core.submission

/**
 * The key of a part of a record: the id of the record, the index of the part and the number of parts.
 *
 * @property isReference whether the record states the places of its content instead of containing it
 */
class PartKey(val id: String, val index: Int, val count: Int, val isReference: Boolean = false) {
    override fun toString(): String = "$id:$index:$count" + if (isReference) REFERENCE_SUFFIX else ""

    companion object {
        private const val REFERENCE_SUFFIX = ":r"

        /** Returns the fields of [key], or null if it has another form. */
        fun parse(key: String): PartKey? {
            val isReference = key.endsWith(REFERENCE_SUFFIX)
            val fields = key.removeSuffix(REFERENCE_SUFFIX).split(':')
            if (fields.size != 3) return null
            val count = fields[2].toIntOrNull() ?: return null
            val index = fields[1].toIntOrNull()?.takeIf { it in 0 until count } ?: return null
            return PartKey(fields[0], index, count, isReference)
        }

        /**
         * Returns a string that precedes [key] and follows all other keys that precede it.
         *
         * It is the key without the number of parts. All parts of a record state the same number.
         */
        fun predecessor(key: String): String = key.substringBeforeLast(':') + ':'
    }
}
