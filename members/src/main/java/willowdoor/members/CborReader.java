package willowdoor.members;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** A strict reader of nested CBOR arrays: an unexpected token or value is an IOException. */
final class CborReader implements AutoCloseable {

  /** Reads one item of a list. */
  interface Item<T> {
    T read(CborReader in) throws IOException;
  }

  private final JsonParser in;

  /** The token that was peeked at and not yet consumed, or null. */
  private JsonToken next;

  CborReader(byte[] bytes, int offset, int length) throws IOException {
    in = Codec.CBOR.createParser(bytes, offset, length);
  }

  private void expect(JsonToken token) throws IOException {
    JsonToken found = next == null ? in.nextToken() : next;
    next = null;
    if (found != token) {
      throw new IOException("expected " + token + ", found " + found);
    }
  }

  void begin() throws IOException {
    expect(JsonToken.START_ARRAY);
  }

  void end() throws IOException {
    expect(JsonToken.END_ARRAY);
  }

  /** Whether the array has another item. */
  boolean more() throws IOException {
    if (next == null) {
      next = in.nextToken();
    }
    return next != JsonToken.END_ARRAY;
  }

  String text(int max) throws IOException {
    expect(JsonToken.VALUE_STRING);
    String text = in.getText();
    if (text.isEmpty() || text.length() > max) {
      throw new IOException("text has an invalid length of " + text.length() + " characters");
    }
    return text;
  }

  long number() throws IOException {
    return number(Long.MIN_VALUE, Long.MAX_VALUE);
  }

  int integer(int min) throws IOException {
    return (int) number(min, Integer.MAX_VALUE - 1);
  }

  long number(long min, long max) throws IOException {
    expect(JsonToken.VALUE_NUMBER_INT);
    if (in.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
      throw new IOException("number is out of bounds");
    }
    long number = in.getLongValue();
    if (number < min || number > max) {
      throw new IOException("number is out of bounds");
    }
    return number;
  }

  byte[] bytes(int max) throws IOException {
    expect(JsonToken.VALUE_EMBEDDED_OBJECT);
    byte[] bytes = in.getBinaryValue();
    if (bytes.length > max) {
      throw new IOException("byte string is too long");
    }
    return bytes;
  }

  /** Reads an array of at most {@code max} items; omits items that are read as null. */
  <T> List<T> list(int max, Item<T> item) throws IOException {
    begin();
    List<T> items = new ArrayList<>();
    for (int i = 0; more(); i++) {
      if (i == max) {
        throw new IOException("array has too many items");
      }
      T read = item.read(this);
      if (read != null) {
        items.add(read);
      }
    }
    end();
    return items;
  }

  /** Requires that nothing follows the message. */
  void atEnd() throws IOException {
    if (in.nextToken() != null) {
      throw new IOException("data follows the message");
    }
  }

  @Override
  public void close() throws IOException {
    in.close();
  }
}
