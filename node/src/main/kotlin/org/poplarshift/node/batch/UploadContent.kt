package org.poplarshift.node.batch

import kotlinx.serialization.SerializationException
import org.poplarshift.core.batch.BatchItem
import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.catalogue.Upstream
import org.poplarshift.node.caller.KeyScrubber
import org.poplarshift.wire.WireJson
import java.security.MessageDigest

/** Validates the lines of one upload and collects the properties of the whole job. */
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

    /** Whether every item can be retried when its outcome is unknown. */
    var isIdempotent = true
        private set

    var itemCount = 0
        private set

    /** Adds [line] to the digest without validation, for a job that was accepted before. */
    fun digestOnly(line: String) {
        itemCount++
        digest.update(line.toByteArray())
        digest.update(NEWLINE)
    }

    /** Validates [line] and assigns the next index to its item. */
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

    /** Returns the SHA-256 of all lines in hexadecimal. */
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

    // 64-bit hashes keep 66,000 identifiers in a few megabytes. The probability of a collision in such a job is about
    // 1 in 10 billion.
    private fun hash(id: String): Long = MessageDigest
        .getInstance("SHA-256")
        .digest(id.toByteArray())
        .take(Long.SIZE_BYTES)
        .fold(0L) { value, byte -> (value shl Byte.SIZE_BITS) or (byte.toLong() and 0xFF) }

    private companion object {
        const val NEWLINE = '\n'.code.toByte()
    }
}
