package org.poplarshift.node

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.joran.JoranConfigurator
import org.poplarshift.node.settings.LogFormat
import org.slf4j.LoggerFactory

/** Reconfigures Logback once the settings are known, because libraries already log while the settings are read. */
object Logging {
    /** Applies `logback.xml` with the appender for [format]. */
    fun configure(format: LogFormat) {
        val context = LoggerFactory.getILoggerFactory() as LoggerContext
        context.reset()
        context.putProperty("logFormat", format.name.lowercase())
        val configurator = JoranConfigurator()
        configurator.context = context
        configurator.doConfigure(checkNotNull(Logging::class.java.getResource("/logback.xml")))
    }

    /** Writes queued lines for about a second at most, then stops logging. */
    fun flush() {
        (LoggerFactory.getILoggerFactory() as LoggerContext).stop()
    }
}
