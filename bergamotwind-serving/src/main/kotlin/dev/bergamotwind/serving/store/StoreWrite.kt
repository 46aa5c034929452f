package dev.bergamotwind.serving.store

/** An atomic change of several keys. */
public class StoreWrite(
    /** Revisions that the keys must have; 0 means that the key must not exist. */
    public val expectedRevisions: Map<String, Long> = emptyMap(),
    /** Values to write. */
    public val puts: List<StorePut> = emptyList(),
    /** Keys to delete. */
    public val deletes: List<String> = emptyList(),
)
