package dev.bergamotwind.cli

/** `drain`. Takes no nodes from the environment, which commonly names all of them. */
internal class DrainCommand :
    AdministrationCommand(
        "drain",
        "Starts the graceful shutdown of the nodes given by --node; BERGAMOTWIND_NODES is not used.",
        nodesFromEnvironment = false,
    ) {
    override fun execute(client: AdministrationClient): Unit = report(client.drain()) { answers ->
        answers.forEach { echo("draining node=${it.node}") }
    }
}
