package elmsail.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes responses and rejects ambiguous framing: a length beside chunks, several lengths, header
 * lines that are folded or have no colon. A rejected message is emitted with a failed {@code
 * decoderResult}, and nothing after it is decoded: the connection is to be closed.
 */
public class StrictResponseDecoder extends HttpResponseDecoder {

  private final HttpFramingValidator framing = new HttpFramingValidator(this::createInvalidMessage);

  /** Limits in bytes: of the first line, of all header lines, and of one chunk of a body. */
  public StrictResponseDecoder(int maxLineBytes, int maxHeaderBytes, int maxChunkBytes) {
    super(HttpFramingValidator.decoderConfig(maxLineBytes, maxHeaderBytes, maxChunkBytes));
  }

  /** Whether a message has been received in part. */
  public final boolean isInsideMessage() {
    return framing.isInsideMessage() || actualReadableBytes() > 0;
  }

  @Override
  protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out) throws Exception {
    if (framing.beforeDecode(in, out)) {
      int before = out.size();
      super.decode(ctx, in, out);
      framing.afterDecode(in, out, before);
    }
  }

  @Override
  protected AsciiString splitHeaderName(byte[] line, int start, int length) {
    HttpFramingValidator.requireColon(line, start + length);
    return super.splitHeaderName(line, start, length);
  }

  @Override
  protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
    throw HttpFramingValidator.lengthWithChunksError();
  }
}
