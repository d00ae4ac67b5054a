package willowdoor.front.servers;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;
import willowdoor.front.requests.Headers;
import willowdoor.policy.GatewayApi.Status;

/**
 * Decodes responses and rejects header lines without a colon: Netty's decoder accepts such a line
 * when the line contains a space.
 */
final class ResponseDecoder extends HttpResponseDecoder {
  private boolean insideMessage;

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
    super.decode(ctx, in, out);
    if (!out.isEmpty()) {
      insideMessage = !(out.get(out.size() - 1) instanceof LastHttpContent);
    }
  }

  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    if (line[start + length] != ':') {
      throw new IllegalArgumentException("header name is not followed by a colon");
    }
    return super.splitHeaderName(line, start, length);
  }

  /** Whether the decoder holds input beyond the last complete response. */
  boolean hasUnconsumedData() {
    return insideMessage || actualReadableBytes() > 0;
  }

  /** Maps a complete response to the status of its attempt. */
  static Status status(HttpResponse answer) {
    HttpResponseStatus code = answer.status();
    if (code.equals(HttpResponseStatus.OK)) {
      return Status.OK;
    }
    boolean notStarted =
        (code.equals(HttpResponseStatus.SERVICE_UNAVAILABLE)
                || code.equals(HttpResponseStatus.GATEWAY_TIMEOUT))
            && "1".equals(answer.headers().get(Headers.NOT_STARTED));
    return notStarted ? Status.REJECTED : Status.ERROR;
  }
}
