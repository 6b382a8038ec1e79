package org.poplarshift.operator

/** Entry point of the program. */
fun main() = Unit
