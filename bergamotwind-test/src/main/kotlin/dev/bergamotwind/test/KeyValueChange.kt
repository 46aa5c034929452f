package dev.bergamotwind.test

import dev.bergamotwind.api.KeyValueEntry

/** One change of a key at [revision]; [entry] is null for a deletion. */
internal data class KeyValueChange(val revision: Long, val key: String, val entry: KeyValueEntry?)
