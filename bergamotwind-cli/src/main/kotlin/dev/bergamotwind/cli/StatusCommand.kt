package dev.bergamotwind.cli

/** `status`. */
internal class StatusCommand : AdministrationCommand("status", "Shows the status of each node, a line for each.") {
    override fun execute(client: AdministrationClient): Unit = report(client.status()) { answers ->
        answers.forEach { echo("node=${it.node} ${it.result.fold({ "" }, ::lineOf)}") }
    }
}
