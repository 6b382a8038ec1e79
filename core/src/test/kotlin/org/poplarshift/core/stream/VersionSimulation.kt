package org.poplarshift.core.stream

import kotlin.random.Random

/**
 * Nodes that record and retire versions in one log, in virtual time.
 *
 * Appends are refused, lost or executed late, nodes are cut off or restarted, and workers of several versions come and
 * go. A node that is cut off uses the workers that it knew.
 */
class VersionSimulation(private val random: Random, private val variant: Variant) {
    /** A deliberate fault of the nodes. */
    enum class Variant {
        NONE,
        BEFORE_ACKNOWLEDGEMENT,
        WITHOUT_STATEMENTS,
        EARLY_STATEMENTS,
        UNCONDITIONAL,
        NOT_ANNOUNCED,
    }

    private sealed interface Entry {
        data class Version(val origin: StreamOrigin, val isRetiring: Boolean) : Entry

        data class Removal(val origin: StreamOrigin) : Entry

        data class Member(val node: String) : Entry

        data class Statement(val node: String, val position: Long) : Entry
    }

    private class LateAppend(val atMillis: Long, val execute: () -> Unit)

    private inner class Node(val name: String) {
        val ledger = VersionLedger()
        val readers = VersionReaders()
        val retirement = VersionRetirement(name, ledger, readers)
        val tickMillis = random.nextLong(TICK_MILLIS)
        var cutOffMillis = LongRange.EMPTY
        var registered = emptySet<StreamOrigin>()
        private var readMillis = 0L
        private var announcedMillis: Long? = null

        val usable: List<StreamOrigin>
            get() = registered.filter {
                ledger.isActive(it) && (readers.isMember(name) || variant == Variant.NOT_ANNOUNCED)
            }

        fun step() {
            if (now in cutOffMillis) return
            if (random.nextInt(3) == 0) read()
            if (now % TICK_MILLIS == tickMillis / STEP_MILLIS * STEP_MILLIS) tick()
            val missing = ledger.missing(registered)
            if (missing.isNotEmpty() && random.nextInt(3) == 0) record(missing)
        }

        private fun record(origins: List<StreamOrigin>) {
            if (variant == Variant.BEFORE_ACKNOWLEDGEMENT) origins.forEach { ledger.onAppended(it, Long.MAX_VALUE) }
            append(origins.map { Entry.Version(it, isRetiring = false) })
                ?.let { offset ->
                    origins.forEachIndexed { index, origin -> ledger.onAppended(origin, offset + index) }
                }
        }

        private fun read() {
            registered = present.toSet()
            readMillis = now
            for (offset in ledger.position until log.size) deliver(offset, log[offset.toInt()])
            ledger.onCaughtUp(log.size.toLong())
            readers.onCaughtUp()
        }

        private fun deliver(offset: Long, entry: Entry) = when (entry) {
            is Entry.Version -> ledger.onRecord(entry.origin, offset, entry.isRetiring, now)
            is Entry.Removal -> ledger.onRemoval(entry.origin, offset)
            is Entry.Member -> readers.onMember(entry.node, now)
            is Entry.Statement -> readers.onStatement(entry.node, entry.position)
        }

        private fun tick() {
            if (now - (announcedMillis ?: -RENEWAL_MILLIS) >= RENEWAL_MILLIS) {
                announcedMillis = now
                append(listOf(Entry.Member(name)))
            }
            retirement.observe(registered, readMillis)
            val retiring = retirement.versionsToRetire(now)
            if (retiring.isNotEmpty()) append(retiring.map { Entry.Version(it, isRetiring = true) })
            state()
            remove()
        }

        private fun state() {
            if (variant == Variant.WITHOUT_STATEMENTS) {
                log.forEach {
                    if (it is Entry.Member) readers.onStatement(it.node, log.size.toLong())
                }
            }
            val early = ledger.position.takeIf { variant == Variant.EARLY_STATEMENTS && ledger.retiring.isNotEmpty() }
            (early ?: retirement.positionToState(now))?.let { append(listOf(Entry.Statement(name, it))) }
        }

        private fun remove() {
            val removed = retirement.versionsToRemove(now).map { Entry.Removal(it) }
            if (removed.isEmpty()) return
            append(removed, end = ledger.position.takeUnless { variant == Variant.UNCONDITIONAL })
        }
    }

