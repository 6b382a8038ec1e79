package org.poplarshift.operator

import picocli.CommandLine.IVersionProvider

/** Reads the version from the manifest of the program's jar. */
class OperatorVersion : IVersionProvider {
    override fun getVersion(): Array<String> =
        arrayOf("poplarshift ${javaClass.`package`.implementationVersion ?: "development"}")
}
