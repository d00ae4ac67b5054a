package elmsail.config;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.typesafe.config.ConfigException;
import com.typesafe.config.ConfigFactory;
import com.typesafe.config.ConfigObject;
import com.typesafe.config.ConfigParseOptions;
import com.typesafe.config.ConfigSyntax;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/**
 * Reads a document that is exactly one JSON object. Typesafe Config accepts duplicate keys,
 * comments and more, so Jackson checks the syntax strictly before it. Stateless.
 */
final class StrictJson {
  private static final int MAX_NESTING_DEPTH = 50;
  private static final JsonFactory JSON =
      new JsonFactoryBuilder()
          .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
          .streamReadConstraints(
              StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING_DEPTH).build())
          .build();
  private static final ConfigParseOptions PARSE_OPTIONS =
      ConfigParseOptions.defaults()
          .setSyntax(ConfigSyntax.JSON)
          .setOriginDescription("configuration");

  private StrictJson() {}

  /**
   * Parses a document.
   *
   * @throws ElmsailException INVALID_ARGUMENT if the bytes are not one complete JSON object in
   *     UTF-8 with each key once, nested at most 50 deep
   */
  static ConfigObject read(byte[] bytes) {
    String text = decodeUtf8(bytes);
    checkSyntax(text);
    try {
      return ConfigFactory.parseString(text, PARSE_OPTIONS).root();
    } catch (ConfigException e) {
      throw new ElmsailException(
          ErrorCode.INVALID_ARGUMENT, "the configuration cannot be read: " + e.getMessage(), e);
    }
  }

  private static String decodeUtf8(byte[] bytes) {
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
    } catch (CharacterCodingException e) {
      throw new ElmsailException(ErrorCode.INVALID_ARGUMENT, "the configuration is not UTF-8", e);
    }
  }

  private static void checkSyntax(String text) {
    try (JsonParser parser = JSON.createParser(text)) {
      if (parser.nextToken() != JsonToken.START_OBJECT) {
        throw new ElmsailException(
            ErrorCode.INVALID_ARGUMENT, "the configuration is not a JSON object");
      }
      int depth = 1;
      while (depth > 0) {
        JsonToken token = parser.nextToken();
        if (token == null) {
          throw new ElmsailException(ErrorCode.INVALID_ARGUMENT, "the configuration is cut short");
        }
        if (token.isStructStart()) {
          depth++;
        } else if (token.isStructEnd()) {
          depth--;
        } else if (token == JsonToken.VALUE_STRING) {
          parser.getTextLength();
        }
      }
      if (parser.nextToken() != null) {
        throw new ElmsailException(
            ErrorCode.INVALID_ARGUMENT, "the configuration has more behind its end");
      }
    } catch (IOException e) {
      throw new ElmsailException(
          ErrorCode.INVALID_ARGUMENT, "the configuration is not whole JSON: " + e.getMessage(), e);
    }
  }
}
