package org.poplarshift.ports

/** The platform's rate-limited store of model weights. */
interface WeightStore {
    /** Asks for permission to load the weights of [model] now. */
    suspend fun reserveLoad(model: String): WeightStoreResult
}
