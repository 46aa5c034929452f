package dev.bergamotwind.node.entry

import dev.bergamotwind.api.EventRecorder
import dev.bergamotwind.core.event
import java.util.logging.Handler
import java.util.logging.Level
import java.util.logging.LogManager
import java.util.logging.LogRecord
import java.util.logging.Logger
import java.util.logging.SimpleFormatter

/** Records the warnings and errors that libraries log as events, so that a process writes one format only. */
internal class LibraryMessages private constructor(private val recorder: EventRecorder) : Handler() {
    private val messageFormat = SimpleFormatter()

    override fun publish(message: LogRecord) {
        if (!isLoggable(message)) return
        recorder.event("library.message") {
            field("logger", message.loggerName)
            field("level", message.level)
            field("message", messageFormat.formatMessage(message))
            field("fault", message.thrown)
        }
    }

    override fun flush() = Unit

    override fun close() = Unit

    companion object {
        /** Records all further messages of libraries to [recorder]. */
        fun recordTo(recorder: EventRecorder) {
            LogManager.getLogManager().reset()
            Logger.getLogger("").apply {
                level = Level.WARNING
                addHandler(LibraryMessages(recorder))
            }
        }
    }
}
