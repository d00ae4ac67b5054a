package elmsail.runtime;

import java.util.List;
import java.util.Objects;
import java.util.function.Function;

/**
 * Which settings differ between two readings of the file, by their names in the file. A running
 * process takes over {@link #SEEDS}; for the others it has to be restarted. {@code first_start} is
 * left out: it speaks of a start and of nothing else.
 */
public final class SettingsDiff {

  /** The name of the seed addresses, which every process takes over while it runs. */
  public static final String SEEDS = "seed_stations";

  private record Field(String name, Function<Settings, Object> value) {}

  private static final List<Field> FIELDS =
      List.of(
          new Field("station", Settings::machine),
          new Field("role", Settings::role),
          new Field("machine_class", Settings::machineClass),
          new Field("serves", Settings::services),
          new Field("ip", Settings::ip),
          new Field("zone", Settings::zone),
          new Field("region", Settings::region),
          new Field("zones", Settings::zones),
          new Field("mail_slots", Settings::listenAddresses),
          new Field(
              "inner_ports",
              settings -> List.of(settings.firstInternalPort(), settings.lastInternalPort())),
          new Field(SEEDS, Settings::seeds),
          new Field("counted", Settings::counted),
          new Field("limits", Settings::limits),
          new Field("data_dir", Settings::dataDir),
          new Field("clauses", Settings::clauses),
          new Field("bear_losses", Settings::toleratedMachineLosses),
          new Field("bounds", Settings::bounds),
          new Field("carrier_api", Settings::platform));

  private SettingsDiff() {}

  /** The names of the fields that differ. */
  public static List<String> changedFields(Settings before, Settings after) {
    return FIELDS.stream()
        .filter(field -> !Objects.equals(field.value.apply(before), field.value.apply(after)))
        .map(Field::name)
        .toList();
  }
}
