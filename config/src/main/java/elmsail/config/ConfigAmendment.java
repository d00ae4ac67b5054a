package elmsail.config;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import elmsail.config.ConfigDocument.Item;
import elmsail.config.ConfigDocument.Value;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.StringJoiner;

/**
 * An operator's change of single named items of the configuration. Its JSON has {@code edition},
 * the version of the result, {@code deliver}, lists of items to add or to replace by {@code name},
 * and {@code withdraw}, lists of names to remove. Lists and items that the amendment does not name
 * stay unchanged. Immutable.
 */
public final class ConfigAmendment {
  private static final String VERSION_FIELD = "edition";
  private static final String DELIVER_FIELD = "deliver";
  private static final String WITHDRAW_FIELD = "withdraw";

  private final long version;
  private final Map<String, Map<String, Item>> upserts;
  private final Map<String, Set<String>> removals;

  private ConfigAmendment(
      long version, Map<String, Map<String, Item>> upserts, Map<String, Set<String>> removals) {
    this.version = version;
    this.upserts = upserts;
    this.removals = removals;
  }

  /**
   * Parses an amendment and makes all checks that do not need the configuration to which the
   * amendment applies.
   *
   * @throws elmsail.runtime.ElmsailException INVALID_ARGUMENT with the path of the invalid field:
   *     the bytes are not one complete JSON object, the version is missing, an item has no name or
   *     the same name as another item, or a name is removed twice or both removed and added
   */
  public static ConfigAmendment read(byte[] bytes) {
    Map<String, Object> root = StrictJson.read(bytes);
    ConfigFields fields = ConfigFields.root(root);
    long version = fields.requiredPositiveLong(VERSION_FIELD);
    Map<String, Map<String, Item>> upserts = new LinkedHashMap<>();
    if (fields.has(DELIVER_FIELD)) {
      fields.requiredObject(DELIVER_FIELD);
      upserts = upserts(bytes);
    }
    Map<String, Set<String>> removals = new LinkedHashMap<>();
    if (fields.has(WITHDRAW_FIELD)) {
      ConfigFields lists = fields.requiredObject(WITHDRAW_FIELD);
      for (String list : lists.object().keySet()) {
        removals.put(list, readNames(lists, list, upserts.getOrDefault(list, Map.of()).keySet()));
      }
    }
    return new ConfigAmendment(version, upserts, removals);
  }

  private static Map<String, Map<String, Item>> upserts(byte[] bytes) {
    String text = ConfigDocument.read(bytes).fields().get(DELIVER_FIELD).text();
    Map<String, Map<String, Item>> upserts = new LinkedHashMap<>();
    ConfigDocument.read(text.getBytes(StandardCharsets.UTF_8))
        .fields()
        .forEach((list, value) -> upserts.put(list, itemsOf(DELIVER_FIELD, list, value)));
    return upserts;
  }

  private static Map<String, Item> itemsOf(String path, String list, Value value) {
    if (value.items() == null) {
      throw new ConfigFields(path, null)
          .invalid(list, "is not a list of objects that each have a name of their own");
    }
    return value.items();
  }

  private static Set<String> readNames(ConfigFields lists, String list, Set<String> upsertedNames) {
    if (!(lists.object().get(list) instanceof List<?> elements)) {
      throw lists.invalid(list, "is not a list");
    }
    Set<String> names = new LinkedHashSet<>();
    for (Object element : elements) {
      if (!(element instanceof String name)) {
        throw lists.invalid(list, "holds what is not a name");
      }
      if (!names.add(name) || upsertedNames.contains(name)) {
        throw lists.invalid(list, name + " is named twice");
      }
    }
    return names;
  }

  /** The version of the resulting configuration. */
  public long version() {
    return version;
  }

  /**
   * Applies the change. The result is a well-formed JSON object; the caller must validate it as a
   * configuration.
   *
   * @param current the configuration to change
   * @throws elmsail.runtime.ElmsailException INVALID_ARGUMENT if an item to remove does not exist,
   *     or if a field to amend is not a list of objects with unique names
   */
  public byte[] applyTo(byte[] current) {
    Map<String, String> fields = new LinkedHashMap<>();
    Map<String, Value> currentFields = ConfigDocument.read(current).fields();
    currentFields.forEach((key, value) -> fields.put(key, value.text()));
    fields.put(VERSION_FIELD, Long.toString(version));
    Set<String> lists = new LinkedHashSet<>(upserts.keySet());
    lists.addAll(removals.keySet());
    for (String list : lists) {
      fields.put(list, amendedList(list, currentFields.get(list)));
    }
    StringJoiner text = new StringJoiner(",", "{", "}");
    fields.forEach((key, value) -> text.add(quoted(key) + ":" + value));
    return text.toString().getBytes(StandardCharsets.UTF_8);
  }

  private String amendedList(String list, Value current) {
    Map<String, Item> items = new LinkedHashMap<>();
    if (current != null) {
      items.putAll(itemsOf("current", list, current));
    }
    for (String name : removals.getOrDefault(list, Set.of())) {
      if (items.remove(name) == null) {
        throw new ConfigFields(WITHDRAW_FIELD, null).invalid(list, "there is no " + name);
      }
    }
    items.putAll(upserts.getOrDefault(list, Map.of()));
    List<String> itemTexts = new ArrayList<>(items.size());
    items.values().forEach(item -> itemTexts.add(item.text()));
    return "[" + String.join(",", itemTexts) + "]";
  }

  private static String quoted(String key) {
    return '"' + String.valueOf(JsonStringEncoder.getInstance().quoteAsString(key)) + '"';
  }
}
