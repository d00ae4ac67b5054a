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
 * Rejects what both decoders reject beyond the codec's own checks: heads with folded lines, and
 * messages with ambiguous framing (request smuggling). Tracks the decoder's position by its output.
 */
final class HttpFramingValidator {

  private final Supplier<HttpMessage> invalidMessage;
  private boolean inHeaders = true;
  private boolean sawHeaderLine;
  private boolean rejected;

  /**
   * @param invalid creates the message that stands for a rejected one
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

  /** Whether a message has been received in part. */
  boolean isInsideMessage() {
    return !inHeaders || sawHeaderLine;
  }

  /**
   * Whether the decoder may go on with these bytes; otherwise they are dropped, and a rejected
   * message is emitted the first time.
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

  /** Checks what the decoder has emitted; a rejected message replaces an invalid head. */
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

  /**
   * Whether a line of the head begins with white space: a folded line, or one before the message.
   */
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

  /** Tracks what the decoder has emitted since; the error of an invalid head among it, or null. */
  private String trackDecoded(List<Object> out, int from) {
    String fault = null;
    for (int i = from; i < out.size(); i++) {
      Object one = out.get(i);
      // The codec drops the rest by itself.
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