    private val log = ArrayList<Entry>()
    private val late = ArrayList<LateAppend>()
    private val nodes = ArrayList<Node>()
    private val present = HashSet<StreamOrigin>()
    private val lastUsableMillis = HashMap<StreamOrigin, Long>()
    private var now = 0L

    /** Number of records of versions that were removed. */
    val removals: Int
        get() = log.count { it is Entry.Removal }

    /** Runs for [millis] and returns the first violation, or null. */
    fun run(millis: Long): String? {
        repeat(NODES) { nodes += Node("n$it") }
        while (now < millis) {
            now += STEP_MILLIS
            disturb()
            late.filter { it.atMillis <= now }.forEach { it.execute() }
            late.removeIf { it.atMillis <= now }
            nodes.shuffled(random).forEach { it.step() }
            violation()?.let { return "at $now ms: $it" }
        }
        return null
    }

    private fun violation(): String? {
        val recorded = recorded()
        nodes.forEach { node -> node.usable.forEach { lastUsableMillis[it] = now } }
        val lost = lastUsableMillis.filter { (origin, millis) -> origin !in recorded && now - millis < STREAM_MILLIS }
        return lost.entries.firstOrNull()?.let { "a stream began at ${it.key} at ${it.value} ms, not in the log" }
    }

    private fun recorded(): Set<StreamOrigin> {
        val recorded = HashSet<StreamOrigin>()
        for (entry in log) {
            if (entry is Entry.Version) recorded += entry.origin
            if (entry is Entry.Removal) recorded -= entry.origin
        }
        return recorded
    }

    private fun disturb() {
        if (now % RELEASE_MILLIS == STEP_MILLIS) release()
        if (random.nextInt(400) == 0) present.randomOrNull(random)?.let { present -= it }
        if (random.nextInt(400) == 0) present += StreamOrigin("s", "${random.nextLong(now / RELEASE_MILLIS + 1)}")
        val node = nodes.indices.random(random)
        if (random.nextInt(300) == 0) nodes[node].cutOffMillis = cutOff(now)
        if (random.nextInt(600) == 0) nodes[node] = Node(nodes[node].name)
        if (random.nextInt(1_000) == 0) {
            // Cut off when it has read the log and before it has announced itself.
            nodes += Node("m${nodes.size}").also { it.cutOffMillis = cutOff(now + random.nextLong(TICK_MILLIS)) }
        }
    }

    private fun cutOff(fromMillis: Long) = fromMillis..fromMillis + random.nextLong(LONGEST_CUT_MILLIS)

    private fun release() {
        present.clear()
        present += StreamOrigin("s", "${now / RELEASE_MILLIS}")
    }

    /** Appends [entries], if the log ends at [end], and returns the offset of the first if that is acknowledged. */
    private fun append(entries: List<Entry>, end: Long? = null): Long? {
        val execute = { if (end == null || end == log.size.toLong()) log += entries }
        return when (random.nextInt(8)) {
            0 -> null
            1 -> null.also { late += LateAppend(now + random.nextLong(LATEST_MILLIS)) { execute() } }
            2 -> null.also { execute() }
            else -> {
                val offset = log.size.toLong()
                execute()
                offset.takeIf { log.size > offset }
            }
        }
    }

    private companion object {
        const val NODES = 4
        const val STEP_MILLIS = 100L
        const val TICK_MILLIS = 2_000L
        const val RENEWAL_MILLIS = 15_000L
        const val RELEASE_MILLIS = 120_000L
        const val LONGEST_CUT_MILLIS = 90_000L
        const val LATEST_MILLIS = 10_000L

        // How long callers may take up a stream.
        const val STREAM_MILLIS = 30_000L
    }
}
