package willowdoor.front.clients;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/**
 * Refuses requests whose end could be told in two ways, and tells what has come ahead of its turn.
 */
final class RequestDecoder extends HttpRequestDecoder {

  private static final int MAX_LINE_BYTES = 8_192;
  private static final int MAX_HEADER_BYTES = 16_384;
  private static final int MAX_PIECE_BYTES = 32 * 1024;

  private long decodedHeads;

  RequestDecoder() {
    super(MAX_LINE_BYTES, MAX_HEADER_BYTES, MAX_PIECE_BYTES);
  }

  /** How many requests have begun, each with its whole head. */
  long decodedHeads() {
    return decodedHeads;
  }

  /** Whether bytes have come that are no whole part of a message yet. */
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
    throw new IllegalArgumentException("both a length and chunks");
  }
}
