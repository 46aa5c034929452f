package dev.bergamotwind.node

import com.linecorp.armeria.client.ClientFactory
import com.linecorp.armeria.client.WebClient
import dev.bergamotwind.configuration.keyDigest
import dev.bergamotwind.test.PlatformServer
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.net.ServerSocket
import java.nio.file.Path
import java.security.KeyStore
import java.util.Base64
import java.util.concurrent.CompletionException
import kotlin.io.path.absolutePathString
import kotlin.io.path.inputStream
import kotlin.io.path.writeText

/** Guards against listeners that still accept plain HTTP although the settings configure a certificate. */
class TlsSpec {
    @Test
    fun `serves callers and operators over TLS only`(@TempDir directory: Path) {
        writeCertificate(directory)
        PlatformServer().start().use { platform ->
            val node = InProcessNode(settings(directory, platform.endpoint))
            ClientFactory.insecure().let { trustAllFactory ->
                val urls = listOf("${node.callerPort}/health/ready", "${node.administrationPort}/metrics")
                for (url in urls) {
                    val secure = WebClient.builder(
                        "https://127.0.0.1:${url.substringBefore('/')}",
                    ).factory(trustAllFactory)
                    val path = "/" + url.substringAfter('/')
                    assertEquals(200, secure.build().get(path).aggregate().join().status().code())
                    val plain = WebClient.of("h1c://127.0.0.1:${url.substringBefore('/')}")
                    assertThrows(CompletionException::class.java) { plain.get(path).aggregate().join() }
                }
            }
            node.stop()
        }
    }

    private fun writeCertificate(directory: Path) {
        val store = directory.resolve("store.p12")
        val options = "-genkeypair -keyalg RSA -alias node -dname CN=127.0.0.1 -storetype PKCS12 -storepass secret"
        val keytool = System.getProperty("java.home") + "/bin/keytool"
        val command = listOf(keytool) + options.split(' ') + listOf("-keystore", store.absolutePathString())
        check(ProcessBuilder(command).start().waitFor() == 0) { "keytool failed" }
        val password = "secret".toCharArray()
        val keys = KeyStore.getInstance("PKCS12").apply { store.inputStream().use { load(it, password) } }
        writePem(directory.resolve("key.pem"), "PRIVATE KEY", keys.getKey("node", password).encoded)
        writePem(directory.resolve("certificate.pem"), "CERTIFICATE", keys.getCertificate("node").encoded)
    }

    private fun writePem(file: Path, type: String, bytes: ByteArray) {
        val encoder = Base64.getMimeEncoder(64, "\n".toByteArray())
        file.writeText("-----BEGIN $type-----\n${encoder.encodeToString(bytes)}\n-----END $type-----\n")
    }

    private fun settings(directory: Path, platform: String): String = """
        vm = "vm-1"
        failure_domain = "lowlands"
        region = "scotland"
        [listen]
        addresses = ["127.0.0.1"]
        caller_port = 0
        administration_port = 0
        peer_port = ${ServerSocket(0).use { it.localPort }}
        [platform]
        key_value_service = ["$platform"]
        virtual_machine_list = ["$platform"]
        [administration]
        credential_sha256 = "${keyDigest("operator")}"
        [peers]
        shared_secret = "a shared secret for the tests of the nodes"
        [tls]
        certificate = "${directory.resolve("certificate.pem")}"
        key = "${directory.resolve("key.pem")}"
        [limits]
        balancer_lag_milliseconds = 50
    """.trimIndent()
}
