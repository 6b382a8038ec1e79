package org.poplarshift.serving.forward

import io.netty.handler.codec.http.HttpDecoderConfig
import io.netty.handler.codec.http.HttpMessage
import io.netty.handler.codec.http.HttpResponseDecoder

/**
 * Decodes the responses on a connection that is used for one request at a time.
 *
 * The client codec of Netty forgets the method of a request after an interim response and then expects a body after the
 * response to a HEAD request.
 *
 * @param isBodyExpected whether the latest request has a method whose response has a body
 */
internal class ResponseDecoder(config: HttpDecoderConfig, private val isBodyExpected: () -> Boolean) :
    HttpResponseDecoder(config) {
    override fun isContentAlwaysEmpty(message: HttpMessage): Boolean =
        !isBodyExpected() || super.isContentAlwaysEmpty(message)
}
