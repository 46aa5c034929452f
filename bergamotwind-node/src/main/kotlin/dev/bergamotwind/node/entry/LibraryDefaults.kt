package dev.bergamotwind.node.entry

import io.netty.util.internal.logging.InternalLoggerFactory
import io.netty.util.internal.logging.JdkLoggerFactory
import io.micrometer.common.util.internal.logging.InternalLoggerFactory as MicrometerLoggerFactory
import io.micrometer.common.util.internal.logging.JdkLoggerFactory as MicrometerJdkLoggerFactory

/**
 * Defaults of the libraries in an entry VM. After a power failure all callers wait for the start of its process, so
 * whatever the libraries prepare and an entry VM does not use is switched off.
 */
internal object LibraryDefaults {
    /** Part of the ids of Netty's channels, which do not leave the process. */
    private const val MACHINE_ID = "00:00:00:00:00:00:00:01"

    /** Applies the defaults. Must be called before the first use of the libraries. */
    fun apply() {
        System.setProperty("io.netty.jfr.enabled", "false")
        System.setProperty("io.netty.machineId", MACHINE_ID)
        System.setProperty("io.netty.leakDetection.level", "disabled")
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE)
        MicrometerLoggerFactory.setDefaultFactory(MicrometerJdkLoggerFactory.INSTANCE)
    }
}
