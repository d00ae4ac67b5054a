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
final class HttpFramingValidator {

  private final Supplier<HttpMessage> invalidMessage;
  private boolean inHeaders = true;
  private boolean sawHeaderLine;
  private boolean rejected;

  /**
   * @param invalid makes the message that stands for one refused
   */
  HttpFramingValidator(Supplier<HttpMessage> invalid) {
    this.invalidMessage = invalid;
  }

  static HttpDecoderConfig decoderConfig(int maxLineBytes, int maxHeaderBytes, int maxChunkBytes) {
    return new HttpDecoderConfig()
        .setMaxInitialLineLength(maxLineBytes)
        .setMaxHeaderSize(maxHeaderBytes)
        .setMaxChunkSize(maxChunkBytes)
        .setStrictLineParsing(true)
        .setUseRfc9112TransferEncoding(true)
        .setAllowDuplicateContentLengths(false);
  }

  static void requireColon(byte[] line, int end) {
    if (end >= line.length || line[end] != ':') {
      throw new IllegalArgumentException("no colon behind a header's name");
    }
  }

  static IllegalArgumentException lengthWithChunksError() {
    return new IllegalArgumentException("both a length and chunks");
  }

  /** Whether a message has begun to come and is not whole yet. */
  boolean isInsideMessage() {
    return !inHeaders || sawHeaderLine;
  }

  /**
   * Whether the decoder may go on with these bytes; else they are dropped, and the first time a
   * refused message is put out.
   */
  boolean beforeDecode(ByteBuf in, List<Object> out) {
    if (rejected) {
      in.skipBytes(in.readableBytes());
      return false;
    }
    if (hasFoldedLine(in)) {
      reject("a folded line", in, out);
      return false;
    }
    return true;
  }

  /**
   * Looks at what the decoder has put out; where a head is wrong, a refused message replaces it.
   */
  void afterDecode(ByteBuf in, List<Object> out, int from) {
    String fault = trackDecoded(out, from);
    if (fault != null) {
      while (out.size() > from) {
        ReferenceCountUtil.release(out.remove(out.size() - 1));
      }
      reject(fault, in, out);
    }
  }

  private void reject(String fault, ByteBuf in, List<Object> out) {
    rejected = true;
    HttpMessage none = invalidMessage.get();
    none.setDecoderResult(DecoderResult.failure(new IllegalArgumentException(fault)));
    out.add(none);
    in.skipBytes(in.readableBytes());
  }

  /** Whether a line of the head begins with a space: one folded, or ahead of the message. */
  private boolean hasFoldedLine(ByteBuf in) {
    if (!inHeaders) {
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
      if (blank && sawHeaderLine) {
        return false;
      }
      sawHeaderLine |= !blank;
      at = feed + 1;
    }
    return false;
  }

  /** Takes in what the decoder has put out since; null, or what is wrong with a head among it. */
  private String trackDecoded(List<Object> out, int from) {
    String fault = null;
    for (int i = from; i < out.size(); i++) {
      Object one = out.get(i);
      // The codec drops the rest by itself then.
      rejected |= one instanceof HttpObject object && object.decoderResult().isFailure();
      if (one instanceof HttpMessage message) {
        inHeaders = false;
        sawHeaderLine = false;
        if (message.decoderResult().isSuccess() && fault == null) {
          fault = findFramingError(message);
        }
      }
      if (one instanceof LastHttpContent) {
        inHeaders = true;
      }
    }
    return fault;
  }

  private static String findFramingError(HttpMessage message) {
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
