package dev.bergamotwind.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.testing.CliktCommandTestResult
import com.github.ajalt.clikt.testing.test
import dev.bergamotwind.api.ChangeId
import dev.bergamotwind.api.ModelId
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.TeamId
import dev.bergamotwind.api.Tokens
import dev.bergamotwind.configuration.ConfigurationEdit
import dev.bergamotwind.configuration.Route
import dev.bergamotwind.configuration.SheetColumn
import dev.bergamotwind.configuration.keyDigest
import dev.bergamotwind.test.InMemoryKeyValueService
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.net.ServerSocket
import java.nio.file.Path
import kotlin.io.path.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText

class CommandLineSpec {
    private val service = InMemoryKeyValueService()
    private val nodes = listOf(
        StubAdministration("vm-1", service, listOf(10, 30)),
        StubAdministration("vm-2", service, listOf(20, 40)),
    )
    private val environment = mapOf(
        "BERGAMOTWIND_NODES" to nodes.joinToString(",") { it.url },
        "BERGAMOTWIND_CREDENTIAL" to "secret",
    )
    private val deadNode = ServerSocket(0).use { "http://127.0.0.1:${it.localPort}" }

    @AfterEach
    fun stop() = nodes.forEach { it.close() }

    private fun run(line: String, more: Map<String, String> = emptyMap()): CliktCommandTestResult =
        CommandLine().test(line, envvars = environment + more)

    private fun done(line: String): String = run(line).also {
        assertEquals(0, it.statusCode, "$line: ${it.output}")
    }.stdout

    private fun now() = nodes[0].log.readLatest().getOrNull()!!

    private fun setUp() = listOf(
        "domain put lowlands-1 --region lowlands",
        "model put paint --version-id 1 --memory 100",
        "adapter put matt --model paint --memory 2",
        "route put orders --open no",
        "target put e1 --kind engine --domain lowlands-1 --address 127.0.0.1:9 --memory 500 --accelerators 2",
        "target put s1 --kind service --domain lowlands-1 --address 127.0.0.1:8 --route orders",
        "team put joiners --rate 10 --burst 20 --models paint --adapters matt --routes orders",
    ).forEach { assertTrue("accepted revision=" in done(it), it) }

    /** Guards against commands that send another edit than they say, or that reset what is not named. */
    @Test
    fun `puts, lists and removes items`() {
        setUp()
        done("team put joiners --rate 30 --adapters ''")
        val team = now().teams.getValue(TeamId("joiners"))
        assertEquals(
            listOf(Tokens(30), Tokens(20), 1, 0),
            listOf(team.ratePerSecond, team.burst, team.models.size, team.adapters.size),
        )
        val lists = listOf(
            "team list" to "id=joiners ratePerSecond=30 burst=20 weight=1 models=paint",
            "model list" to "id=paint version=1 memory=100",
            "adapter list" to "id=matt model=paint",
            "route list" to "id=orders open=false",
            "target list" to "id=e1 kind=engine",
            "domain list" to "id=lowlands-1 region=lowlands",
        )
        for ((line, expectedText) in lists) assertTrue(expectedText in done(line), line)
        val removals = listOf("team remove joiners", "adapter remove matt", "model remove paint", "target remove e1") +
            listOf("target remove s1", "route remove orders", "domain remove lowlands-1")
        removals.forEach(::done)
        assertEquals(0, now().let { it.teams.size + it.models.size + it.targets.size + it.failureDomains.size })
    }

    /** Guards against a key that is stored, or that does not fit the digest that is stored. */
    @Test
    fun `creates a key, prints it once and revokes it`() {
        setUp()
        val key = done("key create joiners").lines().first { it.startsWith("key=") }.removePrefix("key=")
        val digest = keyDigest(key)
        assertEquals(setOf(digest), now().keys.keys)
        assertTrue(key !in done("key list") && "digest=$digest" in done("key list"))
        done("key revoke ${digest.value.take(12)}")
        assertTrue(now().keys.isEmpty())
        assertTrue("has been revoked" in run("key put $digest --team joiners").stderr)
    }

    /** Guards against an exit code that tells a script the wrong thing, and against errors without a remedy. */
    @Test
    fun `exit codes`() {
        val connected = "--node ${nodes[0].url} --credential secret"
        val dead = "--node $deadNode --credential secret"
        val cases = listOf(
            "status $connected" to ExitCode.DONE,
            "team remove x $connected" to ExitCode.FAILED,
            "status --node ${nodes[0].url} --credential wrong" to ExitCode.FAILED,
            "status $dead" to ExitCode.UNREACHABLE,
            "status $connected --node $deadNode" to ExitCode.UNREACHABLE,
            "team remove x $dead" to ExitCode.UNREACHABLE,
            "status --credential secret" to ExitCode.USAGE,
            "status --node http://entry.example:80 --credential secret" to ExitCode.USAGE,
            "team put new --rate 5 $connected" to ExitCode.USAGE,
            "team put new --rate five $connected" to ExitCode.USAGE,
            "unknown" to ExitCode.USAGE,
            "" to ExitCode.USAGE,
            "settings check no-such-file" to ExitCode.USAGE,
        )
        for ((line, expected) in cases) {
            assertEquals(expected, runCommandLine(line.split(' ').filter { it.isNotEmpty() }), line)
        }
    }

