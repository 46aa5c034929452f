package dev.bergamotwind.configuration

import dev.bergamotwind.api.ChangeId
import dev.bergamotwind.api.TeamId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.readText

class PlanningSheetSpec {
    private val header = SheetColumn.entries.joinToString(",") { it.label }
    private val digest = keyDigest("k").value
    private val lines = listOf(
        header,
        "team,joiners,,,,,,100,200,,paint,matt,orders,refuse,,",
        "key,$digest,joiners,,,,,,,,,,,,,",
        "",
        "model,paint,,,1,10,,,,,,,,,,",
        "adapter,matt,,paint,,1,,,,,,,,,,",
        "route,orders,,,,,,,,,,,,,no,yes",
    )
    private val text = lines.joinToString("\n")

    private fun plan(text: String, current: OperatorConfiguration, removeMissing: Boolean = false) =
        PlanningSheet.parse("s.csv", text).fold({ error("$it") }, { it }).plan(current, removeMissing)

    private fun apply(current: OperatorConfiguration, edits: List<ConfigurationEdit>) = ConfigurationEditor.apply(
        current,
        ConfigurationChange(ChangeId("c"), current.revision.next(), edits, "test", 0),
    ).orFail()

    /** A plan must be accepted as one change, be empty when applied again, and remove missing items on request. */
    @Test
    fun `plans the edits that reach the state of the sheet`() {
        val first = apply(OperatorConfiguration(), plan(text, OperatorConfiguration()).fold({ error("$it") }, { it }))
        assertEquals(UnconfirmedKeys.REFUSE, first.teams.getValue(TeamId("joiners")).unconfirmedKeys)
        assertEquals(emptyList<Any>(), plan("\uFEFF$text\n", first).getOrNull())
        assertEquals(emptyList<Any>(), plan(header, first).getOrNull())
        val emptied = apply(first, plan(header, first, removeMissing = true).getOrNull()!!)
        assertEquals(0, emptied.teams.size + emptied.keys.size + emptied.models.size + emptied.routes.size)
        val restored = plan(text, emptied).leftOrNull().orEmpty()
        assertEquals(
            listOf("s.csv:3: key $digest: key ${digest.take(12)} has been revoked"),
            restored.map {
                it.toLine().substringBefore(". ")
            },
        )
    }

    /** All invalid rows must be reported together and with the right line. */
    @Test
    fun `reports every invalid row`() {
        val cases = listOf(
            Triple("team,joiners", "tem,joiners", "2 kind"),
            Triple(",100,", ",ten,", "2 rate_tokens_per_second"),
            Triple(",refuse,", ",never,", "2 unconfirmed_keys"),
            Triple("$digest,joiners", "$digest,", "3 team"),
            Triple("model,paint,,,1,10,,", "model,paint,,,1,10,,7", "5 rate_tokens_per_second"),
            Triple("model,paint,,,1,10", "model,paint,,,1,-3", "5 memory_mib"),
            Triple("adapter,matt,,paint", "adapter,,,paint", "6 id"),
            Triple("no,yes", "no,perhaps", "7 idempotent"),
            Triple("no,yes", "no,yes,more", "7 row"),
            Triple("no,yes", "no,yes\nroute,orders,,,,,,,,,,,,,,", "8 id"),
            Triple(",open,", ",openly,", "1 openly"),
            Triple("no,yes", "no,\"yes", "null syntax"),
        )
        for ((old, new, expected) in cases) {
            val errors = PlanningSheet.parse("s.csv", text.replace(old, new)).leftOrNull().orEmpty()
            assertTrue(expected in errors.map { "${it.line} ${it.field}" }, "$new: $errors")
        }
        val together = text.replace(",100,", ",ten,").replace("no,yes", "no,perhaps")
        assertEquals(2, PlanningSheet.parse("s.csv", together).leftOrNull()?.size)
        val dangling = plan(text.replace("adapter,matt,,paint", "adapter,matt,,varnish"), OperatorConfiguration())
        assertEquals(listOf(6), dangling.leftOrNull()?.map { it.line })
    }

    /** The planning sheet page must match the columns. */
    @Test
    fun `the page lists every column`() {
        val root = generateSequence(Path.of("").toAbsolutePath()) { it.parent }.first { it.resolve("docs").exists() }
        val page = root.resolve("docs/planning-sheet.md").readText()
        SheetColumn.entries.forEach { assertTrue("| `${it.label}` | ${it.description} |" in page, it.label) }
    }
}
