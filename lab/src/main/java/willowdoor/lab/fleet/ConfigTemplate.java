package willowdoor.lab.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Further keys of a configuration, written once for all front doors: {@code ${NAME}} in a text
 * stands for a value of the front door, and an object with {@code each = "door"} in a list stands
 * for one object for each front door, in which the names that begin with {@code peer} are that
 * one's, as the configured one sees it. A text that is nothing but {@code ${...index}} becomes a
 * number.
 */
public final class ConfigTemplate {

  private static final Pattern PLACE = Pattern.compile("\\$\\{([a-z_]+)}");
  private static final String EACH = "each";
  private static final JsonNodeFactory JSON = JsonNodeFactory.instance;

  private final Map<String, String> own;
  private final List<Map<String, String>> peers;

  /** The front door's own values, and those of each front door as it sees it, itself among them. */
  public ConfigTemplate(Map<String, String> own, List<Map<String, String>> peers) {
    this.own = own;
    this.peers = peers;
  }

  /** The template filled in; a name that there is not is an IllegalArgumentException. */
  public JsonNode fill(JsonNode template) {
    return fill(template, own::get);
  }

  private JsonNode fill(JsonNode template, Function<String, String> values) {
    if (template.isTextual()) {
      return text(template.asText(), values);
    }
    if (template instanceof ObjectNode object) {
      ObjectNode filled = JSON.objectNode();
      object.fields().forEachRemaining(f -> filled.set(f.getKey(), fill(f.getValue(), values)));
      return filled;
    }
    if (template instanceof ArrayNode array) {
      ArrayNode filled = JSON.arrayNode();
      for (JsonNode item : array) {
        if (item.path(EACH).asText().equals("door")) {
          ObjectNode one = ((ObjectNode) item).deepCopy();
          one.remove(EACH);
          for (Map<String, String> peer : peers) {
            filled.add(fill(one, name -> peer.getOrDefault(name, own.get(name))));
          }
        } else {
          filled.add(fill(item, values));
        }
      }
      return filled;
    }
    return template;
  }

  private static JsonNode text(String template, Function<String, String> values) {
    Matcher places = PLACE.matcher(template);
    String filled =
        places.replaceAll(
            place -> {
              String value = values.apply(place.group(1));
              if (value == null) {
                throw new IllegalArgumentException("there is no ${" + place.group(1) + "}");
              }
              return Matcher.quoteReplacement(value);
            });
    boolean number = places.reset().matches() && places.group(1).endsWith("index");
    return number ? JSON.numberNode(Integer.parseInt(filled)) : JSON.textNode(filled);
  }
}
