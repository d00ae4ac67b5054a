package elmsail.runtime;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** One object of the settings, and the path to it. A field that is null counts as missing. */
final class Fields {
  /** The longest time that settings may name: some 30 years. */
  private static final double MOST_MS = 1e12;

  private final String at;
  private final Map<?, ?> fields;

  Fields(String at, Map<?, ?> fields) {
    this.at = at;
    this.fields = fields;
  }

  String path(String name) {
    return at.isEmpty() ? name : at + "." + name;
  }

  Set<String> names() {
    Map<String, Object> names = new LinkedHashMap<>();
    for (Object name : fields.keySet()) {
      names.put(name.toString(), name);
    }
    return names.keySet();
  }

  /** The object of this name; one without fields where it is missing. */
  Fields child(String name) {
    Fields child = childOrNull(name);
    return child == null ? new Fields(path(name), Map.of()) : child;
  }

  Fields childOrNull(String name) {
    Object value = fields.get(name);
    if (value == null) {
      return null;
    }
    if (value instanceof Map<?, ?> map) {
      return new Fields(path(name), map);
    }
    throw fault(path(name), "expected an object");
  }

  String text(String name) {
    return text(path(name), required(name));
  }

  String textOr(String name, String otherwise) {
    Object value = fields.get(name);
    return value == null ? otherwise : text(path(name), value);
  }

  Map<String, String> texts(String name) {
    Fields child = child(name);
    Map<String, String> texts = new LinkedHashMap<>();
    for (String key : child.names()) {
      texts.put(key, child.text(key));
    }
    return Map.copyOf(texts);
  }

  List<Object> list(String name) {
    return list(path(name), required(name));
  }

  List<Object> listOrEmpty(String name) {
    Object value = fields.get(name);
    return value == null ? List.of() : list(path(name), value);
  }

  boolean yes(String name, boolean otherwise) {
    Object value = fields.get(name);
    if (value == null) {
      return otherwise;
    }
    if (value instanceof Boolean yes) {
      return yes;
    }
    throw fault(path(name), "expected true or false");
  }

  long wholeOr(String name, long otherwise, long least, long most) {
    Object value = fields.get(name);
    return value == null ? otherwise : whole(path(name), value, least, most);
  }

  double numberOr(String name, double otherwise, double least, double most) {
    Object value = fields.get(name);
    return value == null ? otherwise : number(path(name), value, least, most);
  }

  /** Milliseconds, rounded up from a fraction. */
  long ms(String name, long otherwise) {
    return (long) Math.ceil(numberOr(name, otherwise, 0, MOST_MS));
  }

  /** Milliseconds, of a field in seconds. */
  long seconds(String name, long otherwise) {
    return Math.round(numberOr(name, otherwise, 0, MOST_MS / 1_000) * 1_000);
  }

  private Object required(String name) {
    Object value = fields.get(name);
    if (value == null) {
      throw fault(path(name), "is missing");
    }
    return value;
  }

  static String text(String path, Object value) {
    if (value instanceof String text) {
      return text;
    }
    throw fault(path, "expected a text");
  }

  /** A whole number; one written as a fraction is rounded down. */
  static long whole(String path, Object value, long least, long most) {
    return (long) Math.floor(number(path, value, least, most));
  }

  private static double number(String path, Object value, double least, double most) {
    if (!(value instanceof Number)) {
      throw fault(path, "expected a number");
    }
    double number = ((Number) value).doubleValue();
    if (number >= least && number <= most) {
      return number;
    }
    throw fault(path, "expected " + least + " to " + most + ", not " + value);
  }

  private static List<Object> list(String path, Object value) {
    if (value instanceof List<?> list) {
      return List.copyOf(list);
    }
    throw fault(path, "expected a list");
  }

  static ElmsailException fault(String path, String detail) {
    return new ElmsailException(ErrorCode.BAD_SETTINGS, path + ": " + detail);
  }
}
