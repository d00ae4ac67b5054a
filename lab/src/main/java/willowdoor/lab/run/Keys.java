package willowdoor.lab.run;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A table of the schedule, read strictly: each key once, and none is left that nobody asked for.
 */
final class Keys {

  private final String path;
  private final ObjectNode table;
  private final Set<String> known = new HashSet<>();

  private Keys(String path, ObjectNode table) {
    this.path = path;
    this.table = table;
  }

  static Keys of(JsonNode document) throws BadSchedule {
    return table("", document);
  }

  private static Keys table(String path, JsonNode node) throws BadSchedule {
    if (!(node instanceof ObjectNode object)) {
      throw new BadSchedule((path.isEmpty() ? "the schedule" : path) + " is not a table");
    }
    return new Keys(path, object);
  }

  private String name(String key) {
    return path.isEmpty() ? key : path + '.' + key;
  }

  private JsonNode get(String key) {
    known.add(key);
    return table.get(key);
  }

  boolean has(String key) {
    return table.has(key);
  }

  double number(String key, double least, double most, double absent) throws BadSchedule {
    JsonNode found = get(key);
    if (found == null) {
      return absent;
    }
    if (!found.isNumber() || !(found.asDouble() >= least && found.asDouble() <= most)) {
      throw new BadSchedule(
          name(key) + " is not a number from " + text(least) + " to " + text(most) + ": " + found);
    }
    return found.asDouble();
  }

  long whole(String key, long least, long most, long absent) throws BadSchedule {
    JsonNode found = get(key);
    if (found == null) {
      return absent;
    }
    if (!found.isIntegralNumber() || found.asLong() < least || found.asLong() > most) {
      throw new BadSchedule(
          name(key) + " is not a whole number from " + least + " to " + most + ": " + found);
    }
    return found.asLong();
  }

  boolean flag(String key, boolean absent) throws BadSchedule {
    JsonNode found = get(key);
    if (found != null && !found.isBoolean()) {
      throw new BadSchedule(name(key) + " is not true or false: " + found);
    }
    return found == null ? absent : found.asBoolean();
  }

  /** Plain text; absent where null is given makes it required. */
  String text(String key, String absent) throws BadSchedule {
    JsonNode found = get(key);
    if (found == null && absent != null) {
      return absent;
    }
    if (found == null || !found.isTextual() || found.asText().isEmpty()) {
      throw new BadSchedule(
          name(key) + (found == null ? " is missing" : " is not a text: " + found));
    }
    return found.asText();
  }

  List<String> texts(String key, List<String> absent) throws BadSchedule {
    JsonNode found = get(key);
    if (found == null) {
      return absent;
    }
    List<String> texts = new ArrayList<>();
    for (JsonNode item : found) {
      if (!item.isTextual()) {
        throw new BadSchedule(name(key) + " holds what is no text: " + item);
      }
      texts.add(item.asText());
    }
    if (!found.isArray()) {
      throw new BadSchedule(name(key) + " is not a list: " + found);
    }
    return texts;
  }

  /** Numbers by name, each above nought. */
  Map<String, Double> weights(String key, Map<String, Double> absent) throws BadSchedule {
    if (!has(key)) {
      return absent;
    }
    Keys inner = inner(key);
    Map<String, Double> weights = new LinkedHashMap<>();
    for (Iterator<String> names = inner.table.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      weights.put(name, inner.number(name, 1e-6, 1e9, 0));
    }
    return weights;
  }

  /** A table within this one; an empty one where there is none. */
  Keys inner(String key) throws BadSchedule {
    JsonNode found = get(key);
    return found == null
        ? new Keys(name(key), JsonNodeFactory.instance.objectNode())
        : table(name(key), found);
  }

  /** A list of tables. */
  List<Keys> list(String key) throws BadSchedule {
    JsonNode found = get(key);
    List<Keys> tables = new ArrayList<>();
    if (found != null && !found.isArray()) {
      throw new BadSchedule(name(key) + " is not a list of tables");
    }
    if (found != null) {
      for (JsonNode item : found) {
        tables.add(table(name(key) + '[' + tables.size() + ']', item));
      }
    }
    return tables;
  }

  /** What is below a key as it stands, for whoever reads it elsewhere. */
  ObjectNode raw(String key) throws BadSchedule {
    return inner(key).table;
  }

  String path() {
    return path;
  }

  /** Ends the reading: a key that was not asked for is one that there is not. */
  void done() throws BadSchedule {
    for (Iterator<String> names = table.fieldNames(); names.hasNext(); ) {
      String name = names.next();
      if (!known.contains(name)) {
        throw new BadSchedule(name(name) + ": there is no such key here");
      }
    }
  }

  private static String text(double bound) {
    return bound == Math.rint(bound) && Math.abs(bound) < 1e15
        ? Long.toString((long) bound)
        : Double.toString(bound);
  }
}
