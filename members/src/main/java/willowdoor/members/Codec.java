package willowdoor.members;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.zip.CRC32C;

/**
 * Messages as datagrams: four bytes of CRC-32C over what follows, and one CBOR array. Strict in
 * both directions: what {@link #decode} lets through is whole, of this protocol and fleet, from who
 * may say it and to this member.
 */
final class Codec {

  static final int PROTOCOL = 1;
  static final int CHECKSUM_BYTES = 4;
  static final CBORFactory CBOR = new CBORFactory();

  /** The wire's number of what a message is about. */
  enum Kind {
    PING,
    ACK,
    PING_REQUEST,
    NACK,
    NEWS,
    EXCHANGE,
    PAGES,
    BETTER
  }

  /** Why a datagram was dropped. */
  static final class Dropped extends Exception {
    private static final long serialVersionUID = 1;
    final Count reason;

    Dropped(Count reason) {
      super(reason.name(), null, false, false);
      this.reason = reason;
    }
  }

  private final Roster roster;
  private final int self;
  private final Counts counts;

  Codec(Roster roster, int self, Counts counts) {
    this.roster = roster;
    this.self = self;
    this.counts = counts;
  }

  byte[] encode(Message message) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
    try {
      bytes.write(new byte[CHECKSUM_BYTES]);
      try (JsonGenerator out = CBOR.createGenerator(bytes)) {
        Message.Header header = message.header();
        out.writeStartArray(message, 12);
        out.writeNumber(PROTOCOL);
        out.writeString(roster.fleet());
        out.writeString(roster.name(header.from()));
        out.writeString(roster.name(header.to()));
        out.writeNumber(header.generation());
        out.writeNumber(header.digest());
        out.writeNumber(header.rosterVersion());
        out.writeNumber(header.rosterHash());
        body(out, message.body());
        out.writeStartArray(message, message.news().size());
        for (Statement statement : message.news()) {
          statement(out, statement);
        }
        out.writeEndArray();
        out.writeEndArray();
      }
    } catch (IOException e) {
      throw new IllegalStateException("writing to memory failed", e);
    }
    byte[] datagram = bytes.toByteArray();
    return seal(datagram, datagram.length);
  }

  /** Puts the checksum in front of so many bytes. */
  static byte[] seal(byte[] datagram, int length) {
    ByteBuffer.wrap(datagram).putInt(checksum(datagram, length));
    return datagram;
  }

  private static int checksum(byte[] datagram, int length) {
    CRC32C sum = new CRC32C();
    sum.update(datagram, CHECKSUM_BYTES, length - CHECKSUM_BYTES);
    return (int) sum.getValue();
  }

  /** Kind, number and what else the kind has: two fields after the number at most, as an array. */
  private void body(JsonGenerator out, Message.Body body) throws IOException {
    if (body instanceof Message.Ping ping) {
      kind(out, Kind.PING, ping.seq(), 0);
    } else if (body instanceof Message.Ack ack) {
      kind(out, Kind.ACK, ack.seq(), 1);
      out.writeString(roster.name(ack.subject()));
    } else if (body instanceof Message.PingRequest request) {
      kind(out, Kind.PING_REQUEST, request.seq(), 2);
      out.writeString(roster.name(request.subject()));
      out.writeNumber(request.waitMs());
    } else if (body instanceof Message.Nack nack) {
      kind(out, Kind.NACK, nack.seq(), 1);
      out.writeString(roster.name(nack.subject()));
    } else if (body instanceof Message.News) {
      kind(out, Kind.NEWS, 0, 0);
    } else if (body instanceof Message.Exchange exchange) {
      kind(out, Kind.EXCHANGE, exchange.seq(), 1);
      out.writeBinary(exchange.prints());
    } else if (body instanceof Message.Pages pages) {
      kind(out, Kind.PAGES, pages.seq(), 3);
      out.writeNumber(pages.part());
      out.writeNumber(pages.parts());
      out.writeNumber(pages.left());
    } else if (body instanceof Message.Better better) {
      kind(out, Kind.BETTER, better.seq(), 0);
    }
    out.writeEndArray();
  }

  private static void kind(JsonGenerator out, Kind kind, long seq, int fields) throws IOException {
    out.writeNumber(kind.ordinal());
    out.writeNumber(seq);
    out.writeStartArray(null, fields);
  }

  /**
   * Name, generation, incarnation and state in one, and then accusers and tags where there are
   * some.
   */
  private void statement(JsonGenerator out, Statement s) throws IOException {
    Map<String, byte[]> tags = s.tags().values();
    int fields = !tags.isEmpty() ? 5 : !s.accusers().isEmpty() ? 4 : 3;
    out.writeStartArray(s, fields);
    out.writeString(roster.name(s.member()));
    out.writeNumber(s.generation());
    out.writeNumber((long) s.incarnation() * MemberState.count() + s.state().ordinal());
    if (fields > 3) {
      out.writeStartArray(s, s.accusers().size());
      for (int accuser : s.accusers()) {
        out.writeString(roster.name(accuser));
      }
      out.writeEndArray();
    }
    if (fields > 4) {
      out.writeStartArray(s, 2 * tags.size());
      for (Map.Entry<String, byte[]> tag : tags.entrySet()) {
        out.writeString(tag.getKey());
        out.writeBinary(tag.getValue());
      }
      out.writeEndArray();
    }
    out.writeEndArray();
  }

  /**
   * A datagram of so many bytes that came from the member at the place; its sender's address tells
   * who that is.
   */
  Message decode(byte[] datagram, int length, int from) throws Dropped {
    if (length > Sizes.DATAGRAM) {
      throw new Dropped(Count.TOO_LONG);
    }
    if (length <= CHECKSUM_BYTES
        || ByteBuffer.wrap(datagram).getInt() != checksum(datagram, length)) {
      throw new Dropped(Count.CHECKSUM);
    }
    try (CborReader in = new CborReader(datagram, CHECKSUM_BYTES, length - CHECKSUM_BYTES)) {
      in.begin();
      if (in.number(0, Integer.MAX_VALUE) != PROTOCOL) {
        throw new Dropped(Count.OTHER_PROTOCOL);
      }
      if (!in.text(Roster.MOST_NAME).equals(roster.fleet())) {
        throw new Dropped(Count.OTHER_FLEET);
      }
      if (!in.text(Roster.MOST_NAME).equals(roster.name(from))) {
        throw new Dropped(Count.OTHER_NAME);
      }
      if (!in.text(Roster.MOST_NAME).equals(roster.name(self))) {
        throw new Dropped(Count.NOT_FOR_ME);
      }
      Message.Header header =
          new Message.Header(
              from,
              self,
              in.number(1, Generation.MOST),
              in.number(),
              in.whole(0),
              (int) in.number(Integer.MIN_VALUE, Integer.MAX_VALUE));
      Message.Body body = body(in);
      List<Statement> news = in.list(Message.MOST_NEWS, this::statement);
      in.end();
      in.atEnd();
      return new Message(header, body, news);
    } catch (IOException | RuntimeException e) {
      throw new Dropped(Count.MALFORMED);
    }
  }

  private Message.Body body(CborReader in) throws IOException {
    Kind kind = Kind.values()[(int) in.number(0, Kind.values().length - 1)];
    long seq = in.number(0, Long.MAX_VALUE);
    in.begin();
    Message.Body body =
        switch (kind) {
          case PING -> new Message.Ping(seq);
          case ACK -> new Message.Ack(seq, subject(in));
          case PING_REQUEST ->
              new Message.PingRequest(
                  seq, subject(in), (int) in.number(1, Message.PingRequest.MOST_WAIT_MS));
          case NACK -> new Message.Nack(seq, subject(in));
          case PAGES -> pages(seq, (int) in.number(0, 30), (int) in.number(1, 31), in.whole(0));
          case EXCHANGE -> new Message.Exchange(seq, in.bytes(View.MOST_PAGES * View.PRINT_BYTES));
          case BETTER -> new Message.Better(seq);
          default -> new Message.News();
        };
    in.end();
    return body;
  }

  private static Message.Pages pages(long seq, int part, int parts, int left) throws IOException {
    if (part >= parts) {
      throw new IOException("a part behind the last one");
    }
    return new Message.Pages(seq, part, parts, left);
  }

  private int subject(CborReader in) throws IOException {
    int place = roster.place(in.text(Roster.MOST_NAME));
    if (place < 0) {
      throw new IOException("a subject that the roster does not have");
    }
    return place;
  }

  /** Null where the roster does not have the name: the sender may have another one. */
  private Statement statement(CborReader in) throws IOException {
    in.begin();
    int member = roster.place(in.text(Roster.MOST_NAME));
    long generation = in.number(1, Generation.MOST);
    long life = in.number(0, (long) Statement.MOST_INCARNATION * MemberState.count());
    int incarnation = (int) (life / MemberState.count());
    MemberState state = MemberState.of((int) (life % MemberState.count()));
    List<Integer> accusers =
        !in.more()
            ? List.of()
            : in.list(
                Statement.MOST_ACCUSERS,
                i -> {
                  int accuser = roster.place(i.text(Roster.MOST_NAME));
                  return accuser < 0 ? null : accuser;
                });
    Tags tags = in.more() ? tags(in) : Tags.NONE;
    in.end();
    if (member < 0) {
      counts.add(Count.UNKNOWN_MEMBER);
      return null;
    }
    return new Statement(
        member,
        generation,
        incarnation,
        state,
        state == MemberState.SUSPECT ? accusers : List.of(),
        tags);
  }

  private static Tags tags(CborReader in) throws IOException {
    in.begin();
    Tags tags = Tags.NONE;
    while (in.more()) {
      tags = tags.with(in.text(Tags.MOST_NAME), in.bytes(Tags.MOST_BYTES));
    }
    in.end();
    return tags;
  }
}
