package dev.bergamotwind.routing

import kotlinx.serialization.Serializable
import java.util.Base64

/** Answer to a claimed call, stored for repeated calls. [bodyBase64] is null when the body was above the size limit. */
@Serializable
public data class RecordedAnswer(val status: Int, val contentType: String?, val bodyBase64: String?) {
    /** Body bytes, or null when the body was not stored. */
    public fun body(): ByteArray? = bodyBase64?.let { Base64.getDecoder().decode(it) }

    /** Creates records from answers. */
    public companion object {
        /** Returns the record of an answer; a body above [limitBytes] is left out. */
        public fun of(
            status: Int,
            contentType: String?,
            body: ByteArray,
            limitBytes: Int = RECORDED_BODY_LIMIT_BYTES,
        ): RecordedAnswer = RecordedAnswer(
            status,
            contentType,
            if (body.size > limitBytes) null else Base64.getEncoder().encodeToString(body),
        )
    }
}
