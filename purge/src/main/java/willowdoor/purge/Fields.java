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
import willowdoor.purge.Message.Ask;
import willowdoor.purge.Message.Claim;
import willowdoor.purge.Message.Done;
import willowdoor.purge.Message.Grant;
import willowdoor.purge.Message.HolderId;
import willowdoor.purge.Message.Noted;
import willowdoor.purge.Message.Outstanding;
import willowdoor.purge.Message.Purge;
import willowdoor.purge.Message.Reason;
import willowdoor.purge.Message.Refused;
import willowdoor.purge.Message.Renew;
import willowdoor.purge.Message.Result;
import willowdoor.purge.Message.State;
import willowdoor.purge.Message.Told;

/**
 * The fields of one datagram, one behind the other; {@link IllegalArgumentException} for any that
 * is not right.
 */
final class Fields {
  private static final long MAX_BOOT = 0xffff_ffffL;
  private static final long MAX_LEFT_MS = 0xffff;
  private static final int MAX_LIST = 128;

  private interface Element<T> {
    T read() throws IOException;
  }

  private final CBORParser parser;
  private JsonToken token;

  Fields(CBORParser parser) {
    this.parser = parser;
  }

  void open() throws IOException {
    expect(parser.nextToken() == JsonToken.START_ARRAY);
    token = parser.nextToken();
  }

  /** The array ends, and the datagram with it. */
  void end() throws IOException {
    expect(token == JsonToken.END_ARRAY && parser.nextToken() == null);
  }

  long number(long least, long most) throws IOException {
    expect(
        token == JsonToken.VALUE_NUMBER_INT
            && parser.getNumberType() != JsonParser.NumberType.BIG_INTEGER);
    long number = parser.getLongValue();
    expect(number >= least && number <= most);
    token = parser.nextToken();
    return number;
  }

  Message message() throws IOException {
    int kind = (int) number(1, 11);
    switch (kind) {
      case 1:
        return new Renew(boot(), whole(), whole(), list(this::whole));
      case 2:
        return new Grant(boot(), whole(), number(0, 1) == 1, list(this::purge));
      case 3:
        int number = count();
        return new Accept(purge(), number, list(this::claim));
      case 4:
        return accepted();
      case 5:
        long refused = whole();
        Reason reason = Reason.values()[(int) number(0, Reason.values().length - 1)];
        return new Refused(refused, reason, reason == Reason.KEY_USED ? id() : null);
      case 6:
        return new Apply(purge());
      case 7:
        return new Applied(whole(), boot());
      case 8:
        return new Done(purge(), list(this::claim), result());
      case 9:
        return new Noted(whole());
      case 10:
        return new Ask(whole(), id());
      default:
        return told();
    }
  }

  private Accepted accepted() throws IOException {
    long run = whole();
    int number = count();
    long acceptance = whole();
    int page = (int) number(0, Fleet.MAX_MEMBER / Fleet.PAGE);
    return new Accepted(
        run,
        number,
        acceptance,
        page,
        list(
            () -> {
              int member = page * Fleet.PAGE + (int) number(0, Fleet.PAGE - 1);
              return new Outstanding(new HolderId(member, boot()), number(0, MAX_LEFT_MS));
            }));
  }

  private Told told() throws IOException {
    long number = whole();
    PurgeId id = id();
    State state = State.values()[(int) number(0, State.values().length - 1)];
    if (state != State.DONE && state != State.OPEN) {
      return new Told(number, id, state, null, 0, null);
    }
    Scope scope = scope();
    int mark = mark();
    return new Told(number, id, state, scope, mark, state == State.DONE ? result() : null);
  }

  private <T> List<T> list(Element<T> element) throws IOException {
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
    return new Purge(whole(), member(), scope());
  }

  private Scope scope() throws IOException {
    return new Scope(text(), text());
  }

  private Claim claim() throws IOException {
    return new Claim(id(), mark());
  }

  private PurgeId id() throws IOException {
    return new PurgeId(
        number(Long.MIN_VALUE, Long.MAX_VALUE), number(Long.MIN_VALUE, Long.MAX_VALUE));
  }

  private Result result() throws IOException {
    int confirmed = count();
    List<Integer> ranOut = list(this::member);
    expect(ranOut.size() <= Result.TOLD);
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

  private int mark() throws IOException {
    return (int) number(Integer.MIN_VALUE, Integer.MAX_VALUE);
  }

  private int count() throws IOException {
    return (int) number(0, Integer.MAX_VALUE);
  }

  private long boot() throws IOException {
    return number(1, MAX_BOOT);
  }

  private long whole() throws IOException {
    return number(0, Long.MAX_VALUE);
  }

  private static void expect(boolean right) {
    if (!right) {
      throw new IllegalArgumentException("not a message");
    }
  }
}
