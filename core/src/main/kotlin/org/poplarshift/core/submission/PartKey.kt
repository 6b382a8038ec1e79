package org.poplarshift.core.submission

/** The key of a part of a record: the id of the record, the index of the part and the number of parts. */
class PartKey(val id: String, val index: Int, val count: Int) {
    override fun toString(): String = "$id:$index:$count"

    companion object {
        /** Returns the fields of [key], or null if it has another form. */
        fun parse(key: String): PartKey? {
            val fields = key.split(':')
            if (fields.size != 3) return null
            val count = fields[2].toIntOrNull() ?: return null
            val index = fields[1].toIntOrNull()?.takeIf { it in 0 until count } ?: return null
            return PartKey(fields[0], index, count)
        }

        /**
         * Returns a string that precedes [key] and follows all other keys that precede it.
         *
         * It is the key without the number of parts. All parts of a record state the same number.
         */
        fun predecessor(key: String): String = key.substringBeforeLast(':') + ':'
    }
}
