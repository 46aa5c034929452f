package dev.bergamotwind.configuration

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import dev.bergamotwind.api.FailureDomainId
import dev.bergamotwind.api.KeyDigest
import dev.bergamotwind.api.RegionId
import dev.bergamotwind.api.VmId
import java.nio.file.Path
import kotlin.io.path.Path
import kotlin.io.path.readText
import kotlin.time.Duration.Companion.milliseconds

/** Settings of one node, read from its TOML file. */
public data class NodeSettings(
    val vm: VmId,
    val failureDomain: FailureDomainId,
    val region: RegionId,
    val listen: ListenSettings,
    val keyValueService: List<IpEndpoint>,
    val virtualMachineList: List<IpEndpoint>,
    val administrationCredential: KeyDigest,
    val peerSecret: PeerSecret,
    val peers: List<IpEndpoint>,
    val tls: TlsSettings?,
    val limits: LimitSettings,
    val weightStore: WeightStoreSettings,
) {
    /** Reads and validates settings. */
    public companion object {
        /** Reads and validates [file]. */
        public fun read(file: Path): Either<List<FileError>, NodeSettings> = try {
            parse(file.toString(), file.readText())
        } catch (failure: java.io.IOException) {
            listOf(FileError("$file", null, "file", "cannot be read: $failure", "Give a readable TOML file.")).left()
        }

        /** Parses and validates the TOML text [toml] and reports all errors at once; [file] is named in them. */
        public fun parse(file: String, toml: String): Either<List<FileError>, NodeSettings> {
            val reader = SettingsReader(file, toml)
            val settings = createSettings(reader)
            return if (reader.errors.isEmpty()) settings.right() else reader.errors.sortedBy { it.line }.left()
        }

        private fun createSettings(reader: SettingsReader) = NodeSettings(
            vm = VmId(reader.text(SettingDefinitions.vm)),
            failureDomain = FailureDomainId(reader.text(SettingDefinitions.failureDomain)),
            region = RegionId(reader.text(SettingDefinitions.region)),
            listen = listenSettings(reader),
            keyValueService = reader.endpoints(SettingDefinitions.keyValueService),
            virtualMachineList = reader.endpoints(SettingDefinitions.virtualMachineList),
            administrationCredential = KeyDigest(reader.text(SettingDefinitions.administrationCredential)),
            peerSecret = PeerSecret(reader.text(SettingDefinitions.peerSecret)),
            peers = reader.endpoints(SettingDefinitions.peerAddresses),
            tls = tlsSettings(reader),
            limits = limitSettings(reader),
            weightStore = weightStoreSettings(reader),
        )

        private fun listenSettings(reader: SettingsReader): ListenSettings {
            val ports = listOf(
                SettingDefinitions.callerPort,
                SettingDefinitions.administrationPort,
                SettingDefinitions.peerPort,
            )
            val (caller, administration, peer) = ports.map { reader.integer(it).toInt() }
            ports.filter { port -> reader.integer(port) != 0L }.groupBy { reader.integer(it) }.values
                .filter { it.size > 1 }
                .forEach { reader.addError(it.last(), "has the same port as ${it.first().name}", "Give two ports.") }
            return ListenSettings(reader.addresses(SettingDefinitions.listenAddresses), caller, administration, peer)
        }

        private fun tlsSettings(reader: SettingsReader): TlsSettings? {
            val certificate = reader.text(SettingDefinitions.tlsCertificate)
            val key = reader.text(SettingDefinitions.tlsKey)
            when {
                certificate.isEmpty() && key.isEmpty() -> return null

                certificate.isEmpty() ->
                    reader.addError(
                        SettingDefinitions.tlsCertificate,
                        "is missing beside tls.key",
                        "Give both or none.",
                    )

                key.isEmpty() ->
                    reader.addError(SettingDefinitions.tlsKey, "is missing beside tls.certificate", "Give both.")
            }
            return TlsSettings(Path(certificate), Path(key))
        }

        private fun weightStoreSettings(reader: SettingsReader) = WeightStoreSettings(
            loadsPerSecond = reader.integer(SettingDefinitions.weightStoreLoadsPerSecond).toInt(),
            concurrentLoads = reader.integer(SettingDefinitions.weightStoreConcurrentLoads).toInt(),
            adapterLoadsInFlight = reader.integer(SettingDefinitions.weightStoreAdapterLoadsInFlight).toInt(),
        )

        private fun limitSettings(reader: SettingsReader) = LimitSettings(
            maximumBodyBytes = reader.integer(SettingDefinitions.maximumBodyBytes),
            requestsInFlight = reader.integer(SettingDefinitions.requestsInFlight).toInt(),
            queueLength = reader.integer(SettingDefinitions.queueLength).toInt(),
            drain = reader.integer(SettingDefinitions.drain).milliseconds,
            balancerLag = reader.integer(SettingDefinitions.balancerLag).milliseconds,
            keyValueCallsPerSecond = reader.integer(SettingDefinitions.keyValueCallsPerSecond).toInt(),
            requestTimeout = reader.integer(SettingDefinitions.requestTimeout).milliseconds,
        )
    }
}
