package org.poplarshift.core.catalogue

/**
 * A violation of a rule by a catalogue.
 *
 * @property path the location in the catalogue, such as `upstreams[0].workers[2].zone`
 * @property found the invalid value
 * @property expected the values that the rule accepts
 */
data class CatalogueProblem(val path: String, val found: String, val expected: String)
