package lichenstage.partition

import io.micrometer.core.instrument.Counter
import lichenstage.common.BoundedLog
import lichenstage.common.Clock
import lichenstage.common.Metrics

/**
 * Writes down what happens to orders, a line each and at most so many in a time, and counts it: a reader of these lines alone can tell
 * why a task was on a machine when it should not have been.
 */
class OrderJournal(
    metrics: Metrics,
    clock: Clock,
) {
    private val log = BoundedLog.of("lichenstage.orders", clock)
    private val unanswered = metrics.counter("orders_unanswered")
    private val landedLate = metrics.counter("starts_landed_late")
    private val withheld = metrics.counter("answers_withheld")
    private val fences: Map<FenceReason, Counter> =
        FenceReason.entries.associateWith { metrics.counter("fences_${it.name.lowercase()}") }

    /** Takes an event of the partition whose owner has [term]. */
    fun add(
        partition: String,
        term: Long,
        event: OrderEvent,
    ) {
        count(event)
        log.info { "partition=$partition term=$term ${describe(event)}" }
    }

    private fun count(event: OrderEvent) {
        when (event) {
            is OrderEvent.Unanswered -> unanswered.increment()
            is OrderEvent.FencingTokenRaised -> fences.getValue(event.reason).increment()
            is OrderEvent.LateStart -> landedLate.increment()
            is OrderEvent.AnswerWithheld -> withheld.increment()
            is OrderEvent.JobEnded, is OrderEvent.StartDisproven, is OrderEvent.StartRefused -> Unit
        }
    }

    private fun describe(event: OrderEvent): String =
        when (event) {
            is OrderEvent.Unanswered -> {
                val order = event.order
                "machine=${order.machine} session=${order.agentEpoch} token=${order.fencingToken} order without an answer: ${commands(
                    order,
                )}"
            }

            is OrderEvent.FencingTokenRaised -> {
                "machine=${event.machine} session=${event.agentEpoch} token=${event.fencingToken} newer token: ${event.reason.name.lowercase()}"
            }

            is OrderEvent.StartDisproven -> {
                "machine=${event.machine} session=${event.agentEpoch} token=${event.observedFencingToken} task=${event.task} " +
                    "attempt=${event.attempt} start never happened"
            }

            is OrderEvent.LateStart -> {
                "machine=${event.machine} session=${event.agentEpoch} task=${event.task} attempt=${event.attempt} " +
                    "start first listed when it was not wanted any more"
            }

            is OrderEvent.StartRefused -> {
                "machine=${event.machine} task=${event.task} attempt=${event.attempt} start refused: ${event.refusal.name.lowercase()}"
            }

            is OrderEvent.JobEnded -> {
                "job=${event.job} is over: stopping ${event.stops} tasks, ${event.underWay} starts not known to have landed"
            }

            is OrderEvent.AnswerWithheld -> {
                "machine=${event.machine} session=${event.agentEpoch} job=${event.job} report not answered: a start may still land"
            }
        }

    private fun commands(order: DirectOrder): String {
        val shown =
            order.commands
                .take(
                    MAX_LISTED_COMMANDS,
                ).joinToString { "${it::class.simpleName!!.lowercase()} ${it.task} ${it.attempt}" }
        return if (order.commands.size > MAX_LISTED_COMMANDS) "$shown and ${order.commands.size - MAX_LISTED_COMMANDS} more" else shown
    }

    private companion object {
        const val MAX_LISTED_COMMANDS = 4
    }
}
