package dev.bergamotwind.test

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import dev.bergamotwind.api.AdapterId
import dev.bergamotwind.api.Artifact
import dev.bergamotwind.api.Mebibytes
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.TargetId

/** Runs an [EngineServer] until the process is terminated. */
public class EngineCommand : CliktCommand(name = "engine") {
    private val address by option("--address", help = "IP number to listen on").default("127.0.0.1")
    private val port by option("--port", help = "port to listen on").int().required()
    private val id by option("--id", help = "target id").required()
    private val memory by option("--memory", help = "accelerator memory in MiB").long().default(80_000)
    private val loaded by option("--loaded", help = "MODEL@VERSION or MODEL@VERSION+ADAPTER=MIB").multiple()
    private val tokenDelay by option("--token-delay", help = "milliseconds between tokens").long().default(0)
    private val loadTime by option("--load-time", help = "milliseconds that a load takes").long().default(50)
    private val checksFencing by option("--checks-fencing", help = "refuse old fencing numbers").flag()

    override fun run() {
        val initialArtifacts = loaded.associate {
            parseArtifact(it.substringBefore('=')) to Mebibytes(it.substringAfter('=').toLong())
        }
        val options =
            EngineOptions(TargetId(id), Mebibytes(memory), checksFencing, initialArtifacts, tokenDelay, loadTime)
        EngineServer(address, port, options).start()
        echo("event=engine.started id=$id port=$port")
        Thread.currentThread().join()
    }

    private fun parseArtifact(text: String): Artifact {
        val adapter = text.substringAfter('+', "").ifEmpty { null }
        val model = text.substringBefore('+')
        return Artifact(ModelId(model.substringBefore('@')), model.substringAfter('@'), adapter?.let(::AdapterId))
    }
}
