package org.poplarshift.serving.peer

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.poplarshift.core.dispatch.NodeMessage
import org.poplarshift.core.dispatch.SlotUse

/** Guards against connections that are closed during an update, because a node of a later release states more fields. */
class PeerMessagesTest :
    FunSpec({
        val acquire = NodeMessage.Acquire(1, SlotUse.ONLINE, 0, 100)
        listOf(
            """{"type":"acquire","number":1,"use":"ONLINE","priority":0,"onTimeInMillis":100}""" to acquire,
            """{"type":"acquire","number":1,"use":"ONLINE","priority":0,"onTimeInMillis":100,"new":{"a":1}}""" to
                acquire,
            """{"type":"something new","number":1}""" to null,
            """{"type":"acquire"}""" to null,
        ).forEach { (text, expected) ->
            test("the message $text is decoded to $expected") {
                PeerMessages.decode(NodeMessage.serializer(), text, "test") shouldBe expected
            }
        }
    })
