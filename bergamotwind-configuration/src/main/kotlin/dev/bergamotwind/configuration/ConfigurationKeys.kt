package dev.bergamotwind.configuration

import dev.bergamotwind.api.ChangeId
import dev.bergamotwind.api.Revision

/** Keys of the operator configuration in the key-value service. */
public object ConfigurationKeys {
    /** Prefix of the records of the change log; a watch on it reports new changes. */
    public const val CHANGE_PREFIX: String = "/bergamotwind/configuration/change/"

    internal const val SUBMISSION_PREFIX = "/bergamotwind/configuration/submitted/"

    /** Key written by every deletion of changes, so that a transaction can require that none took place. */
    internal const val TRIM_RECORD = "/bergamotwind/configuration/trimmed"
    internal const val SNAPSHOT_PREFIX = "/bergamotwind/configuration/snapshot/"
    internal const val MANIFEST_PREFIX = "/bergamotwind/configuration/manifest/"
    private const val REVISION_DIGITS = 20
    private const val PART_DIGITS = 4

    /** Key of the change that produces [revision]. */
    public fun changeKey(revision: Revision): String = CHANGE_PREFIX + paddedRevision(revision)

    /** Key of the record that holds the revision at which the change [id] was accepted. */
    internal fun submissionKey(id: ChangeId): String = SUBMISSION_PREFIX + id

    internal fun manifestKey(revision: Revision): String = MANIFEST_PREFIX + paddedRevision(revision)

    internal fun snapshotPartKey(revision: Revision, part: Int): String =
        SNAPSHOT_PREFIX + paddedRevision(revision) + "/" + part.toString().padStart(PART_DIGITS, '0')

    /** Parses the revision from the [key] of a snapshot part or manifest with [prefix]. */
    internal fun revisionOf(key: String, prefix: String): Revision =
        Revision(key.removePrefix(prefix).take(REVISION_DIGITS).toLong())

    private fun paddedRevision(revision: Revision): String = revision.value.toString().padStart(REVISION_DIGITS, '0')
}
