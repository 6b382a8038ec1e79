package org.poplarshift.verification.soak

import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.vertx.core.Vertx
import org.poplarshift.standins.vm.VmProcess
import org.poplarshift.standins.vm.VmSettings
import java.io.File
import kotlin.concurrent.thread

/** Guards against processes of nodes that still run after the soak has ended. */
class NodeSupervisorTest :
    FunSpec({
        class Fixture(private val stopAtStep: Int?) {
            private val vertx = Vertx.vertx()
            private val directory = tempdir()
            private val ledger = SoakLedger()
            private val started = ArrayList<FakeProcess>()
            private val nodes = List(NODES) { createNode("node-$it") }
            private val supervisor = NodeSupervisor(nodes, Disturbances(), ledger) {
                step()
                0
            }
            private var stop: Thread? = null

            var steps = 0
                private set
            val violations
                get() = ledger.violations
            val alive
                get() = started.filter { it.isAlive }

            private fun createNode(name: String): SoakNode {
                val settings = VmSettings(name, "zone", "127.0.0.1", 1, "127.0.0.1:1", directory)
                val process = VmProcess(settings, File("node.jar")) {
                    step()
                    FakeProcess(started.size.toLong()).also {
                        started += it
                        step()
                    }
                }
                return SoakNode(settings, process, StoreLink(vertx, "127.0.0.1", 1))
            }

            // As in the soak, the stop comes on another thread. It may have to wait for the step to end.
            private fun step() {
                if (++steps != stopAtStep) return
                stop = thread { supervisor.stop() }
                while (!supervisor.isStopping) Thread.onSpinWait()
            }

            /** Starts all nodes, ends them and starts them again, with the stop in one of the steps. */
            fun run() {
                step()
                supervisor.startAll()
                step()
                if (stop == null) started.forEach { it.end() }
                step()
                supervisor.restartEnded()
                step()
                if (stop == null) supervisor.stop()
                supervisor.restartEnded()
                stop?.join()
                vertx.close()
            }
        }

        test("a fleet that has not been stopped starts ended processes again and reports them") {
            val fixture = Fixture(stopAtStep = null).also { it.run() }
            fixture.steps shouldBe STEPS
            fixture.violations shouldHaveSize NODES
        }

        (1..STEPS).forEach { step ->
            test("no process is left after a stop in step $step") {
                Fixture(stopAtStep = step).also { it.run() }.alive.shouldBeEmpty()
            }
        }
    }) {
    private companion object {
        const val NODES = 3

        // Four around the two rounds, before and after the launch of each process in both, and around each restart.
        const val STEPS = 4 + 4 * NODES + 2 * NODES
    }
}
