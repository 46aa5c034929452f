package dev.bergamotwind.replay

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.long

/** `trace measure DEPLOYMENT`: generated traces of many seeds, with the median and the worst of each figure. */
internal class TraceMeasureCommand : CliktCommand(name = "measure") {
    private val deployment by argument("DEPLOYMENT")
    private val policies by option("--policy").choice(ReplayPolicy.entries.associateBy { it.label }).multiple()
    private val seeds by option("--seeds").long().default(DEFAULT_SEEDS)

    override fun help(context: Context): String = "Replays generated traces and prints the median and the worst."

    override fun run() {
        val found = Deployment.ofName(deployment)
            ?: throw CliktError("unknown deployment '$deployment'; use association or dendrometrica")
        val results = (1..seeds).flatMap { seed ->
            val trace = TraceGenerator.generate(found, seed)
            policies.ifEmpty { ReplayPolicy.entries }.map { TraceReplay.run(trace, it, seed) }
        }
        echo(ReplayTable.summarize(results), trailingNewline = false)
    }

    private companion object {
        const val DEFAULT_SEEDS = 20L
    }
}
