package org.poplarshift.core.configuration

import org.poplarshift.core.catalogue.CatalogueProblem

/** The result of applying a record to the configuration. */
sealed interface ConfigurationResult {
    /** The record was applied and resulted in [configuration]. */
    data class Applied(val configuration: Configuration) : ConfigurationResult

    /** The record is not newer than the current version. */
    data object AlreadyApplied : ConfigurationResult

    /** The record is based on another catalogue than the current one, which has the version [inForce]. */
    data class Superseded(val inForce: Long) : ConfigurationResult

    /** The catalogue violates validation rules. */
    data class Invalid(val problems: List<CatalogueProblem>) : ConfigurationResult

    /** The key was not issued: its identifier was issued or withdrawn before, or its organisation is unknown. */
    data class KeyRefused(val keyId: String) : ConfigurationResult
}
