package org.poplarshift.node.settings

/** The outcome of reading a settings file. */
sealed interface SettingsResult {
    /** The file is valid. */
    data class Valid(val settings: NodeSettings) : SettingsResult

    /** The file can't be read or violates the schema. */
    data class Invalid(val problems: List<SettingsProblem>) : SettingsResult
}
