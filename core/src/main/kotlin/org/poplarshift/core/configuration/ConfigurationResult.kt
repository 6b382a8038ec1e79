package org.poplarshift.core.configuration

import org.poplarshift.core.catalogue.CatalogueProblem

/** What a record did to the configuration. */
sealed interface ConfigurationResult {
    /** The record is in force. */
    data class Applied(val configuration: Configuration) : ConfigurationResult

    /** The record's offset is not newer than what is in force. */
    data object AlreadyApplied : ConfigurationResult

    /** Another catalogue was published first, with the version [inForce]. */
    data class Superseded(val inForce: Long) : ConfigurationResult

    /** The catalogue breaks rules. */
    data class Invalid(val problems: List<CatalogueProblem>) : ConfigurationResult

    /** The key can't be given: it was given or withdrawn before, or its organisation is unknown. */
    data class KeyRefused(val keyId: String) : ConfigurationResult
}
