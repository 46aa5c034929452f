package dev.bergamotwind.cli

import arrow.core.Either
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.groups.provideDelegate

/** A command that calls the administration API. */
internal abstract class AdministrationCommand(
    name: String,
    private val summary: String,
    nodesFromEnvironment: Boolean = true,
) : CliktCommand(name) {
    private val connection by ConnectionOptions(nodesFromEnvironment)

    override fun help(context: Context): String = summary

    final override fun run(): Unit = connection.open().use(::execute)

    /** Does the work of the command. */
    protected abstract fun execute(client: AdministrationClient)

    /** Returns the result or ends the command. */
    protected fun <T> Either<AdministrationError, T>.orExit(): T =
        fold({ throw CommandError(it.message, it.exitCode) }, { it })

    /** Hands what each node answered to [print], reports the others and ends the command if there are any. */
    protected fun <T> report(answers: List<NodeAnswer<T>>, print: (List<NodeAnswer<T>>) -> Unit) {
        print(answers.filter { it.result.isRight() })
        val failures = answers.mapNotNull { it.result.leftOrNull() }
        failures.dropLast(1).forEach { echo("Error: ${it.message}", err = true) }
        failures.lastOrNull()?.let { last -> throw CommandError(last.message, failures.maxOf { it.exitCode }) }
    }
}
