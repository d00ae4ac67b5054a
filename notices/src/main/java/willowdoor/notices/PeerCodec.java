package willowdoor.notices;

import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import com.fasterxml.jackson.dataformat.cbor.CBORGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORParser;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Encodes the messages between front doors as CBOR (RFC 8949): one array for each message, its kind
 * first. Anything else is an {@link IOException} and costs no more memory than the maximum frame.
 */
public final class PeerCodec {
  /** Maximum size of a frame: the result of a fetch has up to 64 KiB and one more notice. */
  public static final int MAX_FRAME = 128 * 1024;

  private static final int MAX_FLEET = 64;
  private static final int MAX_NOTICES = 2_048;
  private static final CBORFactory FACTORY = new CBORFactory();

  /**
   * The first frame in each direction, which identifies the sender.
   *
   * @param fleet the fleet's name, 1 to 64 characters of ASCII
   */
  public record Hello(String fleet, int member, long generation) {}

  private PeerCodec() {}

  private interface Writing {
    void to(CBORGenerator out) throws IOException;
  }

  private static byte[] array(int size, Writing writing) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(64);
    try (CBORGenerator out = FACTORY.createGenerator(bytes)) {
      out.writeStartArray(null, size);
      writing.to(out);
      out.writeEndArray();
    } catch (IOException e) {
      throw new IllegalStateException("cannot encode a message into memory", e);
    }
    return bytes.toByteArray();
  }

  /** Encodes the first message of a link. */
  public static byte[] encode(Hello hello) {
    return array(
        4,
        out -> {
          out.writeNumber(0);
          out.writeString(hello.fleet());
          out.writeNumber(hello.member());
          out.writeNumber(hello.generation());
        });
  }

  /** Encodes a message. */
  public static byte[] encode(PeerMessage message) {
    if (message instanceof PeerMessage.Offer m) {
      return numbers(
          1, m.customer(), m.stream(), m.replicaHolder().member(), m.replicaHolder().generation());
    } else if (message instanceof PeerMessage.Want m) {
      return numbers(2, m.stream(), m.after(), m.ageMs());
    } else if (message instanceof PeerMessage.Begin m) {
      return numbers(
          3,
          m.customer(),
          m.stream(),
          m.after(),
          m.replicaHolder().member(),
          m.replicaHolder().generation());
    } else if (message instanceof PeerMessage.Pass m) {
      return array(
          6 + 1,
          out -> {
            out.writeNumber(4);
            notice(out, m.notice());
          });
    } else if (message instanceof PeerMessage.Gap m) {
      return numbers(5, m.stream(), m.to());
    } else if (message instanceof PeerMessage.End m) {
      return numbers(6, m.stream(), m.last());
    } else if (message instanceof PeerMessage.Have m) {
      return numbers(7, m.stream(), m.upTo());
    } else if (message instanceof PeerMessage.Fetch m) {
      return numbers(8, m.stream(), m.after(), m.upTo());
    }
    PeerMessage.Fetched m = (PeerMessage.Fetched) message;
    return array(
        6 + 6 * m.notices().size(),
        out -> {
          out.writeNumber(9);
          stream(out, m.stream());
          out.writeNumber(m.after());
          out.writeNumber(m.gapTo());
          for (Notice notice : m.notices()) {
            notice(out, notice);
          }
        });
  }

  /** Encodes an array of numbers; a stream id takes three of them. */
  private static byte[] numbers(int kind, Object... values) {
    int size = 1;
    for (Object value : values) {
      size += value instanceof StreamId ? 3 : 1;
    }
    return array(
        size,
        out -> {
          out.writeNumber(kind);
          for (Object value : values) {
            if (value instanceof StreamId id) {
              stream(out, id);
            } else {
              out.writeNumber(((Number) value).longValue());
            }
          }
        });
  }

  private static void stream(CBORGenerator out, StreamId id) throws IOException {
    out.writeNumber(id.member());
    out.writeNumber(id.generation());
    out.writeNumber(id.serial());
  }

  private static void notice(CBORGenerator out, Notice notice) throws IOException {
    out.writeNumber(notice.customer());
    stream(out, notice.stream());
    out.writeNumber(notice.seq());
    out.writeBinary(notice.body());
  }

  /** Encodes a member's interest for the members' exchange. */
  public static byte[] encode(Interest.Delta delta) {
    return array(
        6 + delta.added().size() + delta.removed().size(),
        out -> {
          out.writeNumber(delta.member());
          out.writeNumber(delta.generation());
          out.writeNumber(delta.from());
          out.writeNumber(delta.to());
          out.writeNumber(delta.added().size());
          out.writeNumber(delta.removed().size());
          for (long customer : delta.added()) {
            out.writeNumber(customer);
          }
          for (long customer : delta.removed()) {
            out.writeNumber(customer);
          }
        });
  }

  /** Reads an array item by item and checks the bounds of each item. */
  private static final class In implements AutoCloseable {
    private final CBORParser in;

    In(byte[] frame) throws IOException {
      if (frame.length > MAX_FRAME) {
        throw new IOException("frame is too long: " + frame.length + " bytes");
      }
      in = FACTORY.createParser(frame);
      expect(in.nextToken() == JsonToken.START_ARRAY, "an array");
    }

    private static void expect(boolean holds, String what) throws IOException {
      if (!holds) {
        throw new IOException("expected " + what);
      }
    }

    long number(long min, long max) throws IOException {
      expect(in.nextToken() == JsonToken.VALUE_NUMBER_INT, "a whole number");
      long number = in.getLongValue();
      expect(number >= min && number <= max, "a number from " + min + " to " + max);
      return number;
    }

    long count() throws IOException {
      return number(0, StreamId.MAX_NUMBER);
    }

    long customer() throws IOException {
      return number(0, (1L << 33) - 1);
    }

    StreamId stream() throws IOException {
      return new StreamId(
          (int) number(0, StreamId.MAX_MEMBER), count(), (int) number(1, Integer.MAX_VALUE));
    }

    ReplicaHolder replicaHolder() throws IOException {
      return new ReplicaHolder((int) number(-1, StreamId.MAX_MEMBER), count());
    }

    /** Reads the rest of a notice after its customer. */
    Notice notice(long customer) throws IOException {
      StreamId stream = stream();
      long seq = number(1, StreamId.MAX_NUMBER);
      expect(in.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT, "bytes");
      byte[] body = in.getBinaryValue();
      expect(
          body.length > 0 && body.length <= Limits.MAX_BODY, "1 to " + Limits.MAX_BODY + " bytes");
      return new Notice(customer, stream, seq, body);
    }

    String text() throws IOException {
      expect(in.nextToken() == JsonToken.VALUE_STRING, "text");
      String text = in.getText();
      expect(
          text.matches("[\\x21-\\x7e]{1," + MAX_FLEET + "}"),
          "1 to " + MAX_FLEET + " ASCII characters");
      return text;
    }

    /** Reads notices up to the end of the array. */
    List<Notice> notices() throws IOException {
      List<Notice> notices = new ArrayList<>();
      while (in.nextToken() == JsonToken.VALUE_NUMBER_INT) {
        long customer = in.getLongValue();
        expect(customer >= 0 && customer < 1L << 33 && notices.size() < MAX_NOTICES, "a customer");
        notices.add(notice(customer));
      }
      expect(in.currentToken() == JsonToken.END_ARRAY, "the array's end");
      return notices;
    }

    void end() throws IOException {
      expect(in.nextToken() == JsonToken.END_ARRAY, "the array's end");
    }

    @Override
    public void close() throws IOException {
      expect(in.nextToken() == null, "the frame's end");
      in.close();
    }
  }

  private interface Reading<T> {
    T from(In in) throws IOException;
  }

  private static <T> T read(byte[] frame, Reading<T> reading) throws IOException {
    try (In in = new In(frame)) {
      return reading.from(in);
    } catch (IllegalArgumentException e) {
      throw new IOException(e);
    }
  }

  /** Reads the first message of a link. */
  public static Hello hello(byte[] frame) throws IOException {
    return read(
        frame,
        in -> {
          in.number(0, 0);
          Hello hello = new Hello(in.text(), (int) in.number(0, StreamId.MAX_MEMBER), in.count());
          in.end();
          return hello;
        });
  }

  /** Reads a member's interest. */
  public static Interest.Delta delta(byte[] frame) throws IOException {
    return read(
        frame,
        in -> {
          int member = (int) in.number(0, StreamId.MAX_MEMBER);
          long generation = in.count();
          long from = in.count();
          long to = in.count();
          long adds = in.number(0, Interest.MAX_CHANGES);
          long removes = in.number(0, Interest.MAX_CHANGES);
          List<Long> added = new ArrayList<>();
          List<Long> removed = new ArrayList<>();
          for (long n = 0; n < adds + removes; n++) {
            (n < adds ? added : removed).add(in.customer());
          }
          in.end();
          return new Interest.Delta(member, generation, from, to, added, removed);
        });
  }

  /** Reads any message after the first. */
  public static PeerMessage decode(byte[] frame) throws IOException {
    return read(
        frame,
        in -> {
          int kind = (int) in.number(1, 9);
          PeerMessage message =
              switch (kind) {
                case 1 -> new PeerMessage.Offer(in.customer(), in.stream(), in.replicaHolder());
                case 2 ->
                    new PeerMessage.Want(
                        in.stream(),
                        in.number(-1, StreamId.MAX_NUMBER),
                        in.number(-1, StreamId.MAX_NUMBER));
                case 3 ->
                    new PeerMessage.Begin(
                        in.customer(), in.stream(), in.count(), in.replicaHolder());
                case 4 -> new PeerMessage.Pass(in.notice(in.customer()));
                case 5 -> new PeerMessage.Gap(in.stream(), in.count());
                case 6 -> new PeerMessage.End(in.stream(), in.count());
                case 7 -> new PeerMessage.Have(in.stream(), in.count());
                case 8 -> new PeerMessage.Fetch(in.stream(), in.count(), in.count());
                default ->
                    new PeerMessage.Fetched(in.stream(), in.count(), in.count(), in.notices());
              };
          if (kind < 9) {
            in.end();
          }
          return message;
        });
  }
}
