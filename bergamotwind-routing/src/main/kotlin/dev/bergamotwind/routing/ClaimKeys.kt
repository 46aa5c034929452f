package dev.bergamotwind.routing

import dev.bergamotwind.api.RouteId
import dev.bergamotwind.api.TeamId
import java.net.URLEncoder
import java.security.MessageDigest
import java.util.HexFormat

/** Keys of claim and presence records in the key-value service. */
internal object ClaimKeys {
    private const val CLAIM_PREFIX = "/bergamotwind/claim"
    private const val HOLDER_PREFIX = "/bergamotwind/claim-holder"

    /**
     * Key of a claim record. Ids are escaped so that a slash or control character in one cannot reach another team's
     * keys. The digest covers team and route with their lengths as well, because escaping maps all unpaired surrogates
     * to the same character.
     */
    fun claimKey(team: TeamId, route: RouteId, idempotencyKey: String): String =
        "$CLAIM_PREFIX/${escape(team.value)}/${escape(route.value)}/${digest(team.value, route.value, idempotencyKey)}"

    /** Key of the presence record of one process on one VM. */
    fun presenceKey(vm: String, incarnation: String): String = "$HOLDER_PREFIX/${escape(vm)}/$incarnation"

    private fun escape(text: String): String = URLEncoder.encode(text, Charsets.UTF_8)

    private fun digest(vararg parts: String): String {
        val sha = MessageDigest.getInstance("SHA-256")
        for (part in parts) {
            sha.update("${part.length}:".toByteArray())
            // UTF-16 code units are hashed because UTF-8 would encode all unpaired surrogates alike.
            for (unit in part) {
                sha.update((unit.code shr Byte.SIZE_BITS).toByte())
                sha.update(unit.code.toByte())
            }
        }
        return HexFormat.of().formatHex(sha.digest())
    }
}
