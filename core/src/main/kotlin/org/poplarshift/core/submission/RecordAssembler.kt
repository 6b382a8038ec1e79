package org.poplarshift.core.submission

/** Joins the parts of split records. Parts are added in the order of their offsets. */
class RecordAssembler {
    private val partial = HashMap<String, Array<ByteArray?>>()

    /**
     * Adds one log record and returns the complete record if this was its last missing part, otherwise null.
     *
     * Log records whose keys have another form are ignored.
     */
    fun add(key: String, value: ByteArray): AssembledRecord? {
        val fields = key.split(':')
        if (fields.size != 3) return null
        val (id, part, parts) = fields
        val count = parts.toIntOrNull() ?: return null
        val index = part.toIntOrNull()?.takeIf { it in 0 until count } ?: return null
        val slots = partial.getOrPut(id) { arrayOfNulls(count) }
        if (slots.size != count) return null
        slots[index] = value
        if (slots.any { it == null }) return null
        partial.remove(id)
        val whole = slots.filterNotNull().fold(ByteArray(0)) { joined, bytes -> joined + bytes }
        return AssembledRecord(id, List(count) { "$id:$it:$count" }, RecordFormat.decode(whole))
    }
}

/** A complete record with the keys of its parts. */
class AssembledRecord(val id: String, val keys: List<String>, val decoded: DecodedRecord)
