package org.poplarshift.node.caller

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.poplarshift.node.caller.CompletionResult.Invalid
import org.poplarshift.node.caller.CompletionResult.Valid

/** Guards against bodies that an engine would reject or that exhaust the stack, and against a wrong cost. */
class CompletionParserTest :
    FunSpec({
        val parser = CompletionParser()

        data class Case(val body: String, val isChat: Boolean, val path: String)

        val invalid = listOf(
            Case("", false, ""),
            Case("[]", false, ""),
            Case("[".repeat(100_000), false, ""),
            Case("""{"prompt":"x"}""", false, "model"),
            Case("""{"model":1,"prompt":"x"}""", false, "model"),
            Case("""{"model":"m"}""", false, "prompt"),
            Case("""{"model":"m","prompt":"x","stream":"true"}""", false, "stream"),
            Case("""{"model":"m","prompt":"x","max_tokens":-1}""", false, "max_tokens"),
            Case("""{"model":"m","prompt":"x","max_tokens":1.5}""", false, "max_tokens"),
            Case("""{"model":"m","messages":[]}""", true, "messages"),
            Case("""{"model":"m","messages":[{"role":"user"},{"content":"x"}]}""", true, "messages[1].role"),
        )
        for (case in invalid) {
            test("${case.body.take(60)} is refused with the path '${case.path}'") {
                parser.parse(case.body, case.isChat).shouldBeInstanceOf<Invalid>().path shouldBe case.path
            }
        }

        test("the cost is the prompt estimate plus the requested maximum") {
            val body = """{"model":"m","max_tokens":100,"messages":[{"role":"user","content":"${"a".repeat(400)}"}]}"""
            val valid = parser.parse(body, isChat = true).shouldBeInstanceOf<Valid>()
            valid.costTokens shouldBe 201
            valid.prefix shouldBe "a".repeat(256)
        }

        test("field order and white space do not change the canonical body, but content does") {
            val bodies = listOf("""{"model":"m","prompt":"x"}""", """{ "prompt" : "x", "model":"m" }""")
            val canonical = bodies.map { (parser.parse(it, isChat = false) as Valid).canonicalBody }
            canonical[0] shouldBe canonical[1]
            val other = parser.parse("""{"model":"m","prompt":"y"}""", isChat = false) as Valid
            (other.canonicalBody == canonical[0]) shouldBe false
        }

        test("brackets within strings do not count as nesting") {
            val body = """{"model":"m","prompt":"${"[".repeat(1_000)}\\\"${"{".repeat(1_000)}"}"""
            parser.parse(body, isChat = false).shouldBeInstanceOf<Valid>()
        }
    })
