package elmsail.batch.messages;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadFeature;
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

/** Parses and validates the JSON of a job that a client submits. */
public final class JobRequestParser {
  /** The maximum number of items of one job. */
  public static final int MAX_ITEMS = 200;

  private static final int MAX_ITEM_ID_LENGTH = 256;
  private static final long MAX_ITEM_TOKENS = 1L << 40;

  private static final JsonFactory JSON =
      JsonFactory.builder().enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION).build();

  private JobRequestParser() {}

  /**
   * Parses the items of a submitted job, in the order of the request.
   *
   * @throws ElmsailException with {@link ErrorCode#INVALID_ARGUMENT} and the reason if the JSON is
   *     not a valid job
   */
  public static List<BatchItem> parse(byte[] body) {
    try (JsonParser parser = JSON.createParser(body)) {
      require(parser.nextToken() == JsonToken.START_OBJECT, "a JSON object");
      List<BatchItem> items = null;
      while (parser.nextToken() != JsonToken.END_OBJECT) {
        String name = fieldName(parser);
        parser.nextToken();
        if (name.equals("pieces")) {
          items = parseItems(parser);
        } else {
          parser.skipChildren();
        }
      }
      require(parser.nextToken() == null, "no data after the JSON object");
      require(items != null && !items.isEmpty(), "pieces");
      return items;
    } catch (IOException | IllegalArgumentException malformed) {
      throw new ElmsailException(
          ErrorCode.INVALID_ARGUMENT, "the submitted job is not valid JSON", malformed);
    }
  }

  private static List<BatchItem> parseItems(JsonParser parser) throws IOException {
    require(parser.currentToken() == JsonToken.START_ARRAY, "the pieces to be a JSON array");
    List<BatchItem> items = new ArrayList<>();
    Set<String> ids = new HashSet<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      BatchItem item = parseItem(parser);
      require(ids.add(item.id()), "unique piece ids");
      items.add(item);
      require(items.size() <= MAX_ITEMS, "at most " + MAX_ITEMS + " pieces");
    }
    return items;
  }

  private static BatchItem parseItem(JsonParser parser) throws IOException {
    require(parser.currentToken() == JsonToken.START_OBJECT, "each piece to be a JSON object");
    String id = null;
    String path = null;
    Map<String, String> headers = null;
    byte[] itemBody = null;
    long tokens = -1;
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = fieldName(parser);
      JsonToken value = parser.nextToken();
      switch (name) {
        case "id" -> id = stringValue(parser);
        case "lane" -> path = stringValue(parser);
        case "envelope" -> headers = parseHeaders(parser);
        case "contents" -> itemBody = Base64.getDecoder().decode(stringValue(parser));
        case "tokens" -> {
          require(value == JsonToken.VALUE_NUMBER_INT, "the tokens to be an integer");
          tokens = parser.getLongValue();
          require(tokens >= 0 && tokens <= MAX_ITEM_TOKENS, "tokens between 0 and 2^40");
        }
        default -> parser.skipChildren();
      }
    }
    require(isValidId(id), "an id of 1 to 256 characters without spaces or control characters");
    require(
        path != null && path.startsWith("/") && isPrintable(path, false),
        "a lane that starts with / and has no spaces or control characters");
    require(
        headers != null && itemBody != null && tokens >= 0,
        "each piece to have envelope, contents and tokens");
    return new BatchItem(id, path, headers, itemBody, tokens);
  }

  private static boolean isValidId(String id) {
    return id != null
        && !id.isEmpty()
        && id.length() <= MAX_ITEM_ID_LENGTH
        && isPrintable(id, false);
  }

  private static Map<String, String> parseHeaders(JsonParser parser) throws IOException {
    require(parser.currentToken() == JsonToken.START_OBJECT, "the envelope to be a JSON object");
    Map<String, String> headers = new LinkedHashMap<>();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = fieldName(parser);
      parser.nextToken();
      String value = stringValue(parser);
      require(
          !name.isEmpty()
              && name.indexOf(':') < 0
              && isPrintable(name, false)
              && isPrintable(value, true),
          "headers");
      headers.put(name, value);
    }
    return headers;
  }

  /**
   * Whether the string has no control characters. A string with a line break could end a header
   * line of the request that is sent to a server (request smuggling). Spaces and tabs are accepted
   * only if {@code spacesAllowed}.
   */
  private static boolean isPrintable(String text, boolean spacesAllowed) {
    for (int i = 0; i < text.length(); i++) {
      char character = text.charAt(i);
      if (character < ' ' && character != '\t'
          || character == '\t' && !spacesAllowed
          || character == 127
          || character == ' ' && !spacesAllowed) {
        return false;
      }
    }
    return true;
  }

  private static String fieldName(JsonParser parser) throws IOException {
    require(parser.currentToken() == JsonToken.FIELD_NAME, "a field name");
    return parser.currentName();
  }

  private static String stringValue(JsonParser parser) throws IOException {
    require(parser.currentToken() == JsonToken.VALUE_STRING, "a JSON string");
    return parser.getText();
  }

  private static void require(boolean condition, String expected) {
    if (!condition) {
      throw new ElmsailException(ErrorCode.INVALID_ARGUMENT, "invalid job: expected " + expected);
    }
  }
}
