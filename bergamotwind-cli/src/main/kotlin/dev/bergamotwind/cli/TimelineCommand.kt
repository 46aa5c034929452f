package dev.bergamotwind.cli

import com.github.ajalt.clikt.parameters.options.option
import dev.bergamotwind.core.TimeLineEvent

/** `timeline`. */
internal class TimelineCommand :
    AdministrationCommand("timeline", "Merges the events of all given nodes into one list, oldest first.") {
    private val request by option("--request", help = "Only events of this request")
    private val kind by option("--kind", help = "Only events of this kind, for example request.admitted")
    private val team by option("--team", help = "Only events with the field team=ID")
    private val target by option("--target", help = "Only events with the field target=ID")

    override fun execute(client: AdministrationClient): Unit = report(client.timeline(request, kind)) { answers ->
        answers.flatMap { it.result.getOrNull().orEmpty() }
            .filter { event -> holds(event, "team", team) && holds(event, "target", target) }
            .distinct()
            .sortedWith(compareBy({ it.time }, { it.process }))
            .forEach { echo(it.toLine()) }
    }

    private fun holds(event: TimeLineEvent, field: String, wanted: String?): Boolean =
        wanted == null || event.fields.any { it.key == field && it.value == wanted }
}
