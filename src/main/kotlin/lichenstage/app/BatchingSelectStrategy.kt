package lichenstage.app

import io.netty.channel.IoHandlerFactory
import io.netty.channel.SelectStrategy
import io.netty.channel.SelectStrategyFactory
import io.netty.channel.nio.NioIoHandler
import io.vertx.core.Vertx
import io.vertx.core.VertxOptions
import io.vertx.core.impl.transports.NioTransport
import io.vertx.core.transport.Transport
import lichenstage.common.Clock
import lichenstage.common.MILLI
import java.nio.channels.spi.SelectorProvider
import java.util.concurrent.TimeUnit
import java.util.concurrent.locks.LockSupport

/**
 * The select strategy of an event loop that handles network events in batches.
 *
 * With hundreds of workers, a network event arrives every few milliseconds, and a wake-up of the event loop costs as much processor time as
 * the event itself. A process that wakes up for each event would need more processor time than it is allowed. While events arrive often,
 * the event loop therefore pauses for [pauseUs] before it selects again; the pause is negligible beside the response times that users are
 * promised. An event that arrives alone is handled at once.
 */
class BatchingSelectStrategy(
    private val clock: Clock,
    private val pauseUs: Long,
    private val pause: (Long) -> Unit,
) {
    private var lastWakeUpAtUs = Long.MIN_VALUE / 2

    /**
     * Returns the strategy for the next select. Netty calls this before each select.
     *
     * If the event loop has tasks of its own, returns the number of ready channels, as determined by [select], which does not block.
     * Otherwise pauses if events arrive often, and returns [SelectStrategy.SELECT], which lets the event loop block until an event arrives.
     */
    fun calculateStrategy(
        select: () -> Int,
        hasTasks: Boolean,
    ): Int {
        if (hasTasks) return select()
        val nowUs = clock.now()
        val isBusy = nowUs - lastWakeUpAtUs < pauseUs * BUSY_THRESHOLD_PAUSES
        lastWakeUpAtUs = nowUs
        if (isBusy) pause(pauseUs)
        return SelectStrategy.SELECT
    }

    private companion object {
        /** The event loop is busy if it has woken up again within this number of pauses. */
        const val BUSY_THRESHOLD_PAUSES = 2
    }
}

/** Returns a Vert.x instance on the NIO transport whose event loops use [BatchingSelectStrategy]. */
fun createBatchingVertx(options: VertxOptions): Vertx {
    val strategies =
        SelectStrategyFactory {
            val strategy = BatchingSelectStrategy(Clock.steady, BATCH_PAUSE_US) { LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(it)) }
            SelectStrategy { select, hasTasks -> strategy.calculateStrategy(select::get, hasTasks) }
        }
    val transport =
        object : NioTransport() {
            override fun ioHandlerFactory(): IoHandlerFactory = NioIoHandler.newFactory(SelectorProvider.provider(), strategies)
        }
    return Vertx
        .builder()
        .with(options)
        .withTransport(
            object : Transport {
                override fun implementation() = transport

                override fun name() = "batching"

                override fun available() = true

                override fun unavailabilityCause(): Throwable? = null
            },
        ).build()
}

private const val BATCH_PAUSE_US = 20 * MILLI
