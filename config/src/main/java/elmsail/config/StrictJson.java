package elmsail.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Parses a document that is exactly one JSON object. Parsing takes one pass, because gateways parse
 * configurations on their event loop. Objects become maps by key, arrays become lists, and other
 * values become strings, booleans, numbers or null. Stateless.
 */
final class StrictJson {
  private static final int MAX_NESTING_DEPTH = 50;
  private static final JsonFactory JSON =
      new JsonFactoryBuilder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .streamReadConstraints(
              StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build())
          .build();

  private StrictJson() {}

  /**
   * Parses a document.
   *
   * @throws ElmsailException INVALID_ARGUMENT if the bytes are not one complete JSON object in
   *     UTF-8, an object has a key twice, the nesting is deeper than 50 levels, or an integer does
   *     not fit in 64 bits
   */
  static Map<String, Object> read(byte[] bytes) {
    try (JsonParser parser = JSON.createParser(decodeUtf8(bytes))) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new ElmsailException(
            ErrorCode.INVALID_ARGUMENT, "the configuration is not a JSON object");
      }
      Map<String, Object> root = readObject(parser);
      if (parser.nextToken() != null) {
        throw new ElmsailException(
            ErrorCode.INVALID_ARGUMENT, "the configuration has more behind its end");
      }
      return root;
    } catch (IOException e) {
      throw new ElmsailException(
          ErrorCode.INVALID_ARGUMENT, "the configuration is not whole JSON: " + e.getMessage(), e);
    }
  }

  private static String decodeUtf8(byte[] bytes) {
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
    } catch (CharacterCodingException e) {
      throw new ElmsailException(ErrorCode.INVALID_ARGUMENT, "the configuration is not UTF-8", e);
    }
  }

  private static Map<String, Object> readObject(JsonParser parser) throws IOException {
    Map<String, Object> object = new LinkedHashMap<>();
    while (nextToken(parser) != JsonToken.END_OBJECT) {
      String key = parser.currentName();
      nextToken(parser);
      object.put(key, readValue(parser));
    }
    return object;
  }

  private static List<Object> readList(JsonParser parser) throws IOException {
    List<Object> list = new ArrayList<>();
    while (nextToken(parser) != JsonToken.END_ARRAY) {
      list.add(readValue(parser));
    }
    return list;
  }

  private static Object readValue(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> readObject(parser);
      case START_ARRAY -> readList(parser);
      case VALUE_STRING -> parser.getText();
      case VALUE_NUMBER_INT -> readInteger(parser);
      case VALUE_NUMBER_FLOAT -> parser.getDoubleValue();
      case VALUE_TRUE -> true;
      case VALUE_FALSE -> false;
      case VALUE_NULL -> null;
      default -> throw new AssertionError(parser.currentToken());
    };
  }

  private static Long readInteger(JsonParser parser) throws IOException {
    if (parser.getNumberType() == JsonParser.NumberType.BIG_INTEGER) {
      throw new ElmsailException(
          ErrorCode.INVALID_ARGUMENT, "the configuration has an integer beyond 64 bits");
    }
    return parser.getLongValue();
  }

  private static JsonToken nextToken(JsonParser parser) throws IOException {
    JsonToken token = parser.nextToken();
    if (token == null) {
      throw new ElmsailException(ErrorCode.INVALID_ARGUMENT, "the configuration is cut short");
    }
    return token;
  }
}
