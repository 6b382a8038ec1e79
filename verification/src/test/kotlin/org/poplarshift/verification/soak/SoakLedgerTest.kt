package org.poplarshift.verification.soak

import io.kotest.core.spec.style.FunSpec
import io.kotest.datatest.withData
import io.kotest.matchers.shouldBe
import io.vertx.core.MultiMap
import org.poplarshift.standins.caller.Call
import org.poplarshift.standins.worker.ReceivedRequest

/** Guards against a ledger that accepts what no caller has sent: a changed body, another service, another key's owner. */
class SoakLedgerTest :
    FunSpec({
        data class Case(
            val name: String,
            val id: String = "id",
            val body: String = "body",
            val organisation: String = "free",
            val isEngine: Boolean = false,
            val header: String = "other",
            val isAsSent: Boolean = false,
        )

        context("a run is compared with the call that was sent") {
            withData(
                nameFn = { it.name },
                Case("as sent", isAsSent = true),
                Case("unknown id", id = "other"),
                Case("other body", body = "bod"),
                Case("other organisation", organisation = "limited"),
                Case("worker of another service", isEngine = true),
                Case("key passed on", header = "key"),
            ) { case ->
                val ledger = SoakLedger()
                val call = Call("id", "POST", "/x", "host", "key", "body", isChunked = true)
                ledger.onSent(SentCall(call, CallKind.SAFE, "free", "node", 0))
                ledger.onRun(
                    workerRun(
                        requestId = case.id,
                        isEngine = case.isEngine,
                        organisation = case.organisation,
                        request = ReceivedRequest(
                            "POST",
                            "/x",
                            MultiMap.caseInsensitiveMultiMap().add("A", case.header),
                            case.body.encodeToByteArray(),
                        ),
                    ),
                )
                ledger.violations.map { it.promise } shouldBe
                    listOfNotNull(Promise.AS_SENT.takeUnless { case.isAsSent })
            }
        }
    })
