package dev.bergamotwind.replay

import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.subcommands

/** `trace`: generates, replays and measures traces. */
public class TraceCommand : NoOpCliktCommand(name = "trace") {
    init {
        subcommands(TraceReplayCommand(), TraceGenerateCommand(), TraceMeasureCommand())
    }
}
