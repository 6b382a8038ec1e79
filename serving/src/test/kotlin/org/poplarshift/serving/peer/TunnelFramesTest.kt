package org.poplarshift.serving.peer

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.netty.buffer.ByteBuf
import io.netty.buffer.Unpooled
import io.netty.channel.ChannelHandlerContext
import io.netty.channel.ChannelInboundHandlerAdapter
import io.netty.channel.embedded.EmbeddedChannel
import io.vertx.core.buffer.Buffer

/** Guards against a response that is taken for complete because the node that relayed it was lost. */
class TunnelFramesTest :
    FunSpec({
        data class Case(
            val name: String,
            val sent: Buffer,
            val received: String,
            val isReset: Boolean,
            val isRelayLost: Boolean,
            val isRelayLeaving: Boolean = false,
        )
        val content = Buffer.buffer()
            .appendBuffer(TunnelFrames.of(Buffer.buffer("ab")))
            .appendBuffer(TunnelFrames.of(Buffer.buffer("c")))
        listOf(
            Case(
                "an orderly end",
                content.copy().appendBuffer(TunnelFrames.end),
                "abc",
                isReset = false,
                isRelayLost = false,
            ),
            Case(
                "a reset",
                content.copy().appendBuffer(TunnelFrames.reset),
                "abc",
                isReset = true,
                isRelayLost = false,
            ),
            Case(
                "the shutdown of the relaying node between two frames",
                TunnelFrames.of(Buffer.buffer("ab"))
                    .appendBuffer(TunnelFrames.leaving)
                    .appendBuffer(TunnelFrames.of(Buffer.buffer("c")))
                    .appendBuffer(TunnelFrames.end),
                "abc",
                isReset = false,
                isRelayLost = false,
                isRelayLeaving = true,
            ),
            Case("the loss of the relaying node", content, "abc", isReset = true, isRelayLost = true),
            Case("its loss within a frame", content.getBuffer(0, 5), "a", isReset = true, isRelayLost = true),
            Case("its loss within a length", content.getBuffer(0, 2), "", isReset = true, isRelayLost = true),
            Case(
                "bytes after the end",
                content.copy().appendBuffer(TunnelFrames.end).appendBuffer(content),
                "abc",
                isReset = false,
                isRelayLost = false,
            ),
        ).forEach { case ->
            listOf(1, 3, 100).forEach { size ->
                test("${case.name} in segments of $size bytes") {
                    var isRelayLost = false
                    var isRelayLeaving = false
                    var isReset = false
                    val received = StringBuilder()
                    val last = object : ChannelInboundHandlerAdapter() {
                        override fun channelRead(context: ChannelHandlerContext, message: Any) {
                            received.append((message as ByteBuf).toString(Charsets.US_ASCII))
                            message.release()
                        }

                        override fun exceptionCaught(context: ChannelHandlerContext, cause: Throwable) {
                            isReset = true
                        }
                    }
                    val channel = EmbeddedChannel(TunnelDecoder({ isRelayLeaving = true }) { isRelayLost = true }, last)
                    case.sent.bytes.toList().chunked(size).forEach {
                        if (channel.isOpen) channel.writeInbound(Unpooled.wrappedBuffer(it.toByteArray()))
                    }
                    channel.close()
                    "$received" shouldBe case.received
                    isReset shouldBe case.isReset
                    isRelayLost shouldBe case.isRelayLost
                    isRelayLeaving shouldBe case.isRelayLeaving
                }
            }
        }
    })
