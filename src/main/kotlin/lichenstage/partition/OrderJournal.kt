package lichenstage.partition

import io.micrometer.core.instrument.Counter
import lichenstage.common.Clock
import lichenstage.common.Metrics
import lichenstage.common.RateLimitedLog

/**
 * Logs and counts what happens to orders, one line for each event and a bounded number of lines in a time. The lines alone tell why a task
 * was on a machine when it should not have been (docs/operations.md).
 */
class OrderJournal(
    metrics: Metrics,
    clock: Clock,
) {
    private val log = RateLimitedLog.of("lichenstage.orders", clock)
    private val unanswered = metrics.counter("orders_unanswered")
    private val lateStarts = metrics.counter("starts_landed_late")
    private val withheld = metrics.counter("answers_withheld")
    private val raisedTokens: Map<FenceReason, Counter> =
        FenceReason.entries.associateWith { metrics.counter("fences_${it.name.lowercase()}") }

    /** Records an event of the partition whose owner has [term]. */
    fun add(
        partition: String,
        term: Long,
        event: OrderEvent,
    ) {
        count(event)
        log.info { "${summary(event)} partition=$partition term=$term ${details(event)}" }
    }

    private fun count(event: OrderEvent) {
        when (event) {
            is OrderEvent.Unanswered -> unanswered.increment()
            is OrderEvent.FencingTokenRaised -> raisedTokens.getValue(event.reason).increment()
            is OrderEvent.LateStart -> lateStarts.increment()
            is OrderEvent.AnswerWithheld -> withheld.increment()
            is OrderEvent.JobEnded, is OrderEvent.StartDisproven, is OrderEvent.StartRefused -> Unit
        }
    }

    private fun summary(event: OrderEvent): String =
        when (event) {
            is OrderEvent.Unanswered -> "Order unanswered"
            is OrderEvent.FencingTokenRaised -> "Fencing token raised"
            is OrderEvent.StartDisproven -> "Start proven not executed"
            is OrderEvent.LateStart -> "Unwanted start listed"
            is OrderEvent.StartRefused -> "Start refused"
            is OrderEvent.JobEnded -> "Job ended"
            is OrderEvent.AnswerWithheld -> "Heartbeat answer withheld"
        }

    private fun details(event: OrderEvent): String =
        when (event) {
            is OrderEvent.Unanswered -> {
                val order = event.order
                "machine=${order.machine} agentEpoch=${order.agentEpoch} fencingToken=${order.fencingToken} commands=${commands(order)}"
            }

            is OrderEvent.FencingTokenRaised -> {
                "machine=${event.machine} agentEpoch=${event.agentEpoch} fencingToken=${event.fencingToken} " +
                    "reason=${event.reason.name.lowercase()}"
            }

            is OrderEvent.StartDisproven -> {
                "machine=${event.machine} agentEpoch=${event.agentEpoch} fencingToken=${event.observedFencingToken} " +
                    "task=${event.task} attempt=${event.attempt}"
            }

            is OrderEvent.LateStart -> {
                "machine=${event.machine} agentEpoch=${event.agentEpoch} task=${event.task} attempt=${event.attempt}"
            }

            is OrderEvent.StartRefused -> {
                "machine=${event.machine} task=${event.task} attempt=${event.attempt} reason=${event.refusal.name.lowercase()}"
            }

            is OrderEvent.JobEnded -> {
                "job=${event.job} stops=${event.stops} unlistedStarts=${event.unlistedStarts}"
            }

            is OrderEvent.AnswerWithheld -> {
                "machine=${event.machine} agentEpoch=${event.agentEpoch} job=${event.job}"
            }
        }

    private fun commands(order: DirectOrder): String {
        val shown =
            order.commands.take(MAX_LISTED_COMMANDS).joinToString(prefix = "[", postfix = "]") {
                "${it::class.simpleName!!.lowercase()} ${it.task} ${it.attempt}"
            }
        val omitted = order.commands.size - MAX_LISTED_COMMANDS
        return if (omitted > 0) "$shown omittedCommands=$omitted" else shown
    }

    private companion object {
        const val MAX_LISTED_COMMANDS = 4
    }
}
