package elmsail.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The text of a configuration, split into its fields and the named items of its lists. Callers can
 * replace single items while all others keep every character that the operator wrote, including
 * fields that this version of the program does not know. Immutable.
 */
final class ConfigDocument {
  private static final JsonFactory JSON = new JsonFactory();
  private static final String NAME = "name";

  /** One object of a list: the value of its field {@code name}, and its text as written. */
  record Item(String name, String text) {}

  /**
   * The value of one field.
   *
   * @param text the JSON text of the value, as written
   * @param items the items of a list by name, in the order written; null if the value is not a list
   *     of objects with unique names
   */
  record Value(String text, Map<String, Item> items) {}

  private final Map<String, Value> fields;

  private ConfigDocument(Map<String, Value> fields) {
    this.fields = fields;
  }

  /**
   * Splits a document.
   *
   * @throws ElmsailException INVALID_ARGUMENT if the bytes are not one complete JSON object
   */
  static ConfigDocument read(byte[] bytes) {
    String text = new String(bytes, StandardCharsets.UTF_8);
    try (JsonParser parser = JSON.createParser(text)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new ElmsailException(
            ErrorCode.INVALID_ARGUMENT, "the configuration is not a JSON object");
      }
      return new ConfigDocument(fields(parser, text));
    } catch (IOException e) {
      throw new ElmsailException(
          ErrorCode.INVALID_ARGUMENT, "the configuration is not whole JSON: " + e.getMessage(), e);
    }
  }

  /** The fields by key, in the order written; callers must not modify the map. */
  Map<String, Value> fields() {
    return fields;
  }

  private static Map<String, Value> fields(JsonParser parser, String text) throws IOException {
    Map<String, Value> fields = new LinkedHashMap<>();
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String key = parser.currentName();
      JsonToken token = parser.nextToken();
      int start = tokenStart(parser);
      Map<String, Item> items = null;
      if (token == JsonToken.START_ARRAY) {
        items = items(parser, text);
      } else {
        skipValue(parser);
      }
      fields.put(key, new Value(text.substring(start, position(parser)), items));
    }
    return fields;
  }

  /**
   * Reads to the end of the list; returns null if an element is not an object, has no name or has
   * the same name as another element.
   */
  private static Map<String, Item> items(JsonParser parser, String text) throws IOException {
    Map<String, Item> items = new LinkedHashMap<>();
    boolean allNamed = true;
    for (JsonToken token = parser.nextToken();
        token != JsonToken.END_ARRAY;
        token = parser.nextToken()) {
      int start = tokenStart(parser);
      String name = token == JsonToken.START_OBJECT ? readName(parser) : null;
      if (token != JsonToken.START_OBJECT) {
        skipValue(parser);
      }
      Item item = new Item(name, text.substring(start, position(parser)));
      allNamed &= name != null && items.put(name, item) == null;
    }
    return allNamed ? items : null;
  }

  /** Reads to the end of the object and returns its name; null if it has none. */
  private static String readName(JsonParser parser) throws IOException {
    String name = null;
    while (parser.nextToken() == JsonToken.FIELD_NAME) {
      String key = parser.currentName();
      JsonToken token = parser.nextToken();
      if (NAME.equals(key) && token == JsonToken.VALUE_STRING) {
        name = parser.getText();
      } else {
        skipValue(parser);
      }
    }
    return name;
  }

  private static void skipValue(JsonParser parser) throws IOException {
    parser.skipChildren();
    if (parser.currentToken().isScalarValue()) {
      parser.getText(); // The parser reads strings lazily; this call moves it to the end.
    }
  }

  private static int tokenStart(JsonParser parser) {
    return (int) parser.currentTokenLocation().getCharOffset();
  }

  private static int position(JsonParser parser) {
    return (int) parser.currentLocation().getCharOffset();
  }
}
