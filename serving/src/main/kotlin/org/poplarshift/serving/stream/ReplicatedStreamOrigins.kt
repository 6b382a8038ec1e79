package org.poplarshift.serving.stream

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emitAll
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.merge
import kotlinx.coroutines.withTimeoutOrNull
import org.poplarshift.core.stream.StreamOrigin
import org.poplarshift.core.stream.StreamOriginTable
import org.poplarshift.serving.BackgroundTasks
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fleet.FleetMember

/**
 * Remembers the origins of streams at the nodes that begin them and, while the log records several versions of the
 * services of a route, at a few other nodes.
 *
 * Nothing is exchanged while there is only one version and the log can be read, because it then determines the origin of
 * all streams.
 *
 * @param servicesBeside returns the services at which a stream may begin whose route has the given service
 * @param isLogDisturbed returns whether this node can't read the log at present
 */
class ReplicatedStreamOrigins(
    private val tasks: BackgroundTasks,
    private val clock: MonotonicClock,
    private val versions: RecordedVersions,
    private val replicas: StreamOriginReplicas,
    private val peers: StreamOriginPeers,
    private val recorder: StreamOriginRecorder,
    private val servicesBeside: (service: String) -> Set<String> = { setOf(it) },
    private val isLogDisturbed: () -> Boolean = { false },
) : StreamOrigins {
    private class Answer(val origin: StreamOrigin, val source: StreamOriginSource)

    private val begun = StreamOriginTable(MAXIMUM_BEGUN, RETENTION_MILLIS)
    private val held = StreamOriginTable(MAXIMUM_HELD, RETENTION_MILLIS)
    private val replicators = LinkedHashMap<FleetMember, StreamOriginReplicator>()

    init {
        versions.onGrowth { onServicesChanged() }
    }

    /** Number of origins that this node remembers. */
    val size: Int
        get() = begun.size + held.size

    override fun onBegun(stream: String, origin: StreamOrigin) {
        begun.record(stream, origin, clock.millis())
        if (hasSeveralVersions(origin.service)) replicators.values.forEach { it.add(mapOf(stream to origin)) }
    }

    override fun isRecorded(service: String, softwareVersion: String): Boolean =
        versions.isRecorded(service, softwareVersion)

    /** Stores [origins], by stream, that another node has reported. */
    fun store(origins: Map<String, StreamOrigin>) =
        origins.forEach { (stream, origin) -> held.record(stream, origin, clock.millis()) }

    /** Returns the origin of [stream] if this node remembers it. */
    fun findLocally(stream: String): StreamOrigin? =
        begun.find(stream, clock.millis()) ?: held.find(stream, clock.millis())

    override suspend fun find(stream: String?, services: Set<String>): StreamOrigin? {
        val startMillis = clock.millis()
        val answer = stream?.let(::findLocally)?.let { Answer(it, StreamOriginSource.LOCAL) }
            ?: findElsewhere(stream, services)
        val source = answer?.source ?: StreamOriginSource.NONE
        recorder.onLookup(stream, source, answer?.origin, clock.millis() - startMillis)
        return answer?.origin
    }

    private suspend fun findElsewhere(stream: String?, services: Set<String>): Answer? {
        val fromReplicas = flow { if (stream != null) emit(askReplicas(stream)) }
        val fromLog = flow { emit(askLog(services)) }
        val hasOneVersion = recordedVersions(services) <= 1
        val answers = if (hasOneVersion) merge(fromReplicas, fromLog) else fromReplicas.followedBy(fromLog)
        return answers.filterNotNull().firstOrNull()
    }

    private suspend fun askReplicas(stream: String): Answer? = withTimeoutOrNull(QUERY_TIMEOUT_MILLIS) {
        replicas.ofAllStreams()
            .map { replica -> flow { emit(peers.find(replica, stream)) } }
            .merge()
            .filterNotNull()
            .firstOrNull()
    }?.let { Answer(it, StreamOriginSource.REPLICA) }

    // What this node has read of the log is not enough: another version may have been recorded since.
    private suspend fun askLog(services: Set<String>): Answer? =
        versions.confirmed(services)?.singleOrNull()?.let { Answer(it, StreamOriginSource.LOG) }

    /** Applies a change of the members. */
    fun onMembersChanged() {
        val wanted = replicas.ofOwnStreams()
        replicators.entries.removeIf { (replica, replicator) ->
            (replica !in wanted).also { if (it) replicator.close() }
        }
        (wanted - replicators.keys).forEach { replica ->
            val waiting = StreamOriginTable(MAXIMUM_BEGUN, RETENTION_MILLIS)
            val replicator = StreamOriginReplicator(tasks, clock, peers, replica, waiting, ::replicatedOrigins)
            replicators[replica] = replicator
            replicator.add(replicatedOrigins())
        }
    }

    /** Applies a change of the routes, or of the versions of a service. */
    fun onServicesChanged() {
        val origins = replicatedOrigins()
        replicators.values.forEach { it.add(origins) }
    }

    /** Detects restarts of the replicas until cancelled. */
    suspend fun run() {
        var wasDisturbed = false
        while (true) {
            delay(MAINTENANCE_INTERVAL_MILLIS)
            if (isLogDisturbed() && !wasDisturbed) onServicesChanged()
            wasDisturbed = isLogDisturbed()
            listOf(begun, held).forEach { it.expire(clock.millis()) }
            if (replicatedOrigins().isNotEmpty()) replicators.values.forEach { it.probe(PROBE_AFTER_MILLIS) }
        }
    }

    private fun replicatedOrigins(): Map<String, StreamOrigin> {
        val recent = begun.recent(clock.millis() - REPORTED_MILLIS)
        val replicated = recent.values.toSet().filter { hasSeveralVersions(it.service) }.toSet()
        return recent.filterValues { it in replicated }
    }

    override fun hasSeveralVersions(service: String): Boolean =
        isLogDisturbed() || recordedVersions(servicesBeside(service)) > 1

    private fun recordedVersions(services: Set<String>): Int = services.sumOf { versions.recorded(it).size }

    private fun <T> Flow<T>.followedBy(other: Flow<T>): Flow<T> = flow {
        emitAll(this@followedBy)
        emitAll(other)
    }

    private companion object {
        // Twice as long as a caller tries to resume a stream.
        const val RETENTION_MILLIS = 60_000L
        const val REPORTED_MILLIS = 30_000L

        // Those of thirty starts per second at one node, and of a hundred at all nodes that report to it.
        const val MAXIMUM_BEGUN = 2_000
        const val MAXIMUM_HELD = 8_000

        const val QUERY_TIMEOUT_MILLIS = 250L

        // A restarted replica has the origins again before another one is usually restarted.
        const val PROBE_AFTER_MILLIS = 1_500L
        const val MAINTENANCE_INTERVAL_MILLIS = 500L
    }
}
