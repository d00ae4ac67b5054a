package elmsail.config;

import com.typesafe.config.ConfigList;
import com.typesafe.config.ConfigObject;
import com.typesafe.config.ConfigValue;
import com.typesafe.config.ConfigValueType;
import elmsail.runtime.ElmsailException;
import elmsail.runtime.ErrorCode;
import java.util.ArrayList;
import java.util.List;

/**
 * The fields of one object of a configuration, each of its type: a text is never taken as a number.
 * A field that is null counts as not given. Faults are BAD_CALL and name the path of the key.
 */
record ConfigFields(String path, ConfigObject object) {
  /** The largest whole number that JSON readers agree on. */
  private static final double MAX_EXACT_INTEGER = 9_007_199_254_740_992.0;

  static ConfigFields root(ConfigObject object) {
    return new ConfigFields("", object);
  }

  String pathOf(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  ElmsailException invalid(String key, String reason) {
    return new ElmsailException(ErrorCode.INVALID_ARGUMENT, pathOf(key) + ": " + reason);
  }

  boolean has(String key) {
    ConfigValue value = object.get(key);
    return value != null && value.valueType() != ConfigValueType.NULL;
  }

  /** A text of at least one character. */
  String requiredString(String key) {
    String text = stringOr(key, null);
    if (text == null || text.isEmpty()) {
      throw invalid(key, "is missing");
    }
    return text;
  }

  String stringOr(String key, String defaultValue) {
    return has(key)
        ? (String) valueOfType(key, ConfigValueType.STRING, "a text").unwrapped()
        : defaultValue;
  }

  boolean booleanOrFalse(String key) {
    return has(key)
        && (Boolean) valueOfType(key, ConfigValueType.BOOLEAN, "true or false").unwrapped();
  }

  /** Any finite number, or the other if it is not given. */
  double numberOr(String key, double defaultValue) {
    if (!has(key)) {
      return defaultValue;
    }
    double number =
        ((Number) valueOfType(key, ConfigValueType.NUMBER, "a number").unwrapped()).doubleValue();
    if (!Double.isFinite(number)) {
      throw invalid(key, "is too large a number");
    }
    return number;
  }

  /**
   * A number of at least 0 that need not be whole; rounded up, so that what is above 0 stays there.
   */
  long nonNegativeLongOr(String key, long defaultValue) {
    double number = numberOr(key, defaultValue);
    if (number < 0) {
      throw invalid(key, "is below 0");
    }
    return (long) Math.ceil(Math.min(number, MAX_EXACT_INTEGER));
  }

  /** An amount that fits an int; larger ones count as the largest. */
  int nonNegativeIntOr(String key, int defaultValue) {
    return (int) Math.min(Integer.MAX_VALUE, nonNegativeLongOr(key, defaultValue));
  }

  /** A whole number above 0. */
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

  ConfigFields requiredObject(String key) {
    return new ConfigFields(
        pathOf(key), (ConfigObject) valueOfType(key, ConfigValueType.OBJECT, "an object"));
  }

  /** The objects of a list, which has to be there. */
  List<ConfigFields> requiredObjects(String key) {
    if (!has(key)) {
      throw invalid(key, "is missing");
    }
    ConfigList values = (ConfigList) valueOfType(key, ConfigValueType.LIST, "a list");
    List<ConfigFields> elements = new ArrayList<>(values.size());
    for (int i = 0; i < values.size(); i++) {
      String indexedKey = key + "[" + i + "]";
      if (!(values.get(i) instanceof ConfigObject element)) {
        throw invalid(indexedKey, "is not an object");
      }
      elements.add(new ConfigFields(pathOf(indexedKey), element));
    }
    return elements;
  }

  private ConfigValue valueOfType(String key, ConfigValueType type, String reason) {
    ConfigValue value = object.get(key);
    if (value.valueType() != type) {
      throw invalid(key, "is not " + reason);
    }
    return value;
  }
}
