package org.poplarshift.serving.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.vertx.core.MultiMap

/** Guards against forwarding header fields of one connection that change the meaning of a message on another one. */
class HopByHopHeadersTest :
    FunSpec({
        test("hop-by-hop fields and the fields listed in Connection are removed, repeated fields are kept") {
            val headers = MultiMap.caseInsensitiveMultiMap()
                .add("Connection", "close, X-Trace")
                .add("Connection", "X-Second")
                .add("x-trace", "1")
                .add("X-Second", "2")
                .add("Transfer-Encoding", "chunked")
                .add("TE", "trailers")
                .add("Upgrade", "h2c")
                .add("Host", "shop")
                .add("Accept", "text/html")
                .add("Accept", "text/plain")
            val remaining = HopByHopHeaders.remove(headers, setOf("host"))
            remaining.map { "${it.key}: ${it.value}" } shouldBe listOf("Accept: text/html", "Accept: text/plain")
        }
    })
