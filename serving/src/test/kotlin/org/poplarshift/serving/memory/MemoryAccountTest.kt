package org.poplarshift.serving.memory

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against clients that together exhaust the heap, and against small or fast ones that are given up for them. */
class MemoryAccountTest :
    FunSpec({
        data class Held(
            val bytes: Long,
            val ageMillis: Long = 0,
            val isEvictable: Boolean = true,
            val owner: String = "",
        )

        data class Case(val name: String, val holdings: List<Held>, val kept: List<Boolean>)
        listOf(
            Case("all fit", listOf(Held(60), Held(40)), listOf(true, true)),
            Case("the largest is given up", listOf(Held(30), Held(60), Held(20)), listOf(true, false, true)),
            Case(
                "the oldest of a size is given up",
                listOf(Held(40, 5), Held(40, 9), Held(40)),
                listOf(true, false, true),
            ),
            Case(
                "a request that may run is kept",
                listOf(Held(90, isEvictable = false), Held(20)),
                listOf(true, false),
            ),
            Case(
                "an organisation has half of the account",
                listOf(Held(30, 1, owner = "a"), Held(45, owner = "b"), Held(24, owner = "a")),
                listOf(false, true, true),
            ),
        ).forEach { case ->
            test("holdings keep to the limit: ${case.name}") {
                var nowMillis = 1_000L
                var evicted = 0
                val account = MemoryAccount(limitBytes = 100, { nowMillis }) { evicted++ }
                val holdings = case.holdings.map { held ->
                    nowMillis = 1_000L - held.ageMillis
                    val owners = listOf(MemoryOwner(MemoryOwner.Kind.ORGANISATION, held.owner)).filter {
                        held.owner !=
                            ""
                    }
                    account.hold(MemoryUse.REQUEST_BODY, owners) {}.also { it.isEvictable = held.isEvictable }
                }
                nowMillis = 1_000L
                holdings.zip(case.holdings).forEach { (holding, held) -> holding.resize(held.bytes) }
                holdings.map { !it.isEvicted } shouldBe case.kept
                evicted shouldBe case.kept.count { !it }
                holdings.forEach { it.free() }
                account.usedBytes shouldBe 0
            }
        }
    })
