package org.poplarshift.verification.soak

import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.poplarshift.standins.caller.CallerClient
import java.io.File
import kotlin.random.Random

/**
 * Runs nodes as processes, injects faults from outside and compares what callers were told with what workers ran.
 *
 * The seed determines the sequence of the faults. Times differ between runs with the same seed.
 */
class Soak(private val settings: SoakSettings) {
    private val vertx = Vertx.vertx()
    private val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
    private val ledger = SoakLedger()
    private val fleet = SoakFleet(vertx, settings, ledger)
    private val client = CallerClient(vertx)
    private val random = Random(settings.seed)
    private val callers = CallerLoad(scope, Random(random.nextInt()), fleet, client)
    private val submissions = SubmissionLoad(scope, Random(random.nextInt()), fleet, client)
    private val injector = FaultInjector(scope, Random(random.nextInt()), fleet, callers, submissions)

    /** Runs the soak and returns its report, which is also written to the directory of the settings. */
    suspend fun run(): SoakReport = try {
        scope.async { runOnEventLoop() }.await()
    } finally {
        fleet.stop()
        scope.cancel()
        vertx.close().coAwait()
    }

    private suspend fun runOnEventLoop(): SoakReport {
        fleet.start()
        scope.launch { fleet.maintain() }
        scope.launch { EventLoopWatch(fleet.disturbances, SoakFleet::now).run() }
        scope.launch { callers.run() }
        scope.launch { submissions.run() }
        injectFaults()
        settle()
        val checks = CallChecks(ledger, fleet.disturbances)
        checks.check()
        checks.checkStops(injector.stops)
        val resumption = VersionCheck(ledger, fleet.disturbances).check()
        val mustBeRefused = KeyCheck(ledger, fleet.disturbances).check(fleet.organisations.withdrawnMillis)
        DrainCheck(ledger, fleet.disturbances).check(injector.drains)
        checkRate()
        SubmissionChecks(fleet, submissions).check()
        return createReport(mustBeRefused, resumption).also {
            File(settings.directory, "report.txt").writeText(it.toString())
        }
    }

    private suspend fun injectFaults() {
        val plan = FaultPlan(random, settings.nodes)
        val endMillis = SoakFleet.now() + settings.seconds * MILLIS_PER_SECOND
        scope.launch { injectLinkFaults(endMillis) }
        scope.launch { injectReleases(endMillis) }
        if (settings.secondResponses > 0) scope.launch { injectSecondResponseFaults(endMillis) }
        while (SoakFleet.now() < endMillis) {
            delay(plan.nextPauseMillis())
            injector.inject(plan.next())
        }
        // The calls until the callers stop come long enough after the last fault to be checked in every soak.
        injector.inject(SoakFault.ReplaceKey)
    }

    private suspend fun injectLinkFaults(endMillis: Long) {
        val plan = LinkPlan(Random(settings.seed + LINK_SEED_OFFSET), settings.nodes)
        injectUntil(endMillis, plan::nextPauseMillis, plan::next)
    }

    private suspend fun injectReleases(endMillis: Long) {
        val plan = ReleasePlan(Random(settings.seed + RELEASE_SEED_OFFSET))
        injectUntil(endMillis, plan::nextPauseMillis, plan::next)
    }

    private suspend fun injectSecondResponseFaults(endMillis: Long) {
        val plan = SecondResponseFaultPlan(Random(settings.seed + SECOND_RESPONSE_SEED_OFFSET))
        injectUntil(endMillis, plan::nextPauseMillis, plan::next)
    }

    private suspend fun injectUntil(endMillis: Long, nextPauseMillis: () -> Long, next: () -> SoakFault) {
        while (true) {
            delay(nextPauseMillis())
            if (SoakFleet.now() >= endMillis) return
            injector.inject(next())
        }
    }

    /** Waits until the faults have ended and the items have results. */
    private suspend fun settle() {
        delay(LONGEST_FAULT_MILLIS)
        callers.isRunning = false
        submissions.isRunning = false
        delay(LONGEST_CALL_MILLIS)
        val checks = SubmissionChecks(fleet, submissions)
        val endMillis = SoakFleet.now() + FINISH_MILLIS
        while (SoakFleet.now() < endMillis && !checks.areComplete()) delay(POLL_MILLIS)
    }

    private fun checkRate() {
        val limited = ledger.calls.filter { it.organisation == SoakOrganisations.LIMITED }
        RateCheck(SoakOrganisations.LIMITED_RATE, SoakOrganisations.LIMITED_BURST).excess(limited)?.let {
            ledger.report(Promise.RATE_LIMIT, "$it runs within 5 s")
        }
    }

    private fun createReport(mustBeRefused: Int, resumption: Resumption) = SoakReport(
        settings = settings,
        faults = injector.history.toList(),
        statuses = ledger.calls.groupingBy { it.result?.status }.eachCount(),
        served = ledger.calls.count { it.result?.status == OK && it.result?.isComplete == true },
        mustBeRefused = mustBeRefused,
        resumption = resumption,
        submissions = ledger.submissions.size,
        accepted = ledger.submissions.count { it.acceptedMillis != null },
        violations = ledger.violations.distinct(),
    )

    private companion object {
        const val OK = 200

        // The store and the workers draw from the seed itself and the next one, the second responses from the third.
        const val LINK_SEED_OFFSET = 2
        const val SECOND_RESPONSE_SEED_OFFSET = 4
        const val RELEASE_SEED_OFFSET = 5
        const val MILLIS_PER_SECOND = 1_000L
        const val LONGEST_FAULT_MILLIS = 12_000L
        const val LONGEST_CALL_MILLIS = 6_000L
        const val FINISH_MILLIS = 30_000L
        const val POLL_MILLIS = 1_000L
    }
}
