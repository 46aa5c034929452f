package dev.bergamotwind.replay

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.multiple
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.enum
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.long

/** `trace replay FILE`. */
internal class TraceReplayCommand : CliktCommand(name = "replay") {
    private val file by argument("FILE").file(mustExist = true, canBeDir = false, mustBeReadable = true)
    private val policies by option("--policy").choice(ReplayPolicy.entries.associateBy { it.label }).multiple()
    private val seed by option("--seed").long().default(1)
    private val format by option("--format").enum<ReplayFormat> { it.name.lowercase() }.default(ReplayFormat.TABLE)

    override fun help(context: Context): String = "Replays a trace file with one or more policies."

    override fun run() {
        val trace = file.bufferedReader().use(TraceFile::read)
            .fold({ throw CliktError("$file: ${it.message}. ${it.remedy}") }, { it })
        val chosen = policies.ifEmpty { listOf(ReplayPolicy.CURRENT) }
        echo(format.render(chosen.map { TraceReplay.run(trace, it, seed) }), trailingNewline = false)
    }
}
