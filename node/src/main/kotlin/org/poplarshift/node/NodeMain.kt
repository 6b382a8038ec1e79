package org.poplarshift.node

/** Entry point of the program. */
fun main() = Unit
