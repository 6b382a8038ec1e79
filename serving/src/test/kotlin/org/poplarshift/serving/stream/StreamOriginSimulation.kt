package org.poplarshift.serving.stream

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import org.poplarshift.core.stream.StreamOrigin
import org.poplarshift.serving.fixture.SimulatedOrigins
import kotlin.random.Random

/**
 * Streams that begin and are resumed at random nodes while versions appear and end.
 *
 * Nodes are restarted and cut from each other and from the log. In a calm run only nodes that are no replicas are
 * restarted, and no stream is resumed before all nodes have read a new version.
 */
@OptIn(ExperimentalCoroutinesApi::class)
class StreamOriginSimulation private constructor(
    private val scope: TestScope,
    private val random: Random,
    private val isCalm: Boolean,
    viewDecides: Boolean,
) {
    /** Numbers of resumed streams by what was found. */
    data class Outcome(var found: Int = 0, var missed: Int = 0, var wrong: Int = 0)

    private val outcome = Outcome()
    private val fleet = SimulatedOrigins(scope, random, viewDecides)
    private val nodes = fleet.nodes.values
    private val serving = mutableListOf("1")
    private var changedMillis = 0L
    private val lastStarts = HashMap<String, Long>()

    private suspend fun play(): Outcome {
        fleet.recorded += serving
        nodes.forEach { node ->
            scope.backgroundScope.launch {
                while (true) {
                    node.readLog()
                    delay(random.nextLong(100, VIEW_DELAY_MILLIS))
                }
            }
        }
        repeat(3) { scope.backgroundScope.launch { repeatedly(300) { begin() } } }
        scope.backgroundScope.launch { repeatedly(15_000) { changeVersions() } }
        scope.backgroundScope.launch { repeatedly(4_000) { restart() } }
        if (!isCalm) {
            scope.backgroundScope.launch {
                repeatedly(4_000) { disturb(fleet.cuts, nodes.shuffled(random).take(2).map { it.member.name }.toSet()) }
            }
            repeat(2) {
                scope.backgroundScope.launch {
                    repeatedly(8_000) { disturb(fleet.withoutLog, nodes.random(random).member.name) }
                }
            }
        }
        delay(DURATION_MILLIS)
        return outcome
    }

    private suspend fun repeatedly(meanMillis: Long, action: suspend () -> Unit) {
        while (true) {
            delay(random.nextLong(2 * meanMillis))
            action()
        }
    }

    private fun begin() {
        val node = nodes.random(random)
        val version = serving.filter { it in node.view }.randomOrNull(random) ?: return
        val origin = StreamOrigin("service", version)
        val stream = "${scope.currentTime}-${random.nextInt()}"
        node.origins.onBegun(stream, origin)
        lastStarts[node.member.name] = scope.currentTime
        scope.backgroundScope.launch {
            delay(random.nextLong(if (isCalm) SETTLED_MILLIS else 10, MAXIMUM_AGE_MILLIS))
            while (isCalm && scope.currentTime - changedMillis < SETTLED_MILLIS) delay(100)
            val askedMillis = scope.currentTime
            val id = stream.takeIf { isCalm || random.nextInt(10) > 0 }
            when (nodes.random(random).origins.find(id, setOf("service"))) {
                origin -> outcome.found++
                // The log may record a further version during the lookup.
                null -> if (changedMillis < askedMillis) outcome.missed++
                else -> outcome.wrong++
            }
        }
    }

    /** Starts workers of a new version, or stops those of one, whose record is removed later. */
    private suspend fun changeVersions() {
        if (serving.size > 1 && random.nextBoolean()) {
            val stopped = serving.random(random).also { serving -= it }
            delay(RECORD_MILLIS)
            fleet.recorded -= stopped
        } else {
            val version = "${fleet.recorded.size}-${scope.currentTime}"
            changedMillis = scope.currentTime
            fleet.recorded += version
            serving += version
            nodes.random(random).readLog()
        }
    }

    private fun restart() {
        val node = nodes.random(random)
        val name = node.member.name
        val isSettled = node.view.size > 1 && maxOf(changedMillis, lastStarts[name] ?: 0) < scope.currentTime - 100
        if (isCalm && (!name.endsWith("3") || !isSettled)) return
        node.restart()
    }

    private suspend fun <T> disturb(disturbances: MutableSet<T>, disturbance: T) {
        disturbances += disturbance
        delay(random.nextLong(2_000, 20_000))
        disturbances -= disturbance
    }

    companion object {
        private const val DURATION_MILLIS = 180_000L
        private const val VIEW_DELAY_MILLIS = 2_000L
        private const val SETTLED_MILLIS = 2_500L
        private const val MAXIMUM_AGE_MILLIS = 20_000L

        // Longer than the age at which a stream is resumed.
        private const val RECORD_MILLIS = 30_000L

        /** Plays the sequence of [seed]. */
        fun run(seed: Int, isCalm: Boolean, viewDecides: Boolean = false): Outcome {
            var outcome = Outcome()
            runTest { outcome = StreamOriginSimulation(this, Random(seed), isCalm, viewDecides).play() }
            return outcome
        }
    }
}
