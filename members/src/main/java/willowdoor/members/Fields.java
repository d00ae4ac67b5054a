package willowdoor.members;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * A strict look into an object of the configuration: keys are asked for by name, and one that
 * nobody asked for is an error. Messages name the key by its path.
 */
final class Fields {

  private final Map<?, ?> fields;
  private final String path;
  private final Set<Object> unasked;

  Fields(Object value, String path) throws IOException {
    if (!(value instanceof Map<?, ?> map)) {
      throw new IOException(path + " is not an object");
    }
    fields = map;
    this.path = path;
    unasked = new HashSet<>(map.keySet());
  }

  String path(String key) {
    return path + '.' + key;
  }

  private Object ask(String key) {
    unasked.remove(key);
    return fields.get(key);
  }

  String text(String key, Pattern form, String what) throws IOException {
    Object value = ask(key);
    if (!(value instanceof String text) || !form.matcher(text).matches()) {
      throw new IOException(path(key) + " is not " + what + shown(value));
    }
    return text;
  }

  /** A whole number within the bounds. */
  long whole(String key, long least, long most) throws IOException {
    Object value = ask(key);
    if (!(value instanceof Long number) || number < least || number > most) {
      throw new IOException(
          path(key) + " is not a whole number from " + least + " to " + most + shown(value));
    }
    return number;
  }

  long whole(String key, long least, long most, long absent) throws IOException {
    return fields.containsKey(key) ? whole(key, least, most) : absent;
  }

  double decimal(String key, double least, double most, double absent) throws IOException {
    if (!fields.containsKey(key)) {
      return absent;
    }
    Object value = ask(key);
    if (!(value instanceof Number number)
        || !(number.doubleValue() >= least && number.doubleValue() <= most)) {
      throw new IOException(
          path(key) + " is not a number from " + least + " to " + most + shown(value));
    }
    return number.doubleValue();
  }

  boolean flag(String key, boolean absent) throws IOException {
    if (!fields.containsKey(key)) {
      return absent;
    }
    Object value = ask(key);
    if (!(value instanceof Boolean flag)) {
      throw new IOException(path(key) + " is neither true nor false" + shown(value));
    }
    return flag;
  }

  /** An object, or an empty one where the key is absent. */
  Fields child(String key) throws IOException {
    return new Fields(fields.containsKey(key) ? ask(key) : Map.of(), path(key));
  }

  List<Fields> children(String key) throws IOException {
    if (!(ask(key) instanceof List<?> items)) {
      throw new IOException(path(key) + " is not a list");
    }
    List<Fields> children = new ArrayList<>(items.size());
    for (Object item : items) {
      children.add(new Fields(item, path(key) + '[' + children.size() + ']'));
    }
    return children;
  }

  /** All has been asked for. */
  void end() throws IOException {
    if (!unasked.isEmpty()) {
      throw new IOException(
          path(unasked.stream().map(String::valueOf).sorted().findFirst().orElseThrow())
              + " is not known");
    }
  }

  private static String shown(Object value) {
    String text = String.valueOf(value);
    return value == null
        ? ": it is missing"
        : ": '" + (text.length() > 40 ? text.substring(0, 40) + "..." : text) + '\'';
  }
}
