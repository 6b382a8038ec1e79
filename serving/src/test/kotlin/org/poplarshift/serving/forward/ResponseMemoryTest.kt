package org.poplarshift.serving.forward

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against responses without end that use up the memory of a node, and against harmless ones given up for them. */
class ResponseMemoryTest :
    FunSpec({
        data class Case(val name: String, val sizes: List<Long>, val granted: List<Boolean>, val usedBytes: Long)
        listOf(
            Case("all responses fit", listOf(40, 30, 30), listOf(true, true, true), usedBytes = 100),
            Case("the largest response is given up", listOf(10, 80, 20), listOf(true, false, true), usedBytes = 30),
            Case("two responses are given up", listOf(90, 10, 91), listOf(true, true, false), usedBytes = 100),
            Case("a single response exceeds the limit", listOf(101), listOf(false), usedBytes = 0),
        ).forEach { case ->
            test("responses together keep to the limit: ${case.name}") {
                val memory = ResponseMemory(limitBytes = 100)
                val allocations = case.sizes.map { memory.allocate() }
                allocations.zip(case.sizes).forEach { (allocation, size) -> allocation.resize(size) }
                allocations.map { it.isGranted } shouldBe case.granted
                memory.usedBytes shouldBe case.usedBytes
                allocations.forEach { it.free() }
                memory.usedBytes shouldBe 0
            }
        }

        test("a response that was given up gets no memory any more") {
            val memory = ResponseMemory(limitBytes = 100)
            val allocation = memory.allocate()
            allocation.resize(101) shouldBe false
            allocation.resize(1) shouldBe false
            memory.usedBytes shouldBe 0
        }
    })
