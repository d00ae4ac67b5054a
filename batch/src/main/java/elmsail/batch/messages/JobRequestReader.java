package elmsail.batch.messages;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import elmsail.batch.BatchItem;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Reads the JSON of a job that a client hands in; whatever is not as the protocol says fails with
 * BAD_CALL.
 */
public final class JobRequestReader {
  public static final int MOST_PIECES = 200;
  private static final JsonFactory JSON =
      JsonFactory.builder()
          .enable(com.fasterxml.jackson.core.StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .build();

  private JobRequestReader() {}

  /**
   * The items of a submitted body. Fails with BAD_CALL, and the reason, where it is not as the
   * protocol says.
   */
  public static List<BatchItem> read(byte[] body) {
    try (JsonParser from = JSON.createParser(body)) {
      expect(from.nextToken() == JsonToken.START_OBJECT, "an object");
      List<BatchItem> batchItems = null;
      while (from.nextToken() != JsonToken.END_OBJECT) {
        String name = name(from);
        from.nextToken();
        if (name.equals("pieces")) {
          batchItems = batchItems(from);
        } else {
          from.skipChildren();
        }
      }
      expect(from.nextToken() == null, "nothing behind the object");
      expect(batchItems != null && !batchItems.isEmpty(), "pieces");
      return batchItems;
    } catch (IOException | IllegalArgumentException malformed) {
      throw new ElmsailException(ErrorCode.INVALID_ARGUMENT, "a job that cannot be read", malformed);
    }
  }

  private static List<BatchItem> batchItems(JsonParser from) throws IOException {
    expect(from.currentToken() == JsonToken.START_ARRAY, "a list of pieces");
    List<BatchItem> batchItems = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    while (from.nextToken() != JsonToken.END_ARRAY) {
      BatchItem batchItem = batchItem(from);
      expect(ids.add(batchItem.id()), "ids that differ");
      batchItems.add(batchItem);
      expect(batchItems.size() <= MOST_PIECES, "at most " + MOST_PIECES + " pieces");
    }
    return batchItems;
  }

  private static BatchItem batchItem(JsonParser from) throws IOException {
    expect(from.currentToken() == JsonToken.START_OBJECT, "a piece");
    String id = null;
    String lane = null;
    Map<String, String> envelope = null;
    byte[] contents = null;
    long tokens = -1;
    while (from.nextToken() != JsonToken.END_OBJECT) {
      String name = name(from);
      JsonToken value = from.nextToken();
      switch (name) {
        case "id" -> id = text(from);
        case "lane" -> lane = text(from);
        case "envelope" -> envelope = envelope(from);
        case "contents" -> contents = Base64.getDecoder().decode(text(from));
        case "tokens" -> {
          expect(value == JsonToken.VALUE_NUMBER_INT, "a whole number of tokens");
          tokens = from.getLongValue();
          expect(tokens >= 0 && tokens <= 1L << 40, "tokens of at least 0");
        }
        default -> from.skipChildren();
      }
    }
    expect(id != null && !id.isEmpty() && id.length() <= 256 && plain(id, false), "an id");
    expect(lane != null && lane.startsWith("/") && plain(lane, false), "a lane");
    expect(envelope != null && contents != null && tokens >= 0, "all fields of a piece");
    return new BatchItem(id, lane, envelope, contents, tokens);
  }

  private static Map<String, String> envelope(JsonParser from) throws IOException {
    expect(from.currentToken() == JsonToken.START_OBJECT, "an envelope");
    Map<String, String> envelope = new LinkedHashMap<>();
    while (from.nextToken() != JsonToken.END_OBJECT) {
      String name = name(from);
      from.nextToken();
      String value = text(from);
      expect(
          !name.isEmpty() && name.indexOf(':') < 0 && plain(name, false) && plain(value, true),
          "headers");
      envelope.put(name, value);
    }
    return envelope;
  }

  /**
   * No control characters, so nothing can end a line of a request; spaces only where they may
   * stand.
   */
  private static boolean plain(String text, boolean spaces) {
    for (int i = 0; i < text.length(); i++) {
      char one = text.charAt(i);
      if (one < ' ' && one != '\t'
          || one == '\t' && !spaces
          || one == 127
          || one == ' ' && !spaces) {
        return false;
      }
    }
    return true;
  }

  private static String name(JsonParser from) throws IOException {
    expect(from.currentToken() == JsonToken.FIELD_NAME, "a field");
    return from.currentName();
  }

  private static String text(JsonParser from) throws IOException {
    expect(from.currentToken() == JsonToken.VALUE_STRING, "a text");
    return from.getText();
  }

  private static void expect(boolean met, String what) {
    if (!met) {
      throw new ElmsailException(ErrorCode.INVALID_ARGUMENT, "a job needs " + what);
    }
  }
}
