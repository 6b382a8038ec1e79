package org.poplarshift.verification.client

/**
 * What each client of a crowd does on its connection.
 *
 * @property start sent first
 * @property block sent [blocks] times after [start]
 * @property bytesPerTurn bytes that are sent at most each time that it is the client's turn
 * @property isReading whether the client reads what the node sends
 */
class ClientScript(
    val start: ByteArray,
    val block: ByteArray = ByteArray(0),
    val blocks: Int = 0,
    val bytesPerTurn: Int = Int.MAX_VALUE,
    val isReading: Boolean = true,
) {
    companion object {
        private const val PIECE_BYTES = 8_192
        private const val SMALL_PIECE_BYTES = 700
        private const val SHORT_BYTES = 100
        private const val FEW_BYTES = 3

        /** A body that stops 100 bytes short of [bytes], sent in one piece. */
        fun shortBody(target: ClientTarget, bytes: Int) = ClientScript(
            target.head("Content-Length: $bytes"),
            ByteArray(bytes - SHORT_BYTES),
            blocks = 1,
        )

        /** The whole of [body]. */
        fun wholeBody(target: ClientTarget, body: ByteArray) =
            ClientScript(target.head("Content-Length: ${body.size}"), body, blocks = 1)

        /** A body that stops 100 bytes short of [bytes], sent in small pieces. */
        fun shortBodyInPieces(target: ClientTarget, bytes: Int) = ClientScript(
            target.head("Content-Length: $bytes"),
            ByteArray(bytes - SHORT_BYTES),
            blocks = 1,
            bytesPerTurn = SMALL_PIECE_BYTES,
        )

        /** A body of almost [bytes] in chunks, without the last one. */
        fun shortBodyInChunks(target: ClientTarget, bytes: Int) =
            ClientScript(target.head("Transfer-Encoding: chunked"), chunk(), (bytes - SHORT_BYTES) / PIECE_BYTES)

        /** A body that states [bytes] and is sent until the node closes the connection. */
        fun longBody(target: ClientTarget, bytes: Int) =
            ClientScript(target.head("Content-Length: $bytes"), ByteArray(PIECE_BYTES), bytes / PIECE_BYTES)

        /** A body of [bytes] in chunks that is sent until the node closes the connection. */
        fun longBodyInChunks(target: ClientTarget, bytes: Int) =
            ClientScript(target.head("Transfer-Encoding: chunked"), chunk(), bytes / PIECE_BYTES)

        /** A head with very many short fields and a body that does not come. */
        fun manyFields(target: ClientTarget, fields: Int) =
            ClientScript(target.head("Content-Length: 100", *Array(fields) { "a:1" }))

        /** The beginning of a head with very many short fields. */
        fun halfHead(target: ClientTarget, fields: Int) =
            ClientScript(target.head(*Array(fields) { "a:1" }).let { it.copyOf(it.size - END_BYTES) })

        /** [requests] requests on one connection, whose responses are not read. */
        fun sentAhead(target: ClientTarget, requests: Int, vararg fields: String) =
            ClientScript(ByteArray(0), target.head(*fields), requests, isReading = false)

        /** A body of [bytes] that is sent a few bytes at a time. */
        fun slowBody(target: ClientTarget, bytes: Int) = ClientScript(
            target.head("Content-Length: $bytes"),
            ByteArray(bytes),
            blocks = 1,
            bytesPerTurn = FEW_BYTES,
        )

        /** A connection on which nothing is sent. */
        fun silent() = ClientScript(ByteArray(0))

        private const val END_BYTES = 2

        private fun chunk(): ByteArray =
            "${PIECE_BYTES.toString(radix = 16)}\r\n".encodeToByteArray() + ByteArray(PIECE_BYTES) +
                "\r\n".encodeToByteArray()
    }
}
