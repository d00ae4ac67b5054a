package elmsail.config;

import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Typed access to the fields of one object of a configuration. Types are not converted: a string is
 * never read as a number. A field that is null counts as absent. All methods throw {@link
 * ElmsailException} INVALID_ARGUMENT with the path of the key if the field is invalid.
 *
 * @param path of the object within the document, empty for the root
 */
record ConfigFields(String path, Map<String, Object> object) {
  /** 2^53: all JSON parsers represent integers up to this value exactly. */
  private static final double MAX_EXACT_INTEGER = 9_007_199_254_740_992.0;

  /** The fields of a document's root object. */
  static ConfigFields root(Map<String, Object> object) {
    return new ConfigFields("", object);
  }

  /** The path of a key of this object within the document. */
  String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  /** The exception to throw for a key with an invalid value. */
  ElmsailException invalid(String key, String reason) {
    return new ElmsailException(ErrorCode.INVALID_ARGUMENT, pathOf(key) + ": " + reason);
  }

  /** Whether the field is present and not null. */
  boolean has(String key) {
    return object.get(key) != null;
  }

  /** A string of at least one character. */
  String requiredString(String key) {
    String text = stringOr(key, null);
    if (text == null || text.isEmpty()) {
      throw invalid(key, "is missing");
    }
    return text;
  }

  /** A string, which may be empty. */
  String stringOr(String key, String defaultValue) {
    return has(key) ? valueOfType(key, String.class, "a text") : defaultValue;
  }

  /** A boolean; false if it is absent. */
  boolean booleanOrFalse(String key) {
    return has(key) && valueOfType(key, Boolean.class, "true or false");
  }

  /** Any finite number. */
  double numberOr(String key, double defaultValue) {
    if (!has(key)) {
      return defaultValue;
    }
    double number = valueOfType(key, Number.class, "a number").doubleValue();
    if (!Double.isFinite(number)) {
      throw invalid(key, "is too large a number");
    }
    return number;
  }

  /** A number of at least 0, rounded up so that a positive fraction stays positive. */
  long nonNegativeLongOr(String key, long defaultValue) {
    double number = numberOr(key, (double) defaultValue);
    if (number < 0) {
      throw invalid(key, "is below 0");
    }
    return (long) Math.ceil(Math.min(number, MAX_EXACT_INTEGER));
  }

  /** As {@link #nonNegativeLongOr}, with larger numbers capped at Integer.MAX_VALUE. */
  int nonNegativeIntOr(String key, int defaultValue) {
    return (int) Math.min(Integer.MAX_VALUE, nonNegativeLongOr(key, defaultValue));
  }

  /** An integer above 0. */
  long requiredPositiveLong(String key) {
    if (!has(key)) {
      throw invalid(key, "is missing");
    }
    double number = numberOr(key, 0);
    if (number < 1 || number > MAX_EXACT_INTEGER || number != Math.rint(number)) {
      throw invalid(key, "is not a whole number above 0");
    }
    return (long) number;
  }

  /** An object; the caller has to check with {@link #has} that it is present. */
  ConfigFields requiredObject(String key) {
    return new ConfigFields(pathOf(key), asObject(valueOfType(key, Map.class, "an object")));
  }

  /** The elements of a list of objects. */
  List<ConfigFields> requiredObjects(String key) {
    if (!has(key)) {
      throw invalid(key, "is missing");
    }
    List<?> values = valueOfType(key, List.class, "a list");
    List<ConfigFields> elements = new ArrayList<>(values.size());
    for (int i = 0; i < values.size(); i++) {
      String indexedKey = key + "[" + i + "]";
      if (!(values.get(i) instanceof Map<?, ?> element)) {
        throw invalid(indexedKey, "is not an object");
      }
      elements.add(new ConfigFields(pathOf(indexedKey), asObject(element)));
    }
    return elements;
  }

  /** The elements of a list of strings, each of at least one character. */
  List<String> requiredStrings(String key) {
    if (!has(key)) {
      throw invalid(key, "is missing");
    }
    List<?> values = valueOfType(key, List.class, "a list");
    List<String> elements = new ArrayList<>(values.size());
    for (int i = 0; i < values.size(); i++) {
      if (!(values.get(i) instanceof String element) || element.isEmpty()) {
        throw invalid(key + "[" + i + "]", "is not a text of one character or more");
      }
      elements.add(element);
    }
    return elements;
  }

  // The keys of all parsed objects are strings.
  @SuppressWarnings("unchecked")
  private static Map<String, Object> asObject(Map<?, ?> value) {
    return (Map<String, Object>) value;
  }

  private <T> T valueOfType(String key, Class<T> type, String reason) {
    Object value = object.get(key);
    if (!type.isInstance(value)) {
      throw invalid(key, "is not " + reason);
    }
    return type.cast(value);
  }
}
