package elmsail.runtime.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class StrictDecodersTest {

  /**
   * What was decoded: h for a head, r for a rejected message, b for a chunk of a body, x for a
   * malformed one, e for an end.
   */
  private static String decoded(EmbeddedChannel channel, String bytes, int step) {
    byte[] all = bytes.getBytes(StandardCharsets.ISO_8859_1);
    for (int i = 0; i < all.length; i += step) {
      channel.writeInbound(Unpooled.copiedBuffer(all, i, Math.min(step, all.length - i)));
    }
    StringBuilder seen = new StringBuilder();
    Object part = channel.readInbound();
    while (part != null) {
      if (part instanceof HttpMessage head) {
        seen.append(head.decoderResult().isSuccess() ? 'h' : 'r');
      }
      boolean rejected = part instanceof HttpMessage message && message.decoderResult().isFailure();
      if (!rejected && part instanceof HttpContent content) {
        if (content.decoderResult().isFailure()) {
          seen.append('x');
        } else if (content.content().isReadable()) {
          seen.append('b');
        }
        if (content instanceof LastHttpContent) {
          seen.append('e');
        }
      }
      ReferenceCountUtil.release(part);
      part = channel.readInbound();
    }
    channel.finishAndReleaseAll();
    return seen.toString();
  }

  private static String request(String bytes, int step) {
    return decoded(new EmbeddedChannel(new StrictRequestDecoder(200, 400, 100)), bytes, step);
  }

  private static String response(String bytes, int step) {
    return decoded(new EmbeddedChannel(new StrictResponseDecoder(200, 400, 100)), bytes, step);
  }

  private static String lines(String text) {
    return text.replace("|", "\r\n");
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 2, 3, 7, 1_000})
  void decodesPipelinedRequests(int step) {
    assertThat(
        request(lines("GET /a HTTP/1.1|Host: b|||GET /c HTTP/1.1|A:b|C: d e||"), step), is("hehe"));
    assertThat(
        request(lines("POST / HTTP/1.1|Content-Length: 1||\nGET / HTTP/1.1||"), step), is("hbehe"));
    assertThat(
        request(
            lines("POST / HTTP/1.1|Transfer-Encoding: chunked||1|\t|0||GET / HTTP/1.1||"), step),
        is("hbehe"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "POST / HTTP/1.1|Content-Length: 3|Transfer-Encoding: chunked||",
        "POST / HTTP/1.1|Transfer-Encoding: chunked|Content-Length: 3||",
        "POST / HTTP/1.1|Content-Length: 3|Content-Length: 4||",
        "POST / HTTP/1.1|Content-Length: 3, 4||",
        "POST / HTTP/1.1|Content-Length: +3||",
        "POST / HTTP/1.1|Content-Length: -3||",
        "POST / HTTP/1.1|Content-Length: 0x3||",
        "POST / HTTP/1.1|Transfer-Encoding: chunked, gzip||",
        "POST / HTTP/1.1|Transfer-Encoding: gzip, chunked||",
        "POST / HTTP/1.1|Transfer-Encoding: identity||",
        "POST / HTTP/1.1|Transfer-Encoding: xchunked||",
        "POST / HTTP/1.1|Transfer-Encoding: chunked|Transfer-Encoding: chunked||",
        "POST / HTTP/1.0|Transfer-Encoding: chunked||",
        "GET / HTTP/1.1|Host: a| b||",
        "GET / HTTP/1.1|Host: a|\tb: c||",
        "GET / HTTP/1.1| Host: a||",
        " GET / HTTP/1.1|Host: a||",
        "GET / HTTP/1.1|Host||",
        "GET / HTTP/1.1|Host a||",
        "GET / HTTP/1.1|Host : a||",
        "GET / HTTP/1.1|: a||",
        "GET / HTTP/1.1|A: a\rb||",
        "GET / HTTP/1.1|A: a\u0000b||",
        "GET / HTTP/1.1\nHost: a\n\n"
      })
  void rejectsAmbiguouslyFramedRequests(String text) {
    String bytes = lines(text + "GET /behind HTTP/1.1||GET /behind HTTP/1.1||");
    assertThat("at once", request(bytes, 10_000), is("r"));
    assertThat("by bytes", request(bytes, 1), is("r"));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "HTTP/1.1 200 OK|Content-Length: 3|Transfer-Encoding: chunked||",
        "HTTP/1.1 200 OK|Content-Length: 3|Content-Length: 4||",
        "HTTP/1.1 200 OK|Transfer-Encoding: gzip||",
        "HTTP/1.1 200 OK|Server: a| b||",
        "HTTP/1.1 200 OK|Server||",
        "HTTP/1.1 200 OK|Server a: b||",
        " HTTP/1.1 200 OK||",
        "bytes that are none||"
      })
  void rejectsAmbiguouslyFramedResponses(String text) {
    String bytes = lines(text + "HTTP/1.1 200 OK|Content-Length: 0||");
    assertThat("at once", response(bytes, 10_000), is("r"));
    assertThat("by bytes", response(bytes, 1), is("r"));
  }

  @Test
  void rejectsTooLongHeadersAndMalformedChunks() {
    assertThat(request("GET /" + "a".repeat(300) + " HTTP/1.1\r\n\r\n", 50), is("r"));
    assertThat(request("GET / HTTP/1.1\r\nA: " + "a".repeat(500) + "\r\n\r\n", 50), is("r"));
    assertThat(request(lines("POST / HTTP/1.1|Transfer-Encoding: chunked||zz|"), 50), is("hxe"));
  }

  @Test
  void reportsWhetherAMessageIsIncomplete() {
    StrictResponseDecoder decoder = new StrictResponseDecoder(200, 400, 100);
    EmbeddedChannel channel = new EmbeddedChannel(decoder);
    assertThat(decoder.isInsideMessage(), is(false));
    channel.writeInbound(Unpooled.copiedBuffer("HTTP/1.1 200", StandardCharsets.US_ASCII));
    assertThat(decoder.isInsideMessage(), is(true));
    channel.writeInbound(
        Unpooled.copiedBuffer(" OK\r\nContent-Length: 1\r\n\r\n", StandardCharsets.US_ASCII));
    assertThat(decoder.isInsideMessage(), is(true));
    channel.writeInbound(Unpooled.copiedBuffer("x", StandardCharsets.US_ASCII));
    assertThat(decoder.isInsideMessage(), is(false));
    channel.finishAndReleaseAll();
  }
}
