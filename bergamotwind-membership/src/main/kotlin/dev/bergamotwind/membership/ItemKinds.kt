package dev.bergamotwind.membership

/** Kinds of digest items, with the names in their key and their values. The numbers are part of the protocol. */
internal object ItemKinds {
    /** Key: target. Values: age of the report in tenths of a second, running, queued, 1 if leaving. */
    const val TARGET_LOAD: Int = 1

    /** Key: target, model, version, adapter or empty. Value: 1. */
    const val LOADED_ARTIFACT: Int = 2

    /** Key: target, prefix. Value: 1. */
    const val WARM_PREFIX: Int = 3

    /** Key: model, adapter or empty. Value: tokens a second. */
    const val TOKEN_DEMAND: Int = 4

    /** Key: failure domain. Values: age in tenths of a second, nodes, revision. */
    const val DOMAIN: Int = 5

    /** Key: failure domain, model, adapter or empty. Value: tokens a second. */
    const val DOMAIN_DEMAND: Int = 6

    /** Key: failure domain, model. Values: targets, running, queued. */
    const val DOMAIN_MODEL_LOAD: Int = 7

    /** Key: team. Values: tokens a second, estimate of the largest recent request, surplus units held. */
    const val TEAM_RATE_DEMAND: Int = 8

    /** Whether the first value of an item of this kind is the age of its observation. */
    fun hasAge(kind: Int): Boolean = kind == TARGET_LOAD || kind == DOMAIN
}
