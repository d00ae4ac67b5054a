package willowdoor.notices;

import java.nio.charset.StandardCharsets;

/** A reader's events as bytes of {@code text/event-stream} (WHATWG, server-sent events). */
class ServerSentEvents {
  byte[] notice(Notice notice, Position after) {
    String body = new String(notice.body(), StandardCharsets.UTF_8);
    return event(null, after.text(notice.stream()), body);
  }

  /**
   * @param to the last count that is lacking, or {@link Entry#OPEN_ENDED} where nobody knows
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
   * The first event: what to say as {@code Last-Event-ID} when the answer ends before another
   * comes.
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
    // A line break of any kind ends a field, so each line is a field of its own; readers join them
    // by \n.
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
