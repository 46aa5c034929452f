package dev.bergamotwind.configuration

import dev.bergamotwind.api.ChangeId
import dev.bergamotwind.api.Revision

/** Keys of the operator configuration in the key-value service. */
public object ConfigurationKeys {
    /** Prefix of the change log; watch it to learn of new changes. */
    public const val CHANGES: String = "/bergamotwind/configuration/change/"

    internal const val SUBMITTED = "/bergamotwind/configuration/submitted/"

    /** Written by every deletion of changes, so that a transaction can compare that none took place. */
    internal const val TRIMMED = "/bergamotwind/configuration/trimmed"
    internal const val SNAPSHOTS = "/bergamotwind/configuration/snapshot/"
    internal const val MANIFESTS = "/bergamotwind/configuration/manifest/"
    private const val REVISION_DIGITS = 20
    private const val PART_DIGITS = 4

    /** Key of the change that makes [revision]. */
    public fun change(revision: Revision): String = CHANGES + padded(revision)

    /** Key of the record that says under which revision the change [id] was accepted. */
    internal fun submitted(id: ChangeId): String = SUBMITTED + id

    internal fun manifest(revision: Revision): String = MANIFESTS + padded(revision)

    internal fun snapshotPart(revision: Revision, part: Int): String =
        SNAPSHOTS + padded(revision) + "/" + part.toString().padStart(PART_DIGITS, '0')

    /** Revision of a snapshot part or of a manifest from its [key] below [prefix]. */
    internal fun revisionOf(key: String, prefix: String): Revision =
        Revision(key.removePrefix(prefix).take(REVISION_DIGITS).toLong())

    private fun padded(revision: Revision): String = revision.value.toString().padStart(REVISION_DIGITS, '0')
}
