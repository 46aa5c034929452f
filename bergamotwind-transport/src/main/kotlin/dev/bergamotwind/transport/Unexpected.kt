package dev.bergamotwind.transport

import java.util.logging.Level
import java.util.logging.Logger

/** Log of failures that none of the callers of this module can handle; each ends only the step in which it happened. */
internal object Unexpected {
    private val logger = Logger.getLogger("dev.bergamotwind.transport")

    fun log(step: String, failure: Throwable): Unit = logger.log(Level.WARNING, step, failure)
}
