package dev.bergamotwind.serving

import arrow.core.Either
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.serving.catalogue.ServedConfiguration
import dev.bergamotwind.serving.store.StoreItem
import dev.bergamotwind.serving.targets.TargetRecord

/** Decodes what operators and targets write to the platform's store. Errors describe what is wrong with an item. */
public interface StoreDecoder {
    /** Decodes a configuration. */
    public fun configuration(item: StoreItem): Either<String, ServedConfiguration>

    /** Decodes the record that a target has written about itself. */
    public fun target(item: StoreItem): Either<String, TargetRecord>

    /** Returns the id of the target whose item has [key]. */
    public fun targetId(key: String): TargetId
}
