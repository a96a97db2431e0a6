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
 * Takes what comes within a few milliseconds together.
 *
 * Guards against a day that costs more processor time than there is: with hundreds of workers something comes every few
 * milliseconds, and to wake up for each of them costs as much as to handle it. While much comes, the event loop pauses for
 * [pauseUs] before it looks again, which is nothing beside what is promised to users; what comes alone is handled at once.
 */
class EventBatching(
    private val clock: Clock,
    private val pauseUs: Long,
    private val pause: (Long) -> Unit,
) {
    private var lastWakeUpUs = Long.MIN_VALUE / 2

    /** Called before each wait, with [select] to look without waiting; returns how many are ready, or that it is to wait. */
    fun calculateStrategy(
        select: () -> Int,
        hasTasks: Boolean,
    ): Int {
        if (hasTasks) return select()
        val now = clock.now()
        val isBusy = now - lastWakeUpUs < pauseUs * BUSY_THRESHOLD_PAUSES
        lastWakeUpUs = now
        if (isBusy) pause(pauseUs)
        return SelectStrategy.SELECT
    }

    private companion object {
        /** The loop is busy where it was woken again within so many pauses. */
        const val BUSY_THRESHOLD_PAUSES = 2
    }
}

/** Vert.x on its plain transport, whose event loop gathers. */
fun createBatchingVertx(options: VertxOptions): Vertx {
    val strategies =
        SelectStrategyFactory {
            val batching = EventBatching(Clock.steady, BATCH_PAUSE_US) { LockSupport.parkNanos(TimeUnit.MICROSECONDS.toNanos(it)) }
            SelectStrategy { select, hasTasks -> batching.calculateStrategy(select::get, hasTasks) }
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
