package willowdoor.lab.load;

import java.nio.charset.StandardCharsets;

/** One request of a client, and how far it is. */
final class Ask {

  /** A class as clients need to know it. */
  record Type(String name, boolean safe, boolean keyed, int deadlineMs) {}

  /** A customer, and which front doors in a row it comes in at. */
  record Customer(String id, String plan, int first, int spread) {}

  final String id;
  final Type type;
  final Customer customer;
  final int units;
  final int timeoutMs;
  final String door;

  /** How many requests of this client were for the same before it. */
  final int tries;

  long begin;
  boolean taken;

  /** When it was written once more, or 0. */
  long resent;

  Ask(String id, Type type, Customer customer, int units, int timeoutMs, String door, int tries) {
    this.id = id;
    this.type = type;
    this.customer = customer;
    this.units = units;
    this.timeoutMs = timeoutMs;
    this.door = door;
    this.tries = tries;
  }

  /** The message as it is written. */
  byte[] message() {
    StringBuilder text = new StringBuilder(512);
    text.append(type.safe() ? "GET /" : "POST /")
        .append(type.name())
        .append('/')
        .append(id, 0, 2)
        .append(" HTTP/1.1\r\nHost: backend.local\r\nRequest-Id: ")
        .append(id)
        .append("\r\nRequest-Class: ")
        .append(type.name())
        .append("\r\nX-Plan: ")
        .append(customer.plan())
        .append("\r\nX-Customer: ")
        .append(customer.id())
        .append("\r\nRequest-Timeout-Ms: ")
        .append(timeoutMs)
        .append("\r\nX-Quota: units=")
        .append(units)
        .append(",spread=")
        .append(customer.spread())
        .append(",first=")
        .append(customer.first())
        .append("\r\n");
    if (type.keyed()) {
      text.append("Idempotency-Key: key-").append(id).append("\r\n");
    }
    if (tries > 0) {
      text.append("Client-Retry: 1\r\n");
    }
    String body = type.safe() ? "" : "body of " + id;
    if (!type.safe()) {
      text.append("Content-Length: ").append(body.length()).append("\r\n");
    }
    return text.append("\r\n").append(body).toString().getBytes(StandardCharsets.ISO_8859_1);
  }
}
