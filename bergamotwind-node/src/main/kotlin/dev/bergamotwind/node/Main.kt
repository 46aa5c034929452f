package dev.bergamotwind.node

import com.github.ajalt.clikt.core.main

/** Entry point of `bergamotwind-node`. */
public fun main(arguments: Array<String>) {
    // Chosen explicitly: io_uring must not be used, and NIO works on every machine.
    System.setProperty("com.linecorp.armeria.transportType", "nio")
    NodeCommand().main(arguments)
}
