package dev.bergamotwind.node

import dev.bergamotwind.configuration.NodeSettings
import java.net.Socket
import java.nio.file.Files

/** A node under test. */
internal interface RunningNode {
    val callerPort: Int
    val administrationPort: Int

    fun stop()
}

/** A node in the process of the test, so that its invariant violations and coverage are available. */
internal class InProcessNode(toml: String) : RunningNode {
    private val node = Node(NodeSettings.parse("test.toml", toml).fold({ error(it.joinToString()) }, { it })).start()
    override val callerPort = node.callerPort
    override val administrationPort = node.administrationPort

    override fun stop() = node.stop()
}

/** A node in a separate process, which can be killed and suspended. */
internal class NodeProcess(toml: String) : RunningNode {
    private val file = Files.createTempFile("node", ".toml").also { Files.writeString(it, toml) }
    private val settings = NodeSettings.parse("test.toml", toml).fold({ error(it.joinToString()) }, { it })
    override val callerPort = settings.listen.callerPort
    override val administrationPort = settings.listen.administrationPort
    private val process = ProcessBuilder(command()).redirectErrorStream(true)
        .redirectOutput(ProcessBuilder.Redirect.DISCARD).start()

    init {
        val deadline = System.nanoTime() + 30_000_000_000
        while (runCatching { Socket("127.0.0.1", administrationPort).close() }.isFailure) {
            check(process.isAlive && System.nanoTime() < deadline) { "the node did not start" }
            Thread.sleep(50)
        }
    }

    fun kill() {
        process.destroyForcibly().waitFor()
    }

    /** Sends the signal [name], such as STOP or CONT. */
    fun signal(name: String) {
        check(ProcessBuilder("kill", "-$name", "${process.pid()}").start().waitFor() == 0)
    }

    override fun stop() {
        process.destroy()
        process.waitFor()
        Files.deleteIfExists(file)
    }

    private fun command(): List<String> {
        val classPath = System.getProperty("surefire.test.class.path") ?: System.getProperty("java.class.path")
        val java = System.getProperty("java.home") + "/bin/java"
        return listOf(java, "-Xmx256m", "-cp", classPath, "dev.bergamotwind.node.MainKt", "--settings", "$file")
    }
}
