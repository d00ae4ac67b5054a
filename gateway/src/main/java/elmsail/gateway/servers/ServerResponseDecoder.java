package elmsail.gateway.servers;

import elmsail.runtime.http.StrictResponseDecoder;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpMessage;

/**
 * Decodes a server's responses. Tracks whether the current request is a HEAD request, and
 * distinguishes an orderly shutdown of the server's output from a reset. Used on the channel's
 * event loop only.
 */
final class ServerResponseDecoder extends StrictResponseDecoder {
  private static final int MAX_LINE_BYTES = 4_096;
  private static final int MAX_HEAD_BYTES = 16_384;
  private static final int MAX_CHUNK_BYTES = 32 * 1024;

  private boolean expectsHeadResponse;
  private boolean inputShutDown;

  ServerResponseDecoder() {
    super(MAX_LINE_BYTES, MAX_HEAD_BYTES, MAX_CHUNK_BYTES);
  }

  /** Sets whether the current request is a HEAD request, whose response has no body. */
  void expectHeadResponse(boolean isHeadRequest) {
    expectsHeadResponse = isHeadRequest;
  }

  boolean expectsHeadResponse() {
    return expectsHeadResponse;
  }

  /** Whether the server has shut down its output in an orderly way, without a reset. */
  boolean isInputShutDown() {
    return inputShutDown;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage message) {
    return expectsHeadResponse || super.isContentAlwaysEmpty(message);
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
    inputShutDown |= event instanceof ChannelInputShutdownEvent;
    super.userEventTriggered(ctx, event); // emits the end of a response without a length
  }
}
