package dev.bergamotwind.test

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import dev.bergamotwind.api.TargetId

/** Runs a [ServiceServer] until the process is terminated. */
public class ServiceCommand : CliktCommand(name = "service") {
    private val address by option("--address", help = "IP number to listen on").default("127.0.0.1")
    private val port by option("--port", help = "port to listen on").int().required()
    private val id by option("--id", help = "target id").required()

    override fun run() {
        ServiceServer(address, port, TargetId(id)).start()
        echo("event=service.started id=$id port=$port")
        Thread.currentThread().join()
    }
}
