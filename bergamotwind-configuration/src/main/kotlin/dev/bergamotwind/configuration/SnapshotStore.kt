package dev.bergamotwind.configuration

import arrow.core.Either
import arrow.core.raise.either
import dev.bergamotwind.api.Compare
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyRange
import dev.bergamotwind.api.KeyValueService
import dev.bergamotwind.api.Operation
import dev.bergamotwind.api.Revision
import dev.bergamotwind.api.Transaction

/** Snapshots of the whole configuration in parts that fit the service's limit on values. */
internal class SnapshotStore(private val service: KeyValueService) {
    /** Returns the newest complete snapshot, or the empty configuration if there is none. */
    fun readNewest(): Either<Failure, OperatorConfiguration> = either {
        for (manifest in manifests().bind()) {
            val snapshot = read(manifest).bind()
            if (snapshot != null) return@either snapshot
        }
        OperatorConfiguration()
    }

    /**
     * Writes a snapshot. Several nodes may write the same one: the manifest is created once and comes last, and its
     * checksum uncovers parts that do not belong to it.
     */
    fun write(configuration: OperatorConfiguration): Either<Failure, Unit> = either {
        val manifestKey = ConfigurationKeys.manifest(configuration.revision)
        if (service.get(manifestKey).bind() != null) return@either
        val text = ConfigurationJson.encodeToString(OperatorConfiguration.serializer(), configuration)
        val parts = split(text)
        parts.forEachIndexed { index, part ->
            val put = Operation.Put(ConfigurationKeys.snapshotPart(configuration.revision, index), part)
            service.transact(Transaction(listOf(Compare.Absent(manifestKey)), listOf(put))).bind()
        }
        val manifest = SnapshotManifest(configuration.revision, parts.size, sha256(text))
        val value = ConfigurationJson.encodeToString(SnapshotManifest.serializer(), manifest)
        service.transact(Transaction(listOf(Compare.Absent(manifestKey)), listOf(Operation.Put(manifestKey, value))))
            .bind()
    }

    /** Deletes everything older than the newest [KEPT_SNAPSHOTS] snapshots; returns the oldest that is kept. */
    fun trim(): Either<Failure, Revision?> = either {
        val complete = manifests().bind().filter { read(it).bind() != null }
        val oldestKept = complete.getOrNull(KEPT_SNAPSHOTS - 1)?.revision ?: return@either null
        deleteOlder(ConfigurationKeys.MANIFESTS, oldestKept).bind()
        deleteOlder(ConfigurationKeys.SNAPSHOTS, oldestKept).bind()
        oldestKept
    }

    private fun manifests(): Either<Failure, List<SnapshotManifest>> =
        service.list(KeyRange(ConfigurationKeys.MANIFESTS, limit = SNAPSHOTS_TRIED, newestFirst = true)).map {
            it.entries.map { entry ->
                ConfigurationJson.decodeFromString(SnapshotManifest.serializer(), entry.value)
            }
        }

    /** Returns null if a part is missing or the checksum differs. */
    private fun read(manifest: SnapshotManifest): Either<Failure, OperatorConfiguration?> = either {
        val text = (0 until manifest.parts).joinToString("") {
            service.get(ConfigurationKeys.snapshotPart(manifest.revision, it)).bind()?.value.orEmpty()
        }
        if (sha256(text) == manifest.sha256) {
            ConfigurationJson.decodeFromString(OperatorConfiguration.serializer(), text)
        } else {
            null
        }
    }

    /** Deletes one by one and oldest first: a list of many parts would exceed the service's message limit. */
    private fun deleteOlder(prefix: String, oldestKept: Revision): Either<Failure, Unit> = either {
        do {
            val key = service.list(KeyRange(prefix, limit = 1)).bind().entries.firstOrNull()?.key
            val old = key?.takeIf { ConfigurationKeys.revisionOf(it, prefix) < oldestKept }
            if (old != null) service.transact(Transaction(emptyList(), listOf(Operation.Delete(old)))).bind()
        } while (old != null)
    }

    private fun split(text: String): List<String> = buildList {
        var start = 0
        while (start < text.length) {
            val end = minOf(start + SNAPSHOT_PART_CHARACTERS, text.length)
            // A surrogate pair must stay whole, or neither half survives UTF-8.
            val whole = if (end < text.length && text[end - 1].isHighSurrogate()) end - 1 else end
            add(text.substring(start, whole))
            start = whole
        }
    }
}
