package org.poplarshift.serving.forward

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.micrometer.core.instrument.simple.SimpleMeterRegistry
import io.vertx.core.Vertx
import io.vertx.kotlin.coroutines.coAwait
import io.vertx.kotlin.coroutines.dispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import org.poplarshift.core.dispatch.FleetWorker
import org.poplarshift.core.dispatch.LoadBalancer
import org.poplarshift.serving.MonotonicClock
import org.poplarshift.serving.fixture.TestTasks
import org.poplarshift.serving.observe.UnusableResponseRecorder

/**
 * Guards against a probe that takes an idle connection from the pool and returns it for longer than its worker keeps it
 * open: a request that is sent on it afterwards is lost.
 */
class WorkerProberTest :
    FunSpec({
        test("a probe opens a new connection and does not change the keep-alive time of an idle one") {
            val vertx = Vertx.vertx()
            val scope = CoroutineScope(SupervisorJob() + vertx.dispatcher())
            try {
                scope.async {
                    val server = vertx.createNetServer().connectHandler { }.listen(0, "127.0.0.1").coAwait()
                    val address = "127.0.0.1:${server.actualPort()}"
                    val worker =
                        FleetWorker("w", "s", address, "here", slots = 1, isDraining = false, startedMillis = 1)
                    val loadBalancer = LoadBalancer("here").apply { update(listOf(worker)) }
                    val recorder = UnusableResponseRecorder(SimpleMeterRegistry())
                    val pool =
                        WorkerConnectionPool(DirectWorkerConnector(vertx, "127.0.0.1"), MonotonicClock.SYSTEM, recorder)
                    val state = loadBalancer.state("w").shouldNotBeNull()
                    val connection = pool.acquire(worker, "r", mayRepeat = true).shouldNotBeNull()

                    WorkerProber(TestTasks.of(scope), loadBalancer, pool).markUnreachable(state)
                    pool.release(connection, KEEP_ALIVE_MILLIS)
                    val reusableUntilMillis = connection.reusableUntilMillis
                    delay(PROBE_MILLIS)

                    state.isSuspect shouldBe false
                    connection.reusableUntilMillis shouldBe reusableUntilMillis
                    pool.connectionsOpened shouldBe 2
                }.await()
            } finally {
                scope.cancel()
                vertx.close().coAwait()
            }
        }
    }) {
    private companion object {
        const val KEEP_ALIVE_MILLIS = 2_000L

        // Longer than until the first probe, shorter than the keep-alive time.
        const val PROBE_MILLIS = 500L
    }
}
