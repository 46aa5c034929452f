package dev.bergamotwind.serving.store

/** A change of several keys that is made whole or not at all. */
public class StoreWrite(
    /** Revisions that the keys must have; 0 means that the key must not exist. */
    public val expected: Map<String, Long> = emptyMap(),
    /** Values to write. */
    public val puts: List<StorePut> = emptyList(),
    /** Keys to remove. */
    public val removes: List<String> = emptyList(),
)
