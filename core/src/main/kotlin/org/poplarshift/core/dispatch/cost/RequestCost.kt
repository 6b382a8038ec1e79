package org.poplarshift.core.dispatch.cost

import org.poplarshift.core.dispatch.RequestSize

/**
 * The likely work of a request.
 *
 * Work is counted in steps of an engine at the usual speed. For requests to other services it is a measure of time.
 *
 * @property outputSteps expected number of steps after the prompt has been read
 * @property promptTokens tokens of the prompt
 * @property heldTokens tokens that the request occupies in a worker's memory at most
 * @property sharedParts hashes of the shared parts of the prompt, each with all parts before it
 * @property sharedTokens tokens of the shared parts
 */
class RequestCost internal constructor(
    val outputSteps: Double,
    val promptTokens: Int,
    val heldTokens: Long,
    internal val sharedParts: LongArray,
    internal val sharedTokens: IntArray,
) {
    /** Time in milliseconds at a worker of the usual speed that runs nothing else and has no part of the prompt cached. */
    val millis: Double
        get() = (outputSteps + EngineTimes.readSteps(promptTokens)) * EngineTimes.STEP_MILLIS

    internal companion object {
        private const val HASH_SEED = -0x340d631b7bdddcdbL
        private const val HASH_FACTOR = 0x100000001b3L
        private val NO_PARTS = LongArray(0)
        private val NO_TOKENS = IntArray(0)

        /** Returns the cost of a request of [size], or of one without a stated size, which needs [outputSteps]. */
        fun of(size: RequestSize?, outputSteps: Double): RequestCost {
            if (size == null) return RequestCost(outputSteps, promptTokens = 0, heldTokens = 0, NO_PARTS, NO_TOKENS)
            // The last part is the request's own.
            val shared = maxOf(0, size.parts.size - 1)
            val hashes = LongArray(shared)
            var hash = HASH_SEED
            for (index in 0 until shared) {
                hash = extend(hash, size.parts[index].id)
                hashes[index] = hash
            }
            return RequestCost(
                outputSteps,
                size.promptTokens,
                heldTokens = size.promptTokens.toLong() + size.maximumOutputTokens,
                hashes,
                IntArray(shared) { size.parts[it].tokens },
            )
        }

        // FNV-1a over 64 bits. The final factor separates the ids of neighbouring parts.
        private fun extend(hash: Long, id: String): Long {
            var result = hash
            for (character in id) result = (result xor character.code.toLong()) * HASH_FACTOR
            return (result xor 0xff) * HASH_FACTOR
        }
    }
}
