package org.poplarshift.node.caller

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import org.poplarshift.node.fixture.FakeWorker
import org.poplarshift.node.fixture.Fleet
import org.poplarshift.node.fixture.RawCaller
import java.util.concurrent.TimeUnit

/** Guards against keys that remain valid after their withdrawal, also on open connections (R6). */
class WithdrawnKeyTest :
    FunSpec({
        test("a withdrawn key is refused and its open streams are ended within 5 s") {
            Fleet().use { fleet ->
                val engine = fleet.worker()
                val node = fleet.node()
                val base = Fleet.catalogue(listOf(engine))
                val longIdleTimeout = base.upstreams[0].copy(timeouts = Fleet.TIMEOUTS.copy(idleMillis = 30_000))
                fleet.publish(base.copy(upstreams = listOf(longIdleTimeout, base.upstreams[1])))
                val key = fleet.issueKey("office", keyId = "first")
                val other = fleet.issueKey("office", keyId = "second")
                node.awaitVersion(2)
                engine.answer = { if (it.method().name() == "DELETE") FakeWorker.echo(it) else FakeWorker.stream(it) }
                val withdrawn = RawCaller(node.callersAddress).complete(key)
                val unaffected = RawCaller(node.callersAddress).complete(other)
                withdrawn.readUntil("data: 1")
                unaffected.readUntil("data: 1")

                val startedNanos = System.nanoTime()
                fleet.withdrawKey("first")
                val response = withdrawn.readToEnd()
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedNanos) shouldBeLessThan 5_000
                response shouldContain "data: 1"
                response shouldNotContain RawCaller.FINAL_CHUNK
                node.complete(key).statusCode() shouldBe 401
                node.node.openRequests.size shouldBe 1
                unaffected.close()
            }
        }
    })
