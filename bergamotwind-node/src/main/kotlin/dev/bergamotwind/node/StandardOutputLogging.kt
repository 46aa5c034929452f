package dev.bergamotwind.node

import ch.qos.logback.classic.Level
import ch.qos.logback.classic.Logger
import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.encoder.PatternLayoutEncoder
import ch.qos.logback.classic.spi.Configurator
import ch.qos.logback.classic.spi.Configurator.ExecutionStatus
import ch.qos.logback.classic.spi.ConfiguratorRank
import ch.qos.logback.classic.spi.ILoggingEvent
import ch.qos.logback.core.ConsoleAppender
import ch.qos.logback.core.spi.ContextAwareBase

/**
 * Configures Logback to write to standard output, unless the operator names a configuration file. Loaded as a service.
 * A configuration in XML would add the time of its parser to each start.
 */
@ConfiguratorRank(ConfiguratorRank.CUSTOM_HIGH_PRIORITY)
public class StandardOutputLogging :
    ContextAwareBase(),
    Configurator {
    override fun configure(context: LoggerContext): ExecutionStatus {
        if (System.getProperty(CONFIGURATION_FILE_PROPERTY) != null) return ExecutionStatus.INVOKE_NEXT_IF_ANY
        val layout = PatternLayoutEncoder().also {
            it.context = context
            it.pattern = PATTERN
            it.start()
        }
        val appender = ConsoleAppender<ILoggingEvent>().also {
            it.context = context
            it.name = "standard-output"
            it.encoder = layout
            it.start()
        }
        LIBRARIES.forEach { context.getLogger(it).level = Level.WARN }
        context.getLogger(Logger.ROOT_LOGGER_NAME).apply {
            level = Level.toLevel(System.getenv(LEVEL_VARIABLE), Level.INFO)
            addAppender(appender)
        }
        return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY
    }

    private companion object {
        const val CONFIGURATION_FILE_PROPERTY = "logback.configurationFile"
        const val LEVEL_VARIABLE = "BERGAMOTWIND_LOG_LEVEL"
        const val PATTERN = "time=%d{yyyy-MM-dd'T'HH:mm:ss.SSSXXX, UTC} level=%level thread=%thread %msg%n%ex{8}"

        /** Libraries whose messages below a warning are of no use to operators. */
        val LIBRARIES = listOf("com.linecorp.armeria", "io.netty")
    }
}
