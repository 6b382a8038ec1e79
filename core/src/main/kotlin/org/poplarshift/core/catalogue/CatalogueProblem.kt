package org.poplarshift.core.catalogue

/**
 * One rule that a catalogue breaks.
 *
 * @property path where, such as `upstreams[0].workers[2].zone`
 */
data class CatalogueProblem(val path: String, val found: String, val expected: String)
