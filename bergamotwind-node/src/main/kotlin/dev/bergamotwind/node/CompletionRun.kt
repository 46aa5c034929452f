package dev.bergamotwind.node

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import com.linecorp.armeria.common.HttpData
import com.linecorp.armeria.common.HttpStatus
import com.linecorp.armeria.common.HttpStatusClass
import dev.bergamotwind.api.Failure
import dev.bergamotwind.api.RequestId
import dev.bergamotwind.api.RunOutcome
import dev.bergamotwind.api.TargetId
import dev.bergamotwind.routing.AttemptId
import dev.bergamotwind.routing.CallOutcome
import dev.bergamotwind.routing.ServerSentEventReader
import dev.bergamotwind.routing.SharedRun
import dev.bergamotwind.routing.StreamAction
import dev.bergamotwind.routing.StreamAssembler
import dev.bergamotwind.routing.TargetChoice
import dev.bergamotwind.routing.TargetRequirement
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.flow.lastOrNull
import kotlinx.coroutines.flow.transformWhile

/** Has one completion answered, by as many targets as it takes, and publishes the answer to the callers of [run]. */
internal class CompletionRun(
    id: RequestId,
    private val path: String,
    private val prepared: PreparedCompletion,
    private val run: SharedRun<String>,
    private val parts: ServingParts,
) {
    private val request = prepared.request
    private val session = RequestSession(id, prepared.access, idempotent = true, parts)
    private val assembler = StreamAssembler(request.body.toString(), parts.monitor)
    private val space = Channel<Unit>(Channel.CONFLATED)
    private var attempts = 0
    private var countedTokens: Long? = null

    /** Runs the request to its end; every path ends [run]. */
    // A fault here must not leave the callers of the run waiting.
    @Suppress("TooGenericExceptionCaught")
    suspend fun execute() {
        run.onSpaceAvailable { space.trySend(Unit) }
        try {
            session.event("received") { field("model", request.name) }
            parts.observeDemand(DemandObservation(request.model, request.adapter, request.estimatedTokens))
            session.admit(request.estimatedTokens).fold({ run.fail(session.refused(it)) }, { admitted ->
                try {
                    answer().fold({ run.fail(session.refused(it)) }, { finished() })
                } finally {
                    admitted.settle(usedTokens())
                }
            })
        } catch (cancelled: CancellationException) {
            session.event("cancelled")
            throw cancelled
        } catch (failure: Exception) {
            run.fail(session.refused(Failure.TargetFailed("internal error: $failure", session.tracker.outcome)))
        }
    }

    private fun finished() {
        session.tracker.markAnswered()
        run.finish()
        session.event("answered") {
            field("tokens", usedTokens())
            field("attempts", attempts)
            field("milliseconds", session.age.inWholeMilliseconds)
        }
    }

    private fun usedTokens(): Long = when {
        session.tracker.outcome == RunOutcome.NOT_RUN -> 0
        countedTokens != null -> countedTokens!!
        request.stream -> request.promptTokens + assembler.deliveredTokens
        else -> request.estimatedTokens.value
    }

    private suspend fun answer(): Either<Failure, Unit> {
        val need = TargetRequirement.Engine(request.model, request.adapter)
        var last: Failure? = null
        return session.tryTargets(need, request.prefixHash) { choice ->
            val body = if (attempts == 0) request.body.toString() else assembler.resumeBody()
            if (body == null) last!!.left() else attempt(choice, body).onLeft { last = it }
        }
    }

    private suspend fun attempt(choice: TargetChoice, body: String): Either<Failure, Unit> {
        session.beginAttempt(choice).onLeft { return it.left() }
        attempts++
        var outcome = CallOutcome.CANCELLED
        try {
            val result = open(choice, body).flatMap { if (request.stream) stream(choice, it) else whole(choice, it) }
            outcome = outcomeOf(result)
            if (result.leftOrNull()?.run == RunOutcome.NOT_RUN) session.tracker.markNotExecuted()
            return result
        } finally {
            session.endAttempt(choice.target.id, outcome)
        }
    }

    private suspend fun open(choice: TargetChoice, body: String): Either<Failure, TargetAnswer> {
        val headers = ForwardedHeaders.toTarget(prepared.headers, path, session.id, prepared.credential)
        val content = HttpData.ofUtf8(body)
        return parts.client.open(choice.target.address, headers, content, true, session.remainingMillis)
            .flatMap { accept(choice, it) }
    }

    private fun accept(choice: TargetChoice, answer: TargetAnswer): Either<Failure, TargetAnswer> {
        val status = answer.headers.status()
        val target = choice.target.id
        if (status.isSuccess) {
            session.answering(target)
            return answer.right()
        }
        answer.abort()
        return when {
            answer.isDraining -> Failure.TargetRefused(target, true, "target $target is leaving")

            // The model was unloaded since the last report.
            status == HttpStatus.NOT_FOUND -> Failure.TargetRefused(target, false, "target $target lacks the model")

            status.codeClass() == HttpStatusClass.CLIENT_ERROR -> refusedByEngine(target, status)

            else -> Failure.TargetFailed("target $target answered ${status.code()}", RunOutcome.UNKNOWN)
        }.left()
    }

    private fun refusedByEngine(target: TargetId, status: HttpStatus): Failure {
        session.answering(target)
        return Failure.Invalid(
            "the engine refused the request with status ${status.code()}",
            "Send a request as the OpenAI completions API describes it.",
            run = RunOutcome.RUN,
        )
    }

    private suspend fun whole(choice: TargetChoice, answer: TargetAnswer): Either<Failure, Unit> =
        answer.whole(choice.target.address).flatMap(WholeCompletion::check).map {
            countedTokens = it.totalTokens
            run.publish(it.body.toStringUtf8())
        }

    private suspend fun stream(choice: TargetChoice, answer: TargetAnswer): Either<Failure, Unit> {
        val attempt = AttemptId(session.id, attempts)
        val reader = ServerSentEventReader()
        assembler.beginAttempt(attempt)
        val end = answer.parts(choice.target.address).transformWhile { part ->
            val result = part.flatMap { reader.read(it.array()) }.flatMap { publish(attempt, it) }
            awaitSpace()
            emit(result)
            result.isRight() && !assembler.isComplete
        }.lastOrNull()
        answer.abort()
        return when {
            assembler.isComplete -> Unit.right()
            end is Either.Left -> end
            else -> broken(assembler.handleConnectionEnd(attempt))
        }
    }

    // Stops reading from the target while the callers have not taken what was read.
    private suspend fun awaitSpace() {
        while (run.isFull && !run.isCancelled) space.receive()
    }

    private fun publish(attempt: AttemptId, events: List<String>): Either<Failure, Unit> {
        for (data in events) {
            when (val step = assembler.acceptEvent(attempt, data)) {
                is StreamAction.Deliver -> run.publish(step.data)
                is StreamAction.Fail -> return step.failure.left()
                StreamAction.Drop, StreamAction.Finish -> Unit
            }
        }
        return Unit.right()
    }

    private fun broken(step: StreamAction): Either<Failure, Unit> =
        if (step is StreamAction.Fail) step.failure.left() else Unit.right()

    private fun outcomeOf(result: Either<Failure, Unit>): CallOutcome = when (val failure = result.leftOrNull()) {
        null, is Failure.Invalid -> CallOutcome.ANSWERED
        is Failure.TargetRefused -> if (failure.draining) CallOutcome.DRAINING else CallOutcome.ANSWERED
        else -> CallOutcome.FAILED
    }
}
