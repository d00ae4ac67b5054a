package willowdoor.lab.run;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Steps as a schedule words them. */
final class StepJson {

  private static final ObjectMapper JSON = new ObjectMapper();

  private StepJson() {}

  static Step read(Keys keys, Parties parties, long runMs) throws BadSchedule {
    long at = keys.whole("at_ms", 0, runMs, -1);
    if (at < 0) {
      throw new BadSchedule(keys.path() + ".at_ms is missing");
    }
    String word = keys.text("action", null);
    Action action =
        Arrays.stream(Action.values())
            .filter(a -> a.word().equals(word))
            .findFirst()
            .orElseThrow(
                () ->
                    new BadSchedule(
                        keys.path()
                            + ".action: there is no '"
                            + word
                            + "', only "
                            + Arrays.stream(Action.values()).map(Action::word).toList()));
    List<String> targets = keys.texts("targets", List.of());
    if (targets.isEmpty() != (action.kind == Action.Kind.NONE)) {
      throw new BadSchedule(
          keys.path() + ".targets: " + word + (targets.isEmpty() ? " needs some" : " has none"));
    }
    for (String target : targets) {
      if (!parties.knows(target) || target.equals("rest") || !parties.fits(target, action.kind)) {
        throw new BadSchedule(
            keys.path() + ".targets: " + word + " cannot be done to '" + target + "'");
      }
    }
    Map<String, Object> args = new LinkedHashMap<>();
    for (Action.Arg arg : action.args) {
      if (keys.has(arg.name())) {
        args.put(arg.name(), read(keys, arg, parties));
      } else if (arg.form() == Action.Form.NUMBER || arg.form() == Action.Form.TEXT) {
        throw new BadSchedule(keys.path() + '.' + arg.name() + " is missing");
      }
    }
    keys.done();
    return new Step(at, action, targets, args);
  }

  private static Object read(Keys keys, Action.Arg arg, Parties parties) throws BadSchedule {
    switch (arg.form()) {
      case NUMBER, OPTIONAL_NUMBER -> {
        return keys.number(arg.name(), arg.least(), arg.most(), 0);
      }
      case NAMES -> {
        List<String> names = keys.texts(arg.name(), List.of());
        for (String name : names) {
          if (!parties.knows(name)) {
            throw new BadSchedule(keys.path() + '.' + arg.name() + ": there is no '" + name + "'");
          }
        }
        return names;
      }
      default -> {
        String text = keys.text(arg.name(), null);
        if (arg == Action.Arg.WAY && !Set.of("both", "out", "in").contains(text)) {
          throw new BadSchedule(keys.path() + ".way is none of both, out, in: " + text);
        }
        return text;
      }
    }
  }

  static ArrayNode write(List<Step> steps) {
    ArrayNode array = JSON.createArrayNode();
    for (Step step : steps) {
      ObjectNode one =
          array.addObject().put("at_ms", step.atMs()).put("action", step.action().word());
      if (!step.targets().isEmpty()) {
        one.set("targets", JSON.valueToTree(step.targets()));
      }
      step.args().forEach((name, value) -> one.set(name, JSON.valueToTree(value)));
    }
    return array;
  }
}
