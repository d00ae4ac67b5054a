package elmsail.runtime;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One JSON object of the settings, with its path for error texts. A null field counts as missing.
 */
final class SettingsObject {
  /** The maximum time that settings may name: some 30 years. */
  private static final double MAX_MS = 1e12;

  private final String path;
  private final Map<?, ?> fields;

  SettingsObject(String path, Map<?, ?> fields) {
    this.path = path;
    this.fields = fields;
  }

  String pathOf(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }

  Set<String> names() {
    Map<String, Object> names = new LinkedHashMap<>();
    for (Object name : fields.keySet()) {
      names.put(name.toString(), name);
    }
    return names.keySet();
  }

  /** The object of this name; an empty one if it is missing. */
  SettingsObject child(String name) {
    SettingsObject child = childOrNull(name);
    return child == null ? new SettingsObject(pathOf(name), Map.of()) : child;
  }

  SettingsObject childOrNull(String name) {
    Object value = fields.get(name);
    if (value == null) {
      return null;
    }
    if (value instanceof Map<?, ?> map) {
      return new SettingsObject(pathOf(name), map);
    }
    throw invalid(pathOf(name), "expected an object");
  }

  String string(String name) {
    return string(pathOf(name), required(name));
  }

  String stringOr(String name, String defaultValue) {
    Object value = fields.get(name);
    return value == null ? defaultValue : string(pathOf(name), value);
  }

  Map<String, String> stringMap(String name) {
    SettingsObject child = child(name);
    Map<String, String> texts = new LinkedHashMap<>();
    for (String key : child.names()) {
      texts.put(key, child.string(key));
    }
    return Map.copyOf(texts);
  }

  List<Object> list(String name) {
    return list(pathOf(name), required(name));
  }

  List<Object> listOrEmpty(String name) {
    Object value = fields.get(name);
    return value == null ? List.of() : list(pathOf(name), value);
  }

  boolean booleanOr(String name, boolean defaultValue) {
    Object value = fields.get(name);
    if (value == null) {
      return defaultValue;
    }
    if (value instanceof Boolean bool) {
      return bool;
    }
    throw invalid(pathOf(name), "expected true or false");
  }

  long integerOr(String name, long defaultValue, long min, long max) {
    Object value = fields.get(name);
    return value == null ? defaultValue : integer(pathOf(name), value, min, max);
  }

  double numberOr(String name, double defaultValue, double min, double max) {
    Object value = fields.get(name);
    return value == null ? defaultValue : number(pathOf(name), value, min, max);
  }

  /** A time in ms; fractions are rounded up. */
  long millisOr(String name, long defaultValue) {
    return (long) Math.ceil(numberOr(name, (double) defaultValue, 0, MAX_MS));
  }

  /** A time in ms, from a field in seconds. */
  long secondsAsMillisOr(String name, long defaultValue) {
    return Math.round(numberOr(name, (double) defaultValue, 0, MAX_MS / 1_000) * 1_000);
  }

  private Object required(String name) {
    Object value = fields.get(name);
    if (value == null) {
      throw invalid(pathOf(name), "is missing");
    }
    return value;
  }

  static String string(String path, Object value) {
    if (value instanceof String text) {
      return text;
    }
    throw invalid(path, "expected a text");
  }

  /** An integer; a fraction is rounded down. */
  static long integer(String path, Object value, long min, long max) {
    return (long) Math.floor(number(path, value, (double) min, (double) max));
  }

  private static double number(String path, Object value, double min, double max) {
    if (!(value instanceof Number given)) {
      throw invalid(path, "expected a number");
    }
    double number = given.doubleValue();
    if (number >= min && number <= max) {
      return number;
    }
    throw invalid(path, "expected " + min + " to " + max + ", not " + value);
  }

  private static List<Object> list(String path, Object value) {
    if (value instanceof List<?> list) {
      return List.copyOf(list);
    }
    throw invalid(path, "expected a list");
  }

  static ElmsailException invalid(String path, String detail) {
    return new ElmsailException(ErrorCode.INVALID_SETTINGS, path + ": " + detail);
  }
}
