package dev.bergamotwind.core

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import com.akuleshov7.ktoml.Toml
import dev.bergamotwind.api.Failure
import kotlinx.serialization.SerializationException
import kotlinx.serialization.decodeFromString

/** A state chart read from a TOML file and checked: no unreachable state, no undefined event, no ambiguity. */
public class StateChart internal constructor(private val file: StateChartFile) {
    private val targets = file.transitions.associate { StateAndEvent(it.from, it.event) to it.to }

    /** Name of the chart. */
    public val name: String get() = file.name

    /** State of a new machine. */
    public val initial: String get() = file.initial

    /** All states that occur in the chart. */
    public val states: Set<String> = statesOf(file)

    /** Returns the state that follows [state] on [event], or null if the chart declares none. */
    public fun next(state: String, event: String): String? = targets[StateAndEvent(state, event)]

    /** Whether a machine in [state] has ended. */
    public fun isFinal(state: String): Boolean = state in file.final

    private data class StateAndEvent(val state: String, val event: String)

    /** Reads charts. */
    public companion object {
        /** Parses and checks [toml]; fails with [Failure.Invalid] naming every fault. */
        public fun parse(toml: String): Either<Failure, StateChart> {
            val file = try {
                Toml.decodeFromString<StateChartFile>(toml)
            } catch (failure: SerializationException) {
                return Failure.Invalid("state chart: ${failure.message}", "Correct the state-chart file.").left()
            }
            val faults = faultsOf(file)
            return if (faults.isEmpty()) {
                StateChart(file).right()
            } else {
                Failure.Invalid("state chart ${file.name}: ${faults.joinToString("; ")}", "Correct the chart.").left()
            }
        }

        /** Reads the chart in the resource [path] of [owner]'s module; a faulty shipped chart is a build error. */
        public fun ofResource(owner: Class<*>, path: String): StateChart {
            val stream = checkNotNull(owner.getResourceAsStream(path)) { "missing state chart $path" }
            val text = stream.use { it.readBytes().decodeToString() }
            return parse(text).fold({ error(it.message) }, { it })
        }

        private fun statesOf(file: StateChartFile): Set<String> =
            file.transitions.flatMap { listOf(it.from, it.to) }.toSet() + file.initial + file.final

        private fun faultsOf(file: StateChartFile): List<String> {
            val reachable = reachableStates(file)
            val leaving = file.transitions.map { it.from }.toSet()
            val used = file.transitions.map { it.event }.toSet()
            val ambiguous = file.transitions.groupBy { it.from to it.event }.filterValues { it.size > 1 }.keys
            return buildList {
                statesOf(file).filterNot { it in reachable }.forEach { add("state $it is unreachable") }
                statesOf(file).filterNot {
                    it in leaving || it in file.final
                }.forEach { add("state $it has no way out") }
                used.filterNot { it in file.events }.forEach { add("event $it is undefined") }
                file.events.filterNot { it in used }.forEach { add("event $it is unused") }
                ambiguous.forEach { add("state ${it.first} has two transitions on ${it.second}") }
            }
        }

        private fun reachableStates(file: StateChartFile): Set<String> {
            val reachable = mutableSetOf(file.initial)
            do {
                val found = file.transitions.filter { it.from in reachable && it.to !in reachable }.map { it.to }
                reachable += found
            } while (found.isNotEmpty())
            return reachable
        }
    }
}
