package org.poplarshift.verification.soak

import io.vertx.core.Vertx
import org.poplarshift.standins.store.OperatorRecords
import org.poplarshift.standins.store.StoreStandIn
import org.poplarshift.standins.worker.RegisteredWorker
import org.poplarshift.standins.worker.ResponseFault
import kotlin.random.Random

/**
 * The workers of all services, which renew their entries in the store. Used on one event loop.
 *
 * @param usualFault how a worker responds to a request that no injected fault affects
 */
class SoakWorkers(
    private val vertx: Vertx,
    private val random: Random,
    private val store: StoreStandIn,
    private val ledger: SoakLedger,
    private val usualFault: () -> ResponseFault = { ResponseFault.None },
) {
    private val members = ArrayList<Member>()
    private var started = 0
    private var newestVersion = 1
    private var sequence = 0

    /** Response faults that are in effect, each with the share of the requests that it affects. */
    val responseFaults = ArrayList<Pair<ResponseFault, Double>>()

    /** The workers that run and accept connections. */
    val running: List<RegisteredWorker>
        get() = members.filter { it.isRunning && it.worker.isListening }.map { it.worker }

    /** Starts a worker of [service] at [port], or at any port if it is 0. */
    suspend fun start(service: String, port: Int = 0, softwareVersion: String = versionText()): RegisteredWorker {
        val id = "i-${started++}"
        val isEngine = service == SoakOrganisations.ENGINE_SERVICE
        val worker = RegisteredWorker(vertx, id, softwareVersion, isEngine, SLOTS, { chooseFault() }, ledger::onRun)
        worker.listen(HOST, port)
        members += Member(worker, service, ZONES[started % ZONES.size])
        return worker
    }

    /** Ends [worker] and starts one of another service at its address. */
    suspend fun takeAddress(worker: RegisteredWorker) {
        crash(worker)
        removeEntry(worker)
        start((SERVICES - serviceOf(worker)).first(), worker.port)
        startLike(worker)
        renewEntries()
    }

    /** Starts a worker of the service and the software version of [worker]. */
    suspend fun startLike(worker: RegisteredWorker): RegisteredWorker =
        start(serviceOf(worker), softwareVersion = worker.softwareVersion)

    /** Starts [count] workers with streams of the next software version. */
    suspend fun release(count: Int) {
        newestVersion++
        repeat(count) { start(SoakOrganisations.ENGINE_SERVICE) }
        renewEntries()
    }

    /** Number of workers with streams of [softwareVersion] that accept requests. */
    fun servingEngines(softwareVersion: String): Int =
        engines().count { it.softwareVersion == softwareVersion && !it.isLeaving }

    /** The [count] workers with streams that were started first. */
    fun oldestEngines(count: Int): List<RegisteredWorker> = engines().filter { !it.isLeaving }.take(count)

    private fun engines() = running.filter { serviceOf(it) == SoakOrganisations.ENGINE_SERVICE }

    private fun versionText() = "v$newestVersion"

    /** Renews the entries of all running workers. */
    fun renewEntries() {
        sequence++
        members.filter { it.isRunning }.forEach { writeEntry(it) }
    }

    /** Ends [worker] without notice. Its entry is removed as if it had lapsed. */
    suspend fun crash(worker: RegisteredWorker) {
        member(worker).isRunning = false
        worker.crash()
    }

    /** Starts [worker] again at its address, unless it has ended for good or its address was taken meanwhile. */
    suspend fun restart(worker: RegisteredWorker) {
        if (member(worker).isRunning) worker.listen(HOST)
    }

    /** Removes the entry of a crashed worker, as the platform does some time later. */
    fun removeEntry(worker: RegisteredWorker) = store.put(OperatorRecords.WORKER_TOPIC, worker.id, "")

    /** Writes that [worker] leaves. It goes on serving until it is crashed. */
    fun drain(worker: RegisteredWorker) {
        worker.isLeaving = true
        member(worker).isDraining = true
        writeEntry(member(worker))
    }

    /** Service of [worker]. */
    fun serviceOf(worker: RegisteredWorker): String = member(worker).service

    private fun member(worker: RegisteredWorker): Member = members.first { it.worker === worker }

    private fun writeEntry(member: Member) {
        val address = "$HOST:${member.worker.port}"
        val entry =
            OperatorRecords.worker(
                member.service,
                member.worker,
                address,
                member.zone,
                SLOTS,
                member.isDraining,
                sequence,
            )
        store.put(OperatorRecords.WORKER_TOPIC, member.worker.id, entry)
    }

    private fun chooseFault(): ResponseFault {
        var drawn = random.nextDouble()
        for ((fault, share) in responseFaults) {
            if (drawn < share) return fault
            drawn -= share
        }
        return usualFault()
    }

    private class Member(val worker: RegisteredWorker, val service: String, val zone: String) {
        var isRunning = true
        var isDraining = false
    }

    companion object {
        /** Availability zones of nodes and workers. */
        val ZONES = listOf("one", "two", "three")
        private val SERVICES = listOf(SoakOrganisations.ENGINE_SERVICE, SoakOrganisations.PLAIN_SERVICE)
        private const val HOST = "127.0.0.1"
        private const val SLOTS = 8
    }
}
