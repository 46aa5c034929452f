package dev.bergamotwind.serving.store

/** An atomic change of several keys. */
public class StoreWrite(
    /** Revisions that the keys must have; 0 means that the key must not exist. */
    public val expected: Map<String, Long> = emptyMap(),
    /** Values to write. */
    public val puts: List<StorePut> = emptyList(),
    /** Keys to delete. */
    public val removes: List<String> = emptyList(),
)
