package willowdoor.notices;

import java.nio.charset.StandardCharsets;

/** Encodes a reader's events as {@code text/event-stream} (WHATWG, server-sent events). */
class ServerSentEvents {
  byte[] notice(Notice notice, Position after) {
    String body = new String(notice.body(), StandardCharsets.UTF_8);
    return event(null, after.text(notice.stream()), body);
  }

  /**
   * Encodes a gap.
   *
   * @param to the last missing count, or {@link Entry#OPEN_ENDED} if the end is unknown
   */
  byte[] gap(StreamId stream, long from, long to, Position after) {
    return event(
        "gap",
        after.text(null),
        "{\"stream\":\""
            + stream.text()
            + "\",\"from\":"
            + from
            + ",\"to\":"
            + (to == Entry.OPEN_ENDED ? "null" : Long.toString(to))
            + "}");
  }

  /**
   * Encodes the first event. Its id is the {@code Last-Event-ID} for a reader whose response ends
   * before another event comes.
   */
  byte[] open(long key, Position position) {
    return event(
        "open", position.text(null), "{\"reader\":\"" + Long.toUnsignedString(key, 36) + "\"}");
  }

  byte[] move(String address, MoveOrder order, Position position) {
    return event(
        "move",
        position.text(null),
        "{\"to\":\"" + address + "\",\"order\":\"" + order.text() + "\"}");
  }

  byte[] closed(String reason, Position position) {
    return event("closed", position.text(null), "{\"reason\":\"" + reason + "\"}");
  }

  private static byte[] event(String type, String id, String data) {
    StringBuilder text = new StringBuilder(data.length() + id.length() + 32);
    if (type != null) {
      text.append("event: ").append(type).append('\n');
    }
    text.append("id: ").append(id).append('\n');
    // Any kind of line break ends a field, so each line gets its own data field. Readers join the
    // lines with \n.
    int from = 0;
    for (int i = 0; i <= data.length(); i++) {
      char c = i < data.length() ? data.charAt(i) : '\n';
      if (c == '\n' || c == '\r') {
        text.append("data: ").append(data, from, i).append('\n');
        from = c == '\r' && i + 1 < data.length() && data.charAt(i + 1) == '\n' ? ++i + 1 : i + 1;
      }
    }
    return text.append('\n').toString().getBytes(StandardCharsets.UTF_8);
  }
}
