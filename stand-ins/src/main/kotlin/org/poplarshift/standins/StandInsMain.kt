package org.poplarshift.standins

/** Entry point of the program. */
fun main() = Unit
