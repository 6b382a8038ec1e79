package org.poplarshift.node

import picocli.CommandLine.IVersionProvider

/** Reads the version from the manifest of the program's jar. */
class NodeVersion : IVersionProvider {
    override fun getVersion(): Array<String> =
        arrayOf("poplarshift-node ${javaClass.`package`.implementationVersion ?: "development"}")
}
