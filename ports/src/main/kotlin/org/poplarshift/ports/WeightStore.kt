package org.poplarshift.ports

/** The platform's rate-limited store of model weights. */
interface WeightStore {
    /** Requests permission to load the weights of [model] now. */
    suspend fun reserveLoad(model: String): WeightStoreResult
}
