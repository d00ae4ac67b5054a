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
record Fields(String path, ConfigObject object) {
  /** The largest whole number that JSON readers agree on. */
  private static final double WHOLE = 9_007_199_254_740_992.0;

  static Fields root(ConfigObject object) {
    return new Fields("", object);
  }

  String at(String key) {
    return path.isEmpty() ? key : path + "." + key;
  }

  ElmsailException fault(String key, String words) {
    return new ElmsailException(ErrorCode.INVALID_ARGUMENT, at(key) + ": " + words);
  }

  boolean has(String key) {
    ConfigValue value = object.get(key);
    return value != null && value.valueType() != ConfigValueType.NULL;
  }

  /** A text of at least one character. */
  String text(String key) {
    String text = textOr(key, null);
    if (text == null || text.isEmpty()) {
      throw fault(key, "is missing");
    }
    return text;
  }

  String textOr(String key, String other) {
    return has(key) ? (String) typed(key, ConfigValueType.STRING, "a text").unwrapped() : other;
  }

  boolean flag(String key) {
    return has(key) && (Boolean) typed(key, ConfigValueType.BOOLEAN, "true or false").unwrapped();
  }

  /** Any finite number, or the other if it is not given. */
  double numberOr(String key, double other) {
    if (!has(key)) {
      return other;
    }
    double number =
        ((Number) typed(key, ConfigValueType.NUMBER, "a number").unwrapped()).doubleValue();
    if (!Double.isFinite(number)) {
      throw fault(key, "is too large a number");
    }
    return number;
  }

  /**
   * A number of at least 0 that need not be whole; rounded up, so that what is above 0 stays there.
   */
  long amountOr(String key, long other) {
    double number = numberOr(key, other);
    if (number < 0) {
      throw fault(key, "is below 0");
    }
    return (long) Math.ceil(Math.min(number, WHOLE));
  }

  /** An amount that fits an int; larger ones count as the largest. */
  int countOr(String key, int other) {
    return (int) Math.min(Integer.MAX_VALUE, amountOr(key, other));
  }

  /** A whole number above 0. */
  long wholeAboveZero(String key) {
    if (!has(key)) {
      throw fault(key, "is missing");
    }
    double number = numberOr(key, 0);
    if (number < 1 || number > WHOLE || number != Math.rint(number)) {
      throw fault(key, "is not a whole number above 0");
    }
    return (long) number;
  }

  Fields inner(String key) {
    return new Fields(at(key), (ConfigObject) typed(key, ConfigValueType.OBJECT, "an object"));
  }

  /** The objects of a list, which has to be there. */
  List<Fields> list(String key) {
    if (!has(key)) {
      throw fault(key, "is missing");
    }
    ConfigList values = (ConfigList) typed(key, ConfigValueType.LIST, "a list");
    List<Fields> all = new ArrayList<>(values.size());
    for (int i = 0; i < values.size(); i++) {
      String place = key + "[" + i + "]";
      if (!(values.get(i) instanceof ConfigObject one)) {
        throw fault(place, "is not an object");
      }
      all.add(new Fields(at(place), one));
    }
    return all;
  }

  private ConfigValue typed(String key, ConfigValueType type, String words) {
    ConfigValue value = object.get(key);
    if (value.valueType() != type) {
      throw fault(key, "is not " + words);
    }
    return value;
  }
}
