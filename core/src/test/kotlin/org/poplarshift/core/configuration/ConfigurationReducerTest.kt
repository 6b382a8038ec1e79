package org.poplarshift.core.configuration

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.poplarshift.core.catalogue.Catalogue
import org.poplarshift.core.catalogue.CatalogueFixture.catalogue
import org.poplarshift.core.catalogue.CatalogueFixture.organisation
import org.poplarshift.core.configuration.ConfigurationRecord.CataloguePublished
import org.poplarshift.core.configuration.ConfigurationRecord.Companion.NO_VERSION
import org.poplarshift.core.configuration.ConfigurationRecord.ConfigurationSnapshot
import org.poplarshift.core.configuration.ConfigurationRecord.KeyIssued
import org.poplarshift.core.configuration.ConfigurationRecord.KeyWithdrawn
import kotlin.random.Random

/**
 * Guards against a configuration that reverts to an older version, concurrent publications that both succeed, a
 * withdrawn key that becomes valid again, and a snapshot that changes the configuration.
 */
class ConfigurationReducerTest :
    FunSpec({
        val reducer = ConfigurationReducer()
        val first = CataloguePublished(basedOn = NO_VERSION, catalogue = catalogue)
        val issued = KeyIssued(keyId = "k1", organisation = "office", sha256 = KeyDirectory.hash("secret"))

        fun applied(configuration: Configuration, offset: Long, record: ConfigurationRecord): Configuration =
            when (val result = reducer.apply(configuration, offset, record)) {
                is ConfigurationResult.Applied -> result.configuration
                else -> configuration
            }

        val published = applied(Configuration(), 0, first)
        val withKey = applied(published, 1, issued)
        val withdrawn = applied(withKey, 2, KeyWithdrawn("k1"))

        data class Case(
            val name: String,
            val configuration: Configuration,
            val offset: Long,
            val record: ConfigurationRecord,
            val expected: ConfigurationResult,
        )

        listOf(
            Case("an old record", withdrawn, 1, issued, ConfigurationResult.AlreadyApplied),
            Case("the same record again", withdrawn, 2, KeyWithdrawn("k1"), ConfigurationResult.AlreadyApplied),
            Case(
                "a catalogue that is based on no version",
                withKey,
                3,
                first,
                ConfigurationResult.Superseded(inForce = 0),
            ),
            Case("issuing a withdrawn key again", withdrawn, 3, issued, ConfigurationResult.KeyRefused("k1")),
            Case(
                "a key of an unknown organisation",
                published,
                3,
                issued.copy(organisation = "nobody"),
                ConfigurationResult.KeyRefused("k1"),
            ),
            Case(
                "an older snapshot",
                withdrawn,
                3,
                ConfigurationSnapshot(withKey),
                ConfigurationResult.AlreadyApplied,
            ),
        ).forEach { case ->
            test("${case.name} changes nothing") {
                reducer.apply(case.configuration, case.offset, case.record) shouldBe case.expected
            }
        }

        test("of two concurrent publications, the first succeeds and the second returns the current version") {
            val one = catalogue.copy(organisations = listOf(organisation.copy(burst = 30.0)))
            val two = catalogue.copy(organisations = listOf(organisation.copy(burst = 40.0)))
            val winner = applied(published, 1, CataloguePublished(basedOn = 0, catalogue = one))
            val loser = reducer.apply(winner, 2, CataloguePublished(basedOn = 0, catalogue = two))
            winner.catalogue shouldBe one
            loser shouldBe ConfigurationResult.Superseded(inForce = 1)
        }

        test("an invalid catalogue is rejected") {
            val bad = first.copy(catalogue = catalogue.copy(zones = emptyList()))
            reducer.apply(Configuration(), 0, bad).shouldBeInstanceOf<ConfigurationResult.Invalid>()
        }

        test("a node does not adopt an older version from a peer") {
            reducer.adopt(withdrawn, withKey) shouldBe ConfigurationResult.AlreadyApplied
            reducer.adopt(withKey, withdrawn) shouldBe ConfigurationResult.Applied(withdrawn)
        }

        test("a withdrawn key is not found") {
            KeyDirectory(withKey.keys).find("secret")?.organisation shouldBe "office"
            KeyDirectory(withdrawn.keys).find("secret") shouldBe null
        }

        (1..20).forEach { seed ->
            test("nodes that read, reread, adopt and restart in random order converge (seed $seed)") {
                val random = Random(seed)
                val log = List(12) { index -> randomRecord(random, index.toLong(), catalogue) }
                val expected = log.foldIndexed(Configuration()) { offset, state, record ->
                    applied(state, offset.toLong(), record)
                }
                runNodes(random, log, ::applied, reducer).forEach { it shouldBe expected }
            }
        }
    })

private fun randomRecord(random: Random, index: Long, catalogue: Catalogue) = when (random.nextInt(4)) {
    0 -> CataloguePublished(basedOn = if (index == 0L) NO_VERSION else random.nextLong(-1, index), catalogue)
    1 -> KeyWithdrawn("k${random.nextInt(4)}")
    else -> KeyIssued("k${random.nextInt(4)}", "office", sha256 = "hash$index")
}

/**
 * Runs random steps on two nodes and checks that the version of a node never decreases, except at a restart. Returns
 * their configurations after both have read the log to its end.
 */
private fun runNodes(
    random: Random,
    log: List<ConfigurationRecord>,
    apply: (Configuration, Long, ConfigurationRecord) -> Configuration,
    reducer: ConfigurationReducer,
): List<Configuration> {
    val states = MutableList(2) { Configuration() }
    val positions = MutableList(2) { 0 }
    repeat(60) {
        val node = random.nextInt(2)
        val before = states[node].version
        when (random.nextInt(8)) {
            0 -> {
                states[node] = Configuration()
                positions[node] = 0
            }
            1, 2 -> {
                val result = reducer.adopt(states[node], states[1 - node])
                if (result is ConfigurationResult.Applied) states[node] = result.configuration
                states[node].version.let { check(it >= before) }
            }
            else -> {
                val position = minOf(positions[node], log.lastIndex)
                states[node] = apply(states[node], position.toLong(), log[position])
                positions[node] = if (random.nextBoolean()) position + 1 else maxOf(0, position - 1)
                check(states[node].version >= before)
            }
        }
    }
    return states.map { state ->
        log.foldIndexed(state) { offset, current, record -> apply(current, offset.toLong(), record) }
    }
}
