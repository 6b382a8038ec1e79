package org.poplarshift.core.dispatch

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.core.ingress.IngressOrganisation

/** Guards against organisations without a rate limit that get no slots or all of them, and against outdated weights. */
class OrganisationWeightsTest :
    FunSpec({
        fun organisation(name: String, rate: Double) = IngressOrganisation(name, emptySet(), null, rate, burst = rate)

        data class Case(val name: String, val organisations: List<IngressOrganisation>?, val weights: List<Double>)
        listOf(
            Case("without a configuration all are equal", null, listOf(1.0, 1.0, 1.0)),
            Case("without limits all are equal", listOf(organisation("a", 0.0)), listOf(1.0, 1.0, 1.0)),
            Case(
                "an organisation without a limit has the mean weight",
                listOf(organisation("a", 2.0), organisation("b", 0.0), organisation("c", 10.0)),
                listOf(2.0, 6.0, 6.0),
            ),
        ).forEach { case ->
            test(case.name) {
                val weights = OrganisationWeights { case.organisations }
                listOf("a", "b", null).map { weights.of(it) } shouldBe case.weights
            }
        }

        test("a new configuration applies at once") {
            var organisations = listOf(organisation("a", 2.0))
            val weights = OrganisationWeights { organisations }
            weights.of("a") shouldBe 2.0
            organisations = listOf(organisation("a", 3.0))
            weights.of("a") shouldBe 3.0
        }
    })
