package org.poplarshift.node.settings

/** The outcome of reading a settings file. */
sealed interface SettingsResult {
    /** The file meets the schema. */
    data class Valid(val settings: NodeSettings) : SettingsResult

    /** The file can't be used. */
    data class Invalid(val problems: List<SettingsProblem>) : SettingsResult
}
