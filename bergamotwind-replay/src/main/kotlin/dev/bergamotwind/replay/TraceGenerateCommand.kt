package dev.bergamotwind.replay

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.long
import kotlin.time.Duration.Companion.seconds

/** `trace generate DEPLOYMENT`. */
internal class TraceGenerateCommand : CliktCommand(name = "generate") {
    private val deployment by argument("DEPLOYMENT")
    private val seed by option("--seed").long().default(1)
    private val lengthSeconds by option("--seconds").long()
        .default(TraceGenerator.DEFAULT_TRACE_LENGTH.inWholeSeconds)

    override fun help(context: Context): String = "Writes a generated trace to standard output."

    override fun run() {
        val found = Deployment.ofName(deployment)
            ?: throw CliktError("unknown deployment '$deployment'; use association or dendrometrica")
        val text = buildString { TraceFile.write(TraceGenerator.generate(found, seed, lengthSeconds.seconds), this) }
        echo(text, trailingNewline = false)
    }
}
