package org.poplarshift.verification.routing

/** Argument: number of decisions for each row. */
fun main(arguments: Array<String>) = DispatchCost.run(arguments.getOrNull(0)?.toInt() ?: 20_000)
