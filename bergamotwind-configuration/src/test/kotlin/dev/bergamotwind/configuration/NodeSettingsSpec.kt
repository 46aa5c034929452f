package dev.bergamotwind.configuration

import dev.bergamotwind.api.VmId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.readText

class NodeSettingsSpec {
    private val secret = "0123456789abcdef0123456789abcdef"
    private val valid = """
        vm = "vm-1"
        failure_domain = "lowlands-1"
        region = "Sarapiquí"
        [listen]
        addresses = ["127.0.0.1"]
        caller_port = 9000
        [platform]
        key_value_service = ["127.0.0.1:2379", "[::1]:2379"]
        virtual_machine_list = ["127.0.0.1:2380"]
        [administration]
        credential_sha256 = "${keyDigest("operator")}"
        [peers]
        shared_secret = "$secret"
        [tls]
        [limits]
        queue_length = 7
    """.trimIndent()

    /** Settings must be read into the right fields, and the text form must not contain the secret. */
    @Test
    fun `reads a valid file`() {
        val settings = NodeSettings.parse("node.toml", valid).fold({ error(it.joinToString("\n")) }, { it })
        assertEquals(VmId("vm-1"), settings.vm)
        assertEquals(ListenSettings(listOf("127.0.0.1"), 9000, 8081, 7070), settings.listen)
        assertEquals(listOf("127.0.0.1:2379", "[::1]:2379"), settings.keyValueService.map { it.toString() })
        assertEquals(7, settings.limits.queueLength)
        assertTrue(secret !in settings.toString())
    }

    /** All errors must be reported together and with the right line. */
    @Test
    fun `reports every error with line and field`() {
        val cases = listOf(
            Triple("vm = \"vm-1\"", "vm = \"vm 1\"", "1 vm"),
            Triple("[\"127.0.0.1\"]", "[\"entry.example\"]", "5 listen.addresses"),
            Triple("caller_port = 9000", "caller_port = 8081", "null listen.administration_port"),
            Triple("\"[::1]:2379\"", "\"localhost:2379\"", "8 platform.key_value_service"),
            Triple("\"127.0.0.1:2380\"", "\"127.0.0.1:70000\"", "9 platform.virtual_machine_list"),
            Triple(keyDigest("operator").value, "operator", "11 administration.credential_sha256"),
            Triple(secret, "short", "13 peers.shared_secret"),
            Triple("[tls]", "[tls]\ncertificate = \"a.pem\"", "null tls.key"),
            Triple("queue_length = 7", "queue_length = \"7\"", "16 limits.queue_length"),
            Triple("queue_length = 7", "queue_size = 7", "16 limits.queue_size"),
            Triple("region = \"Sarapiquí\"", "", "null region"),
            Triple("[tls]", "[tls", "14 syntax"),
        )
        for ((old, new, expected) in cases) {
            val errors = NodeSettings.parse("node.toml", valid.replace(old, new)).leftOrNull().orEmpty()
            assertEquals(listOf(expected), errors.map { "${it.line} ${it.field}" }, new)
        }
        val together = cases.dropLast(1).fold(valid) { text, case -> text.replace(case.first, case.second) }
        assertEquals(cases.size - 2, NodeSettings.parse("node.toml", together).leftOrNull()?.size)
    }

    /** The settings page must match the definitions. */
    @Test
    fun `the settings page lists every definition`() {
        val root = generateSequence(Path.of("").toAbsolutePath()) { it.parent }.first { it.resolve("docs").exists() }
        assertTrue(SettingDefinitions.toMarkdown() in root.resolve("docs/settings.md").readText())
    }
}
