package willowdoor.purge;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import willowdoor.purge.Message.Accept;
import willowdoor.purge.Message.Accepted;
import willowdoor.purge.Message.Applied;
import willowdoor.purge.Message.Apply;
import willowdoor.purge.Message.Done;
import willowdoor.purge.Message.DoneAck;
import willowdoor.purge.Message.Grant;
import willowdoor.purge.Message.HolderId;
import willowdoor.purge.Message.OutstandingLease;
import willowdoor.purge.Message.Purge;
import willowdoor.purge.Message.PurgeRequest;
import willowdoor.purge.Message.Reason;
import willowdoor.purge.Message.Refused;
import willowdoor.purge.Message.Renew;
import willowdoor.purge.Message.Result;
import willowdoor.purge.Message.State;
import willowdoor.purge.Message.StatusQuery;
import willowdoor.purge.Message.StatusReply;

/**
 * Reads the fields of one datagram in order; throws {@link IllegalArgumentException} for a field
 * that is not valid.
 */
final class MessageReader {
  private static final long MAX_BOOT = 0xffff_ffffL;
  private static final long MAX_LEFT_MS = 0xffff;
  private static final int MAX_LIST = 128;

  private interface ElementReader<T> {
    T read() throws IOException;
  }

  private final CBORParser parser;
  private JsonToken token;

  MessageReader(CBORParser parser) {
    this.parser = parser;
  }

  void openArray() throws IOException {
    expect(parser.nextToken() == JsonToken.START_ARRAY);
    token = parser.nextToken();
  }

  /** Expects the end of the array and of the datagram. */
  void expectEnd() throws IOException {
    expect(token == JsonToken.END_ARRAY && parser.nextToken() == null);
  }

  long number(long min, long max) throws IOException {
    expect(
        token == JsonToken.VALUE_NUMBER_INT
            && parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER);
    long number = parser.getLongValue();
    expect(number >= min && number <= max);
    token = parser.nextToken();
    return number;
  }

  Message message() throws IOException {
    int kind = (int) number(1, 11);
    switch (kind) {
      case 1:
        return new Renew(boot(), nonNegative(), nonNegative(), list(this::nonNegative));
      case 2:
        return new Grant(boot(), nonNegative(), number(0, 1) == 1, list(this::purge));
      case 3:
        int number = count();
        return new Accept(purge(), number, list(this::request));
      case 4:
        return accepted();
      case 5:
        long refused = nonNegative();
        Reason reason = Reason.values()[(int) number(0, Reason.values().length - 1)];
        return new Refused(refused, reason, reason == Reason.KEY_USED ? id() : null);
      case 6:
        return new Apply(purge());
      case 7:
        return new Applied(nonNegative(), boot());
      case 8:
        return new Done(purge(), list(this::request), result());
      case 9:
        return new DoneAck(nonNegative());
      case 10:
        return new StatusQuery(nonNegative(), id());
      default:
        return statusReply();
    }
  }

  private Accepted accepted() throws IOException {
    long run = nonNegative();
    int number = count();
    long acceptance = nonNegative();
    int page = (int) number(0, Fleet.MAX_MEMBER / Fleet.MEMBERS_PER_PAGE);
    return new Accepted(
        run,
        number,
        acceptance,
        page,
        list(
            () -> {
              int member =
                  page * Fleet.MEMBERS_PER_PAGE + (int) number(0, Fleet.MEMBERS_PER_PAGE - 1);
              return new OutstandingLease(new HolderId(member, boot()), number(0, MAX_LEFT_MS));
            }));
  }

  private StatusReply statusReply() throws IOException {
    long number = nonNegative();
    PurgeId id = id();
    State state = State.values()[(int) number(0, State.values().length - 1)];
    if (state != State.DONE && state != State.OPEN) {
      return new StatusReply(number, id, state, null, 0, null);
    }
    Scope scope = scope();
    int prefixHash = prefixHash();
    return new StatusReply(
        number, id, state, scope, prefixHash, state == State.DONE ? result() : null);
  }

  private <T> List<T> list(ElementReader<T> element) throws IOException {
    expect(token == JsonToken.START_ARRAY);
    token = parser.nextToken();
    List<T> list = new ArrayList<>();
    while (token != JsonToken.END_ARRAY) {
      expect(list.size() < MAX_LIST);
      list.add(element.read());
    }
    token = parser.nextToken();
    return list;
  }

  private Purge purge() throws IOException {
    return new Purge(nonNegative(), member(), scope());
  }

  private Scope scope() throws IOException {
    return new Scope(text(), text());
  }

  private PurgeRequest request() throws IOException {
    return new PurgeRequest(id(), prefixHash());
  }

  private PurgeId id() throws IOException {
    return new PurgeId(
        number(Long.MIN_VALUE, Long.MAX_VALUE), number(Long.MIN_VALUE, Long.MAX_VALUE));
  }

  private Result result() throws IOException {
    int confirmed = count();
    List<Integer> ranOut = list(this::member);
    expect(ranOut.size() <= Result.MAX_REPORTED);
    return new Result(confirmed, ranOut);
  }

  private String text() throws IOException {
    expect(token == JsonToken.VALUE_STRING);
    String text = parser.getText();
    token = parser.nextToken();
    return text;
  }

  private int member() throws IOException {
    return (int) number(0, Fleet.MAX_MEMBER);
  }

  private int prefixHash() throws IOException {
    return (int) number(Integer.MIN_VALUE, Integer.MAX_VALUE);
  }

  private int count() throws IOException {
    return (int) number(0, Integer.MAX_VALUE);
  }

  private long boot() throws IOException {
    return number(1, MAX_BOOT);
  }

  private long nonNegative() throws IOException {
    return number(0, Long.MAX_VALUE);
  }

  private static void expect(boolean valid) {
    if (!valid) {
      throw new IllegalArgumentException(
          "a message field is missing, has another type or is out of its range");
    }
  }
}
