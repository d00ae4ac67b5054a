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
 * Encodes and decodes messages as datagrams: a CRC-32C of four bytes over the rest, and one CBOR
 * array. {@link #decode} accepts only well-formed datagrams of this protocol and fleet whose sender
 * name matches the source address and whose receiver is this member.
 */
final class Codec {

  static final int PROTOCOL = 1;
  static final int CHECKSUM_BYTES = 4;
  static final CBORFactory CBOR = new CBORFactory();

  /**
   * The kinds of messages; the ordinals are the numbers in the wire format. NEWS stands for {@link
   * Message.Gossip}, EXCHANGE, PAGES and BETTER for {@link Message.ExchangeRequest}, {@link
   * Message.ExchangeResponse} and {@link Message.ExchangeUpdate}.
   */
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

  /** Thrown for a datagram that is dropped; holds the counter of the reason. */
  static final class DroppedDatagramException extends Exception {
    private static final long serialVersionUID = 1;
    final Count reason;

    DroppedDatagramException(Count reason) {
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
        out.writeStartArray(message, message.statements().size());
        for (Statement statement : message.statements()) {
          statement(out, statement);
        }
        out.writeEndArray();
        out.writeEndArray();
      }
    } catch (IOException e) {
      throw new IllegalStateException("encoding a message in memory failed", e);
    }
    byte[] datagram = bytes.toByteArray();
    return writeChecksum(datagram, datagram.length);
  }

  /** Writes the checksum of the datagram's first {@code length} bytes to its start. */
  static byte[] writeChecksum(byte[] datagram, int length) {
    ByteBuffer.wrap(datagram).putInt(checksum(datagram, length));
    return datagram;
  }

  private static int checksum(byte[] datagram, int length) {
    CRC32C sum = new CRC32C();
    sum.update(datagram, CHECKSUM_BYTES, length - CHECKSUM_BYTES);
    return (int) sum.getValue();
  }

  /** Writes the kind, the sequence number and an array of the other fields of the kind. */
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
    } else if (body instanceof Message.Gossip) {
      kind(out, Kind.NEWS, 0, 0);
    } else if (body instanceof Message.ExchangeRequest exchange) {
      kind(out, Kind.EXCHANGE, exchange.seq(), 1);
      out.writeBinary(exchange.pageChecksums());
    } else if (body instanceof Message.ExchangeResponse pages) {
      kind(out, Kind.PAGES, pages.seq(), 3);
      out.writeNumber(pages.part());
      out.writeNumber(pages.parts());
      out.writeNumber(pages.remaining());
    } else if (body instanceof Message.ExchangeUpdate better) {
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
   * Writes the name, the generation and one number for incarnation and state, followed by accusers
   * and tags if there are any.
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
   * Decodes the first {@code length} bytes.
   *
   * @param from the index of the member that the source address of the datagram belongs to
   */
  Message decode(byte[] datagram, int length, int from) throws DroppedDatagramException {
    if (length > EncodedSizes.MAX_DATAGRAM_BYTES) {
      throw new DroppedDatagramException(Count.TOO_LONG);
    }
    if (length <= CHECKSUM_BYTES
        || ByteBuffer.wrap(datagram).getInt() != checksum(datagram, length)) {
      throw new DroppedDatagramException(Count.CHECKSUM);
    }
    try (CborReader in = new CborReader(datagram, CHECKSUM_BYTES, length - CHECKSUM_BYTES)) {
      in.begin();
      if (in.number(0, Integer.MAX_VALUE) != PROTOCOL) {
        throw new DroppedDatagramException(Count.OTHER_PROTOCOL);
      }
      if (!in.text(Roster.MAX_NAME_LENGTH).equals(roster.fleet())) {
        throw new DroppedDatagramException(Count.OTHER_FLEET);
      }
      if (!in.text(Roster.MAX_NAME_LENGTH).equals(roster.name(from))) {
        throw new DroppedDatagramException(Count.OTHER_NAME);
      }
      if (!in.text(Roster.MAX_NAME_LENGTH).equals(roster.name(self))) {
        throw new DroppedDatagramException(Count.NOT_FOR_ME);
      }
      Message.Header header =
          new Message.Header(
              from,
              self,
              in.number(1, Generation.MAX),
              in.number(),
              in.integer(0),
              (int) in.number(Integer.MIN_VALUE, Integer.MAX_VALUE));
      Message.Body body = body(in);
      List<Statement> news = in.list(Message.MAX_STATEMENTS, this::statement);
      in.end();
      in.atEnd();
      return new Message(header, body, news);
    } catch (IOException | RuntimeException e) {
      throw new DroppedDatagramException(Count.MALFORMED);
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
                  seq, subject(in), (int) in.number(1, Message.PingRequest.MAX_WAIT_MS));
          case NACK -> new Message.Nack(seq, subject(in));
          case PAGES -> pages(seq, (int) in.number(0, 30), (int) in.number(1, 31), in.integer(0));
          case EXCHANGE ->
              new Message.ExchangeRequest(seq, in.bytes(View.MAX_PAGES * View.PAGE_CHECKSUM_BYTES));
          case BETTER -> new Message.ExchangeUpdate(seq);
          default -> new Message.Gossip();
        };
    in.end();
    return body;
  }

  private static Message.ExchangeResponse pages(long seq, int part, int parts, int left)
      throws IOException {
    if (part >= parts) {
      throw new IOException("part number exceeds the number of parts");
    }
    return new Message.ExchangeResponse(seq, part, parts, left);
  }

  private int subject(CborReader in) throws IOException {
    int index = roster.indexOf(in.text(Roster.MAX_NAME_LENGTH));
    if (index < 0) {
      throw new IOException("subject is not in the roster");
    }
    return index;
  }

  /** Null if the roster does not contain the name: the sender may use another roster. */
  private Statement statement(CborReader in) throws IOException {
    in.begin();
    int member = roster.indexOf(in.text(Roster.MAX_NAME_LENGTH));
    long generation = in.number(1, Generation.MAX);
    long incarnationAndState = in.number(0, (long) Statement.MAX_INCARNATION * MemberState.count());
    int incarnation = (int) (incarnationAndState / MemberState.count());
    MemberState state = MemberState.of((int) (incarnationAndState % MemberState.count()));
    List<Integer> accusers =
        !in.more()
            ? List.of()
            : in.list(
                Statement.MAX_ACCUSERS,
                i -> {
                  int accuser = roster.indexOf(i.text(Roster.MAX_NAME_LENGTH));
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
      tags = tags.with(in.text(Tags.MAX_NAME_LENGTH), in.bytes(Tags.MAX_BYTES));
    }
    in.end();
    return tags;
  }
}
