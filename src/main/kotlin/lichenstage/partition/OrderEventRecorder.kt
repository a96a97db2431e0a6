package lichenstage.partition

import io.micrometer.core.instrument.Counter
import lichenstage.common.Clock
import lichenstage.common.Metrics
import lichenstage.common.RateLimitedLog

/**
 * Logs and counts order events. Each event is one log line, and the number of lines per period is limited.
 *
 * The lines alone are enough to find out why a task was on a machine when it should not have been (docs/operations.md).
 */
class OrderEventRecorder(
    metrics: Metrics,
    clock: Clock,
) {
    private val log = RateLimitedLog.of("lichenstage.orders", clock)
    private val unansweredOrderCounter = metrics.counter("orders_unanswered")
    private val unwantedStartCounter = metrics.counter("starts_landed_late")
    private val withheldReplyCounter = metrics.counter("answers_withheld")
    private val raisedTokenCounters: Map<FenceReason, Counter> =
        FenceReason.entries.associateWith { metrics.counter("fences_${it.name.lowercase()}") }

    /** Logs and counts an event of [partition], which this controller owns under [term]. */
    fun record(
        partition: String,
        term: Long,
        event: OrderEvent,
    ) {
        incrementCounter(event)
        log.info { "${summary(event)} partition=$partition term=$term ${details(event)}" }
    }

    private fun incrementCounter(event: OrderEvent) {
        when (event) {
            is OrderEvent.OrderUnanswered -> unansweredOrderCounter.increment()
            is OrderEvent.FencingTokenRaised -> raisedTokenCounters.getValue(event.reason).increment()
            is OrderEvent.UnwantedStartListed -> unwantedStartCounter.increment()
            is OrderEvent.ReplyWithheld -> withheldReplyCounter.increment()
            is OrderEvent.JobEnded, is OrderEvent.StartProvenNotExecuted, is OrderEvent.StartRefused -> Unit
        }
    }

    private fun summary(event: OrderEvent): String =
        when (event) {
            is OrderEvent.OrderUnanswered -> "Order unanswered"
            is OrderEvent.FencingTokenRaised -> "Fencing token raised"
            is OrderEvent.StartProvenNotExecuted -> "Start proven not executed"
            is OrderEvent.UnwantedStartListed -> "Unwanted start listed"
            is OrderEvent.StartRefused -> "Start refused"
            is OrderEvent.JobEnded -> "Job ended"
            is OrderEvent.ReplyWithheld -> "Heartbeat reply withheld"
        }

    private fun details(event: OrderEvent): String =
        when (event) {
            is OrderEvent.OrderUnanswered -> {
                val order = event.order
                "machine=${order.machine} agentEpoch=${order.agentEpoch} fencingToken=${order.fencingToken} commands=${listCommands(order)}"
            }

            is OrderEvent.FencingTokenRaised -> {
                "machine=${event.machine} agentEpoch=${event.agentEpoch} fencingToken=${event.fencingToken} " +
                    "reason=${event.reason.name.lowercase()}"
            }

            is OrderEvent.StartProvenNotExecuted -> {
                "machine=${event.machine} agentEpoch=${event.agentEpoch} fencingToken=${event.observedFencingToken} " +
                    "task=${event.taskId} attempt=${event.attemptNumber}"
            }

            is OrderEvent.UnwantedStartListed -> {
                "machine=${event.machine} agentEpoch=${event.agentEpoch} task=${event.taskId} attempt=${event.attemptNumber}"
            }

            is OrderEvent.StartRefused -> {
                "machine=${event.machine} task=${event.taskId} attempt=${event.attemptNumber} reason=${event.reason.name.lowercase()}"
            }

            is OrderEvent.JobEnded -> {
                "job=${event.job} stops=${event.stops} unlistedStarts=${event.unlistedStarts}"
            }

            is OrderEvent.ReplyWithheld -> {
                "machine=${event.machine} agentEpoch=${event.agentEpoch} job=${event.job}"
            }
        }

    private fun listCommands(order: DirectOrder): String {
        val formatted =
            order.commands.take(MAX_LISTED_COMMANDS).joinToString(prefix = "[", postfix = "]") {
                "${it::class.simpleName!!.lowercase()} ${it.taskId} ${it.attemptNumber}"
            }
        val omitted = order.commands.size - MAX_LISTED_COMMANDS
        return if (omitted > 0) "$formatted omittedCommands=$omitted" else formatted
    }

    private companion object {
        const val MAX_LISTED_COMMANDS = 4
    }
}
