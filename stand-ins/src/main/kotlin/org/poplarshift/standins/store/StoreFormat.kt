package org.poplarshift.standins.store

import io.vertx.core.buffer.Buffer

/** The binary format of records: 4 bytes of length, 1 byte of key length, key, value. */
internal object StoreFormat {
    /** Decodes the records of an append. */
    fun decode(body: Buffer): List<StoredValue> {
        val values = ArrayList<StoredValue>()
        var position = 0
        while (position < body.length()) {
            val length = body.getInt(position)
            val start = position + Int.SIZE_BYTES
            val keyEnd = start + 1 + body.getUnsignedByte(start)
            position = start + length
            values += StoredValue(body.getString(start + 1, keyEnd), body.getBytes(keyEnd, position))
        }
        return values
    }

    /** Encodes the answer to a read. */
    fun encode(end: Long, first: Long, records: List<StoredRecord>): Buffer {
        val body = Buffer.buffer().appendLong(end).appendLong(first)
        for (record in records) {
            val key = record.value.key.encodeToByteArray()
            body.appendInt(1 + key.size + record.value.content.size).appendByte(key.size.toByte())
            body.appendBytes(key).appendBytes(record.value.content)
        }
        return body
    }
}
