package dev.bergamotwind.replay

import com.github.ajalt.clikt.core.main

/** Runs [TraceCommand] on its own. */
public fun main(arguments: Array<String>): Unit = TraceCommand().main(arguments)
