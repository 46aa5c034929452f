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

/** Stores snapshots of the whole configuration in parts that fit the value size limit of the service. */
internal class SnapshotStore(private val service: KeyValueService) {
    /** Returns the newest complete snapshot, or the empty configuration if there is none. */
    fun readNewest(): Either<Failure, OperatorConfiguration> = either {
        for (manifest in listManifests().bind()) {
            val snapshot = readSnapshot(manifest).bind()
            if (snapshot != null) return@either snapshot
        }
        OperatorConfiguration()
    }

    /**
     * Writes a snapshot. Several nodes may write the same one concurrently: the manifest is created once, after the
     * parts, and its checksum detects parts that do not belong to it.
     */
    fun write(configuration: OperatorConfiguration): Either<Failure, Unit> = either {
        val manifestKey = ConfigurationKeys.manifestKey(configuration.revision)
        if (service.get(manifestKey).bind() != null) return@either
        val text = ConfigurationJson.encodeToString(OperatorConfiguration.serializer(), configuration)
        val parts = splitIntoParts(text)
        parts.forEachIndexed { index, part ->
            val put = Operation.Put(ConfigurationKeys.snapshotPartKey(configuration.revision, index), part)
            service.transact(Transaction(listOf(Compare.Absent(manifestKey)), listOf(put))).bind()
        }
        val manifest = SnapshotManifest(configuration.revision, parts.size, sha256(text))
        val value = ConfigurationJson.encodeToString(SnapshotManifest.serializer(), manifest)
        service.transact(Transaction(listOf(Compare.Absent(manifestKey)), listOf(Operation.Put(manifestKey, value))))
            .bind()
    }

    /** Deletes all but the newest [RETAINED_SNAPSHOTS] snapshots; returns the revision of the oldest retained one. */
    fun trim(): Either<Failure, Revision?> = either {
        val complete = listManifests().bind().filter { readSnapshot(it).bind() != null }
        val oldestRetained = complete.getOrNull(RETAINED_SNAPSHOTS - 1)?.revision ?: return@either null
        deleteOlderThan(ConfigurationKeys.MANIFEST_PREFIX, oldestRetained).bind()
        deleteOlderThan(ConfigurationKeys.SNAPSHOT_PREFIX, oldestRetained).bind()
        oldestRetained
    }

    private fun listManifests(): Either<Failure, List<SnapshotManifest>> {
        val range = KeyRange(ConfigurationKeys.MANIFEST_PREFIX, limit = MAXIMUM_SNAPSHOT_ATTEMPTS, newestFirst = true)
        return service.list(range).map {
            it.entries.map { entry ->
                ConfigurationJson.decodeFromString(SnapshotManifest.serializer(), entry.value)
            }
        }
    }

    /** Returns the snapshot of [manifest], or null if a part is missing or the checksum differs. */
    private fun readSnapshot(manifest: SnapshotManifest): Either<Failure, OperatorConfiguration?> = either {
        val text = (0 until manifest.parts).joinToString("") {
            service.get(ConfigurationKeys.snapshotPartKey(manifest.revision, it)).bind()?.value.orEmpty()
        }
        if (sha256(text) == manifest.sha256) {
            ConfigurationJson.decodeFromString(OperatorConfiguration.serializer(), text)
        } else {
            null
        }
    }

    /** Deletes keys one by one, oldest first: listing many parts would exceed the message size limit of the service. */
    private fun deleteOlderThan(prefix: String, oldestRetained: Revision): Either<Failure, Unit> = either {
        do {
            val key = service.list(KeyRange(prefix, limit = 1)).bind().entries.firstOrNull()?.key
            val old = key?.takeIf { ConfigurationKeys.revisionOf(it, prefix) < oldestRetained }
            if (old != null) service.transact(Transaction(emptyList(), listOf(Operation.Delete(old)))).bind()
        } while (old != null)
    }

    private fun splitIntoParts(text: String): List<String> = buildList {
        var start = 0
        while (start < text.length) {
            val end = minOf(start + SNAPSHOT_PART_CHARACTERS, text.length)
            // A surrogate pair must not be split: unpaired surrogates cannot be encoded in UTF-8.
            val partEnd = if (end < text.length && text[end - 1].isHighSurrogate()) end - 1 else end
            add(text.substring(start, partEnd))
            start = partEnd
        }
    }
}
