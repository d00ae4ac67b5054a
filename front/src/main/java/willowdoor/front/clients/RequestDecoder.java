package willowdoor.front.clients;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/**
 * Decodes requests. Refuses a request whose framing is ambiguous, and reports input that has
 * arrived ahead of its turn.
 */
final class RequestDecoder extends HttpRequestDecoder {

  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 16_384;
  private static final int MAX_PIECE_BYTES = 32 * 1024;

  private long decodedHeads;

  RequestDecoder() {
    super(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_PIECE_BYTES);
  }

  /** The number of requests whose complete head has been decoded. */
  long decodedHeads() {
    return decodedHeads;
  }

  /** Whether bytes have arrived that do not form a complete part of a message yet. */
  boolean hasPartialInput() {
    return actualReadableBytes() > 0;
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
    int before = out.size();
    super.decode(ctx, in, out);
    for (int i = before; i < out.size(); i++) {
      decodedHeads += out.get(i) instanceof HttpRequest ? 1 : 0;
    }
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw new IllegalArgumentException(
        "request has both Content-Length and Transfer-Encoding: chunked");
  }
}
