package elmsail.gateway.requests;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ServerSentEventSplitterTest {
  private final List<String> events = new ArrayList<>();
  private final ServerSentEventSplitter splitter =
      new ServerSentEventSplitter(
          (id, raw) -> {
            events.add(id + "=" + raw.toString(StandardCharsets.ISO_8859_1));
            raw.release();
            return events.size() < 100;
          });

  private static ByteBuf bytes(String text) {
    return Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
  }

  @ParameterizedTest
  @ValueSource(strings = {"\n", "\r\n"})
  void everySplitYieldsTheSameEvents(String end) {
    String one = "id: 7" + end + "data: a" + end + end;
    String two = "event: x" + end + "id:8" + end + "data:b" + end + "data: c" + end + end;
    String all = one + two;
    for (int cut = 0; cut <= all.length(); cut++) {
      for (int next = cut; next <= all.length(); next++) {
        events.clear();
        splitter.feed(bytes(all.substring(0, cut)));
        splitter.feed(bytes(all.substring(cut, next)));
        splitter.feed(bytes(all.substring(next)));
        assertThat(events, contains("7=" + one, "8=" + two));
        assertThat(splitter.hasPartialEvent(), is(false));
      }
    }
  }

  @Test
  void partialEventIsBuffered() {
    splitter.feed(bytes("id: 1\ndata: x\n"));
    assertThat(events.isEmpty(), is(true));
    assertThat(splitter.hasPartialEvent(), is(true));
    splitter.discard();
    assertThat(splitter.hasPartialEvent(), is(false));
  }

  @Test
  void eventWithoutNumericIdHasNoId() {
    splitter.feed(bytes(": hello\n\nid: x1\n\nversions: 3\n\n"));
    assertThat(events, contains("-1=: hello\n\n", "-1=id: x1\n\n", "-1=versions: 3\n\n"));
  }

  @Test
  void eventBeyondTheMaximumSizeIsRejected() {
    assertThat(
        splitter.feed(bytes("data: " + "x".repeat(ServerSentEventSplitter.MAX_EVENT_BYTES))),
        is(false));
  }

  @Test
  void releasesItsBuffers() {
    ByteBuf bytes = bytes("id: 1\n\nid: 2\n\nid");
    splitter.feed(bytes);
    assertThat(bytes.refCnt(), is(0));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "id: 1~data: a~~ | a",
        "data:a~data: b~~ | a~b",
        "data~data: b~~ | ~b",
        "data:  a~~ |  a",
        "database: a~data: b~~ | b"
      })
  void joinsDataLines(String event, String data) {
    byte[] joined = ServerSentEventSplitter.data(bytes(event.replace('~', '\n')));
    String expected = data.startsWith("~") || !event.contains(":  ") ? data : " " + data.trim();
    assertThat(new String(joined, StandardCharsets.ISO_8859_1), is(expected.replace('~', '\n')));
  }

  @Test
  void eventWithoutDataYieldsNull() {
    assertThat(ServerSentEventSplitter.data(bytes("id: 3\n\n")), is(nullValue()));
  }
}
