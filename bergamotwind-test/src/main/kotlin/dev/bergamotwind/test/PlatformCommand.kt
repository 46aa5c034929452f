package dev.bergamotwind.test

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import kotlin.time.Duration.Companion.milliseconds

/** Runs a [PlatformServer] until the process is terminated. */
public class PlatformCommand : CliktCommand(name = "platform") {
    private val port by option(help = "TCP port; 0 chooses a free one").int().default(0)
    private val address by option(help = "IP number to listen on").default("127.0.0.1")
    private val vmLagMillis by option(help = "time in ms after which a new VM list is shown").long().default(0)

    override fun help(context: Context): String = "Runs the stand-in for the key-value service and the VM list"

    override fun run() {
        val server = PlatformServer(port, address, virtualMachineLag = vmLagMillis.milliseconds).start()
        Runtime.getRuntime().addShutdownHook(Thread(server::close))
        echo("event=platform.ready address=${server.endpoint}")
        Thread.currentThread().join()
    }
}
