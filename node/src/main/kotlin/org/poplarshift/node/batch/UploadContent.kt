package org.poplarshift.node.batch

import kotlinx.serialization.SerializationException
import org.poplarshift.core.batch.BatchItem
import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.catalogue.Upstream
import org.poplarshift.node.caller.KeyScrubber
import org.poplarshift.wire.WireJson
import java.security.MessageDigest

/** Checks the lines of one upload and gathers what concerns all of them. */
class UploadContent(
    private val catalogue: Catalogue,
    private val organisation: String,
    private val scrubber: KeyScrubber,
    private val targets: ItemTargets,
) {
    private val digest = MessageDigest.getInstance("SHA-256")
    private val identifiers = HashSet<Long>()

    /** The upstream of all items, or null before the first. */
    var upstream: Upstream? = null
        private set

    /** Whether every item may be sent again when its outcome is unknown. */
    var isIdempotent = true
        private set

    var itemCount = 0
        private set

    /** Takes [line] into the digest only, for a job that is known already. */
    fun digestOnly(line: String) {
        itemCount++
        digest.update(line.toByteArray())
        digest.update(NEWLINE)
    }

    /** Checks [line]; the item has the next index. */
    fun accept(line: String): ContentResult {
        val number = itemCount + 1
        if (number > catalogue.batch.maximumItems) {
            return ContentResult.TooMany("a job has at most ${catalogue.batch.maximumItems} items")
        }
        if (scrubber.containsPresentedKey(line)) return invalid(number, "must not contain the key")
        val parsed = try {
            WireJson.strict.decodeFromString(UploadLine.serializer(), line)
        } catch (exception: SerializationException) {
            return invalid(
                number,
                "must be {\"id\",\"body\"} with an optional path: ${exception.message?.lines()?.first()}",
            )
        }
        if (!identifiers.add(hash(parsed.id))) return invalid(number, "id must be unique within the job")
        return when (val target = targets.find(catalogue, organisation, parsed.path, parsed.body)) {
            is ItemTargetResult.Invalid -> invalid(number, target.message)
            is ItemTargetResult.Forbidden -> ContentResult.Forbidden("line $number: ${target.message}")
            is ItemTargetResult.Found -> addItem(line, parsed, target.target, number)
        }
    }

    /** SHA-256 of all lines in hexadecimal digits. */
    fun digest(): String = digest.digest().joinToString("") { "%02x".format(it) }

    private fun addItem(line: String, parsed: UploadLine, target: ItemTarget, number: Int): ContentResult {
        val first = upstream ?: target.upstream.also { upstream = it }
        if (first.id != target.upstream.id) return invalid(number, "all items of a job must use the same upstream")
        isIdempotent = isIdempotent && target.isIdempotent
        val item = BatchItem(index = itemCount, id = parsed.id, body = parsed.body, path = parsed.path)
        digestOnly(line)
        return ContentResult.Item(item)
    }

    private fun invalid(number: Int, message: String) = ContentResult.Invalid("line $number: $message")

    // 64 bits instead of the text keep 66,000 identifiers in a few megabytes. That two different ones are taken for
    // the same has a probability of about 1 in 10 billion for such a job.
    private fun hash(id: String): Long = MessageDigest
        .getInstance("SHA-256")
        .digest(id.toByteArray())
        .take(Long.SIZE_BYTES)
        .fold(0L) { value, byte -> (value shl Byte.SIZE_BITS) or (byte.toLong() and 0xFF) }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
    }
}
