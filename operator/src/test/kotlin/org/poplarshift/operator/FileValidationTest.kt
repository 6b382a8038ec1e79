package org.poplarshift.operator

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.poplarshift.operator.batch.ItemFile
import java.io.File
import kotlin.io.path.createTempFile
import kotlin.io.path.writeText

/** Guards against schemas that differ from the code and against error messages without the location of the problem. */
class FileValidationTest :
    FunSpec({
        test("a catalogue with every field is valid") {
            CommandRun.of("catalogue", "check", "${TestCatalogue.file()}").exitCode shouldBe 0
        }

        data class Case(val from: String, val to: String, val message: String)

        listOf(
            Case("\"slots\":3", "\"slots\":0", "zones[0].slots: found 0, expected minimum 1"),
            Case("\"slots\":3", "\"solts\":3", "zones[0].solts: found an unknown field"),
            Case("\"owner\":\"team\",\"ratePerSecond\"", "\"ratePerSecond\"", "organisations[0].owner: found no value"),
            Case("\"zone\":\"z\"", "\"zone\":\"y\"", "upstreams[0].workers[0].zone: found y, expected one of z"),
            Case("{\"zones\"", "{{\"zones\"", "expected JSON"),
        ).forEach { case ->
            test("check reports ${case.message}") {
                val file = TestCatalogue.file { it.replaceFirst(case.from, case.to) }
                val run = CommandRun.of("catalogue", "check", "$file")
                run.exitCode shouldBe 2
                run.err shouldContain "$file"
                run.err shouldContain case.message
            }
        }

        test("check reports the path of a problem in a settings file") {
            val file = createTempFile().also { it.toFile().deleteOnExit() }
            file.writeText("""{"vm":"a","limits":{"bodyBytes":1}}""")
            val run = CommandRun.of("catalogue", "check", "--settings=$file")
            run.exitCode shouldBe 2
            run.err shouldContain "$file: limits.bodyBytes: found 1, expected minimum 1024"
        }

        test("the published settings schema equals the schema that nodes use") {
            val root = File(System.getProperty("poplarshift.root"))
            root.resolve("docs/settings.schema.json").readText() shouldBe
                root.resolve("node/src/main/resources/settings.schema.json").readText()
        }

        listOf(
            """{"id":"a","body":{}}""" to null,
            """{"id":"a","body":{}}${"\n"}{"id":"a","body":{}}""" to "line 2.id",
            """{"body":{}}""" to "line 1.id",
            """{"id":"a"}""" to "line 1.body",
            "[]" to "line 1",
        ).forEach { (text, path) ->
            test("the path of the first problem in an item file with $text is $path") {
                val file = createTempFile().also { it.toFile().deleteOnExit() }
                file.writeText(text)
                ItemFile(file).problems().firstOrNull()?.path shouldBe path
            }
        }
    })
