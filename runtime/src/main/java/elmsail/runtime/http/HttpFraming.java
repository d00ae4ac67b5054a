package elmsail.runtime.http;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.List;
import java.util.function.Supplier;

/**
 * What both decoders refuse beyond the codec's own checks: heads with folded lines, and messages
 * whose end could be told in two ways. Follows where the decoder stands, from what it has put out.
 */
final class HttpFraming {

  private final Supplier<HttpMessage> invalid;
  private boolean inHead = true;
  private boolean lineSeen;
  private boolean refused;

  /**
   * @param invalid makes the message that stands for one refused
   */
  HttpFraming(Supplier<HttpMessage> invalid) {
    this.invalid = invalid;
  }

  static HttpDecoderConfig config(int mostLine, int mostHead, int mostPiece) {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(mostLine)
        .setMaxHeaderSize(mostHead)
        .setMaxChunkSize(mostPiece)
        .setStrictLineParsing(true)
        .setUseRfc9112TransferEncoding(true)
        .setAllowDuplicateContentLengths(false);
  }

  static void colon(byte[] line, int end) {
    if (end >= line.length || line[end] != ':') {
      throw new IllegalArgumentException("no colon behind a header's name");
    }
  }

  static IllegalArgumentException lengthAndChunks() {
    return new IllegalArgumentException("both a length and chunks");
  }

  /** Whether a message has begun to come and is not whole yet. */
  boolean inside() {
    return !inHead || lineSeen;
  }

  /**
   * Whether the decoder may go on with these bytes; else they are dropped, and the first time a
   * refused message is put out.
   */
  boolean admits(ByteBuf in, List<Object> out) {
    if (refused) {
      in.skipBytes(in.readableBytes());
      return false;
    }
    if (folded(in)) {
      refuse("a folded line", in, out);
      return false;
    }
    return true;
  }

  /**
   * Looks at what the decoder has put out; where a head is wrong, a refused message replaces it.
   */
  void check(ByteBuf in, List<Object> out, int from) {
    String fault = passed(out, from);
    if (fault != null) {
      while (out.size() > from) {
        ReferenceCountUtil.release(out.remove(out.size() - 1));
      }
      refuse(fault, in, out);
    }
  }

  private void refuse(String fault, ByteBuf in, List<Object> out) {
    refused = true;
    HttpMessage none = invalid.get();
    none.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(fault)));
    out.add(none);
    in.skipBytes(in.readableBytes());
  }

  /** Whether a line of the head begins with a space: one folded, or ahead of the message. */
  private boolean folded(ByteBuf in) {
    if (!inHead) {
      return false;
    }
    int at = in.readerIndex();
    int end = in.writerIndex();
    while (at < end) {
      byte first = in.getByte(at);
      if (first == ' ' || first == '\t') {
        return true;
      }
      int feed = in.indexOf(at, end, (byte) '\n');
      if (feed < 0) {
        return false;
      }
      boolean blank = feed == at || feed == at + 1 && first == '\r';
      if (blank && lineSeen) {
        return false;
      }
      lineSeen |= !blank;
      at = feed + 1;
    }
    return false;
  }

  /** Takes in what the decoder has put out since; null, or what is wrong with a head among it. */
  private String passed(List<Object> out, int from) {
    String fault = null;
    for (int i = from; i < out.size(); i++) {
      Object one = out.get(i);
      // The codec drops the rest by itself then.
      refused |= one instanceof HttpObject object && object.decoderResult().isFailure();
      if (one instanceof HttpMessage message) {
        inHead = false;
        lineSeen = false;
        if (message.decoderResult().isSuccess() && fault == null) {
          fault = fault(message);
        }
      }
      if (one instanceof LastHttpContent) {
        inHead = true;
      }
    }
    return fault;
  }

  private static String fault(HttpMessage message) {
    List<String> codings = message.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (codings.isEmpty()) {
      return null;
    }
    if (codings.size() > 1 || !codings.get(0).trim().equalsIgnoreCase("chunked")) {
      return "a transfer coding other than chunked";
    }
    return message.protocolVersion().equals(HttpVersion.HTTP_1_1)
        ? null
        : "chunks in an older version";
  }
}