    /** Guards against a command or option without help. */
    @Test
    fun `every command has help`() {
        fun visit(path: String, command: CliktCommand) {
            val help = done("$path --help".trim())
            assertTrue("Usage: bergamotwind" in help && help.lines().count { it.isNotBlank() } > 3, help)
            command.registeredSubcommands().filterIsInstance<CliktCommand>().forEach {
                visit("$path ${it.commandName}", it)
            }
        }
        visit("", CommandLine())
        val page = root().resolve("docs/command-line.md").readText()
        allCommands().flatMap { group ->
            group.registeredSubcommands().map { "${group.commandName} ${it.commandName}" }.ifEmpty {
                listOf(group.commandName)
            }
        }.forEach { assertTrue("`$it" in page, "docs/command-line.md lacks $it") }
    }

    /** Guards against a sheet that is applied in part, or a plan that differs from what is applied. */
    @Test
    fun `checks, plans and applies a sheet`(@TempDir directory: Path) {
        val header = SheetColumn.entries.joinToString(",") { it.label }
        val file = directory.resolve("sheet.csv")
        file.writeText("$header\nteam,joiners,,,,,,5,9,,paint,,,,,\nmodel,paint,,,1,10,,,,,,,,,,\n")
        assertEquals("valid rows=2\n", done("sheet check $file"))
        assertTrue("planned edits=2 revision=0" in done("sheet plan $file"))
        assertTrue("accepted revision=1" in done("sheet apply $file"))
        assertEquals("unchanged revision=1\n", done("sheet apply $file"))
        file.writeText("$header\nteam,joiners,,,,,,7,9,,paint,,,,,\nmodel,paint,,,1,none,,,,,,,,,,\n")
        listOf("check", "plan", "apply").forEach {
            val result = run("sheet $it $file")
            assertEquals(1, result.statusCode)
            assertTrue("$file:3: memory_mib: 'none' is no number. Write" in result.stderr, result.stderr)
        }
        assertEquals(1L, now().revision.value)
        file.writeText(header)
        assertTrue("accepted revision=2" in done("sheet apply --remove-missing $file"))
        assertTrue(now().teams.isEmpty() && now().models.isEmpty())
    }

    /** Guards against events of one node that hide or reorder those of another. */
    @Test
    fun `merges the time lines of all nodes`() {
        fun times(line: String) = done(line).lines().filter { it.isNotEmpty() }.map { it.substringBefore('.') }
        assertEquals(listOf(10, 20, 30, 40).map { "time=$it" }, times("timeline"))
        assertEquals(listOf("time=30"), times("timeline --request r30 --team joiners"))
        assertEquals(emptyList<String>(), times("timeline --team others"))
        assertTrue("vm=vm-1 revision=3\n" in done("status"))
    }

    /** Guards against a drain of every node that the environment names. */
    @Test
    fun `drains only the given node`() {
        assertEquals(1, run("drain").statusCode)
        done("drain --node ${nodes[1].url}")
        assertEquals(listOf(false, true), nodes.map { it.drained })
    }

    /** Guards against a change that enters the log twice because a node gave no answer. */
    @Test
    fun `settles a lost change at another node`() {
        nodes[0].faults.loseAnswer = {
            nodes[0].faults.available = false
            true
        }
        assertTrue("accepted revision=1" in done("route put orders --change-id c1"))
        assertTrue("accepted revision=1" in done("route put orders --change-id c1"))
        val route = ConfigurationEdit.PutRoute(Route(RouteId("orders")))
        val changes = nodes[1].log.readAfter(Revision(0)).getOrNull().orEmpty()
        assertEquals(listOf(ChangeId("c1") to listOf(route)), changes.map { it.id to it.edits })
        val alone = run("route put more --change-id c2 --node ${nodes[0].url}")
        assertEquals(1, alone.statusCode, alone.output)
    }

    /** Guards against faults that `settings check` does not show. */
    @Test
    fun `checks settings`(@TempDir directory: Path) {
        val file = directory.resolve("node.toml")
        file.writeText("vm = \"vm 1\"\n[peers]\naddresses = [\"peer.example:1\"]\n")
        val result = run("settings check $file")
        assertEquals(1, result.statusCode)
        assertTrue("$file:1: vm: 'vm 1' is not permitted. Use" in result.stderr, result.stderr)
        assertTrue("$file:3: peers.addresses: 'peer.example'" in result.stderr, result.stderr)
    }

    private fun root() = generateSequence(Path("").toAbsolutePath()) { it.parent }.first {
        it.resolve("docs").toFile().exists()
    }
}
