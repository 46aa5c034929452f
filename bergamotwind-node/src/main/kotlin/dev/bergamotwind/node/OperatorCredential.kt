package dev.bergamotwind.node

import com.linecorp.armeria.common.HttpHeaderNames
import com.linecorp.armeria.common.HttpRequest
import com.linecorp.armeria.common.HttpResponse
import com.linecorp.armeria.server.DecoratingHttpServiceFunction
import com.linecorp.armeria.server.HttpService
import com.linecorp.armeria.server.ServiceRequestContext
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.KeyDigest
import dev.bergamotwind.configuration.keyDigest
import java.security.MessageDigest

/** Lets only requests with the operators' credential through. */
internal class OperatorCredential(private val expected: KeyDigest) : DecoratingHttpServiceFunction {
    override fun serve(delegate: HttpService, context: ServiceRequestContext, request: HttpRequest): HttpResponse {
        val sent = request.headers().getAll(HttpHeaderNames.AUTHORIZATION).singleOrNull()?.removePrefix("Bearer ")
        return if (sent != null && matches(sent)) {
            delegate.serve(context, request)
        } else {
            ErrorResponses.of(Failure.Unauthenticated("the operators' credential is missing or wrong"))
        }
    }

    // Compares in constant time, so that the time of an answer tells nothing about the credential.
    private fun matches(sent: String): Boolean =
        MessageDigest.isEqual(keyDigest(sent).value.toByteArray(), expected.value.toByteArray())
}
