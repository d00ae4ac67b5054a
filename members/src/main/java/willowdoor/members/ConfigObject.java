package willowdoor.members;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * A strict reader of a configuration object: keys are read by name, and a key that was not read is
 * an error. Error messages contain the path of the key.
 */
final class ConfigObject {

  private final Map<?, ?> fields;
  private final String path;
  private final Set<Object> unreadKeys;

  ConfigObject(Object value, String path) throws IOException {
    if (!(value instanceof Map<?, ?> map)) {
      throw new IOException(path + " is not an object");
    }
    fields = map;
    this.path = path;
    unreadKeys = new HashSet<>(map.keySet());
  }

  String path(String key) {
    return path + '.' + key;
  }

  private Object read(String key) {
    unreadKeys.remove(key);
    return fields.get(key);
  }

  String text(String key, Pattern pattern, String expected) throws IOException {
    Object value = read(key);
    if (!(value instanceof String text) || !pattern.matcher(text).matches()) {
      throw new IOException(path(key) + " is not " + expected + describe(value));
    }
    return text;
  }

  /** An integer within the bounds. */
  long integer(String key, long min, long max) throws IOException {
    Object value = read(key);
    if (!(value instanceof Long number) || number < min || number > max) {
      throw new IOException(
          path(key) + " is not a whole number from " + min + " to " + max + describe(value));
    }
    return number;
  }

  long integer(String key, long min, long max, long defaultValue) throws IOException {
    return fields.containsKey(key) ? integer(key, min, max) : defaultValue;
  }

  double decimal(String key, double min, double max, double defaultValue) throws IOException {
    if (!fields.containsKey(key)) {
      return defaultValue;
    }
    Object value = read(key);
    if (!(value instanceof Number number)
        || !(number.doubleValue() >= min && number.doubleValue() <= max)) {
      throw new IOException(
          path(key) + " is not a number from " + min + " to " + max + describe(value));
    }
    return number.doubleValue();
  }

  boolean bool(String key, boolean defaultValue) throws IOException {
    if (!fields.containsKey(key)) {
      return defaultValue;
    }
    Object value = read(key);
    if (!(value instanceof Boolean flag)) {
      throw new IOException(path(key) + " is neither true nor false" + describe(value));
    }
    return flag;
  }

  /** The object under the key, or an empty object if the key is absent. */
  ConfigObject child(String key) throws IOException {
    return new ConfigObject(fields.containsKey(key) ? read(key) : Map.of(), path(key));
  }

  List<ConfigObject> children(String key) throws IOException {
    if (!(read(key) instanceof List<?> items)) {
      throw new IOException(path(key) + " is not a list");
    }
    List<ConfigObject> children = new ArrayList<>(items.size());
    for (Object item : items) {
      children.add(new ConfigObject(item, path(key) + '[' + children.size() + ']'));
    }
    return children;
  }

  /** Rejects keys that were not read. */
  void requireAllKeysRead() throws IOException {
    if (!unreadKeys.isEmpty()) {
      throw new IOException(
          path(unreadKeys.stream().map(String::valueOf).sorted().findFirst().orElseThrow())
              + " is not known");
    }
  }

  private static String describe(Object value) {
    String text = String.valueOf(value);
    return value == null
        ? ": it is missing"
        : ": '" + (text.length() > 40 ? text.substring(0, 40) + "..." : text) + '\'';
  }
}
