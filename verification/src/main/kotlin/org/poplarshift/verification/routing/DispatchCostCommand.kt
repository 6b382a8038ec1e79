package org.poplarshift.verification.routing

/** Prints the table of [DispatchCost]. Argument: number of decisions per row. */
fun main(arguments: Array<String>) = DispatchCost.run(arguments.getOrNull(0)?.toInt() ?: 20_000)
